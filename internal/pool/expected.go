package pool

import "time"

// ActiveStep is the state of a step of an accepted job.
type ActiveStep struct {
	// Unfinished is the number of tasks that have not ended, each of which needs CPU thousandths of a core.
	Unfinished int
	CPU        int64
	Estimate   time.Duration
	// After lists the steps, all earlier ones, that must finish first.
	After []int
	// Started reports whether a task has been placed, Elapsed the time since the first was.
	Started bool
	Elapsed time.Duration
}

// ExpectedCPU returns the capacity that an accepted job will use after lead if none of its tasks has to wait, in
// thousandths of a core. Unlike arrivals, from which the rate of later work is guessed, its steps are known.
func ExpectedCPU(steps []ActiveStep, lead time.Duration) int64 {
	total := int64(0)
	ends := make([]time.Duration, len(steps))
	for i := range steps {
		s := &steps[i]
		if s.Unfinished == 0 {
			continue
		}
		start, remaining := time.Duration(0), s.Estimate
		for _, predecessor := range s.After {
			start = max(start, ends[predecessor])
		}
		if s.Started {
			remaining = max(0, s.Estimate-s.Elapsed)
		}
		ends[i] = start + remaining
		if start <= lead && lead < ends[i] {
			total += int64(s.Unfinished) * s.CPU
		}
	}
	return total
}
