package cli

import (
	"encoding/json"
	"net/http"

	"github.com/juju/errors"
	"github.com/spf13/cobra"

	"github.com/pollenford/pollenford/internal/burn"
)

func newReport(c *adminClient) *cobra.Command {
	cmd := &cobra.Command{Use: "report", Short: "Report on the fleet"}
	cmd.AddCommand(&cobra.Command{
		Use:   "burn",
		Short: "Report the error budgets and burn rates of the service-level objectives",
		Long: `Burn reports the requests, the burn rates and the remaining error budget of every service-level objective, summed over
the entry instances that --api lists. The output format is text, json or html; the HTML page is self-contained.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return c.reportBurn(cmd) },
	})
	return cmd
}

func (c *adminClient) reportBurn(cmd *cobra.Command) error {
	var report burn.Report
	empty := true
	var missing []string
	for _, base := range c.baseURLs {
		var entryReport burn.Report
		if err := c.callAt(cmd.Context(), base, http.MethodGet, "/burn", nil, nil, &entryReport); err != nil {
			if len(c.baseURLs) == 1 {
				return err
			}
			missing = append(missing, base+" ("+err.Error()+")")
			continue
		}
		if empty {
			report, empty = entryReport, false
			continue
		}
		report.Merge(entryReport)
	}
	if empty {
		return errors.New("no entry instance responded")
	}
	report.Missing = missing
	out := cmd.OutOrStdout()
	switch c.output {
	case "text":
		return report.WriteText(out)
	case "html":
		return report.WriteHTML(out)
	case "json":
		enc := json.NewEncoder(out)
		enc.SetIndent("", "  ")
		return errors.Trace(enc.Encode(report))
	}
	return &codedError{exitInvalid, errors.Errorf("unknown output format %q", c.output)}
}
