package link

import (
	"bytes"
	"context"
	"net"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"

	"github.com/pollenford/pollenford/internal/catalog"
	"github.com/pollenford/pollenford/internal/jobs"
	"github.com/pollenford/pollenford/internal/workload"
)

// thinLink forwards connections to an address at the bandwidth of the thinnest machine in each direction, with the small
// windows of its network.
func thinLink(t *testing.T, target string) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			near, err := listener.Accept()
			if err != nil {
				return
			}
			far, err := net.Dial("tcp", target)
			if err != nil {
				_ = near.Close()
				continue
			}
			go forward(far, near)
			go forward(near, far)
		}
	}()
	return listener.Addr().String()
}

// forward copies one direction of a connection.
func forward(to, from net.Conn) {
	const (
		bytesPerSecond = 10_000_000 / 8
		chunk          = 8 << 10
		window         = 64 << 10
	)
	defer to.Close()
	defer from.Close()
	for _, c := range []net.Conn{to, from} {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetReadBuffer(window) // a hint to the kernel
			_ = tcp.SetWriteBuffer(window)
		}
	}
	buffer := make([]byte, chunk)
	next := time.Now()
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			if now := time.Now(); next.Before(now) {
				next = now
			}
			next = next.Add(time.Duration(n) * time.Second / bytesPerSecond)
			time.Sleep(time.Until(next))
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// connectThin returns a client connected over a thin link to an owner that accepts every job, with configuration version 2
// in a document of the given size.
func connectThin(t *testing.T, documentBytes int, onNewerConfig func([]byte), onLost func()) *Client {
	t.Helper()
	current := catalog.New(2, nil, nil, nil, catalog.HTTPLimits{})
	current.Document = bytes.Repeat([]byte("d"), documentBytes)
	server := httptest.NewServer(&Server{
		Incarnation: "one", Owner: func() jobs.Service { return &acceptingService{} },
		Catalog: func() *catalog.Catalog { return current }, Log: hclog.NewNullLogger(),
	})
	t.Cleanup(server.Close)
	client, err := Dial(t.Context(), thinLink(t, strings.TrimPrefix(server.URL, "http://")), "one", 0, onNewerConfig, onLost)
	if err != nil {
		t.Fatal(err)
	}
	return client
}

// Guards against a connection to the owner that is given up, with the calls on it, because large messages take longer on a
// thin link than the limits of small ones: jobs of the largest body one way, the newest configuration the other way.
func TestLargeMessagesOnAThinLink(t *testing.T) {
	const (
		calls = 16
		size  = 250_000 // of a job, and of the configuration: 3.2 s of the link together
	)
	for name, c := range map[string]struct {
		version int64 // of the calls; the owner has 2
		want    error
	}{
		"jobs":           {version: 2},
		"configurations": {version: 1, want: jobs.ErrStaleConfig},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var lost atomic.Bool
			client := connectThin(t, size, func([]byte) {}, func() { lost.Store(true) })
			job := &workload.Job{ID: "a"}
			if c.want == nil {
				job.Spec = strings.Repeat("s", size)
			}
			var all sync.WaitGroup
			for range calls {
				all.Go(func() {
					if err := client.AtVersion(c.version).Submit(t.Context(), job); !errors.Is(err, c.want) {
						t.Errorf("%v, want %v", err, c.want)
					}
				})
			}
			all.Wait()
			if lost.Load() || client.Silent() {
				t.Errorf("connection lost %v, owner counts as silent %v", lost.Load(), client.Silent())
			}
		})
	}
}

// Guards against an entry that never gets the newest configuration because the call whose response carried it had ended before it
// arrived: a connection carries the document once, and the error of a later call says that it is there.
func TestDocumentArrivesAfterItsCallHasEnded(t *testing.T) {
	const size = 250_000 // 0.2 s of the link
	var received atomic.Int64
	client := connectThin(t, size, func(document []byte) { received.Add(int64(len(document))) }, func() {})
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if err := client.AtVersion(1).Submit(ctx, &workload.Job{ID: "a"}); !errors.Is(err, jobs.ErrOutcomeUnknown) {
		t.Fatalf("the call got its answer: %v", err)
	}
	if err := client.AtVersion(1).Submit(t.Context(), &workload.Job{ID: "a"}); !errors.Is(err, jobs.ErrStaleConfig) {
		t.Errorf("%v, want %v", err, jobs.ErrStaleConfig)
	}
	if n := received.Load(); n != size {
		t.Errorf("%d bytes of the document were received by the time of that error, want %d", n, size)
	}
}

// acceptingService accepts every job.
type acceptingService struct{ service }

func (s *acceptingService) Submit(_ context.Context, _ *workload.Job) error { return nil }
