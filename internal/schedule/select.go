package schedule

import (
	"github.com/pollenford/pollenford/internal/catalog"
	"github.com/pollenford/pollenford/internal/workload"
)

// Candidate is a worker that may take a task.
type Candidate struct {
	Free catalog.Resources
	// Ending is held by runs that end by themselves. Reserved is the part of Free, or of what becomes free, that is held
	// back for a long-running task.
	Ending, Reserved catalog.Resources
	Rack             string
	// HasLabel reports whether the worker carries the step's required label.
	HasLabel bool
	// StepTasks is the number of tasks of the same step and occurrence on the worker.
	StepTasks int
	// Excluded reports whether the queue's policy forbids the step on the worker.
	Excluded bool
	// SuspectScore ranks how likely the worker is faulty; 0 is healthy.
	SuspectScore int
	// Starting is the number of starts sent to the worker, or about to be sent, that have no answer.
	Starting int
	// DueForMaintenance reports whether a wave is going to take the worker's instance down.
	DueForMaintenance bool
}

// MaxStarting is how many starts may wait for a worker's answer. More would wait for a connection until they time out, and
// their runs would be stopped and started again. Gangs, which start as a whole, may exceed it.
const MaxStarting = 64

// Fits reports whether a task of the step may be placed on the candidate.
func (c *Candidate) Fits(step *workload.Step) bool {
	free := c.Free
	if !step.LongRunning {
		free = free.Sub(c.Reserved)
	}
	return step.ReservedResources().FitsIn(free) && c.mayRun(step)
}

// mayRun reports whether the step's constraints allow a task on the candidate, whatever is free.
func (c *Candidate) mayRun(step *workload.Step) bool {
	return !c.Excluded && (step.Gang || c.Starting < MaxStarting) && (step.RequiredLabel == "" || c.HasLabel) &&
		(step.MaxPerWorker == 0 || c.StepTasks < step.MaxPerWorker)
}

// Reserve holds back capacity for count tasks of a long-running step that fit nowhere now, each on another candidate:
// short tasks would take whatever becomes free, and the long-running ones would not find enough at once. Candidates
// with the most free CPU, which need the fewest runs to end, go first; those that a wave is about to take down are left out.
func Reserve(step *workload.Step, candidates []Candidate, count int) {
	need := step.ReservedResources()
	for range count {
		best := -1
		for i := range candidates {
			c := &candidates[i]
			if c.Reserved != (catalog.Resources{}) || c.DueForMaintenance || !c.mayRun(step) || !need.FitsIn(c.Free.Add(c.Ending)) {
				continue
			}
			if best < 0 || c.Free.CPU > candidates[best].Free.CPU {
				best = i
			}
		}
		if best < 0 {
			return
		}
		candidates[best].Reserved = need
	}
}

// SelectWorker returns the index of the best candidate for a task, or -1. Candidates are ordered by suspect score, then
// by the rack of the step's data, then, for long-running steps, those that no wave is about to take down and by the
// fewest tasks of the step, which limits the damage of losing a worker, then by the least free CPU, which keeps others
// empty for large tasks and maintenance.
func SelectWorker(step *workload.Step, candidates []Candidate) int {
	best := -1
	for i := range candidates {
		c := &candidates[i]
		if c.Fits(step) && (best < 0 || better(step, c, &candidates[best])) {
			best = i
		}
	}
	return best
}

// better reports whether a is preferred to b.
func better(step *workload.Step, a, b *Candidate) bool {
	if a.SuspectScore != b.SuspectScore {
		return a.SuspectScore < b.SuspectScore
	}
	if aNear, bNear := a.Rack == step.DataRack, b.Rack == step.DataRack; step.DataRack != "" && aNear != bNear {
		return aNear
	}
	if a.DueForMaintenance != b.DueForMaintenance && step.LongRunning {
		return b.DueForMaintenance
	}
	if a.StepTasks != b.StepTasks && step.LongRunning {
		return a.StepTasks < b.StepTasks
	}
	return a.Free.CPU < b.Free.CPU
}
