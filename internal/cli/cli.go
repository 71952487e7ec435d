// Package cli implements the pollenford command line.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/pollenford/pollenford/internal/finding"
)

// Exit codes.
const (
	exitOK = 0
	// exitFailure is any failure without a code of its own.
	exitFailure = 1
	// exitInvalid means invalid settings or arguments; nothing was started or changed.
	exitInvalid = 2
	// exitInvalidConfig means that the patched configuration is invalid.
	exitInvalidConfig = 3
	// exitConflict means that the patch is for another configuration version, or that the wave exists already.
	exitConflict = 4
	// exitUnknownOutcome means that a request may or may not take effect.
	exitUnknownOutcome = 5
)

// codedError is an error with an exit code.
type codedError struct {
	code int
	err  error
}

func (e *codedError) Error() string { return e.err.Error() }
func (e *codedError) Unwrap() error { return e.err }

// Main runs the command line and returns the exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	root := newRoot()
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	if err := root.ExecuteContext(ctx); err != nil {
		fmt.Fprintln(stderr, "pollenford:", err)
		return exitCode(err)
	}
	return exitOK
}

func exitCode(err error) int {
	var coded *codedError
	if errors.As(err, &coded) {
		return coded.code
	}
	var findings finding.List
	if errors.As(err, &findings) {
		return exitInvalid
	}
	return exitFailure
}

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:           "pollenford",
		Short:         "Fleet capacity and maintenance manager",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return &codedError{exitInvalid, err} })
	root.AddCommand(newNode(), newVersion(), newDev(), newLoad())
	root.AddCommand(operatorCommands()...)
	return root
}

func newVersion() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			version := "unknown"
			if info, ok := debug.ReadBuildInfo(); ok {
				version = info.Main.Version + " " + info.GoVersion
			}
			_, err := fmt.Fprintln(cmd.OutOrStdout(), "pollenford", version)
			return err
		},
	}
}
