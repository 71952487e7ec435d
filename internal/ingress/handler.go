package ingress

import (
	"io"
	"net/http"
	"os"
	"time"

	"github.com/juju/errors"
)

// Handler bounds the requests of a port. The server must use ConnContext and a listener of the gate.
func (g *Gate) Handler(port Port, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*conn)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		defer c.end()
		if err := c.begin(r); err != nil {
			if errors.Is(err, ErrFull) {
				c.drop("no memory for a request")
			}
			panic(http.ErrAbortHandler)
		}
		if g.headerTooLarge(port, r) {
			g.refuse(port, r.RemoteAddr, "a header is too large")
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusRequestHeaderFieldsTooLarge)
			return
		}
		if port != Peers && g.full(port, time.Now()) {
			w.Header().Set("Connection", "close")
		}
		answer := &answer{ResponseWriter: w, conn: c}
		switch port {
		case API:
			w = answer
		case Metrics:
			w = answer
			held := g.memory.Hold(scrapes, time.Now(), scrapePatience, func() { c.drop("a scrape made no progress") })
			defer held.Release()
			if held.Charge(scrapeBytes, time.Now()) != nil {
				g.refuse(port, r.RemoteAddr, "too many scrapes")
				w.Header().Set("Retry-After", "1")
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
		}
		if r.Body == nil || r.Body == http.NoBody {
			next.ServeHTTP(w, r)
			return
		}
		b := newBody(w, r, c)
		defer b.release()
		q := *r // net/http examines the type of its own request's body after the handler
		q.Body = b
		next.ServeHTTP(w, &q)
		if r.Header.Get("Expect") == "" { // reading would ask the client for a body that nobody needs
			b.drain()
		}
	})
}

// answer charges the parts of an answer while they are written.
type answer struct {
	http.ResponseWriter
	conn *conn
}

// Unwrap supports http.ResponseController.
func (a *answer) Unwrap() http.ResponseWriter { return a.ResponseWriter }

// Write implements http.ResponseWriter.
func (a *answer) Write(p []byte) (int, error) {
	part := small
	if len(p) > smallBytes {
		part = large
	}
	now := time.Now()
	held := a.conn.gate.memory.Hold(part, now, idlePatience, func() { a.conn.drop("an answer made no progress") })
	defer held.Release()
	if err := held.Charge(int64(len(p)), now); err != nil {
		a.conn.drop("no memory for an answer")
		return 0, errors.Trace(err)
	}
	return a.ResponseWriter.Write(p)
}

// body is the body of a request. It ends the connection if its bytes make too little progress or have no room.
type body struct {
	io.ReadCloser
	conn     *conn
	control  *http.ResponseController
	declared int64
	held     *Holder
	decoded  *Holder // nil until it is decoded
	pacer    pacer
	deadline time.Time
	// charged is set if the reader charges its memory itself.
	charged bool
	done    bool
}

func newBody(w http.ResponseWriter, r *http.Request, c *conn) *body {
	now := time.Now()
	b := &body{
		ReadCloser: r.Body, conn: c, control: http.NewResponseController(w), declared: r.ContentLength,
		held:  c.gate.memory.Hold(small, now, -1, func() { c.drop("a body made no progress") }),
		pacer: newPacer(c.gate.limits.Body, now),
	}
	b.setDeadline() // net/http reads a body that its handler leaves
	return b
}

// setDeadline sets the time of the next progress as the read deadline.
func (b *body) setDeadline() {
	if d := b.pacer.deadline(); !d.Equal(b.deadline) {
		b.deadline = d
		_ = b.control.SetReadDeadline(d) // fails once the connection is closed, as the next read does
	}
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	b.setDeadline()
	b.held.SetPatience(stallPatience) // only while it waits for the client
	b.conn.slot.SetPatience(idlePatience)
	n, err := b.ReadCloser.Read(p)
	b.held.SetPatience(-1)
	b.conn.restorePatience()
	now := time.Now()
	if b.pacer.add(int64(n), now) {
		b.held.Progress(now)
		b.conn.slot.Progress(now)
	}
	if n > 0 && !b.charged {
		if chargeErr := b.charge(int64(n) * decodedFactor); chargeErr != nil {
			return 0, b.refuse(chargeErr)
		}
	}
	switch {
	case errors.Is(err, io.EOF):
		b.done = true
		if evictErr := b.evicted(now); evictErr != nil {
			return 0, evictErr
		}
		_ = b.control.SetReadDeadline(time.Time{}) // see setDeadline
	case errors.Is(err, os.ErrDeadlineExceeded):
		b.done = true
		b.conn.gate.refuse(b.conn.port, b.conn.RemoteAddr().String(), "a body was too slow")
	}
	return n, err
}

