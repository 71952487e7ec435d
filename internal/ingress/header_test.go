package ingress

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"
)

// headerConn is a client's connection to a gated server with limits of headers.
type headerConn struct {
	net.Conn
	answers *bufio.Reader
}

// withHeaderLimits runs a test against a server with limits, which has a default timeout of one second.
func withHeaderLimits(t *testing.T, limits HeaderLimits, test func(t *testing.T, c headerConn)) {
	synctest.Test(t, func(t *testing.T) {
		room := testLimits
		room.MemoryBytes = 32 << 20 // for a header of the largest size
		g := serveGated(t, room, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok")) }))
		g.gate.Headers = func() HeaderLimits { return limits }
		client, server := net.Pipe()
		g.pipes.conns <- server
		test(t, headerConn{client, bufio.NewReader(client)})
		_ = client.Close()
		<-g.ended
		_ = g.pipes.Close()
	})
}

// send writes text and returns the status of the answer, 0 if the connection ends without one.
func (c headerConn) send(text string) int {
	go func() { _, _ = io.WriteString(c, text) }() // the server may close the connection
	res, err := http.ReadResponse(c.answers, nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, res.Body)
	return res.StatusCode
}

const headerStart, headerRest = "GET / HTTP/1.1\r\nHost: h\r\n", "X: y\r\n\r\n"

// Guards against limits of a configuration that are accepted and then not applied: the time of a header.
func TestHeaderTimeoutOfTheConfiguration(t *testing.T) {
	for _, c := range []struct{ limit, takes time.Duration }{{10 * time.Second, 5 * time.Second}, {200 * time.Millisecond, 100 * time.Millisecond}} {
		withHeaderLimits(t, HeaderLimits{Timeout: c.limit}, func(t *testing.T, client headerConn) {
			_, _ = io.WriteString(client, headerStart)
			time.Sleep(c.takes)
			if status := client.send(headerRest); status != http.StatusOK {
				t.Errorf("limit %v: a header that took %v: status %d", c.limit, c.takes, status)
			}
		})
		withHeaderLimits(t, HeaderLimits{Timeout: c.limit}, func(t *testing.T, client headerConn) {
			began := time.Now()
			if status := client.send(headerStart); status != 0 || time.Since(began) != c.limit {
				t.Errorf("limit %v: a header that stops: status %d after %v", c.limit, status, time.Since(began))
			}
		})
	}
}

// Guards against an idle timeout of a configuration that is not applied, in either direction.
func TestIdleTimeoutOfTheConfiguration(t *testing.T) {
	for _, limit := range []time.Duration{200 * time.Millisecond, time.Minute} {
		withHeaderLimits(t, HeaderLimits{Idle: limit}, func(t *testing.T, client headerConn) {
			for range 2 {
				if status := client.send(headerStart + headerRest); status != http.StatusOK {
					t.Errorf("limit %v: status %d", limit, status)
				}
				time.Sleep(limit / 2)
			}
			began := time.Now().Add(-limit / 2)
			if _, err := client.answers.ReadByte(); err == nil || time.Since(began) != limit {
				t.Errorf("limit %v: %v after %v", limit, err, time.Since(began))
			}
		})
	}
}

// Guards against a size of headers that is not applied, and against a larger one that is refused.
func TestHeaderSizeOfTheConfiguration(t *testing.T) {
	for _, c := range []struct {
		limit  int64
		size   int
		status int
	}{
		{0, 15 << 10, http.StatusOK}, {0, 30 << 10, http.StatusRequestHeaderFieldsTooLarge},
		{1 << 10, 6 << 10, http.StatusRequestHeaderFieldsTooLarge}, {40 << 10, 38 << 10, http.StatusOK},
		{1 << 20, 80 << 10, http.StatusRequestHeaderFieldsTooLarge},
	} {
		withHeaderLimits(t, HeaderLimits{MaxBytes: c.limit}, func(t *testing.T, client headerConn) {
			if status := client.send(headerStart + "Y: " + strings.Repeat("z", c.size) + "\r\n" + headerRest); status != c.status {
				t.Errorf("limit %d, header of %d bytes: status %d, want %d", c.limit, c.size, status, c.status)
			}
		})
	}
}

// Guards against memory of a next header that arrived with the request before it and is not charged: up to 4 KiB for each
// connection, which take 40 times as much once they are decoded.
func TestHeaderThatArrivedAheadIsCharged(t *testing.T) {
	const post = "POST / HTTP/1.1\r\nHost: h\r\n"
	next := headerStart + "Y: " + strings.Repeat("z", 2_000)
	for name, first := range map[string]string{
		"no body":           headerStart + headerRest,
		"lines of one byte": "GET / HTTP/1.1\nHost: h\n\n",
		"two requests":      headerStart + headerRest + headerStart + headerRest,
		"a body":            post + "Content-Length: 5\r\n\r\nhello",
		"chunks":            post + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
	} {
		for ahead, text := range map[string]string{"": first, "with the next header": first + next} {
			synctest.Test(t, func(t *testing.T) {
				g := serveGated(t, testLimits, http.HandlerFunc(readBody))
				client, server := net.Pipe()
				g.pipes.conns <- server
				answers := headerConn{client, bufio.NewReader(client)}
				if status := answers.send(text); status != http.StatusOK {
					t.Errorf("%s: status %d", name, status)
				}
				go func() { _, _ = io.Copy(io.Discard, answers.answers) }() // until the connection is closed
				synctest.Wait()
				used, least := g.gate.memory.Used(), int64(0)
				if ahead != "" {
					least = int64(len(next)) * headerFactor
				}
				if used < least || ahead == "" && used > 1<<10 {
					t.Errorf("%s %s: %d bytes charged, want at least %d", name, ahead, used, least)
				}
				_ = client.Close()
				<-g.ended
				if used := g.gate.memory.Used(); used != 0 {
					t.Errorf("%s %s: %d bytes stay charged", name, ahead, used)
				}
				_ = g.pipes.Close()
			})
		}
	}
}

// Guards against connections with TLS that count like others: their buffers would exceed what the limit of connections
// allows for.
func TestConnectionsWithTLSCountTwice(t *testing.T) {
	for first, want := range map[byte]int{'G': 10, tlsHandshake: 5} { // of 16, less 6 in reserve for other ports
		gate := New(testLimits, hclog.NewNullLogger(), tally.NoopScope)
		admitted := 0
		for range 2 * testLimits.Connections {
			_, server := net.Pipe()
			if c := gate.admit(server, API); c != nil {
				defer c.Close()
				if c.received([]byte{first}) == nil {
					admitted++
				}
			}
		}
		if admitted != want {
			t.Errorf("first byte %d: %d connections admitted, want %d", first, admitted, want)
		}
	}
}
