package cli

import (
	"context"
	"encoding/json"
	"io"
	"os"
	"time"

	"github.com/juju/errors"
	"github.com/spf13/cobra"

	"github.com/pollenford/pollenford/internal/load"
)

type loadFlags struct {
	profile  string
	keysFile string
	output   string
	opts     load.Options
}

func newLoad() *cobra.Command {
	var flags loadFlags
	cmd := &cobra.Command{
		Use:   "load",
		Short: "Send open-loop load to entry instances and check every answer",
		Long: `Load sends requests at planned times, whether or not earlier ones are answered, and checks that every answer
belongs to its request. The exit code is 1 if an answer belongs to another request.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return runLoad(cmd.Context(), cmd.OutOrStdout(), flags)
		},
	}
	f := cmd.Flags()
	f.StringVar(&flags.profile, "profile", "open", "workload: cruite-rounds, snra or open")
	f.StringSliceVar(&flags.opts.Entries, "api", []string{"http://127.0.0.1:7100"}, "URLs of entry instances")
	f.StringVar(&flags.keysFile, "keys", "", "JSON file with an object that maps organisations to API keys")
	f.Float64Var(&flags.opts.Rate, "rate", 50, "mean rate in requests per second")
	f.DurationVar(&flags.opts.Duration, "duration", 10*time.Second, "length of the run")
	f.IntVar(&flags.opts.MaxRequests, "requests", 0, "maximum number of requests; 0 means no limit")
	f.BoolVar(&flags.opts.Peaks, "peaks", false,
		"let queues peak in turn at five times their mean rate, and fall to a twentieth of it between peaks")
	f.IntVar(&flags.opts.Retries, "retries", 3,
		"retries of a request with an idempotency key while its outcome is unknown")
	f.Uint64Var(&flags.opts.Seed, "seed", 1, "random seed of the arrival and run times")
	f.StringVarP(&flags.output, "output", "o", "text", "output format: text or json")
	return cmd
}

func runLoad(ctx context.Context, out io.Writer, flags loadFlags) error {
	profile, err := load.FindProfile(flags.profile)
	if err != nil {
		return &codedError{exitInvalid, err}
	}
	flags.opts.Profile = profile
	if flags.opts.Keys, err = readKeys(flags.keysFile); err != nil {
		return &codedError{exitInvalid, err}
	}
	report, err := load.Run(ctx, flags.opts)
	if err != nil {
		return err
	}
	if err := writeLoad(out, flags.output, report); err != nil {
		return err
	}
	if n := report.WrongAnswers(); n > 0 {
		return errors.Errorf("%d answers belonged to another request", n)
	}
	return nil
}

func readKeys(path string) (map[string]string, error) {
	if path == "" {
		return nil, nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Trace(err)
	}
	var keys map[string]string
	if err := json.Unmarshal(data, &keys); err != nil {
		return nil, errors.Annotate(err, "reading keys")
	}
	return keys, nil
}

func writeLoad(out io.Writer, format string, report *load.Report) error {
	if format == "json" {
		enc := json.NewEncoder(out)
		enc.SetIndent("", "  ")
		return errors.Trace(enc.Encode(report))
	}
	return errors.Trace(report.Write(out))
}
