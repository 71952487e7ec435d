// Package metrics exposes what an entry instance does for scraping, through tally with its Prometheus reporter.
package metrics

import (
	"io"
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// reportInterval is how often counters reach the reporter.
const reportInterval = time.Second

// Metrics holds the root scope of an entry instance. Each subsystem takes a sub-scope named after it.
type Metrics struct {
	Scope   tally.Scope
	Handler http.Handler // serves the scrape endpoint
	closer  io.Closer
}

// New returns metrics whose names start with "pollenford". Close stops the reporting.
func New(entry, zone string) *Metrics {
	reporter := prometheus.NewReporter(prometheus.Options{OnRegisterError: func(error) {}}) // a name used twice is kept once
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         "pollenford",
		Tags:           map[string]string{"entry": entry, "zone": zone},
		CachedReporter: reporter,
		Separator:      prometheus.DefaultSeparator,
	}, reportInterval)
	return &Metrics{Scope: scope, Handler: reporter.HTTPHandler(), closer: closer}
}

// Close flushes and stops the reporting.
func (m *Metrics) Close() error { return m.closer.Close() }
