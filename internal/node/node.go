// Package node runs one process of the job service: an entry that takes requests and may be elected as the owner.
package node

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"
	"github.com/uber-go/tally/v4"

	"github.com/pollenford/pollenford/internal/advice"
	"github.com/pollenford/pollenford/internal/catalog"
	"github.com/pollenford/pollenford/internal/directory"
	"github.com/pollenford/pollenford/internal/entry"
	"github.com/pollenford/pollenford/internal/ingress"
	"github.com/pollenford/pollenford/internal/instances"
	"github.com/pollenford/pollenford/internal/jobs"
	"github.com/pollenford/pollenford/internal/leader"
	"github.com/pollenford/pollenford/internal/link"
	"github.com/pollenford/pollenford/internal/owner"
	"github.com/pollenford/pollenford/internal/topic"
	"github.com/pollenford/pollenford/internal/wait"
	"github.com/pollenford/pollenford/internal/workers"
)

// Config holds the settings and dependencies of a node.
type Config struct {
	Name string
	// Listen addresses, all IP:port.
	ClientAddress, ReadyAddress, PeerAddress, MetricsAddress string
	// ReadyPath is the HTTP path of the platform's readiness check.
	ReadyPath string
	Store     topic.Store
	Workers   workers.Client
	Control   instances.Control // nil if instances cannot be controlled
	Advice    advice.Adviser    // nil without an advice service
	Codec     directory.Codec
	Timing    owner.Timing
	// Grace is the time from the stop signal to the forced end of the process.
	Grace time.Duration
	// MaxRecordBytes and MaxAppendBytes are the store's limits for a record and for an append.
	MaxRecordBytes, MaxAppendBytes int
	Overload                       owner.OverloadPolicy
	MemoryMB                       int
	// Ingress bounds what clients occupy; the zero value sets defaults.
	Ingress ingress.Limits
	// Cores is the CPU limit of the process; 0 if it is unlimited.
	Cores float64
	// NewClientHandler returns the handler for client requests.
	NewClientHandler func(*entry.Entry) http.Handler
	// API configures the HTTP API; nil disables it.
	API *API
	// Metrics serves scrapes and Scope collects the metrics. LogLinesDropped returns the number of dropped log lines that
	// the log has not reported yet.
	Metrics         http.Handler
	Scope           tally.Scope
	LogLinesDropped func() int64
	// Reload is called on SIGHUP, when the settings may have changed.
	Reload func()
	Log    hclog.Logger
}

// API configures the HTTP API of a node.
type API struct {
	Address string // IP:port
	// NewHandler returns the handler. notReady returns why the node should receive no new connections, or "".
	NewHandler func(e *entry.Entry, notReady func() string) http.Handler
	// Serve serves HTTP on a listener, with TLS if configured.
	Serve func(*http.Server, net.Listener) error
}

// Timing of the process.
const (
	// unreadyTime is how long a stopping node still accepts connections: the platform needs two failed readiness checks,
	// one second apart.
	unreadyTime = 2200 * time.Millisecond
	// exitReserve is the part of Grace reserved for the exit of the process.
	exitReserve = 500 * time.Millisecond
	// headerTimeout and idleTimeout apply unless the configuration has other values.
	headerTimeout          = 3 * time.Second
	idleTimeout            = 15 * time.Second
	configPollTimeout      = 2 * time.Second
	reportInterval         = time.Second // of gauges, equal to the reporting interval of the metrics
	softMemoryLimitPercent = 60          // of MemoryMB, above which the garbage collector runs more often
	// ownerGCPercent trades memory, which the soft limit bounds, for processor time: at the default of 100 an owner with
	// hundreds of calls a second collects a heap of some tens of MB several times a second.
	ownerGCPercent = 300
	// fullSpeedCores is the CPU that the owner of the largest known deployment uses during a demand peak, in which a queue
	// asks for more than its pool holds for some seconds. The instances there have 0.2 to 0.8 cores.
	fullSpeedCores = 0.8
)

