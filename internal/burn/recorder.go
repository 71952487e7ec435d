package burn

import (
	"net/http"
	"sync"
	"time"
)

// Definition is a service-level objective for the requests of a queue or an organisation.
type Definition struct {
	// Queue or Organisation names what the objective covers. Exactly one of the two is set.
	Queue        string `json:"queue,omitempty"`
	Organisation string `json:"organisation,omitempty"`
	// Target is the fraction of good requests, between 0 and 1.
	Target float64 `json:"target"`
	// LatencyMS is the time in milliseconds within which a request counts as good.
	LatencyMS int64 `json:"latency_ms"`
	// WindowHours is the length of the error budget's window in hours.
	WindowHours int64 `json:"window_hours"`
}

func (d Definition) window() time.Duration { return time.Duration(d.WindowHours) * time.Hour }

func (d Definition) covers(queue, organisation string) bool {
	if d.Queue != "" {
		return d.Queue == queue
	}
	return d.Organisation == organisation
}

// Recorder counts the requests of one entry instance for every objective.
type Recorder struct {
	objectives func() map[string]Definition

	// mu protects counters. Each counter has its own lock.
	mu       sync.RWMutex
	counters map[string]*counter // by objective
}

// NewRecorder returns a recorder for the objectives in force, by name.
func NewRecorder(objectives func() map[string]Definition) *Recorder {
	return &Recorder{objectives: objectives, counters: map[string]*counter{}}
}

// Observe counts a request that has ended. good tells whether it was served; latency is the time from its arrival to
// the answer. It is good for an objective when it also met the objective's latency.
func (r *Recorder) Observe(queue, organisation string, good bool, latency time.Duration, now time.Time) {
	for name, d := range r.objectives() {
		if d.covers(queue, organisation) {
			met := good && latency <= time.Duration(d.LatencyMS)*time.Millisecond
			r.counter(name, d).observe(met, now)
		}
	}
}

// Observer takes note of a request that was answered with an HTTP status.
type Observer func(queue, organisation string, status int, took time.Duration)

// Answered is an Observer. A request is good if it was served, or not for a reason that its client caused.
func (r *Recorder) Answered(queue, organisation string, status int, took time.Duration) {
	good := status < http.StatusInternalServerError && status != http.StatusTooManyRequests
	r.Observe(queue, organisation, good, took, time.Now())
}

// counter returns the counter of an objective. A change of the objective's window starts new counters.
func (r *Recorder) counter(name string, d Definition) *counter {
	r.mu.RLock()
	c := r.counters[name]
	r.mu.RUnlock()
	if c != nil && c.own() == d.window() {
		return c
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if c = r.counters[name]; c == nil || c.own() != d.window() {
		c = newCounter(d.window())
		r.counters[name] = c
	}
	return c
}

// Report returns the burn of every objective as this entry instance counted it, and drops the counters of objectives
// that are gone.
func (r *Recorder) Report(entry string, now time.Time) Report {
	objectives := r.objectives()
	counts := map[string]Counts{}
	for name, d := range objectives {
		counts[name] = r.counter(name, d).counts(now)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for name := range r.counters {
		if _, ok := objectives[name]; !ok {
			delete(r.counters, name)
		}
	}
	report := Build(objectives, counts, now)
	report.Members = []string{entry}
	return report
}
