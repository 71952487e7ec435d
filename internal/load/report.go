package load

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
	"github.com/juju/errors"
)

// outcome is the result of a request as its caller sees it.
type outcome string

const (
	outcomeAnswered    outcome = "answered"
	outcomeNotRun      outcome = "not-run"
	outcomeFailed      outcome = "failed"
	outcomeUnknown     outcome = "unknown"
	outcomeWrongAnswer outcome = "wrong-answer"
	outcomeNotSent     outcome = "not-sent"
)

// Range and precision of the latency histograms.
const (
	minLatencyMicros   = 1
	maxLatencyMicros   = 10 * 60 * 1_000_000
	significantFigures = 3
)

type classStats struct {
	counts  map[outcome]int
	latency *hdr.Histogram // of answered requests, in microseconds
}

func newClassStats() *classStats {
	return &classStats{counts: map[outcome]int{}, latency: hdr.New(minLatencyMicros, maxLatencyMicros, significantFigures)}
}

func (s *classStats) add(result outcome, latency time.Duration) {
	s.counts[result]++
	if result == outcomeAnswered {
		// RecordValue cannot fail within the range.
		_ = s.latency.RecordValue(min(max(latency.Microseconds(), minLatencyMicros), maxLatencyMicros))
	}
}

// ClassReport holds the outcomes and latencies of one class of requests.
type ClassReport struct {
	Class    string         `json:"class"`
	Requests int            `json:"requests"`
	Outcomes map[string]int `json:"outcomes"`
	P50MS    float64        `json:"p50_ms"`
	P99MS    float64        `json:"p99_ms"`
	MaxMS    float64        `json:"max_ms"`
}

// Bounds of the failures in a report.
const (
	maxFailures    = 20
	maxDetailBytes = 300
)

// Failure describes a request that was not answered.
type Failure struct {
	Class   string `json:"class"`
	Outcome string `json:"outcome"`
	// AtSeconds is when the request was first sent, since the start of the load test; MS is how long it took.
	AtSeconds float64 `json:"at_seconds"`
	MS        float64 `json:"ms"`
	// Detail is the response or the error of the last attempt.
	Detail string `json:"detail"`
}

// Report holds the results of a load test.
type Report struct {
	Profile string `json:"profile"`
	Seed    uint64 `json:"seed"`
	// Seconds is the elapsed time of the load test.
	Seconds float64 `json:"seconds"`
	// AnsweredPerSecond is the goodput.
	AnsweredPerSecond float64       `json:"answered_per_second"`
	Total             ClassReport   `json:"total"`
	Classes           []ClassReport `json:"classes"`
	// Failures holds the first requests without an answer, in the order in which they ended.
	Failures []Failure `json:"failures,omitempty"`
}

// WrongAnswers returns the number of answers that belong to another request.
func (r *Report) WrongAnswers() int { return r.Total.Outcomes[string(outcomeWrongAnswer)] }

func (g *generator) report(elapsed time.Duration) *Report {
	g.mu.Lock()
	defer g.mu.Unlock()
	total := newClassStats()
	r := &Report{
		Profile: g.opts.Profile.Name, Seed: g.opts.Seed, Seconds: elapsed.Seconds(), Failures: slices.Clone(g.failures),
	}
	for i, s := range g.stats {
		r.Classes = append(r.Classes, classReport(g.opts.Profile.Classes[i].Name, s))
		for result, n := range s.counts {
			total.counts[result] += n
		}
		total.latency.Merge(s.latency)
	}
	r.Total = classReport("total", total)
	r.AnsweredPerSecond = float64(total.counts[outcomeAnswered]) / elapsed.Seconds()
	return r
}

func classReport(name string, s *classStats) ClassReport {
	r := ClassReport{Class: name, Outcomes: map[string]int{}}
	for result, n := range s.counts {
		r.Outcomes[string(result)] = n
		r.Requests += n
	}
	r.P50MS = milliseconds(s.latency.ValueAtPercentile(50))
	r.P99MS = milliseconds(s.latency.ValueAtPercentile(99))
	r.MaxMS = milliseconds(s.latency.Max())
	return r
}

func milliseconds(micros int64) float64 { return float64(micros) / 1000 }

// Write writes the report as a text table.
func (r *Report) Write(out io.Writer) error {
	fmt.Fprintf(out, "profile %s, seed %d, %.1f s, %.1f answered per second\n",
		r.Profile, r.Seed, r.Seconds, r.AnsweredPerSecond)
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "CLASS\tREQUESTS\tANSWERED\tNOT-RUN\tFAILED\tUNKNOWN\tWRONG\tNOT-SENT\tP50 ms\tP99 ms\tMAX ms\t")
	for _, c := range append(r.Classes, r.Total) {
		o := c.Outcomes
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t\n", c.Class, c.Requests,
			o[string(outcomeAnswered)], o[string(outcomeNotRun)], o[string(outcomeFailed)], o[string(outcomeUnknown)],
			o[string(outcomeWrongAnswer)], o[string(outcomeNotSent)], c.P50MS, c.P99MS, c.MaxMS)
	}
	if err := w.Flush(); err != nil {
		return errors.Trace(err)
	}
	for _, f := range r.Failures {
		fmt.Fprintf(out, "%s at %.1f s was %s after %.0f ms: %s\n", f.Class, f.AtSeconds, f.Outcome, f.MS, f.Detail)
	}
	return nil
}
