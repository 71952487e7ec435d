// Package node runs one process of the job service: an entry for clients that may become the owner.
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
	"github.com/pollenford/pollenford/internal/instances"
	"github.com/pollenford/pollenford/internal/jobs"
	"github.com/pollenford/pollenford/internal/leader"
	"github.com/pollenford/pollenford/internal/link"
	"github.com/pollenford/pollenford/internal/owner"
	"github.com/pollenford/pollenford/internal/topic"
	"github.com/pollenford/pollenford/internal/wait"
	"github.com/pollenford/pollenford/internal/workers"
)

// Config is what a node works with.
type Config struct {
	Name string
	// Listen addresses, all IP:port.
	ClientAddress, ReadyAddress, PeerAddress, MetricsAddress string
	// ReadyPath is where the platform asks whether the node takes connections.
	ReadyPath string
	Store     topic.Store
	Workers   workers.Client
	Control   instances.Control // nil where instances cannot be controlled
	Advice    advice.Adviser    // nil where there is none
	Codec     directory.Codec
	Timing    owner.Timing
	// Grace is the time between the signal to stop and the end of the process.
	Grace time.Duration
	// MaxRecordBytes and MaxAppendBytes bound a record and an append of the store.
	MaxRecordBytes, MaxAppendBytes int
	MemoryMB                       int
	// Cores is the processor that the process may use; 0 if it is not limited.
	Cores float64
	// NewClientHandler makes the handler for clients.
	NewClientHandler func(*entry.Entry) http.Handler
	// API serves the own API; nil switches it off.
	API *API
	// Metrics serves scrapes, Scope takes counters and histograms; LogLinesDropped counts lines not yet reported.
	Metrics         http.Handler
	Scope           tally.Scope
	LogLinesDropped func() int64
	// Reload is called when the settings may have changed.
	Reload func()
	Log    hclog.Logger
}

// API is the own API of a node.
type API struct {
	Address string // IP:port
	// NewHandler makes the handler. notReady returns why the node should get no new connections, or "".
	NewHandler func(e *entry.Entry, notReady func() string) http.Handler
	// Serve serves a listener, with TLS if it is configured.
	Serve func(*http.Server, net.Listener) error
}

// Timing of the process.
const (
	// leaveTime is how long a stopping node still accepts connections: two failed readiness checks, a second apart.
	leaveTime = 2200 * time.Millisecond
	// exitReserve is left of the grace for the end of the process.
	exitReserve = 500 * time.Millisecond
	// headerTimeout and idleTimeout apply until a configuration gives its own.
	headerTimeout = 3 * time.Second
	idleTimeout   = 15 * time.Second
	// bodyTimeout ends requests of the own API whose body does not arrive.
	bodyTimeout    = 10 * time.Second
	configWait     = 2 * time.Second
	reportEvery    = time.Second // the time between two updates of gauges, as often as metrics are reported
	memoryPercent  = 60          // of the memory limit, from which the garbage collector works harder
	maxHeaderBytes = 16 << 10
	// ampleCores is what an owner of the largest known deployment uses in a turn; its instances have 0.2 to 0.8.
	ampleCores = 0.8
)

// node is a running process.
type node struct {
	cfg      Config
	log      hclog.Logger
	entry    *entry.Entry
	elector  *leader.Elector
	current  atomic.Pointer[owner.Owner]
	stopping atomic.Bool
}

// Run serves until ctx ends, then hands over and finishes what is in hand.
func Run(ctx context.Context, cfg Config) error {
	if cfg.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(cfg.MemoryMB) << 20 * memoryPercent / 100)
	}
	n := &node{cfg: cfg, log: cfg.Log}
	life, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	n.elector = &leader.Elector{
		Store: cfg.Store, Log: cfg.Log.Named("leader"), Serve: n.serveAsOwner,
		Self:                leader.Owner{Name: cfg.Name, Incarnation: uuid.NewString(), Address: cfg.PeerAddress},
		CampaignDelayFactor: weakness(cfg.Cores),
		Eligible:            func() bool { return n.entry.Catalog() != nil },
	}
	n.entry = &entry.Entry{Elector: n.elector, LocalOwner: n.local, DecodeCatalog: n.decodeCatalog, Log: cfg.Log.Named("entry")}

	servers := n.servers()
	if err := n.start(servers); err != nil {
		return err
	}
	n.log.Info("started", "node", cfg.Name, "client_address", cfg.ClientAddress, "peer_address", cfg.PeerAddress)
	go n.followCatalog(life)
	go n.entry.Connect(life)
	go n.watchReload(life)
	go n.reportState(life)
	var election sync.WaitGroup
	election.Go(func() { n.elector.Run(life) })

	<-ctx.Done()
	n.log.Info("stopping", "grace", cfg.Grace)
	n.stopping.Store(true)
	n.elector.Resign()
	n.finish(servers)
	end()
	election.Wait()
	n.log.Info("stopped")
	return nil
}

// weakness tells how an instance compares as the owner: with ample processor it is as good as any.
func weakness(cores float64) float64 {
	if cores == 0 {
		return 0
	}
	return min(1, max(0, (ampleCores-cores)/ampleCores))
}

