// Package configcheck checks a configuration before it is published and compares it to another version.
package configcheck

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"unicode"

	"github.com/juju/errors"

	"github.com/pollenford/pollenford/internal/catalog"
	"github.com/pollenford/pollenford/internal/directory"
	"github.com/pollenford/pollenford/internal/finding"
	"github.com/pollenford/pollenford/internal/operate"
	"github.com/pollenford/pollenford/internal/topic"
)

// Kind classifies a finding.
type Kind string

// Kinds of findings.
const (
	// Invalid marks what the nodes' own check finds.
	Invalid Kind = "invalid"
	// NeverMatches marks an entry that no request can match.
	NeverMatches Kind = "never-matches"
	// Contradiction marks limits that no job or request can meet.
	Contradiction Kind = "contradiction"
)

// Finding is a problem of a configuration.
type Finding struct {
	Kind Kind `json:"kind"`
	finding.Finding
}

// Report is the result of a check.
type Report struct {
	Version  int64     `json:"version"`
	Findings []Finding `json:"findings"`
	// Differences lists what changes from the version that the configuration was compared to.
	Differences []Difference `json:"differences"`
}

// minJobBytes is the size of the smallest job that the platform's clients can submit: {"steps":[{"count":1}]}.
const minJobBytes = 23

// Read decodes a configuration document. An error begins with the line and column at which the JSON is wrong.
func Read(codec directory.Codec, document []byte) (*catalog.Catalog, error) {
	record, err := codec.DecodeOperator(topic.Record{Key: codec.ConfigKey(), Value: append([]byte{}, document...)})
	if err == nil {
		return record.Catalog, nil
	}
	var syntax *json.SyntaxError
	var mismatch *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax):
		return nil, errors.Annotate(err, position(document, syntax.Offset))
	case errors.As(err, &mismatch):
		return nil, errors.Annotate(err, position(document, mismatch.Offset))
	}
	return nil, errors.Trace(err)
}

// position returns the line and column of the last byte before an offset, both from 1.
func position(document []byte, offset int64) string {
	before := string(document[:min(max(offset-1, 0), int64(len(document)))])
	return fmt.Sprintf("%d:%d", strings.Count(before, "\n")+1, len(before)-strings.LastIndexByte(before, '\n'))
}

// Check returns the findings of a configuration: those of the nodes' own check, and further ones on entries without any.
func Check(c *catalog.Catalog) *Report {
	k := &checker{report: &Report{Version: c.Version, Findings: []Finding{}, Differences: []Difference{}}}
	for _, f := range c.Findings {
		k.report.Findings = append(k.report.Findings, Finding{Invalid, f})
	}
	for _, name := range slices.Sorted(maps.Keys(c.Queues)) {
		k.checkQueue(c, c.Queues[name])
	}
	for _, name := range slices.Sorted(maps.Keys(c.Organisations)) {
		k.checkKeys(c, c.Organisations[name])
	}
	k.checkLimits(c)
	return k.report
}

type checker struct{ report *Report }

// add adds a finding unless one of the nodes' own check has the same place.
func (k *checker) add(kind Kind, place, format string, args ...any) {
	for _, f := range k.report.Findings {
		if f.Kind == Invalid && f.Place == place {
			return
		}
	}
	k.report.Findings = append(k.report.Findings, Finding{kind, finding.Finding{Place: place, Message: fmt.Sprintf(format, args...)}})
}

func (k *checker) checkQueue(c *catalog.Catalog, q *catalog.Queue) {
	at := func(field string) string { return finding.Pointer("queues", q.Name, field) }
	// A queue without a host is reached by its name, through the own API.
	if strings.ContainsAny(q.Host, ":/*@?# \t") {
		k.add(NeverMatches, at("host"), "no request has the host %q; a host has neither scheme, port nor wildcards", q.Host)
	}
	if p := c.Pools[q.Pool]; p != nil && p.Standby {
		k.add(Contradiction, at("pool"), "pool %q is a standby pool, which runs nothing", q.Pool)
	}
	// Without either the queue has no objective, which suits long-running jobs.
	if q.SlackFactor > 0 && q.SlackFactor < 1 && q.TargetLatency == 0 {
		k.add(Contradiction, at("objective"),
			"no job can end within its objective of %v times its critical path and %v", q.SlackFactor, q.TargetLatency)
	}
}

// checkKeys reports the keys that no request can carry. Messages name keys by their index, because they are secret.
func (k *checker) checkKeys(c *catalog.Catalog, o *catalog.Organisation) {
	place := finding.Pointer("organisations", o.Name, "keys")
	for i, key := range o.Keys {
		switch {
		case key == "":
			k.add(Contradiction, place, "key %d is empty, so that every request without a key is one of this organisation", i)
		case strings.TrimRight(key, " \t") != key || strings.ContainsFunc(key, unicode.IsControl):
			k.add(NeverMatches, place, "key %d ends with white space or has control characters, which no header can carry", i)
		case c.Limits.MaxHeaderBytes > 0 && len(key) > c.Limits.MaxHeaderBytes:
			k.add(NeverMatches, place, "key %d has %d bytes, but a header at most %d", i, len(key), c.Limits.MaxHeaderBytes)
		}
	}
}

func (k *checker) checkLimits(c *catalog.Catalog) {
	l := c.Limits
	if l.MaxBodyBytes > 0 && l.MaxBodyBytes < minJobBytes {
		k.add(Contradiction, "/limits/max_body_bytes", "the smallest job has %d bytes, the limit is %d", minJobBytes, l.MaxBodyBytes)
	}
	negative := func(field string, limit int64) {
		if limit < 0 {
			k.add(Contradiction, finding.Pointer("limits", field), "must not be negative")
		}
	}
	negative("max_body_bytes", l.MaxBodyBytes)
	negative("max_header_bytes", int64(l.MaxHeaderBytes))
	negative("header_timeout", int64(l.HeaderTimeout))
	negative("idle_timeout", int64(l.IdleTimeout))
	if len(c.Document) > operate.MaxDocumentBytes {
		k.add(Contradiction, "", "the document has %d bytes, a record of the store at most %d", len(c.Document), operate.MaxDocumentBytes)
	}
}