// node is the state of the running process.
type node struct {
	cfg        Config
	log        hclog.Logger
	entry      *entry.Entry
	elector    *leader.Elector
	localOwner atomic.Pointer[owner.Owner]
	stopping   atomic.Bool
	// evacuations is what the process knows of evacuated zones, also as the owner.
	evacuations *owner.Evacuations
	gate        *ingress.Gate
	peers       *link.Server
}

// Run serves until ctx ends, then resigns as the owner and completes the requests in flight.
func Run(ctx context.Context, cfg Config) error {
	if cfg.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(cfg.MemoryMB) << 20 * softMemoryLimitPercent / 100)
	}
	if cfg.Ingress == (ingress.Limits{}) {
		cfg.Ingress = ingress.DefaultLimits(cfg.MemoryMB, 0)
	}
	cfg.Ingress.WithoutAPI = cfg.API == nil
	cfg = guardClients(cfg)
	n := &node{
		cfg: cfg, log: cfg.Log, evacuations: owner.NewEvacuations(cfg.Timing.EvacuationBound, cfg.Log),
		gate: ingress.New(cfg.Ingress, cfg.Log.Named("ingress"), cfg.Scope.SubScope("ingress")),
	}
	nodeCtx, stopNode := context.WithCancel(context.WithoutCancel(ctx))
	defer stopNode()
	n.elector = &leader.Elector{
		Store: cfg.Store, Log: cfg.Log.Named("leader"), Serve: n.serveAsOwner,
		Self:                leader.Owner{Name: cfg.Name, Incarnation: uuid.NewString(), Address: cfg.PeerAddress},
		CampaignDelayFactor: campaignDelayFactor(cfg.Cores),
		Eligible:            n.eligible,
	}
	n.gate.Headers = n.headerLimits
	n.peers = &link.Server{
		Incarnation: n.elector.Self.Incarnation, Owner: n.localService, Catalog: func() *catalog.Catalog { return n.entry.Catalog() },
		Log: cfg.Log.Named("link"), Ingress: n.gate}
	n.entry = &entry.Entry{
		MemoryMB: cfg.MemoryMB, Elector: n.elector, LocalOwner: n.localService, DecodeCatalog: n.decodeCatalog, Log: cfg.Log.Named("entry")}

	servers := n.servers()
	if err := n.start(servers); err != nil {
		return err
	}
	n.log.Info("node started", "node", cfg.Name, "client_address", cfg.ClientAddress, "peer_address", cfg.PeerAddress,
		"client_connections", cfg.Ingress.Connections, "client_memory", cfg.Ingress.MemoryBytes)
	go n.followCatalog(nodeCtx)
	go n.entry.Connect(nodeCtx)
	go n.watchReloadSignal(nodeCtx)
	go n.reportState(nodeCtx)
	var election sync.WaitGroup
	election.Go(func() { n.elector.Run(nodeCtx) })

	<-ctx.Done()
	n.log.Info("node stopping", "grace", cfg.Grace)
	n.stopping.Store(true)
	n.elector.Resign()
	n.shutDown(servers)
	stopNode()
	election.Wait()
	n.log.Info("node stopped")
	return nil
}

// headerLimits returns the limits of headers by the active configuration.
func (n *node) headerLimits() ingress.HeaderLimits {
	c := n.entry.Catalog()
	if c == nil {
		return ingress.HeaderLimits{}
	}
	return ingress.HeaderLimits{MaxBytes: int64(c.Limits.MaxHeaderBytes), Timeout: c.Limits.HeaderTimeout, Idle: c.Limits.IdleTimeout}
}

// eligible reports whether the instance may become the owner: it has a configuration, also if another instance sent it,
// and has read the operators' requests.
func (n *node) eligible() bool { return n.entry.Catalog() != nil && n.evacuations.Known() }

