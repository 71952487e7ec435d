package pool

import (
	"testing"
	"time"
)

// Large jobs of several steps: the capacity for a step is needed when its predecessors end, which is known a move ahead.
// The rate of arrivals forgets such a job a second after it came.
func TestLargeJobsAreExpectedByStep(t *testing.T) {
	const lead = 1500 * time.Millisecond
	step := func(tasks int, after ...int) ActiveStep {
		return ActiveStep{Unfinished: tasks, CPU: 4000, Estimate: 1700 * time.Millisecond, After: after}
	}
	began := func(s ActiveStep, ago time.Duration) ActiveStep {
		s.Started, s.Elapsed = true, ago
		return s
	}
	for name, c := range map[string]struct {
		steps []ActiveStep
		want  int64
	}{
		"accepted now: the first step still runs":          {[]ActiveStep{step(3), step(24, 0)}, 12_000},
		"the first step is about to end: the next one":     {[]ActiveStep{began(step(3), time.Second), step(24, 0)}, 96_000},
		"the first step has ended, the next one waits":     {[]ActiveStep{step(0), step(24, 0)}, 96_000},
		"the last step is about to end: nothing":           {[]ActiveStep{step(0), began(step(24, 0), time.Second)}, 0},
		"the first step takes longer than estimated":       {[]ActiveStep{began(step(1), 5*time.Second), step(24, 0)}, 96_000},
		"a job that has ended: nothing":                    {[]ActiveStep{step(0), step(0, 0)}, 0},
		"two steps after the same one":                     {[]ActiveStep{began(step(1), time.Second), step(2, 0), step(3, 0)}, 20_000},
		"a step after the longer of two":                   {[]ActiveStep{began(step(1), time.Second), step(1), step(5, 0, 1)}, 4000},
		"a short step that waits will have ended: nothing": {[]ActiveStep{{Unfinished: 9, CPU: 1000, Estimate: time.Second}}, 0},
	} {
		if got := ExpectedCPU(c.steps, lead); got != c.want {
			t.Errorf("%s: %d, want %d", name, got, c.want)
		}
	}
}
