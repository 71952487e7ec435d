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
	// MaxRecordBytes and MaxCallBytes bound a record and an append of the store.
	MaxRecordBytes, MaxCallBytes int
	MemoryMB                     int
	// Front makes the handler for clients.
	Front func(*entry.Entry) http.Handler
	// Metrics serves scrapes, Scope takes counters and histograms; LogLinesDropped counts lines not yet reported.
	Metrics         http.Handler
	Scope           tally.Scope
	LogLinesDropped func() int64
	// Reload is called when the settings may have changed.
	Reload func()
	Log    hclog.Logger
}

// Timing of the process.
const (
	// leaveTime is how long a stopping node still accepts connections: two failed readiness checks, a second apart.
	leaveTime = 2200 * time.Millisecond
	// exitReserve is left of the grace for the end of the process.
	exitReserve = 500 * time.Millisecond
	// headerTimeout and idleTimeout apply until a configuration gives its own.
	headerTimeout  = 3 * time.Second
	idleTimeout    = 15 * time.Second
	configWait     = 2 * time.Second
	reportEvery    = time.Second // the time between two updates of gauges, as often as metrics are reported
	memoryPercent  = 60          // of the memory limit, from which the garbage collector works harder
	maxHeaderBytes = 16 << 10
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
		Self:     leader.Owner{Name: cfg.Name, Incarnation: uuid.NewString(), Address: cfg.PeerAddress},
		Eligible: func() bool { return !n.stopping.Load() && n.entry.Catalog() != nil },
	}
	n.entry = &entry.Entry{Elector: n.elector, Local: n.local, Log: cfg.Log.Named("entry")}

	listeners, err := n.listen()
	if err != nil {
		return err
	}
	n.log.Info("started", "node", cfg.Name, "client_address", cfg.ClientAddress, "peer_address", cfg.PeerAddress)
	servers := n.servers()
	for i, server := range servers {
		go func() {
			if err := server.Serve(listeners[i]); !errors.Is(err, http.ErrServerClosed) {
				n.log.Error("server ended", "address", listeners[i].Addr(), "err", err)
			}
		}()
	}
	go n.followCatalog(life)
	go n.entry.Connect(life)
	go n.watchReload(life)
	go n.reportState(life)
	electorCtx, leave := context.WithCancel(life)
	var election sync.WaitGroup
	election.Go(func() { n.elector.Run(electorCtx) })

	<-ctx.Done()
	n.log.Info("stopping", "grace", cfg.Grace)
	n.stopping.Store(true)
	leave()
	n.finish(servers[0])
	election.Wait()
	n.log.Info("stopped")
	return nil
}

// finish takes new connections until the platform has noticed, then completes what is in hand.
func (n *node) finish(clients *http.Server) {
	deadline, stop := context.WithTimeout(context.Background(), n.cfg.Grace-exitReserve)
	defer stop()
	wait.For(deadline, leaveTime)
	if err := clients.Shutdown(deadline); err != nil {
		n.log.Warn("requests were cut at the end of the grace", "err", err)
	}
}

// local returns the service of the owner in this process, or nil.
func (n *node) local() jobs.Service {
	if o := n.current.Load(); o != nil {
		return o
	}
	return nil
}

func (n *node) serveAsOwner(ctx context.Context, term *leader.Term) error {
	o := owner.New(ctx, owner.Config{
		Store: n.cfg.Store, Workers: n.cfg.Workers, Control: n.cfg.Control, Advice: n.cfg.Advice,
		Codec:   n.cfg.Codec,
		Catalog: n.entry.Catalog, OnCatalog: n.entry.SetCatalog, Name: n.cfg.Name, Timing: n.cfg.Timing,
		MaxRecordBytes: n.cfg.MaxRecordBytes, MaxCallBytes: n.cfg.MaxCallBytes, Scope: n.cfg.Scope.SubScope("owner"), Log: n.cfg.Log.Named("owner"),
	}, term)
	if err := o.Recover(); err != nil {
		return err
	}
	n.current.Store(o)
	defer n.current.Store(nil)
	return o.Run()
}

func (n *node) listen() ([]net.Listener, error) {
	var all []net.Listener
	for _, address := range []string{n.cfg.ClientAddress, n.cfg.ReadyAddress, n.cfg.PeerAddress, n.cfg.MetricsAddress} {
		l, err := net.Listen("tcp", address)
		if err != nil {
			return nil, errors.Annotate(err, "listening")
		}
		all = append(all, l)
	}
	return all, nil
}

func (n *node) servers() []*http.Server {
	ready := http.NewServeMux()
	ready.HandleFunc(n.cfg.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if n.stopping.Load() || n.entry.Catalog() == nil {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	peers := http.NewServeMux()
	peers.Handle(link.Path, &link.Server{Incarnation: n.elector.Self.Incarnation, Owner: n.local, Log: n.cfg.Log.Named("link")})
	logger := n.cfg.Log.Named("http").StandardLogger(&hclog.StandardLoggerOptions{InferLevels: true})
	return []*http.Server{
		{
			Handler: n.cfg.Front(n.entry), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
			MaxHeaderBytes: maxHeaderBytes, ErrorLog: logger,
		},
		{Handler: ready, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, ErrorLog: logger},
		{Handler: peers, ReadHeaderTimeout: headerTimeout, ErrorLog: logger},
		{Handler: n.cfg.Metrics, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, ErrorLog: logger},
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
		Store: n.cfg.Store, Name: n.cfg.Codec.Operator(), Wait: configWait, OnNewest: take,
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
