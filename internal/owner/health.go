package owner

import "time"

// health counts evidence that a worker is sick.
type health struct {
	// failures since the last success, and when the latest was.
	failures int
	last     time.Time
}

const (
	// doubtAfter is how many failures in a row make a worker doubtful: two tasks fail at most where a sick worker
	// stands among sound ones.
	doubtAfter = 2
	// doubtFor is how long a doubtful worker comes last, after which another task tries it.
	doubtFor = 3 * time.Second
)

func (h *health) failed(now time.Time) { h.failures++; h.last = now }

// silent takes note of an order without an answer: the next one goes elsewhere at once.
func (h *health) silent(now time.Time) { h.failures = max(h.failures+1, doubtAfter); h.last = now }

func (h *health) succeeded() { h.failures = 0 }

// doubt returns how likely the worker is sick; 0 for a sound one.
func (h *health) doubt(now time.Time) int {
	if h.failures < doubtAfter || now.Sub(h.last) > doubtFor {
		return 0
	}
	return h.failures
}
