// Package metrics exposes the metrics of an entry instance for scraping, through tally with its Prometheus reporter.
package metrics

import (
	"io"
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// reportInterval is how often metrics are passed to the reporter.
const reportInterval = time.Second

// Metrics holds the root scope of an entry instance. Subsystems use sub-scopes named after them.
type Metrics struct {
	Scope   tally.Scope
	Handler http.Handler // serves the scrape endpoint
	closer  io.Closer
}

// New returns metrics whose names start with "pollenford" and which carry the tags entry and zone.
func New(entry, zone string) *Metrics {
	// A name registered twice is kept once.
	reporter := prometheus.NewReporter(prometheus.Options{OnRegisterError: func(error) {}})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         "pollenford",
		Tags:           map[string]string{"entry": entry, "zone": zone},
		CachedReporter: reporter,
		Separator:      prometheus.DefaultSeparator,
	}, reportInterval)
	return &Metrics{Scope: scope, Handler: reporter.HTTPHandler(), closer: closer}
}

// Close flushes the metrics and stops the reporter.
func (m *Metrics) Close() error { return m.closer.Close() }