// campaignDelayFactor returns the election handicap of an instance by its CPU limit: 0 from fullSpeedCores on or
// without a limit.
func campaignDelayFactor(cores float64) float64 {
	if cores == 0 {
		return 0
	}
	return min(1, max(0, (fullSpeedCores-cores)/fullSpeedCores))
}

// shutDown accepts connections until the platform has detected that the node is not ready, then completes the requests
// in flight.
func (n *node) shutDown(servers []server) {
	shutdownCtx, stop := context.WithTimeout(context.Background(), n.cfg.Grace-exitReserve)
	defer stop()
	wait.For(shutdownCtx, unreadyTime)
	var shutdowns sync.WaitGroup
	for _, s := range servers {
		if s.graceful {
			shutdowns.Go(func() {
				if err := s.Shutdown(shutdownCtx); err != nil {
					n.log.Warn("requests aborted at the end of the grace period", "address", s.address, "err", err)
				}
			})
		}
	}
	shutdowns.Wait()
}

// localService returns the service if this process is the owner, or nil.
func (n *node) localService() jobs.Service {
	if o := n.localOwner.Load(); o != nil {
		return o
	}
	return nil
}

func (n *node) decodeCatalog(document []byte) (*catalog.Catalog, error) {
	decoded, err := n.cfg.Codec.DecodeOperator(topic.Record{Key: n.cfg.Codec.ConfigKey(), Value: document})
	return decoded.Catalog, err
}

func (n *node) serveAsOwner(ctx context.Context, term *leader.Term) error {
	defer debug.SetGCPercent(debug.SetGCPercent(ownerGCPercent))
	o := owner.New(ctx, owner.Config{
		Store: n.cfg.Store, Workers: n.cfg.Workers, Control: n.cfg.Control, Advice: n.cfg.Advice,
		Codec: n.cfg.Codec, Evacuations: n.evacuations,
		Catalog: n.entry.Catalog, OnCatalog: n.entry.SetCatalog, Name: n.cfg.Name, Timing: n.cfg.Timing,
		MemoryMB: n.cfg.MemoryMB, SmallestEntryMB: n.peers.SmallestMB,
		MaxRecordBytes: n.cfg.MaxRecordBytes, MaxAppendBytes: n.cfg.MaxAppendBytes, Overload: n.cfg.Overload,
		Scope: n.cfg.Scope.SubScope("owner"), Log: n.cfg.Log.Named("owner"),
	}, term)
	if err := o.Recover(); err != nil {
		return err
	}
	n.localOwner.Store(o)
	defer n.localOwner.Store(nil)
	return o.Run()
}

// server is one of the node's HTTP servers.
type server struct {
	*http.Server
	address string
	port    ingress.Port
	// graceful reports whether its requests are completed before the process ends.
	graceful bool
	serve    func(*http.Server, net.Listener) error
}

// start listens on all addresses, then serves.
func (n *node) start(servers []server) error {
	listeners := make([]net.Listener, len(servers))
	for i, s := range servers {
		var err error
		if listeners[i], err = n.gate.Listen(s.address, s.port); err != nil {
			return errors.Annotate(err, "listening")
		}
	}
	for i, s := range servers {
		go func() {
			if err := s.serve(s.Server, listeners[i]); !errors.Is(err, http.ErrServerClosed) {
				n.log.Error("HTTP server stopped unexpectedly", "address", s.address, "err", err)
			}
		}()
	}
	return nil
}

// notReady returns why the node should receive no new connections, or "".
func (n *node) notReady() string {
	switch {
	case n.stopping.Load():
		return "stopping"
	case n.entry.Catalog() == nil:
		return "no configuration has arrived yet"
	}
	return ""
}

