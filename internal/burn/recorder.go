package burn

import (
	"net/http"
	"sync"
	"time"
)

// Definition defines a service-level objective for the requests of a queue or an organisation.
type Definition struct {
	// Queue and Organisation select the requests that the objective covers. Exactly one of them is set.
	Queue        string `json:"queue,omitempty"`
	Organisation string `json:"organisation,omitempty"`
	// Target is the fraction of good requests, between 0 and 1.
	Target float64 `json:"target"`
	// LatencyMS is the maximum latency of a good request in milliseconds.
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
	counters map[string]*counter // by name of the objective
}

// NewRecorder returns a recorder for the current objectives, by name.
func NewRecorder(objectives func() map[string]Definition) *Recorder {
	return &Recorder{objectives: objectives, counters: map[string]*counter{}}
}

// Observe counts a finished request. good reports whether it was served; latency is the time from arrival to answer. A
// served request counts as good for an objective only if it also met the objective's latency.
func (r *Recorder) Observe(queue, organisation string, good bool, latency time.Duration, now time.Time) {
	for name, d := range r.objectives() {
		if d.covers(queue, organisation) {
			withinObjective := good && latency <= time.Duration(d.LatencyMS)*time.Millisecond
			r.counter(name, d).observe(withinObjective, now)
		}
	}
}

// Observer is called for each request that was answered with an HTTP status.
type Observer func(queue, organisation string, status int, latency time.Duration)

// Answered is an Observer. Errors caused by the client count as good requests: every status below 500 except 429.
func (r *Recorder) Answered(queue, organisation string, status int, latency time.Duration) {
	good := status < http.StatusInternalServerError && status != http.StatusTooManyRequests
	r.Observe(queue, organisation, good, latency, time.Now())
}

// counter returns the counter of an objective, an empty one if the objective's window has changed.
func (r *Recorder) counter(name string, d Definition) *counter {
	r.mu.RLock()
	c := r.counters[name]
	r.mu.RUnlock()
	if c != nil && c.objectiveWindow() == d.window() {
		return c
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if c = r.counters[name]; c == nil || c.objectiveWindow() != d.window() {
		c = newCounter(d.window())
		r.counters[name] = c
	}
	return c
}

// Report returns the burn of every objective as counted by this entry instance. It deletes the counters of objectives
// that no longer exist.
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
