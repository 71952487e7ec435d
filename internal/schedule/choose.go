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
	// StepTasks is how many tasks of the same occurrence of the step it runs.
	StepTasks int
	// Excluded tells that the queue's policy does not allow the step there.
	Excluded bool
	// SuspectScore is how likely the worker is sick: 0 for a sound one.
	SuspectScore int
}

// fits reports whether a task of the step may run on the candidate.
func (c *Candidate) fits(step *workload.Step) bool {
	return !c.Excluded && step.ReservedResources().FitsIn(c.Free) && (step.RequiredLabel == "" || c.HasLabel) &&
		(step.MaxPerWorker == 0 || c.StepTasks < step.MaxPerWorker)
}

// SelectWorker returns the index of the best candidate for a task of a step, or -1. The least doubtful goes first, then one on
// the rack of the data, then one with the fewest tasks of the step, so that the loss of a worker costs a step little,
// then the fullest, so that others stay empty for large tasks and for maintenance.
func SelectWorker(step *workload.Step, candidates []Candidate) int {
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
	if a.SuspectScore != b.SuspectScore {
		return a.SuspectScore < b.SuspectScore
	}
	if near, far := a.Rack == step.DataRack, b.Rack == step.DataRack; step.DataRack != "" && near != far {
		return near
	}
	if a.StepTasks != b.StepTasks && step.LongRunning {
		return a.StepTasks < b.StepTasks
	}
	return a.Free.CPU < b.Free.CPU
}
