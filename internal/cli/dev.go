package cli

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"
	"github.com/spf13/cobra"

	"github.com/pollenford/pollenford/internal/settings"
	"github.com/pollenford/pollenford/internal/wait"
	"github.com/pollenford/pollenford/platform"
	"github.com/pollenford/pollenford/platform/standin"
)

func newDev() *cobra.Command {
	cmd := &cobra.Command{Use: "dev", Short: "Run a stand-in for the platform, for evaluation and tests"}
	cmd.AddCommand(newDevPlatform(), newDevBalancer(), newDevSettings(), newDevAll())
	return cmd
}

// Settings of the embedded evaluation system.
const (
	devToken = "dev-operator-token"
	devKey   = "dev-key"
	// devReadyTimeout limits the start of the embedded system.
	devReadyTimeout = 15 * time.Second
	// devGrace is the time between SIGTERM and SIGKILL on the users' platform.
	devGrace = 6 * time.Second
	// devInstancesPerPool is the size of each pool, the standby pool included.
	devInstancesPerPool = 2
)

// devConfig is the sample configuration, in the platform's format.
const devConfig = `{"version":1,
  "routes":[
    {"name":"slot-search","host":"dev","path_prefix":"/slot-search/","service":"quick","priority":0,"max_attempts":3,"slack_factor":2,"target_latency_ms":600},
    {"name":"round-planning","host":"dev","path_prefix":"/round-planning/","service":"long","priority":1,"max_attempts":3,"slack_factor":2,"target_latency_ms":2000}],
  "services":[{"name":"quick","preconditions":true},{"name":"long","preconditions":true},{"name":"spare","standby":true}],
  "tenants":[{"name":"desk","api_keys":["dev-key"],"weight":2,"cap":{}},{"name":"planning","api_keys":["dev-planning-key"],"weight":1,"cap":{"cpu":8000}}]}`

func newDevPlatform() *cobra.Command {
	var listen, config string
	var instances int
	cmd := &cobra.Command{
		Use:   "platform",
		Short: "Run the stand-in platform: store, instance service, and instances with workers",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			document := []byte(devConfig)
			if config != "" {
				var err error
				if document, err = os.ReadFile(config); err != nil {
					return &codedError{exitInvalid, err}
				}
			}
			d, err := newDeployment(cmd.Context(), document, instances)
			if err != nil {
				return err
			}
			l, err := net.Listen("tcp", listen)
			if err != nil {
				return errors.Annotate(err, "listening")
			}
			fmt.Fprintln(cmd.OutOrStdout(), "platform listening on", l.Addr())
			return serveUntilDone(cmd.Context(), l, d)
		},
	}
	cmd.Flags().StringVar(&listen, "listen", "127.0.0.1:7000", "IP address and port")
	cmd.Flags().StringVar(&config, "config", "", "file with the initial configuration; a built-in sample if absent")
	cmd.Flags().IntVar(&instances, "machines", devInstancesPerPool, "instances in each of the pools quick, long and spare")
	return cmd
}

// newDeployment returns a deployment with the given number of instances in each pool.
func newDeployment(ctx context.Context, config []byte, instances int) (*standin.Deployment, error) {
	d := standin.NewDeployment()
	d.StandbyPools = []string{"spare"}
	d.PublishConfig(config)
	for _, pool := range []string{"quick", "long", "spare"} {
		for i := range instances {
			err := d.AddInstance(ctx, standin.Instance{
				ID: fmt.Sprintf("%s-%d", pool, i+1), Pool: pool,
				Zone: fmt.Sprintf("az-%d", i%3+1), Rack: fmt.Sprintf("rack-%d", i+1),
				Standby: pool == "spare",
			})
			if err != nil {
				return nil, err
			}
		}
	}
	return d, nil
}

func serveUntilDone(ctx context.Context, l net.Listener, handler http.Handler) error {
	srv := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	stop := context.AfterFunc(ctx, func() { _ = srv.Close() }) // the stand-in needs no graceful shutdown
	defer stop()
	if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return errors.Annotate(err, "serving")
	}
	return nil
}

func newDevBalancer() *cobra.Command {
	var listen string
	var entries []string
	cmd := &cobra.Command{
		Use:   "balancer",
		Short: "Run a stand-in load balancer for the nodes' own API",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			l, err := net.Listen("tcp", listen)
			if err != nil {
				return errors.Annotate(err, "listening")
			}
			fmt.Fprintln(cmd.OutOrStdout(), "balancer listening on", l.Addr())
			return standin.NewBalancer().Serve(cmd.Context(), l, entries)
		},
	}
	cmd.Flags().StringVar(&listen, "listen", "127.0.0.1:0", "IP address and port")
	cmd.Flags().StringSliceVar(&entries, "entry", nil, "IP address and port of a node's own API; may be repeated")
	return cmd
}

