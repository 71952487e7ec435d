package schedule

import (
	"github.com/pollenford/pollenford/internal/catalog"
	"github.com/pollenford/pollenford/internal/workload"
)

// Candidate is a worker that may take a task.
type Candidate struct {
	Free catalog.Resources
	Rack string
	// HasLabel tells whether the worker carries the step's label.
	HasLabel bool
	// OnStep is how many tasks of the same occurrence of the step it runs.
	OnStep int
	// Barred tells that the queue's policy does not allow the step there.
	Barred bool
	// Doubt is how likely the worker is sick: 0 for a sound one.
	Doubt int
}

// fits reports whether a task of the step may run on the candidate.
func (c *Candidate) fits(step *workload.Step) bool {
	return !c.Barred && step.Counted().Within(c.Free) && (step.Label == "" || c.HasLabel) &&
		(step.MaxPerWorker == 0 || c.OnStep < step.MaxPerWorker)
}

// Choose returns the index of the best candidate for a task of a step, or -1. The least doubtful goes first, then one on
// the rack of the data, then one with the fewest tasks of the step, so that the loss of a worker costs a step little,
// then the fullest, so that others stay empty for large tasks and for maintenance.
func Choose(step *workload.Step, candidates []Candidate) int {
	best := -1
	for i := range candidates {
		c := &candidates[i]
		if c.fits(step) && (best < 0 || better(step, c, &candidates[best])) {
			best = i
		}
	}
	return best
}

func better(step *workload.Step, a, b *Candidate) bool {
	if a.Doubt != b.Doubt {
		return a.Doubt < b.Doubt
	}
	if near, far := a.Rack == step.DataRack, b.Rack == step.DataRack; step.DataRack != "" && near != far {
		return near
	}
	if a.OnStep != b.OnStep && step.LongRunning {
		return a.OnStep < b.OnStep
	}
	return a.Free.CPU < b.Free.CPU
}
