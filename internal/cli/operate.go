package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"

	"github.com/juju/errors"
	"github.com/spf13/cobra"
)

type configView struct {
	Version  int64           `json:"version"`
	Document json.RawMessage `json:"document"`
}

// operatorCommands returns the commands that call the administration API.
func operatorCommands() []*cobra.Command {
	groups := []func(c *adminClient) *cobra.Command{newConfig, newWorker, newWave, newZone, newReport}
	var cmds []*cobra.Command
	for _, group := range groups {
		c := &adminClient{}
		cmd := group(c)
		addClientFlags(cmd, c)
		cmds = append(cmds, cmd)
	}
	return cmds
}

func newConfig(c *adminClient) *cobra.Command {
	cmd := &cobra.Command{Use: "config", Short: "Show, check and patch the configuration"}
	cmd.AddCommand(newConfigGet(c), newConfigPatch(c), newConfigCheck(c))
	return cmd
}

func newConfigGet(c *adminClient) *cobra.Command {
	return &cobra.Command{
		Use:   "get",
		Short: "Show the configuration and its version",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var view configView
			if err := c.call(cmd.Context(), http.MethodGet, "/config", nil, nil, &view); err != nil {
				return err
			}
			return c.print(cmd, view, func(w io.Writer) {
				text, err := json.MarshalIndent(view.Document, "", "  ")
				if err != nil {
					text = view.Document
				}
				fmt.Fprintf(w, "version %d\n%s\n", view.Version, text)
			})
		},
	}
}

func newConfigPatch(c *adminClient) *cobra.Command {
	var version int64
	var file string
	var jsonPatch bool
	cmd := &cobra.Command{
		Use:   "patch",
		Short: "Patch the configuration with a JSON merge patch or a JSON patch",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			data, err := readFile(cmd.InOrStdin(), file)
			if err != nil {
				return &codedError{exitInvalid, err}
			}
			contentType := "application/merge-patch+json"
			if jsonPatch {
				contentType = "application/json-patch+json"
			}
			return c.patch(cmd, version, contentType, data)
		},
	}
	f := cmd.Flags()
	f.Int64Var(&version, "version", -1, "configuration version that the patch applies to; the current one if absent")
	f.StringVarP(&file, "file", "f", "-", "file with the patch; - is standard input")
	f.BoolVar(&jsonPatch, "json-patch", false, "the patch is a JSON patch (RFC 6902)")
	return cmd
}

// patch applies a patch to the given configuration version, or to the current one if version is negative.
func (c *adminClient) patch(cmd *cobra.Command, version int64, contentType string, patch []byte) error {
	var view configView
	if version < 0 {
		if err := c.call(cmd.Context(), http.MethodGet, "/config", nil, nil, &view); err != nil {
			return err
		}
		version = view.Version
	}
	header := http.Header{"Content-Type": {contentType}, "If-Match": {strconv.FormatInt(version, 10)}}
	if err := c.call(cmd.Context(), http.MethodPatch, "/config", header, patch, &view); err != nil {
		return err
	}
	return c.print(cmd, view, func(w io.Writer) { fmt.Fprintf(w, "published, configuration version %d\n", view.Version) })
}

func readFile(stdin io.Reader, path string) ([]byte, error) {
	if path == "-" {
		data, err := io.ReadAll(stdin)
		return data, errors.Trace(err)
	}
	data, err := os.ReadFile(path)
	return data, errors.Trace(err)
}

type fleetView struct {
	Owner   string       `json:"owner"`
	Term    int64        `json:"term"`
	Workers []workerView `json:"workers"`
	Waves   []waveView   `json:"waves"`
}

type workerView struct {
	ID        string  `json:"id"`
	Pool      string  `json:"pool"`
	Zone      string  `json:"zone"`
	Rack      string  `json:"rack"`
	Instance  string  `json:"instance"`
	Phase     string  `json:"phase"`
	Runs      int     `json:"runs"`
	UsedCores float64 `json:"used_cores"`
	Cores     float64 `json:"cores"`
}

type waveView struct {
	Number int64  `json:"number"`
	Status string `json:"status"`
	Total  int    `json:"total"`
	Begun  int    `json:"begun"`
}

func (c *adminClient) fleet(cmd *cobra.Command) (fleetView, error) {
	var view fleetView
	err := c.call(cmd.Context(), http.MethodGet, "/fleet", nil, nil, &view)
	return view, err
}

func newWorker(c *adminClient) *cobra.Command {
	cmd := &cobra.Command{Use: "worker", Short: "Show workers"}
	cmd.AddCommand(&cobra.Command{
		Use:   "list",
		Short: "List the workers that the owner knows, with their state",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			view, err := c.fleet(cmd)
			if err != nil {
				return err
			}
			return c.print(cmd, view, func(w io.Writer) {
				fmt.Fprintf(w, "owner %s, term %d\n", view.Owner, view.Term)
				fmt.Fprintln(w, "WORKER\tPOOL\tZONE\tRACK\tINSTANCE\tPHASE\tRUNS\tCORES")
				for _, v := range view.Workers {
					fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%d\t%g of %g\n",
						v.ID, v.Pool, v.Zone, v.Rack, v.Instance, v.Phase, v.Runs, v.UsedCores, v.Cores)
				}
			})
		},
	})
	return cmd
}

func (c *adminClient) printWaves(cmd *cobra.Command, value any, waves []waveView) error {
	return c.print(cmd, value, func(w io.Writer) {
		fmt.Fprintln(w, "WAVE\tSTATUS\tBEGUN\tTOTAL")
		for _, v := range waves {
			fmt.Fprintf(w, "%d\t%s\t%d\t%d\n", v.Number, v.Status, v.Begun, v.Total)
		}
	})
}

// waveRequest is the request body that starts a wave.
type waveRequest struct {
	Number    int64    `json:"number"`
	Instances []string `json:"instances"`
	AtOnce    int      `json:"at_once"`
	DeadlineS float64  `json:"deadline_s"`
}

func newWave(c *adminClient) *cobra.Command {
	cmd := &cobra.Command{Use: "wave", Short: "Run maintenance waves"}
	var body waveRequest
	start := &cobra.Command{
		Use:   "start NUMBER",
		Short: "Start a maintenance wave",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			number, err := strconv.ParseInt(args[0], 10, 64)
			if err != nil {
				return &codedError{exitInvalid, errors.NotValidf("wave number %q", args[0])}
			}
			body.Number = number
			var view waveView
			if err := c.call(cmd.Context(), http.MethodPost, "/waves", nil, body, &view); err != nil {
				return err
			}
			return c.printWaves(cmd, view, []waveView{view})
		},
	}
	f := start.Flags()
	f.StringSliceVar(&body.Instances, "instances", nil, "instances to maintain")
	f.IntVar(&body.AtOnce, "at-once", 1, "maximum number of instances that are in maintenance at the same time")
	f.Float64Var(&body.DeadlineS, "deadline", 0, "seconds within which the wave is to be completed")
	list := &cobra.Command{
		Use:   "list",
		Short: "List waves with their progress",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			view, err := c.fleet(cmd)
			if err != nil {
				return err
			}
			return c.printWaves(cmd, view.Waves, view.Waves)
		},
	}
	cmd.AddCommand(start, list)
	return cmd
}
