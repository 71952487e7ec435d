package cli

import (
	"fmt"
	"net/http"

	"github.com/hashicorp/go-hclog"
	"github.com/spf13/cobra"

	"github.com/pollenford/pollenford/internal/entry"
	"github.com/pollenford/pollenford/internal/logs"
	"github.com/pollenford/pollenford/internal/metrics"
	"github.com/pollenford/pollenford/internal/node"
	"github.com/pollenford/pollenford/internal/owner"
	"github.com/pollenford/pollenford/platform"
)

func newNode() *cobra.Command {
	var level string
	var check bool
	cmd := &cobra.Command{
		Use:   "node",
		Short: "Run one instance of the job service on the platform",
		Long: "Run one instance of the job service on the platform. The path of the platform's settings file is taken from the " +
			"environment variable " + platform.SettingsVariable + ".",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := platform.LoadSettings()
			if err != nil {
				return err
			}
			if check {
				_, err := fmt.Fprintln(cmd.OutOrStdout(), "settings are valid")
				return err
			}
			out := logs.NewWriter(cmd.OutOrStdout())
			defer out.Close()
			log := hclog.New(&hclog.LoggerOptions{
				Name: "pollenford", Level: hclog.LevelFromString(level), JSONFormat: true, Output: out,
			})
			m := metrics.New(s.Entry, s.Zone)
			defer func() {
				if err := m.Close(); err != nil {
					log.Warn("closing metrics", "err", err)
				}
			}()
			return node.Run(cmd.Context(), nodeConfig(s, log, m, out))
		},
	}
	cmd.Flags().StringVar(&level, "log-level", "info", "trace, debug, info, warn or error")
	cmd.Flags().BoolVar(&check, "check", false, "check the settings file and report everything that is wrong")
	return cmd
}

func nodeConfig(s *platform.Settings, log hclog.Logger, m *metrics.Metrics, out *logs.Writer) node.Config {
	cfg := node.Config{
		Name: s.Entry, ClientAddress: s.ClientAddress, ReadyAddress: s.ReadyAddress, PeerAddress: s.PeerAddress,
		MetricsAddress: s.MetricsAddress, ReadyPath: platform.ReadyPath,
		Store: platform.NewStore(s.StoreAddress), Workers: platform.NewWorkers(), Codec: platform.Codec{},
		Timing: owner.Timing{
			MaxHold: s.Timing.MaxHold, StopTime: s.Timing.StopTime, Early: s.Timing.Early, Status: s.Timing.Status, Move: s.Timing.Move, Upkeep: s.Timing.Upkeep,
		},
		Grace: s.Timing.Grace, MaxRecordBytes: s.MaxRecordBytes, MaxCallBytes: s.MaxCallBytes, MemoryMB: s.MemoryMB, Log: log,
		Metrics: m.Handler, Scope: m.Scope, LogLinesDropped: out.Dropped,
		Front: func(e *entry.Entry) http.Handler {
			return &platform.Front{Entry: e, Log: log.Named("front"), Scope: m.Scope}
		},
		Reload: func() {
			if _, err := platform.LoadSettings(); err != nil {
				log.Error("changed settings are not valid; the old ones stay in force", "err", err)
				return
			}
			log.Info("settings read again; addresses and bounds apply from the next start")
		},
	}
	if s.InstanceAddress != "" {
		cfg.Control = platform.NewInstances(s.InstanceAddress)
	}
	if s.AdviceAddress != "" {
		cfg.Advice = platform.NewAdvice(s.AdviceAddress)
	}
	return cfg
}
