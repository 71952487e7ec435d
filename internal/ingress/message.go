package ingress

import (
	"bytes"
	"io"
	"sync"
	"time"

	"github.com/juju/errors"
)

// Message is a message of a peer in charged memory.
type Message struct {
	gate    *Gate
	address string
	held    *Holder
	closed  func()

	mu        sync.Mutex
	data      []byte // protected by mu
	discarded bool   // data is only the beginning; protected by mu
}

// Message returns an empty message from an address. closeConn closes its connection without blocking. A nil gate sets no
// limits.
func (g *Gate) Message(address string, closeConn func()) *Message {
	if g == nil {
		return &Message{}
	}
	m := &Message{gate: g, address: address, closed: closeConn}
	m.held = g.memory.Hold(peers, time.Now(), -1, func() {
		m.gate.refuse(Peers, m.address, "a message made no progress")
		m.discard()
	})
	return m
}

func (m *Message) drop(reason string) {
	m.gate.refuse(Peers, m.address, reason)
	m.closed()
}

// pieces are buffers for reads. A message that waits for its peer can be discarded, which a read into its own buffer would
// prevent.
var pieces = sync.Pool{New: func() any { return new([4 << 10]byte) }}

// ReadAll reads the message. Its connection is closed if it makes too little progress. If there is no room, or the message
// gives its room to others, the rest is received without being kept, so that other messages on the connection can follow:
// ReadAll returns the beginning, and ErrFull.
func (m *Message) ReadAll(r io.Reader) ([]byte, error) {
	if m.gate == nil {
		return io.ReadAll(r)
	}
	p := newPacer(m.gate.limits.Body, time.Now())
	timer := time.AfterFunc(time.Until(p.deadline()), func() { m.drop("a message was too slow") })
	defer timer.Stop()
	piece := pieces.Get().(*[4 << 10]byte)
	defer pieces.Put(piece)
	for {
		m.held.SetPatience(stallPatience) // only while it waits for the peer
		n, err := r.Read(piece[:])
		m.held.SetPatience(-1)
		if now := time.Now(); p.add(int64(n), now) {
			m.held.Progress(now)
			timer.Reset(time.Until(p.deadline()))
		}
		m.keep(piece[:n])
		switch {
		case errors.Is(err, io.EOF):
			return m.received()
		case err != nil:
			return nil, errors.Trace(err)
		}
	}
}

// keep adds bytes to a message that is not discarded, or discards it if there is no room.
func (m *Message) keep(piece []byte) {
	m.mu.Lock()
	old, size, discarded := int64(cap(m.data)), int64(cap(m.data)), m.discarded
	for size < int64(len(m.data)+len(piece)) {
		size = nextSize(size, -1)
	}
	m.mu.Unlock()
	if discarded {
		return
	}
	if size > old && size > firstBytes { // one first buffer for each connection is not charged
		if err := m.held.Charge(size, time.Now()); err != nil {
			if errors.Is(err, ErrFull) {
				m.gate.refuse(Peers, m.address, "no memory for a message")
			}
			m.discard(piece...)
			return
		}
	}
	m.add(piece, size)
	if size > old && old > firstBytes {
		_ = m.held.Charge(-old, time.Now()) // returning memory does not fail, unless it was evicted
	}
}

// add copies bytes into a buffer of size bytes.
func (m *Message) add(piece []byte, size int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.discarded {
		return
	}
	if size > int64(cap(m.data)) {
		m.data = append(make([]byte, 0, size), m.data...)
	}
	m.data = append(m.data, piece...)
}

// discard keeps only the beginning of the message, which may be in the bytes that follow those kept.
func (m *Message) discard(following ...byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.discarded {
		m.discarded = true
		beginning := bytes.Clone(m.data[:min(len(m.data), firstBytes)])
		m.data = append(beginning, following[:min(len(following), firstBytes-len(beginning))]...)
	}
	m.held.Clear()
}

// received returns what was kept of a message that has ended.
func (m *Message) received() ([]byte, error) {
	if m.held.Charge(0, time.Now()) != nil { // evicted during the last read
		m.discard()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.discarded {
		return m.data, ErrFull
	}
	return m.data, nil
}

// messageFactor is how much memory a byte of a message takes once it is decoded.
const messageFactor = 4

// ChargeDecoding charges what decoding a message of size bytes takes. It returns ErrFull if there is no room now.
func (m *Message) ChargeDecoding(size int) error {
	if m.gate == nil {
		return nil
	}
	if err := m.held.Charge(int64(size)*messageFactor, time.Now()); err != nil {
		m.gate.refuse(Peers, m.address, "no memory to decode a message")
		return errors.Trace(err)
	}
	return nil
}

// Release returns the memory of the message.
func (m *Message) Release() {
	if m.gate != nil {
		m.held.Release()
	}
}