// evicted returns an error if the body or its connection was evicted during a read.
func (b *body) evicted(now time.Time) error {
	if err := b.held.Charge(0, now); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(b.conn.slot.Charge(0, now))
}

// charge adds memory that the body needs.
func (b *body) charge(units int64) error {
	if units <= 0 {
		return b.held.Charge(units, time.Now())
	}
	part := small
	if b.held.Units()+units > smallBytes {
		part = large
	}
	start := time.Now()
	b.held.SetPatience(stallPatience)
	err := b.conn.gate.room(b.held, part, units)
	b.held.SetPatience(-1)
	b.pacer.pause(time.Since(start))
	return err
}

func (b *body) release() {
	b.held.Release()
	if b.decoded != nil {
		b.decoded.Release()
	}
}

// refuse ends the connection of a body that was not read to its end.
func (b *body) refuse(err error) error {
	b.done = true
	if errors.Is(err, ErrFull) {
		b.conn.drop("no memory for a body")
	}
	return errors.Trace(err)
}

// drain receives what the handler left of a body, as net/http would without time limits or charges.
func (b *body) drain() {
	b.charged = true
	var discarded [4 << 10]byte
	for left := drainBytes; left > 0 && !b.done; {
		n, err := b.Read(discarded[:])
		if left -= n; err != nil {
			return
		}
	}
}

// ReadAll reads the body of a request of at most limit bytes into charged memory. Its declared length is not trusted beyond
// twice of what has arrived.
func ReadAll(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	b, ok := r.Body.(*body)
	limited := http.MaxBytesReader(w, r.Body, limit)
	if !ok {
		return io.ReadAll(limited)
	}
	b.charged = true
	var data []byte
	for {
		if len(data) == cap(data) {
			size := nextSize(int64(cap(data)), b.declared)
			if err := b.charge(size); err != nil {
				return nil, b.refuse(err)
			}
			old := int64(cap(data))
			data = append(make([]byte, 0, size), data...)
			_ = b.charge(-old) // returning memory does not fail, unless the connection was closed
		}
		n, err := limited.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		switch {
		case errors.Is(err, io.EOF):
			return data, nil
		case err != nil:
			return data, err
		}
	}
}

// firstBytes is the size of the first buffer of a body.
const firstBytes = 1 << 10

// nextSize returns the size of the buffer that follows one of size bytes that is full. A buffer for the whole body has a
// byte more than the body, so that its end is found without another one.
func nextSize(size, declared int64) int64 {
	next := max(firstBytes, 2*size)
	if declared >= size && declared+1 < next {
		return declared + 1
	}
	return next
}

// ChargeDecoding charges what decoding the body of a request takes, after it was read. At most the reserved part is charged,
// so that a single request is always served. It returns ErrFull if there is no room.
func ChargeDecoding(r *http.Request, units int64) error {
	b, ok := r.Body.(*body)
	if !ok {
		return nil
	}
	g := b.conn.gate
	b.decoded = g.memory.Hold(decoded, time.Now(), -1, nil)
	if err := g.room(b.decoded, decoded, min(units, g.memory.parts[decoded].Reserved)); err != nil {
		g.refuse(b.conn.port, r.RemoteAddr, "no memory to decode a request")
		return errors.Trace(err)
	}
	return nil
}

// Settle charges units for what remains of a request after it was decoded, instead of what it took until then.
func Settle(r *http.Request, units int64) {
	if b, ok := r.Body.(*body); ok && b.decoded != nil {
		b.held.Clear()
		_ = b.decoded.Charge(min(0, units-b.decoded.Units()), time.Now()) // returning memory does not fail
	}
}
