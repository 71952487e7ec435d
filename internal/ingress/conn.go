package ingress

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/juju/errors"
)

// Buffers of the kernel for each direction of a connection, which it doubles. Bytes that it has received, but the process
// has not read, count as memory of the instance. Messages of peers are not slowed down on links of 200 Mbit/s.
const (
	clientBufferBytes = 16 << 10
	peerBufferBytes   = 64 << 10
)

// Listen listens on a port of the node.
func (g *Gate) Listen(address string, port Port) (net.Listener, error) {
	size := clientBufferBytes
	if port == Peers {
		size = peerBufferBytes
	}
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var optionErr error
		err := raw.Control(func(fd uintptr) { // accepted connections inherit the sizes
			optionErr = errors.Trace(setBuffers(int(fd), size))
		})
		if err != nil {
			return errors.Trace(err)
		}
		return optionErr
	}}
	l, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return &listener{l, g, port}, nil
}

func setBuffers(fd, size int) error {
	if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_RCVBUF, size); err != nil {
		return err
	}
	return syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_SNDBUF, size)
}

// listener accepts connections within the bound.
type listener struct {
	net.Listener
	gate *Gate
	port Port
}

// Accept implements net.Listener. A connection above the bound is closed at once.
func (l *listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.gate.admit(accepted, l.port); c != nil {
			return c, nil
		}
	}
}

// conn is an accepted connection.
type conn struct {
	net.Conn
	gate   *Gate
	port   Port
	slot   *Holder // of the connections
	memory *Holder // of a header that is being read, or of the requests in progress
	// readDeadline is in Unix nanoseconds, 0 for none.
	readDeadline atomic.Int64

	mu sync.Mutex
	// requests in progress, and the bytes received of the next one's header; protected by mu.
	requests int
	header   int64
	// length is the declared length of the latest request's body, -1 without one; beyond the number of bytes received after its
	// header, and tail those after the last empty line in the latest read. Protected by mu.
	length, beyond, tail int64
	// ahead reports that beyond was received with the request before; protected by mu.
	ahead bool
	lines headerLines // of the header that is being read; protected by mu
	// waitingSince is when the connection was accepted, its last answer ended, or the first byte of a header arrived, whichever
	// was last; answered reports an earlier request. Protected by mu.
	waitingSince    time.Time
	answered, http2 bool
	// started reports that bytes have arrived, encrypted that they are TLS; protected by mu.
	started, encrypted bool
}

// admit returns an accepted connection with its place, or closes it and returns nil.
func (g *Gate) admit(accepted net.Conn, port Port) *conn {
	now := time.Now()
	c := &conn{Conn: accepted, gate: g, port: port, waitingSince: now}
	c.slot = g.conns.Hold(int(port), now, idlePatience, func() { c.drop("gave its place to a new connection") })
	c.memory = g.memory.Hold(small, now, stallPatience, func() { c.drop("a header made no progress") })
	if err := c.slot.Charge(1, now); err != nil {
		g.lastFull[port].Store(now.UnixNano())
		c.drop("too many connections")
		_ = c.Close() // the client learns it from the reset
		return nil
	}
	return c
}

// drop closes the connection for a reason that is counted.
func (c *conn) drop(reason string) {
	c.gate.refuse(c.port, c.RemoteAddr().String(), reason)
	_ = c.Conn.Close() // its reader and its writer fail, and the server closes it
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.slot.Release()
	c.memory.Release()
	return c.Conn.Close()
}

// longAgo is the deadline by which net/http interrupts a read.
var longAgo = time.Unix(1, 0)

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	nanoseconds := int64(0)
	if !t.IsZero() && !t.Equal(longAgo) {
		nanoseconds = t.UnixNano()
	}
	c.readDeadline.Store(nanoseconds)
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// lateWake is how much later than its deadline a read returns if the process was suspended or had no processor time. What
// arrived meanwhile is read first.
const lateWake = 100 * time.Millisecond

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	if deadline := c.headerDeadline(); !deadline.IsZero() {
		if err := c.SetReadDeadline(deadline); err != nil {
			return 0, err
		}
	}
	n, err := c.Conn.Read(p)
	if deadline := c.readDeadline.Load(); n == 0 && deadline != 0 && errors.Is(err, os.ErrDeadlineExceeded) &&
		time.Since(time.Unix(0, deadline)) > lateWake && c.readDeadline.CompareAndSwap(deadline, 0) {
		if err := c.Conn.SetReadDeadline(time.Now().Add(lateWake)); err != nil {
			return 0, err
		}
		n, err = c.Conn.Read(p)
	}
	if n > 0 {
		if chargeErr := c.received(p[:n]); chargeErr != nil {
			return 0, chargeErr
		}
	}
	return n, err
}

var headerEnd = []byte("\r\n\r\n")

// tlsHandshake is the first byte of a connection with TLS, and tlsConnections how many connections such a one counts for: it
// has some 40 KB more in buffers.
const tlsHandshake, tlsConnections = 22, 2

// noteFirstByte notes how a connection begins. The caller holds mu.
func (c *conn) noteFirstByte(data []byte, now time.Time) error {
	if c.started || len(data) == 0 {
		return nil
	}
	c.started = true
	if c.encrypted = data[0] == tlsHandshake; !c.encrypted {
		return nil
	}
	err := c.slot.Charge(tlsConnections-1, now)
	if errors.Is(err, ErrFull) {
		c.drop("too many connections")
	}
	return err
}

