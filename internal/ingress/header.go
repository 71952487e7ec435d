package ingress

import (
	"net/http"
	"time"
)

// HeaderLimits bounds the headers of requests. Zero values leave the defaults, which the server of the port sets.
type HeaderLimits struct {
	// MaxBytes is the size of a header, at most ServerHeaderBytes.
	MaxBytes int64
	// Timeout is the time from the first byte of a header, or from the connection, to its end; Idle the time from an answer to
	// the next header.
	Timeout, Idle time.Duration
}

const (
	// maxClientHeaderBytes is the largest header that may be allowed on the clients' port.
	maxClientHeaderBytes = 64 << 10
	// defaultHeaderBytes applies without a limit, and bounds the limit of other ports: with TLS the end of a header is not
	// visible, so that a larger one could not be charged in full.
	defaultHeaderBytes = 16 << 10
	// headerSlack is what net/http allows beyond a limit.
	headerSlack = 4 << 10
	// fieldSeparators are a colon, a space and the end of a line.
	fieldSeparators = 4
)

// ServerHeaderBytes returns the largest header that the server of a port must read.
func ServerHeaderBytes(port Port) int {
	if port == Clients {
		return maxClientHeaderBytes
	}
	return defaultHeaderBytes
}

// headerLimits returns the limits of a port. Only callers from outside are subject to the configuration.
func (g *Gate) headerLimits(port Port) HeaderLimits {
	if g.Headers == nil || port != Clients && port != API {
		return HeaderLimits{}
	}
	return g.Headers()
}

// headerTooLarge reports whether the header of a request exceeds the limit of its port.
func (g *Gate) headerTooLarge(port Port, r *http.Request) bool {
	n := int64(len(r.Method) + len(r.RequestURI) + len(r.Proto) + fieldSeparators + len("Host: ") + len(r.Host))
	for name, values := range r.Header {
		for _, v := range values {
			n += int64(len(name) + len(v) + fieldSeparators)
		}
	}
	return n > g.maxHeaderBytes(port)+headerSlack
}

// maxHeaderBytes returns the limit of a header on a port.
func (g *Gate) maxHeaderBytes(port Port) int64 {
	if limit := g.headerLimits(port).MaxBytes; limit > 0 {
		return min(limit, int64(ServerHeaderBytes(port)))
	}
	return defaultHeaderBytes
}

// headerDeadline returns when the header that is being read, or the first byte of the next one, must have arrived; zero
// without a limit, during a request, and with HTTP/2, whose frames are not headers.
func (c *conn) headerDeadline() time.Time {
	limits := c.gate.headerLimits(c.port)
	if limits == (HeaderLimits{}) {
		return time.Time{}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.requests > 0 || c.http2:
		return time.Time{}
	case c.answered && (c.header == 0 || c.ahead):
		return deadlineAfter(c.waitingSince, limits.Idle)
	}
	return deadlineAfter(c.waitingSince, limits.Timeout)
}

func deadlineAfter(start time.Time, limit time.Duration) time.Time {
	if limit <= 0 {
		return time.Time{}
	}
	return start.Add(limit)
}
