package schedule

import (
	"slices"
	"time"

	"github.com/pollenford/pollenford/internal/catalog"
)

// Victim is a run that saves its progress and may be stopped for more urgent work.
type Victim struct {
	// Worker is the index of its worker, whose free room counts as well.
	Worker    int
	Resources catalog.Resources
	// Urgency is that of its queue; 0 comes first.
	Urgency int
	// RunTime is how long it has run since it was started.
	RunTime time.Duration
}

// minRun is how long a run is left alone, so that stopping it again and again doesn't keep it from ending: what it costs
// to stop and resume it in the users' deployments (0.8 s) is little against that.
const minRun = 2 * time.Second

// SelectVictims chooses runs to stop so that up to count tasks that need an amount each find room. Less urgent runs go first,
// then those that began last, which lose least. It returns indices of victims. It answers a peak of urgent work that meets
// a pool full of long runs.
func SelectVictims(need catalog.Resources, urgency, count int, free []catalog.Resources, victims []Victim) []int {
	order := make([]int, 0, len(victims))
	for i, v := range victims {
		if v.Urgency > urgency && v.RunTime >= minRun {
			order = append(order, i)
		}
	}
	slices.SortStableFunc(order, func(a, b int) int {
		if victims[a].Urgency != victims[b].Urgency {
			return victims[b].Urgency - victims[a].Urgency
		}
		return int(victims[a].RunTime - victims[b].RunTime)
	})
	var chosen []int
	room := slices.Clone(free)
	pending := map[int][]int{} // victims of a worker that do not make room for a task yet
	for _, i := range order {
		w := victims[i].Worker
		room[w] = room[w].Add(victims[i].Resources)
		pending[w] = append(pending[w], i)
		for count > 0 && need.FitsIn(room[w]) {
			room[w] = room[w].Sub(need)
			chosen = append(chosen, pending[w]...)
			pending[w] = nil
			count--
		}
		if count == 0 {
			break
		}
	}
	return chosen
}