func (n *node) servers() []server {
	ready := http.NewServeMux()
	ready.HandleFunc(n.cfg.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if n.notReady() != "" {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	peers := http.NewServeMux()
	peers.Handle(link.Path, n.peers)
	serve := func(s *http.Server, l net.Listener) error { return s.Serve(l) }
	list := []server{
		{n.httpServer(ingress.Clients, n.closeWhileStopping(n.cfg.NewClientHandler(n.entry))), n.cfg.ClientAddress, ingress.Clients, true, serve},
		{n.httpServer(ingress.Ready, ready), n.cfg.ReadyAddress, ingress.Ready, false, serve},
		{n.httpServer(ingress.Peers, peers), n.cfg.PeerAddress, ingress.Peers, false, serve},
		{n.httpServer(ingress.Metrics, n.cfg.Metrics), n.cfg.MetricsAddress, ingress.Metrics, false, serve},
	}
	if api := n.cfg.API; api != nil {
		s := n.httpServer(ingress.API, n.closeWhileStopping(api.NewHandler(n.entry, n.notReady)))
		list = append(list, server{s, api.Address, ingress.API, true, api.Serve})
	}
	return list
}

// closeWhileStopping makes the responses of a stopping node end their connections. A shutdown closes idle connections
// without notice, and a request that is sent at that moment gets no response.
func (n *node) closeWhileStopping(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

func (n *node) httpServer(port ingress.Port, handler http.Handler) *http.Server {
	return &http.Server{
		Handler: n.gate.Handler(port, handler), ConnContext: ingress.ConnContext, HTTP2: ingress.HTTP2(), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: ingress.ServerHeaderBytes(port),
		ErrorLog: n.cfg.Log.Named("http").StandardLogger(&hclog.StandardLoggerOptions{InferLevels: true}),
	}
}

// followCatalog applies configurations from the operator topic to the entry until ctx ends.
func (n *node) followCatalog(ctx context.Context) {
	wasEligible := false
	applyConfig := func(records []topic.Record) {
		for _, r := range records {
			decoded, err := n.cfg.Codec.DecodeOperator(r)
			switch {
			case err != nil:
				n.log.Warn("malformed operator record skipped", "key", r.Key, "offset", r.Offset, "err", err)
			case decoded.Catalog != nil:
				n.entry.SetCatalog(decoded.Catalog)
			}
		}
		if eligible := n.eligible(); eligible && !wasEligible {
			wasEligible = true
			n.elector.Wake()
		}
	}
	f := &topic.Follower{
		Store: n.evacuations.Reader(n.cfg.Store, n.cfg.Codec), Topic: n.cfg.Codec.OperatorTopic(), PollTimeout: configPollTimeout,
		Log: n.log, OnSnapshot: applyConfig,
		OnRecords: func(records []topic.Record, _ int64) { applyConfig(records) },
		OnError:   func(err error) { n.log.Debug("reading the operator topic failed", "err", err) },
	}
	f.Run(ctx)
}

// reportState updates the gauges of the process until ctx ends.
func (n *node) reportState(ctx context.Context) {
	for {
		version := int64(0)
		if c := n.entry.Catalog(); c != nil {
			version = c.Version
		}
		owner, _ := n.elector.Current()
		isOwner := 0.0
		if n.localOwner.Load() != nil {
			isOwner = 1
		}
		n.cfg.Scope.Gauge("config_version").Update(float64(version))
		n.cfg.Scope.Gauge("owner_fence").Update(float64(owner.Fence))
		n.cfg.Scope.Gauge("is_owner").Update(isOwner)
		n.gate.Report()
		n.cfg.Scope.Gauge("log_lines_dropped").Update(float64(n.cfg.LogLinesDropped()))
		if !wait.For(ctx, reportInterval) {
			return
		}
	}
}

// watchReloadSignal calls Reload on every SIGHUP until ctx ends.
func (n *node) watchReloadSignal(ctx context.Context) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	for {
		select {
		case <-hup:
			n.cfg.Reload()
		case <-ctx.Done():
			return
		}
	}
}
