package owner

import "time"

// health counts evidence that a worker is sick.
type health struct {
	// failures since the last success, and when the latest was.
	failures int
	last     time.Time
}

const (
	// suspectThreshold is how many failures in a row make a worker doubtful: two tasks fail at most where a sick worker
	// stands among sound ones.
	suspectThreshold = 2
	// suspectDuration is how long a doubtful worker comes last, after which another task tries it.
	suspectDuration = 3 * time.Second
)

func (h *health) recordFailure(now time.Time) { h.failures++; h.last = now }

// recordNoAnswer takes note of an order without an answer: the next one goes elsewhere at once.
func (h *health) recordNoAnswer(now time.Time) {
	h.failures = max(h.failures+1, suspectThreshold)
	h.last = now
}

func (h *health) recordSuccess() { h.failures = 0 }

// suspectScore returns how likely the worker is sick; 0 for a sound one.
func (h *health) suspectScore(now time.Time) int {
	if h.failures < suspectThreshold || now.Sub(h.last) > suspectDuration {
		return 0
	}
	return h.failures
}
