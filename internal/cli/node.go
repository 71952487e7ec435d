package cli

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/spf13/cobra"

	"github.com/pollenford/pollenford/internal/api"
	"github.com/pollenford/pollenford/internal/burn"
	"github.com/pollenford/pollenford/internal/entry"
	"github.com/pollenford/pollenford/internal/ingress"
	"github.com/pollenford/pollenford/internal/logs"
	"github.com/pollenford/pollenford/internal/metrics"
	"github.com/pollenford/pollenford/internal/node"
	"github.com/pollenford/pollenford/internal/operate"
	"github.com/pollenford/pollenford/internal/owner"
	"github.com/pollenford/pollenford/internal/settings"
	"github.com/pollenford/pollenford/platform"
)

func newNode() *cobra.Command {
	var ownPath string
	var check bool
	cmd := &cobra.Command{
		Use:   "node",
		Short: "Run one instance of the job service on the platform",
		Long: "Run one instance of the job service on the platform. The path of the platform's settings file is taken from the " +
			"environment variable " + platform.SettingsVariable + ". The node's own settings are optional; without them it serves no own API.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := loadSettings(ownPath)
			if err != nil {
				return err
			}
			if check {
				_, err := fmt.Fprintln(cmd.OutOrStdout(), "settings are valid")
				return err
			}
			out := logs.NewWriter(cmd.OutOrStdout())
			defer out.Close()
			log := hclog.New(&hclog.LoggerOptions{Name: "pollenford", Level: s.own.LogLevel(), JSONFormat: true, Output: out})
			return runNode(cmd.Context(), s, log, out.Dropped)
		},
	}
	cmd.Flags().StringVar(&ownPath, "settings", "", "file with the node's own settings (JSON)")
	cmd.Flags().BoolVar(&check, "check", false, "check both settings files, report all errors and exit")
	return cmd
}

// nodeSettings holds the settings of a node from both files.
type nodeSettings struct {
	path     string // of the node's own settings file
	platform *platform.Settings
	own      *settings.Settings
}

func loadSettings(path string) (nodeSettings, error) {
	fromPlatform, err := platform.LoadSettings()
	if err != nil {
		return nodeSettings{}, err
	}
	own, err := settings.Load(path)
	return nodeSettings{path, fromPlatform, own}, err
}

// runNode runs a node until ctx ends and its shutdown is complete.
func runNode(ctx context.Context, s nodeSettings, log hclog.Logger, linesDropped func() int64) error {
	m := metrics.New(s.platform.Name, s.platform.Zone)
	defer func() {
		if err := m.Close(); err != nil {
			log.Warn("metrics not closed", "err", err)
		}
	}()
	return node.Run(ctx, nodeConfig(s, log, m, linesDropped))
}

func nodeConfig(s nodeSettings, log hclog.Logger, m *metrics.Metrics, linesDropped func() int64) node.Config {
	p := s.platform
	var current atomic.Pointer[settings.Settings]
	current.Store(s.own)
	recorder := burn.NewRecorder(func() map[string]burn.Definition { return current.Load().Objectives })
	cfg := node.Config{
		Name: p.Name, ClientAddress: p.ClientAddress, ReadyAddress: p.ReadyAddress, PeerAddress: p.PeerAddress,
		MetricsAddress: p.MetricsAddress, ReadyPath: platform.ReadyPath,
		Store: platform.NewStore(p.StoreAddress), Workers: platform.NewWorkers(), Codec: platform.Codec{},
		Timing: owner.Timing{
			MaxLease: p.Timing.MaxLease, StopTime: p.Timing.StopTime,
			EarlyStart: p.Timing.EarlyStart, StatusRetention: p.Timing.StatusRetention,
			MoveTime: p.Timing.MoveTime, MaintenanceTime: p.Timing.MaintenanceTime, ControlRate: p.Timing.ControlRate,
			EvacuationBound: p.Timing.EvacuationBound,
		},
		Grace: p.Timing.Grace, MaxRecordBytes: p.MaxRecordBytes, MaxAppendBytes: p.MaxAppendBytes,
		Overload: owner.OverloadPolicy(s.own.Overload),
		MemoryMB: p.MemoryMB, Cores: p.Cores, Ingress: ingressLimits(p, s.own.Ingress), Log: log,
		Metrics: m.Handler, Scope: m.Scope, LogLinesDropped: linesDropped,
		NewClientHandler: func(e *entry.Entry) http.Handler {
			return &platform.ClientHandler{Entry: e, Log: log.Named("front"), Scope: m.Scope, Observe: recorder.Answered}
		},
		Reload: func() { reload(s.path, &current, log) },
	}
	if p.InstanceAddress != "" {
		cfg.Control = platform.NewInstances(p.InstanceAddress)
	}
	if p.AdviceAddress != "" {
		cfg.Advice = platform.NewAdviser(p.AdviceAddress)
	}
	if s.own.API != nil {
		cfg.API = newNodeAPI(cfg, &current, recorder)
	}
	return cfg
}

// ingressLimits returns the limits for clients: the node's own settings, or defaults for the instance.
func ingressLimits(p *platform.Settings, own settings.Ingress) ingress.Limits {
	l := ingress.DefaultLimits(p.MemoryMB, p.MaxFDs)
	milliseconds := func(to *time.Duration, ms int64) {
		if ms > 0 {
			*to = time.Duration(ms) * time.Millisecond
		}
	}
	number := func(to *int64, value int64) {
		if value > 0 {
			*to = value
		}
	}
	number(&l.MemoryBytes, own.MemoryMB<<20)
	number(&l.Connections, own.Connections)
	number(&l.Body.MinBytes, own.BodyMinBytes)
	milliseconds(&l.Body.Window, own.BodyWindowMS)
	milliseconds(&l.Body.Limit, own.BodyMS)
	milliseconds(&l.AnswerStall, own.AnswerStallMS)
	return l
}

// reload rereads both settings files. Operators, objectives and the log level apply immediately, other changes at the
// next start.
func reload(path string, current *atomic.Pointer[settings.Settings], log hclog.Logger) {
	s, err := loadSettings(path)
	if err != nil {
		log.Error("settings not reloaded: invalid, current settings stay in effect", "err", err)
		return
	}
	current.Store(s.own)
	log.SetLevel(s.own.LogLevel())
	log.Info("settings reloaded", "operators", len(s.own.Operators), "objectives", len(s.own.Objectives))
}

func newNodeAPI(cfg node.Config, current *atomic.Pointer[settings.Settings], recorder *burn.Recorder) *node.API {
	log := cfg.Log.Named("api")
	configured := current.Load().API
	return &node.API{
		Address: configured.Listen,
		Serve:   func(s *http.Server, l net.Listener) error { return api.Serve(s, l, configured.TLS, log) },
		NewHandler: func(e *entry.Entry, notReady func() string) http.Handler {
			requests := &api.Requests{Entry: e, Observe: recorder.Answered, Log: log}
			admin := &api.Admin{
				Entry: e, Publisher: &operate.Publisher{Store: cfg.Store, Codec: cfg.Codec}, Log: log,
				Operators: func() []settings.Operator { return current.Load().Operators },
				Burn:      func() burn.Report { return recorder.Report(cfg.Name, time.Now()) },
			}
			return api.NewHandler(requests, admin, &api.Health{NotReady: notReady}, func(_ context.Context, _ http.ResponseWriter, err error) {
				log.Warn("response not written", "err", err)
			})
		},
	}
}
