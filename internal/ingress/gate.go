package ingress

import (
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"
	"github.com/uber-go/tally/v4"

	"github.com/pollenford/pollenford/internal/logs"
)

// Port is a kind of listener.
type Port int

// The ports of a node.
const (
	Clients Port = iota
	API
	Peers
	Metrics
	Ready
	portCount
)

var portNames = [portCount]string{"clients", "api", "peers", "metrics", "readiness"}

func (p Port) String() string { return portNames[p] }

// Parts of the memory account.
const (
	small   = iota // headers, and bodies and answers of at most smallBytes
	large          // other bodies and answers
	decoded        // bodies that are being decoded, and what remains of them
	peers          // messages from other entries
	scrapes        // answers of the metrics port
	partCount
)

// What requests occupy beside their bodies.
const (
	// smallBytes is the size of an ordinary request: a job of a few steps.
	smallBytes = 8 << 10
	// smallHeaderBytes is more than the header of an ordinary request.
	smallHeaderBytes = 2 << 10
	// headerFactor is how much memory each byte of a header may take once it is decoded: a field of five bytes takes some
	// 200 in the map of net/http.
	headerFactor = 40
	// fieldBytes and requestBytes are what a header field and a request in progress take.
	fieldBytes, requestBytes = 200, 2 << 10
	// decodedFactor is how much memory a byte of a body takes while it is read and decoded by a handler that does not use
	// ReadAll: the buffers of the decoder and the value.
	decodedFactor = 4
	// scrapeBytes is what an answer of the metrics port takes, with its encoder.
	scrapeBytes = 256 << 10
	// drainBytes is how much of a body that its handler did not read is received to keep the connection, as in net/http.
	drainBytes = 256 << 10
)

// How long without progress a holder must be before others may have its place. A transfer that shares the thinnest link
// with all bodies that the account holds advances several times within stallPatience.
const (
	stallPatience = 500 * time.Millisecond
	idlePatience  = time.Second
	// peerPatience is ten times the interval of an entry's pings.
	peerPatience   = 5 * time.Second
	scrapePatience = 2 * time.Second
)

// Waiting for room in a full account. Bodies wait without being read; those that have waited for stallPatience give way to
// others.
const (
	roomTimeout  = time.Second
	roomInterval = 20 * time.Millisecond
	// maxWaiting bounds how many wait, since each looks for room in every interval.
	maxWaiting = 32
)

// Limits bounds what clients occupy.
type Limits struct {
	MemoryBytes int64
	Connections int64
	// WithoutAPI is set if the process does not serve the API port, which then has no connections in reserve.
	WithoutAPI bool
	// Body is the progress of bodies and of messages.
	Body Pace
	// AnswerStall is how long a client may read nothing of an answer.
	AnswerStall time.Duration
}

// Gate applies limits to the listeners of a process.
type Gate struct {
	// Headers returns the limits of headers by the active configuration. Set it before the first listener; nil leaves the
	// defaults.
	Headers func() HeaderLimits
	limits  Limits
	memory  *Account
	conns   *Account
	log     hclog.Logger
	scope   tally.Scope
	refused logs.Summary
	waiting atomic.Int64
	// lastFull is when a connection of each port was last refused because of the bound, in Unix nanoseconds.
	lastFull [portCount]atomic.Int64
}

// New returns a gate.
func New(limits Limits, log hclog.Logger, scope tally.Scope) *Gate {
	m, c := limits.MemoryBytes, limits.Connections
	api := Part{Reserved: c / 8, Max: c * 3 / 4}
	if limits.WithoutAPI {
		api.Reserved = 0
	}
	return &Gate{
		limits: limits, log: log, scope: scope,
		memory: NewAccount(m,
			Part{Reserved: m / 8, Max: m * 3 / 4},
			Part{Reserved: m / 8, Max: m / 2},
			Part{Reserved: m / 4, Max: m / 2},
			Part{Reserved: m / 8, Max: m / 2},
			Part{Reserved: m / 32, Max: max(m/8, scrapeBytes)}),
		conns: NewAccount(c,
			Part{Reserved: c / 4, Max: c}, api,
			Part{Reserved: c / 8, Max: max(c/8, 4)}, Part{Reserved: c / 32, Max: max(c/32, 2)}, Part{Reserved: c / 32, Max: max(c/32, 2)}),
	}
}

// room charges units, and waits for room if there is none. A holder with patience may be evicted meanwhile.
func (g *Gate) room(h *Holder, part int, units int64) error {
	deadline := time.Now().Add(roomTimeout)
	err := h.ChargeIn(part, units, time.Now())
	if !errors.Is(err, ErrFull) {
		return err
	}
	defer g.waiting.Add(-1)
	if g.waiting.Add(1) > maxWaiting {
		return err
	}
	for errors.Is(err, ErrFull) && time.Now().Before(deadline) {
		time.Sleep(roomInterval)
		err = h.ChargeIn(part, units, time.Now())
	}
	return err
}

// fullPeriod is how long after a refused connection answers end theirs.
const fullPeriod = time.Second

// full reports whether connections of a port were refused lately. Its answers then end their connections: a client that sends one request
// after another without a pause would otherwise keep its place from all others.
func (g *Gate) full(port Port, now time.Time) bool {
	return now.UnixNano()-g.lastFull[port].Load() < int64(fullPeriod)
}

// Report updates the gauges.
func (g *Gate) Report() {
	g.scope.Gauge("connections").Update(float64(g.conns.Used()))
	g.scope.Gauge("memory_bytes").Update(float64(g.memory.Used()))
}

// refuse counts a connection that is closed or a request that is refused, and logs it at most once a second.
func (g *Gate) refuse(port Port, address, reason string) {
	g.scope.Tagged(map[string]string{"port": port.String(), "reason": reason}).Counter("refused").Inc(1)
	if n, ok := g.refused.Note("", time.Now()); ok {
		g.log.Warn("client refused", "port", port.String(), "address", address, "reason", reason, "since_last_line", n)
	}
}