// received charges bytes of a header. Those of a body, also after the header in the same read, are charged by its reader.
func (c *conn) received(data []byte) error {
	now := time.Now()
	if c.port == Peers {
		c.slot.Progress(now)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.noteFirstByte(data, now); err != nil {
		return err
	}
	if c.requests == 0 || c.length < 0 {
		c.tail = int64(len(data))
		if end := bytes.LastIndex(data, headerEnd); end >= 0 {
			c.tail -= int64(end + len(headerEnd))
		}
	}
	if c.requests > 0 {
		c.beyond += int64(len(data))
		return nil
	}
	if c.header == 0 || c.ahead {
		c.lines = headerLines{}
	}
	n := int64(c.lines.end(data))
	c.beyond, c.ahead = int64(len(data))-n, false
	if c.header == 0 {
		c.waitingSince = now
		c.memory.Progress(now)
		c.slot.Progress(now)
	}
	return c.chargeHeader(n, now)
}

// chargeHeader charges n further bytes of a header. The caller holds mu.
func (c *conn) chargeHeader(n int64, now time.Time) error {
	n = min(n, int64(ServerHeaderBytes(c.port))+headerSlack-c.header)
	c.header += n
	part := small
	if c.header > smallHeaderBytes {
		part = large
	}
	err := c.memory.ChargeIn(part, n*headerFactor, now)
	if errors.Is(err, ErrFull) {
		c.drop("no memory for a header")
	}
	return err
}

// headerLines finds the empty line that ends a header. Like net/http it accepts lines that end without a carriage return.
type headerLines struct{ newline, carriageReturn bool }

// end returns how many of the bytes that follow belong to the header.
func (l *headerLines) end(data []byte) int {
	for i, b := range data {
		switch {
		case b == '\n' && l.newline:
			return i + 1
		case b == '\n':
			l.newline, l.carriageReturn = true, false
		case b == '\r' && l.newline && !l.carriageReturn:
			l.carriageReturn = true
		default:
			l.newline, l.carriageReturn = false, false
		}
	}
	return len(data)
}

// leastHeaderBytes returns the least size with which a header may have been sent: no spaces, and newlines alone.
func leastHeaderBytes(r *http.Request) int64 {
	n := len(r.Method) + len(r.RequestURI) + len(r.Proto) + len("  \n\n")
	if r.Host != "" {
		n += len("Host:\n") + len(r.Host)
	}
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + len(":\n")
		}
	}
	return int64(n)
}

// readAheadBytes is the buffer of net/http, which may hold the beginning of the next header.
const readAheadBytes = 4 << 10

// readAhead returns how many bytes of the next header may have arrived with the request that has ended. The caller holds mu.
func (c *conn) readAhead() int64 {
	if c.encrypted { // what it holds counts as a connection
		return 0
	}
	n := c.beyond - max(0, c.length)
	if c.length < 0 { // the empty line after the last chunk ends the request
		n = min(c.beyond, c.tail)
	}
	return min(max(0, n), readAheadBytes)
}

// Write implements net.Conn. A client that does not read ends the connection.
func (c *conn) Write(p []byte) (int, error) {
	now := time.Now()
	pace := c.gate.limits.Body
	transfer := time.Duration(int64(len(p)) * int64(pace.Window) / pace.MinBytes)
	if err := c.SetWriteDeadline(now.Add(c.gate.limits.AnswerStall + transfer)); err != nil {
		return 0, err
	}
	if c.port != Peers {
		c.slot.Progress(now)
		c.slot.SetPatience(idlePatience)
		defer c.restorePatience()
	}
	n, err := c.Conn.Write(p)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.drop("an answer was not read")
	}
	return n, err
}

// CloseWrite ends the answers of a connection whose client may still send, see net/http.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// restorePatience keeps the place of a connection with a request in progress.
func (c *conn) restorePatience() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setPatience()
}

// setPatience sets by whom the connection may be replaced. The caller holds mu.
func (c *conn) setPatience() {
	switch {
	case c.requests == 0:
		c.slot.SetPatience(idlePatience)
	case c.port == Peers: // the connection of an entry is one long request
		c.slot.SetPatience(peerPatience)
	default:
		c.slot.SetPatience(-1)
	}
}

// begin charges a request whose header was read.
func (c *conn) begin(r *http.Request) error {
	units := int64(requestBytes)
	for name, values := range r.Header {
		units += int64(len(name))
		for _, v := range values {
			units += fieldBytes + int64(len(v))
		}
	}
	part := small
	if units > smallBytes {
		part = large
	}
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests++
	c.length = r.ContentLength
	if c.ahead {
		c.beyond = max(0, c.beyond-leastHeaderBytes(r))
	}
	c.answered, c.http2 = true, r.ProtoMajor > 1
	c.setPatience()
	if c.requests == 1 {
		c.header = 0
		c.memory.Clear()
	}
	c.memory.SetPatience(-1)
	if err := c.slot.Charge(0, now); err != nil { // evicted as idle while the header arrived
		return err
	}
	return c.memory.ChargeIn(part, units, now)
}

// end returns what requests held once all have ended.
func (c *conn) end() {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests--
	c.setPatience()
	if c.requests == 0 {
		c.memory.Clear()
		c.memory.SetPatience(stallPatience)
		c.slot.Progress(now)
		c.waitingSince = now
		if n := c.readAhead(); n > 0 {
			c.beyond, c.ahead = n, true
			_ = c.chargeHeader(n, now) // without room it has closed the connection
		}
	}
}

type connKey struct{}

// ConnContext is for http.Server.
func ConnContext(ctx context.Context, accepted net.Conn) context.Context {
	if t, ok := accepted.(interface{ NetConn() net.Conn }); ok { // TLS
		accepted = t.NetConn()
	}
	if c, ok := accepted.(*conn); ok {
		return context.WithValue(ctx, connKey{}, c)
	}
	return ctx
}
