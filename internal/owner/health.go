package owner

import "time"

// health counts consecutive failures of a worker.
type health struct {
	// failures counts failures since the last success.
	failures    int
	lastFailure time.Time
}

const (
	// suspectThreshold is how many consecutive failures make a worker suspect. It bounds the tasks that fail on a faulty
	// worker to two while healthy ones are available.
	suspectThreshold = 2
	// suspectDuration is how long a suspect worker is chosen last; the next task after that probes it.
	suspectDuration = 3 * time.Second
)

func (h *health) recordFailure(now time.Time) { h.failures++; h.lastFailure = now }

// recordNoResponse makes the worker suspect at once, so that the next task goes elsewhere.
func (h *health) recordNoResponse(now time.Time) {
	h.failures = max(h.failures+1, suspectThreshold)
	h.lastFailure = now
}

func (h *health) recordSuccess() { h.failures = 0 }

// suspectScore returns the number of consecutive failures of a suspect worker, 0 for any other.
func (h *health) suspectScore(now time.Time) int {
	if h.failures < suspectThreshold || now.Sub(h.lastFailure) > suspectDuration {
		return 0
	}
	return h.failures
}
