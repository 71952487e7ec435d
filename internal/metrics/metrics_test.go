package metrics

import (
	"net/http/httptest"
	"strings"
	"testing"
)

// Guards against counters that are missing from the scrape endpoint or lack the tags of their entry instance.
func TestCountersReachTheScrapeEndpoint(t *testing.T) {
	m := New("entry-1", "az-1")
	scope := m.Scope.SubScope("requests").Tagged(map[string]string{"outcome": "not-run"})
	for range 3 {
		scope.Counter("total").Inc(1)
	}
	if err := m.Close(); err != nil { // Close flushes the counters
		t.Fatal(err)
	}
	rec := httptest.NewRecorder()
	m.Handler.ServeHTTP(rec, httptest.NewRequest("GET", "/metrics", nil))
	want := `pollenford_requests_total{entry="entry-1",outcome="not-run",zone="az-1"} 3`
	if !strings.Contains(rec.Body.String(), want) {
		t.Fatalf("scrape lacks %s:\n%s", want, rec.Body)
	}
}
