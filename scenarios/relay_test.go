package scenarios

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// cutMode is the fault that a relay injects into its connections.
type cutMode string

const (
	cutNone cutMode = ""
	// cutSilent keeps open and new connections open but discards their data.
	cutSilent cutMode = "silent"
	// cutOpen discards the data of the connections open now; new connections work.
	cutOpen cutMode = "open"
	// cutReset closes all connections and each new one.
	cutReset cutMode = "reset"
)

// relay is a TCP proxy that can interrupt its connections.
type relay struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	mode  cutMode
	conns map[*relayConn]bool
	// bytesPerSecond limits each direction of all connections together; 0 is no limit.
	bytesPerSecond atomic.Int64
	up, down       sync.Mutex // held while a chunk is on a limited link
}

// limit sets the bandwidth of the relay in bytes per second; 0 removes the limit.
func (r *relay) limit(bytesPerSecond int64) { r.bytesPerSecond.Store(bytesPerSecond) }

// transfer waits as long as a chunk takes on a limited link.
func (r *relay) transfer(direction *sync.Mutex, bytes int) {
	rate := r.bytesPerSecond.Load()
	if rate == 0 {
		return
	}
	direction.Lock()
	defer direction.Unlock()
	time.Sleep(time.Duration(int64(bytes) * int64(time.Second) / rate))
}

type relayConn struct {
	relay          *relay
	client, server net.Conn
	mu             sync.Mutex
	silent         bool
}

func (c *relayConn) isSilent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silent
}

func (c *relayConn) setSilent(silent bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silent = silent
}

func (c *relayConn) close() {
	c.client.Close()
	if c.server != nil {
		c.server.Close()
	}
}

func newRelay(listen, target string) (*relay, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	r := &relay{listener: l, target: target, conns: map[*relayConn]bool{}}
	go r.accept()
	return r, nil
}

func (r *relay) accept() {
	for {
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.serve(client)
	}
}

func (r *relay) serve(client net.Conn) {
	r.mu.Lock()
	mode := r.mode
	r.mu.Unlock()
	if mode == cutReset {
		client.Close()
		return
	}
	server, err := net.Dial("tcp", r.target)
	if err != nil {
		client.Close()
		return
	}
	c := &relayConn{relay: r, client: client, server: server, silent: mode == cutSilent}
	r.mu.Lock()
	r.conns[c] = true
	r.mu.Unlock()
	var done sync.WaitGroup
	done.Go(func() { c.copy(server, client, &r.up) })
	done.Go(func() { c.copy(client, server, &r.down) })
	done.Wait()
	r.mu.Lock()
	delete(r.conns, c)
	r.mu.Unlock()
}

func (c *relayConn) copy(dst, src net.Conn, direction *sync.Mutex) {
	defer c.close()
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		if n > 0 {
			c.relay.transfer(direction, n)
		}
		if n > 0 && !c.isSilent() {
			if _, err := dst.Write(buf[:n]); err != nil {
				return
			}
		}
		if err == io.EOF && c.isSilent() {
			select {} // a silent connection does not forward its end either
		}
		if err != nil {
			return
		}
	}
}

func (r *relay) setMode(mode cutMode) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mode = mode
	for c := range r.conns {
		switch mode {
		case cutReset:
			c.close()
		case cutSilent, cutOpen:
			c.setSilent(true)
		}
	}
}

func (r *relay) close() {
	r.listener.Close()
	r.setMode(cutReset)
}

// cmdRelay starts a relay: relay NAME LISTEN TARGET.
func cmdRelay(ts *testscript.TestScript, _ bool, args []string) {
	r, err := newRelay(args[1], args[2])
	ts.Check(err)
	f := fixtureOf(ts)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.relays[args[0]] = r
}

// cmdCut interrupts the connections of a relay: cut NAME silent|open|reset.
func cmdCut(ts *testscript.TestScript, _ bool, args []string) {
	fixtureOf(ts).relay(ts, args[0]).setMode(cutMode(args[1]))
}

// cmdHeal lets new connections of a relay work: heal NAME. Silent connections stay silent.
func cmdHeal(ts *testscript.TestScript, _ bool, args []string) {
	fixtureOf(ts).relay(ts, args[0]).setMode(cutNone)
}

func (f *fixture) relay(ts *testscript.TestScript, name string) *relay {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := f.relays[name]
	if r == nil {
		ts.Fatalf("no relay %q", name)
	}
	return r
}
