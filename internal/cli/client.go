package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/juju/errors"
	"github.com/spf13/cobra"
)

// requestTimeout exceeds the administration API's timeout of 5 s.
const requestTimeout = 10 * time.Second

// adminClient calls the administration API of entry instances.
type adminClient struct {
	baseURLs []string
	token    string
	output   string
}

// problemDocument is the body of the API's error responses.
type problemDocument struct {
	Status         int    `json:"status"`
	Detail         string `json:"detail"`
	CurrentVersion int64  `json:"current_version"`
	Findings       []struct {
		Place   string `json:"place"`
		Message string `json:"message"`
	} `json:"findings"`
}

// Error returns the findings, one per line, or else the detail.
func (p *problemDocument) Error() string {
	if len(p.Findings) == 0 {
		return p.Detail
	}
	lines := make([]string, len(p.Findings))
	for i, f := range p.Findings {
		lines[i] = fmt.Sprintf("%s: %s", f.Place, f.Message)
	}
	return strings.Join(lines, "\n")
}

// addClientFlags adds the flags that all operator commands share.
func addClientFlags(cmd *cobra.Command, c *adminClient) {
	f := cmd.PersistentFlags()
	f.StringSliceVar(&c.baseURLs, "api", []string{envOr("POLLENFORD_API", "http://127.0.0.1:7100")},
		"URL of an entry instance (or POLLENFORD_API); reports accept several")
	f.StringVar(&c.token, "token", os.Getenv("POLLENFORD_TOKEN"), "operator token (or POLLENFORD_TOKEN)")
	f.StringVarP(&c.output, "output", "o", "text", "output format: text or json")
}

func envOr(name, fallback string) string {
	if v := os.Getenv(name); v != "" {
		return v
	}
	return fallback
}

// call sends a request to the first entry instance. A []byte body is sent as is, any other non-nil body as JSON.
func (c *adminClient) call(ctx context.Context, method, path string, header http.Header, body, result any) error {
	return c.callAt(ctx, c.baseURLs[0], method, path, header, body, result)
}

func (c *adminClient) callAt(ctx context.Context, base, method, path string,
	header http.Header, body, result any) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	data, raw := body.([]byte)
	if !raw && body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			return errors.Trace(err)
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, base+"/v1/admin"+path, bytes.NewReader(data))
	if err != nil {
		return &codedError{exitInvalid, err}
	}
	req.Header.Set("Content-Type", "application/json")
	for name, values := range header {
		req.Header[name] = values
	}
	req.Header.Set("Authorization", "Bearer "+c.token)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return &codedError{exitUnknownOutcome, errors.Annotate(err, "no response, outcome unknown")}
	}
	defer res.Body.Close()
	response, err := io.ReadAll(res.Body)
	if err != nil {
		return &codedError{exitUnknownOutcome, errors.Annotate(err, "incomplete response, outcome unknown")}
	}
	if res.StatusCode/100 != 2 {
		return apiError(res.StatusCode, response)
	}
	return errors.Trace(json.Unmarshal(response, result))
}

func apiError(status int, body []byte) error {
	problem := &problemDocument{Status: status}
	if json.Unmarshal(body, problem) != nil || problem.Detail == "" {
		problem.Detail = fmt.Sprintf("status %d: %s", status, bytes.TrimSpace(body))
	}
	switch status {
	case http.StatusBadRequest:
		return &codedError{exitInvalid, problem}
	case http.StatusUnprocessableEntity:
		return &codedError{exitInvalidConfig, problem}
	case http.StatusPreconditionFailed:
		return &codedError{exitConflict, problem}
	case http.StatusGatewayTimeout:
		return &codedError{exitUnknownOutcome, problem}
	}
	return problem
}

// print writes value as JSON, or as the text that table writes to a tabwriter.
func (c *adminClient) print(cmd *cobra.Command, value any, table func(w io.Writer)) error {
	out := cmd.OutOrStdout()
	switch c.output {
	case "json":
		enc := json.NewEncoder(out)
		enc.SetIndent("", "  ")
		return errors.Trace(enc.Encode(value))
	case "text":
		w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
		table(w)
		return errors.Trace(w.Flush())
	}
	return &codedError{exitInvalid, errors.Errorf("unknown output format %q", c.output)}
}