func newDevSettings() *cobra.Command {
	var name, zone, platformAddress, ip string
	var firstPort int
	cmd := &cobra.Command{
		Use:   "settings",
		Short: "Print platform settings for a node that uses the stand-in",
		Long:  "Print platform settings for a node that uses the stand-in. The node uses eight consecutive ports, beginning with --port.",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			address := func(i int) string { return net.JoinHostPort(ip, strconv.Itoa(firstPort+i)) }
			n := standin.Node{
				Name: name, Zone: zone, IP: ip,
				ClientAddress: address(0), ReadyAddress: address(1), FirstPort: firstPort + 2, LastPort: firstPort + 7,
				PlatformAddress: platformAddress, Grace: devGrace,
			}
			return errors.Trace(n.WriteSettings(cmd.OutOrStdout()))
		},
	}
	f := cmd.Flags()
	f.StringVar(&name, "name", "entry-1", "name of the node")
	f.StringVar(&zone, "zone", "az-1", "availability zone")
	f.StringVar(&platformAddress, "platform", "127.0.0.1:7000", "IP address and port of the stand-in")
	f.StringVar(&ip, "ip", "127.0.0.1", "IP address of the node")
	f.IntVar(&firstPort, "port", 7200, "first port of the node: clients, readiness, then internal ports")
	return cmd
}

func newDevAll() *cobra.Command {
	var listen string
	cmd := &cobra.Command{
		Use:   "all",
		Short: "Run the stand-in platform and a node in one process",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return runDevAll(cmd.Context(), cmd.OutOrStdout(), listen)
		},
	}
	cmd.Flags().StringVar(&listen, "listen", "127.0.0.1:7100", "IP address and port of the node's own API")
	return cmd
}

func runDevAll(ctx context.Context, out io.Writer, listen string) error {
	platformCtx, stopPlatform := context.WithCancel(context.WithoutCancel(ctx)) // the node needs it to shut down
	defer stopPlatform()
	d, err := newDeployment(platformCtx, []byte(devConfig), devInstancesPerPool)
	if err != nil {
		return err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Annotate(err, "listening")
	}
	serveErr := make(chan error, 1)
	go func() { serveErr <- serveUntilDone(platformCtx, l, d) }()
	go printDevUsage(ctx, out, listen)
	log := hclog.New(&hclog.LoggerOptions{Name: "pollenford", Level: hclog.Warn})
	err = runNode(ctx,
		nodeSettings{platform: devPlatformSettings(l.Addr().String()), own: devNodeSettings(listen)},
		log, func() int64 { return 0 })
	stopPlatform()
	if err != nil {
		return err
	}
	return <-serveErr
}

func devPlatformSettings(platformAddress string) *platform.Settings {
	const anyPort = "127.0.0.1:0" // no other process connects to these ports
	return &platform.Settings{
		Name: "entry-1", Zone: "az-1",
		ClientAddress: anyPort, ReadyAddress: anyPort, PeerAddress: anyPort, MetricsAddress: anyPort,
		StoreAddress: platformAddress, InstanceAddress: platformAddress,
		MaxRecordBytes: 256 << 10, MaxAppendBytes: 2 << 20,
		Timing: platform.Timing{
			MaxLease: 10 * time.Second, StopTime: 200 * time.Millisecond, Grace: time.Second,
			StatusRetention: 2 * time.Minute, MoveTime: standin.MoveTime, MaintenanceTime: standin.MaintenanceTime,
		},
	}
}

func devNodeSettings(listen string) *settings.Settings {
	return &settings.Settings{
		API:       &settings.API{Listen: listen},
		Operators: []settings.Operator{{Name: "dev", TokenSHA256: settings.TokenDigest(devToken)}},
	}
}

// printDevUsage prints example commands once the node is ready.
func printDevUsage(ctx context.Context, out io.Writer, listen string) {
	ctx, cancel := context.WithTimeout(ctx, devReadyTimeout)
	defer cancel()
	base := "http://" + listen
	if err := awaitReady(ctx, base+"/readyz"); err != nil {
		fmt.Fprintln(out, "not ready:", err)
		return
	}
	fmt.Fprintf(out, `ready
  own API          %[1]s
  key              %[2]s
  operator token   %[3]s

try:
  curl -s -H 'Authorization: Bearer %[2]s' -d '{"echo":"hello","run_ms":20}' %[1]s/v1/queues/slot-search/requests
  POLLENFORD_API=%[1]s POLLENFORD_TOKEN=%[3]s pollenford worker list
`, base, devKey, devToken)
}

func awaitReady(ctx context.Context, url string) error {
	for {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		if err != nil {
			return errors.Trace(err)
		}
		res, err := http.DefaultClient.Do(req)
		if err == nil {
			res.Body.Close()
			if res.StatusCode == http.StatusOK {
				return nil
			}
		}
		if !wait.For(ctx, 50*time.Millisecond) {
			return errors.New("timed out waiting for readiness")
		}
	}
}
