package cli

import (
	"fmt"
	"io"
	"net/http"

	"github.com/juju/errors"
	"github.com/spf13/cobra"

	"github.com/pollenford/pollenford/internal/catalog"
	"github.com/pollenford/pollenford/internal/configcheck"
	"github.com/pollenford/pollenford/platform"
)

func newConfigCheck(c *adminClient) *cobra.Command {
	var against string
	cmd := &cobra.Command{
		Use:   "check [FILE]",
		Short: "Check a configuration document before it is published",
		Long: `Check reports everything that the nodes would find wrong with a configuration, entries that no request can match, and
limits that no job can meet. With --against or --api it also lists the fields that differ from another file or from the
version in force. Without FILE, or with -, the document is read from standard input.

Exit codes: 0 nothing found, 1 findings, 2 a document cannot be read. Differences are no findings.`,
		Args: cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			file := "-"
			if len(args) > 0 {
				file = args[0]
			}
			err := c.checkConfig(cmd, file, against)
			var findings findingsError
			if err != nil && !errors.As(err, &findings) {
				return &codedError{exitInvalid, err}
			}
			return err
		},
	}
	cmd.Flags().StringVar(&against, "against", "", "file with the configuration to compare to; - is standard input")
	return cmd
}

// findingsError is the number of findings of a configuration that could be read.
type findingsError int

func (n findingsError) Error() string { return fmt.Sprintf("findings: %d", int(n)) }

func (c *adminClient) checkConfig(cmd *cobra.Command, file, against string) error {
	checked, err := readConfig(cmd, file)
	if err != nil {
		return err
	}
	report := configcheck.Check(checked)
	other, err := c.otherConfig(cmd, file, against)
	if err != nil {
		return err
	}
	if other != nil {
		report.Compare(other, checked)
	}
	if err := c.print(cmd, report, func(w io.Writer) { writeReport(w, report, other) }); err != nil {
		return err
	}
	if n := len(report.Findings); n > 0 {
		return findingsError(n)
	}
	return nil
}

// otherConfig returns the configuration to compare to, or nil if none was asked for.
func (c *adminClient) otherConfig(cmd *cobra.Command, file, against string) (*catalog.Catalog, error) {
	inForce := cmd.Flags().Changed("api")
	switch {
	case against != "" && inForce:
		return nil, errors.New("--against and --api exclude each other")
	case against == "-" && file == "-":
		return nil, errors.New("both configurations are to be read from standard input")
	case against != "":
		return readConfig(cmd, against)
	case !inForce:
		return nil, nil
	}
	var view configView
	if err := c.call(cmd.Context(), http.MethodGet, "/config", nil, nil, &view); err != nil {
		return nil, errors.Annotate(err, "reading the version in force")
	}
	other, err := configcheck.Read(platform.Codec{}, view.Document)
	return other, errors.Annotate(err, "the version in force")
}

func readConfig(cmd *cobra.Command, file string) (*catalog.Catalog, error) {
	data, err := readFile(cmd.InOrStdin(), file)
	if err != nil {
		return nil, err
	}
	config, err := configcheck.Read(platform.Codec{}, data)
	if err != nil {
		return nil, fmt.Errorf("%s:%w", file, err)
	}
	return config, nil
}

func writeReport(w io.Writer, report *configcheck.Report, other *catalog.Catalog) {
	for _, f := range report.Findings {
		fmt.Fprintf(w, "%s: %s\n", f.Kind, f.Finding)
	}
	if other != nil {
		fmt.Fprintf(w, "differences from version %d: %d\n", other.Version, len(report.Differences))
	}
	for _, d := range report.Differences {
		fmt.Fprintln(w, d)
	}
	if len(report.Findings) == 0 {
		fmt.Fprintf(w, "version %d: nothing found\n", report.Version)
	}
}
