package configcheck

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"slices"

	"github.com/pollenford/pollenford/internal/catalog"
	"github.com/pollenford/pollenford/internal/finding"
)

// Difference is a field that differs between two versions. A nil value means that the entry is missing.
type Difference struct {
	Place string `json:"place"`
	From  any    `json:"from"`
	To    any    `json:"to"`
}

// String returns "place: old value -> new value".
func (d Difference) String() string {
	text := func(v any) string {
		if v == nil {
			return "(none)"
		}
		data, err := json.Marshal(v)
		if err != nil {
			return fmt.Sprint(v)
		}
		return string(data)
	}
	return fmt.Sprintf("%s: %s -> %s", d.Place, text(d.From), text(d.To))
}

// fields holds the values of an entry by field.
type fields map[string]any

// Compare adds the differences from another version to the report of a configuration. A version lower than that of the
// other configuration is a finding: nodes never apply it.
func (r *Report) Compare(from, to *catalog.Catalog) {
	if to.Version < from.Version {
		r.Findings = append(r.Findings, Finding{NeverMatches, finding.Finding{Place: "/version",
			Message: fmt.Sprintf("nodes do not apply version %d after version %d", to.Version, from.Version)}})
	}
	r.compare("", fields{"version": from.Version}, fields{"version": to.Version})
	r.compare("/limits", limitFields(from.Limits), limitFields(to.Limits))
	compareEntries(r, "queues", from.Queues, to.Queues, queueFields)
	compareEntries(r, "pools", from.Pools, to.Pools, poolFields)
	compareEntries(r, "organisations", from.Organisations, to.Organisations, organisationFields)
}

func compareEntries[E any](r *Report, kind string, from, to map[string]*E, fieldsOf func(*E) fields) {
	names := maps.Clone(from)
	maps.Copy(names, to)
	for _, name := range slices.Sorted(maps.Keys(names)) {
		place, a, b := finding.Pointer(kind, name), from[name], to[name]
		switch {
		case a == nil:
			r.Differences = append(r.Differences, Difference{place, nil, fieldsOf(b)})
		case b == nil:
			r.Differences = append(r.Differences, Difference{place, fieldsOf(a), nil})
		default:
			r.compare(place, fieldsOf(a), fieldsOf(b))
		}
	}
}

func (r *Report) compare(place string, from, to fields) {
	for _, name := range slices.Sorted(maps.Keys(from)) {
		if !reflect.DeepEqual(from[name], to[name]) {
			r.Differences = append(r.Differences, Difference{place + finding.Pointer(name), from[name], to[name]})
		}
	}
}

func limitFields(l catalog.HTTPLimits) fields {
	return fields{
		"max_header_bytes": l.MaxHeaderBytes, "max_body_bytes": l.MaxBodyBytes,
		"header_timeout": l.HeaderTimeout.String(), "idle_timeout": l.IdleTimeout.String(),
	}
}

func queueFields(q *catalog.Queue) fields {
	return fields{
		"host": q.Host, "prefix": q.Prefix, "pool": q.Pool, "urgency": q.Urgency, "max_attempts": q.MaxAttempts,
		"slack_factor": q.SlackFactor, "target_latency": q.TargetLatency.String(), "anonymous": q.AllowAnonymous,
		"advice": q.RequiresAdvice,
	}
}

func poolFields(p *catalog.Pool) fields {
	return fields{"enforces_capacity": p.EnforcesCapacity, "standby": p.Standby}
}

// organisationFields names keys by a part of their digest, because they are secret.
func organisationFields(o *catalog.Organisation) fields {
	keys := []string{}
	for _, key := range o.Keys {
		keys = append(keys, fmt.Sprintf("sha256:%.8x", sha256.Sum256([]byte(key))))
	}
	slices.Sort(keys)
	return fields{
		"keys": keys, "weight": o.Weight, "limit.cpu": o.Limit.CPU, "limit.memory_mb": o.Limit.MemoryMB, "limit.gpu": o.Limit.GPU,
	}
}
