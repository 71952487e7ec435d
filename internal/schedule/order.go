// Package schedule orders and places work. Its functions depend on their arguments only: no clock, state or I/O.
package schedule

import (
	"time"

	"github.com/pollenford/pollenford/internal/workload"
)

// Objective is the latency objective of a job.
type Objective struct {
	// Completion earns full credit until FullCreditUntil and partial credit until PartialCreditUntil.
	FullCreditUntil, PartialCreditUntil time.Time
}

// partialCreditFactor is how far a job may exceed its allowed time and still earn partial credit, as the users specify.
const partialCreditFactor = 3

// NewObjective returns the objective of a job received at from: slack times its critical path, plus target.
func NewObjective(from time.Time, criticalPath time.Duration, slack float64, target time.Duration) Objective {
	allowed := time.Duration(slack*float64(criticalPath)) + target
	return Objective{FullCreditUntil: from.Add(allowed), PartialCreditUntil: from.Add(partialCreditFactor * allowed)}
}

// CriticalPath returns the longest path of estimates that starts at each step, the step included, and the longest of
// the whole job. Steps list only earlier steps as predecessors.
func CriticalPath(steps []workload.Step) (from []time.Duration, longest time.Duration) {
	from = make([]time.Duration, len(steps))
	for i := len(steps) - 1; i >= 0; i-- {
		from[i] += steps[i].Estimate
		longest = max(longest, from[i])
		for _, predecessor := range steps[i].After {
			from[predecessor] = max(from[predecessor], from[i])
		}
	}
	return from, longest
}

// Demand holds the properties of a ready job that determine its order.
type Demand struct {
	// LongRunning work serves its users continuously and goes first.
	LongRunning bool
	// Urgency is the urgency of the queue; 0 comes first.
	Urgency int
	Objective
	// Remaining is the critical path of the unfinished work.
	Remaining time.Duration
	// Reserve is what the slack leaves out, since the path may take longer.
	Reserve time.Duration
	ID      string
	// Deferred work gives way to all other work that can be in time.
	Deferred bool
}

// rank groups demands: long-running, then those that can earn full credit, the deferred ones among these, then those that
// can earn partial credit and none.
func (d *Demand) rank(now time.Time) int {
	end := now.Add(d.Remaining)
	switch {
	case d.LongRunning:
		return 0
	case !end.After(d.FullCreditUntil):
		if d.Deferred {
			return rankDeferred
		}
		return 1
	case !end.After(d.PartialCreditUntil):
		return rankDeferred + 1
	}
	return rankDeferred + 2
}

// rankDeferred is the rank of demands that could earn full credit only at the cost of others. Those of higher ranks can no
// longer earn it.
const rankDeferred = 2

// IsLate reports whether the work can no longer earn full credit or gives way to work that can.
func (d *Demand) IsLate(now time.Time) bool { return d.rank(now) >= rankDeferred }

// Before reports whether a goes before b. Within a rank the more urgent queue goes first, then the job with the least
// slack, so that a peak of short jobs does not make jobs that have waited longer miss their objective.
func Before(a, b *Demand, now time.Time) bool {
	if rankA, rankB := a.rank(now), b.rank(now); rankA != rankB {
		return rankA < rankB
	}
	if a.Urgency != b.Urgency {
		return a.Urgency < b.Urgency
	}
	latestStartA, latestStartB := a.FullCreditUntil.Add(-a.Remaining-a.Reserve), b.FullCreditUntil.Add(-b.Remaining-b.Reserve)
	if !latestStartA.Equal(latestStartB) {
		return latestStartA.Before(latestStartB)
	}
	return a.ID < b.ID
}
