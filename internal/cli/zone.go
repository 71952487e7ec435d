package cli

import (
	"fmt"
	"io"
	"net/http"
	"net/url"

	"github.com/juju/errors"
	"github.com/spf13/cobra"
)

type zoneRequest struct {
	Zone      string `json:"zone"`
	Evacuated bool   `json:"evacuated"`
}

type evacuationList struct {
	Evacuations []struct {
		Zone            string `json:"zone"`
		ShortRuns       int    `json:"short_runs"`
		LongRunningRuns int    `json:"long_running_runs"`
	} `json:"evacuations"`
}

func newZone(c *adminClient) *cobra.Command {
	cmd := &cobra.Command{Use: "zone", Short: "Evacuate availability zones"}
	cmd.AddCommand(
		newZoneChange(c, "evacuate ZONE", "Request that nothing more is started in a zone", http.MethodPut),
		newZoneChange(c, "restore ZONE", "Remove the request to evacuate a zone", http.MethodDelete),
		&cobra.Command{
			Use:   "list",
			Short: "List the evacuated zones with the runs still there",
			Args:  cobra.NoArgs,
			RunE: func(cmd *cobra.Command, _ []string) error {
				var list evacuationList
				if err := c.call(cmd.Context(), http.MethodGet, "/evacuations", nil, nil, &list); err != nil {
					return err
				}
				return c.print(cmd, list, func(w io.Writer) {
					fmt.Fprintln(w, "ZONE\tSHORT RUNS\tLONG-RUNNING")
					for _, e := range list.Evacuations {
						fmt.Fprintf(w, "%s\t%d\t%d\n", e.Zone, e.ShortRuns, e.LongRunningRuns)
					}
				})
			},
		})
	return cmd
}

// newZoneChange returns a command that requests an evacuation or removes the request.
func newZoneChange(c *adminClient, use, short, method string) *cobra.Command {
	return &cobra.Command{
		Use:   use,
		Short: short,
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if args[0] == "" {
				return &codedError{exitInvalid, errors.NotValidf("empty zone")}
			}
			var result zoneRequest
			if err := c.call(cmd.Context(), method, "/evacuations/"+url.PathEscape(args[0]), nil, nil, &result); err != nil {
				return err
			}
			return c.print(cmd, result, func(w io.Writer) {
				if result.Evacuated {
					fmt.Fprintf(w, "zone %s: evacuation requested\n", result.Zone)
				} else {
					fmt.Fprintf(w, "zone %s: no evacuation requested\n", result.Zone)
				}
			})
		},
	}
}
