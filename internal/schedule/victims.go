package schedule

import (
	"slices"
	"time"

	"github.com/pollenford/pollenford/internal/catalog"
)

// Victim is a resumable run that may be preempted by more urgent work.
type Victim struct {
	// Worker is the index of the run's worker in the list of free capacities.
	Worker    int
	Resources catalog.Resources
	// Urgency is the urgency of the run's queue; 0 comes first.
	Urgency int
	// RunTime is the time since the run started.
	RunTime time.Duration
}

// minRunTime is how long a run is exempt from preemption, so that repeated preemption does not keep it from finishing.
// Stopping and resuming a run costs 0.8 s in the users' deployments, a small part of minRunTime.
const minRunTime = 2 * time.Second

// SelectVictims returns the indices of runs to preempt so that up to count tasks with the given need fit, free capacity
// included. The least urgent runs go first, then the most recently started, which lose the least work. It lets urgent
// work start at a peak when long runs fill the pool.
func SelectVictims(need catalog.Resources, urgency, count int, free []catalog.Resources, victims []Victim) []int {
	candidates := make([]int, 0, len(victims))
	for i, v := range victims {
		if v.Urgency > urgency && v.RunTime >= minRunTime {
			candidates = append(candidates, i)
		}
	}
	slices.SortStableFunc(candidates, func(a, b int) int {
		if victims[a].Urgency != victims[b].Urgency {
			return victims[b].Urgency - victims[a].Urgency
		}
		return int(victims[a].RunTime - victims[b].RunTime)
	})
	var selected []int
	available := slices.Clone(free)
	pending := map[int][]int{} // victims by worker that do not suffice for a task yet
	for _, i := range candidates {
		worker := victims[i].Worker
		available[worker] = available[worker].Add(victims[i].Resources)
		pending[worker] = append(pending[worker], i)
		for count > 0 && need.FitsIn(available[worker]) {
			available[worker] = available[worker].Sub(need)
			selected = append(selected, pending[worker]...)
			pending[worker] = nil
			count--
		}
		if count == 0 {
			break
		}
	}
	return selected
}