// finish takes new connections until the platform has noticed, then completes what is in hand.
func (n *node) finish(servers []server) {
	deadline, stop := context.WithTimeout(context.Background(), n.cfg.Grace-exitReserve)
	defer stop()
	wait.For(deadline, leaveTime)
	var ending sync.WaitGroup
	for _, s := range servers {
		if s.clients {
			ending.Go(func() {
				if err := s.Shutdown(deadline); err != nil {
					n.log.Warn("requests were cut at the end of the grace", "address", s.address, "err", err)
				}
			})
		}
	}
	ending.Wait()
}

// local returns the service of the owner in this process, or nil.
func (n *node) local() jobs.Service {
	if o := n.current.Load(); o != nil {
		return o
	}
	return nil
}

func (n *node) decodeCatalog(document []byte) (*catalog.Catalog, error) {
	decoded, err := n.cfg.Codec.DecodeOperator(topic.Record{Key: n.cfg.Codec.ConfigKey(), Value: document})
	return decoded.Catalog, err
}

func (n *node) serveAsOwner(ctx context.Context, term *leader.Term) error {
	o := owner.New(ctx, owner.Config{
		Store: n.cfg.Store, Workers: n.cfg.Workers, Control: n.cfg.Control, Advice: n.cfg.Advice,
		Codec:   n.cfg.Codec,
		Catalog: n.entry.Catalog, OnCatalog: n.entry.SetCatalog, Name: n.cfg.Name, Timing: n.cfg.Timing,
		MaxRecordBytes: n.cfg.MaxRecordBytes, MaxAppendBytes: n.cfg.MaxAppendBytes, Scope: n.cfg.Scope.SubScope("owner"), Log: n.cfg.Log.Named("owner"),
	}, term)
	if err := o.Recover(); err != nil {
		return err
	}
	n.current.Store(o)
	defer n.current.Store(nil)
	return o.Run()
}

// server is one of the node's HTTP servers.
type server struct {
	*http.Server
	address string
	// clients tells that its requests are completed before the process ends.
	clients bool
	serve   func(*http.Server, net.Listener) error
}

// start listens on all addresses, then serves.
func (n *node) start(servers []server) error {
	listeners := make([]net.Listener, len(servers))
	for i, s := range servers {
		var err error
		if listeners[i], err = net.Listen("tcp", s.address); err != nil {
			return errors.Annotate(err, "listening")
		}
	}
	for i, s := range servers {
		go func() {
			if err := s.serve(s.Server, listeners[i]); !errors.Is(err, http.ErrServerClosed) {
				n.log.Error("server ended", "address", s.address, "err", err)
			}
		}()
	}
	return nil
}

// notReady returns why the node should get no new connections, or "".
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
	peers.Handle(link.Path, &link.Server{Incarnation: n.elector.Self.Incarnation, Owner: n.local, Catalog: n.entry.Catalog, Log: n.cfg.Log.Named("link")})
	plain := func(s *http.Server, l net.Listener) error { return s.Serve(l) }
	list := []server{
		{n.httpServer(n.cfg.NewClientHandler(n.entry)), n.cfg.ClientAddress, true, plain},
		{n.httpServer(ready), n.cfg.ReadyAddress, false, plain},
		{n.httpServer(peers), n.cfg.PeerAddress, false, plain},
		{n.httpServer(n.cfg.Metrics), n.cfg.MetricsAddress, false, plain},
	}
	if api := n.cfg.API; api != nil {
		s := n.httpServer(api.NewHandler(n.entry, n.notReady))
		s.ReadTimeout = bodyTimeout
		list = append(list, server{s, api.Address, true, api.Serve})
	}
	return list
}

func (n *node) httpServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: n.cfg.Log.Named("http").StandardLogger(&hclog.StandardLoggerOptions{InferLevels: true}),
	}
}

// followCatalog keeps the configuration of the entry up to date.
func (n *node) followCatalog(ctx context.Context) {
	take := func(records []topic.Record) {
		for _, r := range records {
			decoded, err := n.cfg.Codec.DecodeOperator(r)
			switch {
			case err != nil:
				n.log.Warn("operator's record skipped", "key", r.Key, "offset", r.Offset, "err", err)
			case decoded.Catalog != nil:
				n.entry.SetCatalog(decoded.Catalog)
			}
		}
	}
	f := &topic.Follower{
		Store: n.cfg.Store, Topic: n.cfg.Codec.OperatorTopic(), PollTimeout: configWait, OnSnapshot: take,
		OnRecords: func(records []topic.Record, _ int64) { take(records) },
		OnError:   func(err error) { n.log.Debug("reading the configuration", "err", err) },
	}
	f.Run(ctx)
}

// reportState keeps gauges of what the process believes.
func (n *node) reportState(ctx context.Context) {
	for {
		version := int64(0)
		if c := n.entry.Catalog(); c != nil {
			version = c.Version
		}
		owner, _ := n.elector.Current()
		leading := 0.0
		if n.current.Load() != nil {
			leading = 1
		}
		n.cfg.Scope.Gauge("config_version").Update(float64(version))
		n.cfg.Scope.Gauge("owner_fence").Update(float64(owner.Fence))
		n.cfg.Scope.Gauge("is_owner").Update(leading)
		n.cfg.Scope.Gauge("log_lines_dropped").Update(float64(n.cfg.LogLinesDropped()))
		if !wait.For(ctx, reportEvery) {
			return
		}
	}
}

func (n *node) watchReload(ctx context.Context) {
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
