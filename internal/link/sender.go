package link

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
)

// slowestLink is the bandwidth of the thinnest machine (10 Mbit/s) in bytes per second, and linkSharing how many transfers
// may share it.
const (
	slowestLink = 10_000_000 / 8
	linkSharing = 2
)

// transferTime returns how long a transfer takes on the thinnest link.
func transferTime(bytes int64) time.Duration {
	return time.Duration(linkSharing*bytes) * time.Second / slowestLink
}

// sender writes messages to a connection, one at a time in the order of the calls.
type sender struct {
	conn    *websocket.Conn
	waiting atomic.Int64 // bytes that are not written yet
	sent    atomic.Int64 // bytes of all messages so far
}

// send writes a message. Its time limit grows with the messages before it. It does not end with ctx, because a cancelled
// write closes the connection for all callers.
func (s *sender) send(ctx context.Context, data []byte) error {
	size := int64(len(data))
	s.sent.Add(size)
	waiting := s.waiting.Add(size)
	defer s.waiting.Add(-size)
	ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), pingTimeout+transferTime(waiting))
	defer stop()
	return s.conn.Write(ctx, websocket.MessageBinary, data)
}
