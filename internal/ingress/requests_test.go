package ingress

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"
)

// pipes is a listener without a network.
type pipes struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func (p *pipes) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

func (p *pipes) Close() error {
	p.once.Do(func() { close(p.closed) })
	return nil
}

func (p *pipes) Addr() net.Addr { return &net.UnixAddr{Name: "pipe"} }

// gated serves a handler behind a gate without a network.
type gated struct {
	gate  *Gate
	pipes *pipes
	ended chan struct{} // receives a value for each connection that the server has closed
}

func serveGated(t testing.TB, limits Limits, handler http.Handler) *gated {
	g := &gated{New(limits, hclog.NewNullLogger(), tally.NoopScope), &pipes{conns: make(chan net.Conn), closed: make(chan struct{})},
		make(chan struct{}, 1)}
	server := &http.Server{
		Handler: g.gate.Handler(Clients, handler), ConnContext: ConnContext, ReadHeaderTimeout: time.Second, MaxHeaderBytes: ServerHeaderBytes(Clients),
		ErrorLog: hclog.NewNullLogger().StandardLogger(nil),
		ConnState: func(_ net.Conn, s http.ConnState) {
			if s == http.StateClosed {
				g.ended <- struct{}{}
			}
		},
	}
	go func() { _ = server.Serve(&listener{g.pipes, g.gate, Clients}) }()
	t.Cleanup(func() { _ = server.Close() })
	return g
}

// send writes data on a new connection, closes it, and returns what was answered until then.
func (g *gated) send(data string) string {
	client, server := net.Pipe()
	g.pipes.conns <- server
	answer := make(chan string)
	go func() {
		text, _ := io.ReadAll(client) // ends with an error once the connection is closed
		answer <- string(text)
	}()
	_, _ = io.WriteString(client, data) // the server may have closed it
	_ = client.Close()
	<-g.ended
	return <-answer
}

func readBody(w http.ResponseWriter, r *http.Request) {
	data, err := ReadAll(w, r, 64<<10)
	if err == nil {
		err = ChargeDecoding(r, int64(len(data))*10)
	}
	if err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	Settle(r, int64(len(data)))
	_, _ = w.Write(data) // the client may be gone
}

var testLimits = Limits{
	MemoryBytes: 4 << 20, Connections: 16, AnswerStall: time.Second,
	Body: Pace{MinBytes: 1024, Window: time.Second, Limit: 5 * time.Second},
}

// Guards against memory or connections that stay charged after a request of any framing, well-formed or not, and against
// bodies that are changed on the way.
func FuzzRequestsReturnWhatTheyHold(f *testing.F) {
	const post = "POST / HTTP/1.1\r\nHost: h\r\n"
	for _, seed := range []string{
		post + "Content-Length: 5\r\n\r\nhello", post + "Content-Length: 500\r\n\r\nhello",
		post + "Content-Length: 99999999999\r\n\r\nhello",
		post + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
		post + "Transfer-Encoding: chunked\r\n\r\n1;e=" + strings.Repeat("x", 300) + "\r\nh\r\n0\r\nTrailer: x\r\n\r\n",
		post + "Transfer-Encoding: chunked\r\n\r\nfffffffffffffffff\r\nhello",
		post + "Transfer-Encoding: chunked\r\n\r\n5\r\nhel", post + "X: " + strings.Repeat("y", 9000),
		post + "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n1\r\nh\r\n0\r\n\r\n",
		post + "Expect: 100-continue\r\nContent-Length: 5\r\n\r\nhello", "GET / HTTP/1.0\r\n\r\n",
		post + "Content-Length: 1\n\na" + post + "X: " + strings.Repeat("y", 3000),
		"GET / HTTP/1.1\r\nHost: h\r\n\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\nGET / HTTP/1.1\r\nX: y",
		post + "Content-Length: 1\r\n\r\na" + post + "Content-Length: 1\r\n\r\nb", "\x16\x03\x01", "",
	} {
		f.Add(seed)
	}
	g := serveGated(f, testLimits, http.HandlerFunc(readBody))
	f.Fuzz(func(t *testing.T, data string) {
		g.send(data)
		if memory, conns := g.gate.memory.Used(), g.gate.conns.Used(); memory != 0 || conns != 0 {
			t.Errorf("%d bytes and %d connections stay charged", memory, conns)
		}
	})
}

// Guards against bodies that are cut or changed by the reader that charges them.
func TestBodiesArriveUnchanged(t *testing.T) {
	g := serveGated(t, testLimits, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		data, err := ReadAll(w, r, 64<<10)
		if want := strings.Repeat("0123456789", 5000); err != nil || string(data) != want {
			t.Errorf("%d bytes, %v", len(data), err)
		}
	}))
	body := strings.Repeat("0123456789", 5000)
	g.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 50000\r\n\r\n" + body)
	g.send("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nc350\r\n" + body + "\r\n0\r\n\r\n")
}
