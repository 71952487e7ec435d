// Package schedule decides which work goes first and where it goes. It is pure: values and a time in, decisions out.
package schedule

import (
	"time"

	"github.com/pollenford/pollenford/internal/workload"
)

// Objective tells until when the completion of a job is worth what.
type Objective struct {
	// FullCreditUntil is the time until which completion earns everything, PartialCreditUntil until which it earns a part.
	FullCreditUntil, PartialCreditUntil time.Time
}

// lateFactor is by how much a job may exceed its objective and still earn the late part, as the users state it.
const lateFactor = 3

// NewObjective derives the objective of a job from its longest chain of work.
func NewObjective(from time.Time, chain time.Duration, slack float64, target time.Duration) Objective {
	allowed := time.Duration(slack*float64(chain)) + target
	return Objective{FullCreditUntil: from.Add(allowed), PartialCreditUntil: from.Add(lateFactor * allowed)}
}

// CriticalPath returns the longest chain of estimated work from each step on, the step included, and over the whole job.
func CriticalPath(steps []workload.Step) (from []time.Duration, longest time.Duration) {
	from = make([]time.Duration, len(steps))
	for i := len(steps) - 1; i >= 0; i-- {
		from[i] += steps[i].Estimate
		longest = max(longest, from[i])
		for _, before := range steps[i].After {
			from[before] = max(from[before], from[i])
		}
	}
	return from, longest
}

// Demand is what a ready job asks for, as far as its order is concerned.
type Demand struct {
	// LongRunning work serves its own users all the time and goes first.
	LongRunning bool
	// Urgency is that of the queue; 0 comes first.
	Urgency int
	Objective
	// Remaining is the longest chain of work that remains.
	Remaining time.Duration
	ID        string
}

// rank groups demands: what can still earn everything, then the late part, then the rest.
func (d *Demand) rank(now time.Time) int {
	end := now.Add(d.Remaining)
	switch {
	case d.LongRunning:
		return 0
	case !end.After(d.FullCreditUntil):
		return 1
	case !end.After(d.PartialCreditUntil):
		return latePart
	}
	return latePart + 1
}

// latePart is the rank of what can no longer earn everything.
const latePart = 2

// IsLate reports whether the work can no longer meet its objective in full.
func (d *Demand) IsLate(now time.Time) bool { return d.rank(now) >= latePart }

// Before reports whether a goes before b. Within a rank the urgent queue goes first, then the job with the least time to
// spare, so that a peak of short jobs does not push those that have waited over their objective.
func Before(a, b *Demand, now time.Time) bool {
	if ra, rb := a.rank(now), b.rank(now); ra != rb {
		return ra < rb
	}
	if a.Urgency != b.Urgency {
		return a.Urgency < b.Urgency
	}
	sa, sb := a.FullCreditUntil.Add(-a.Remaining), b.FullCreditUntil.Add(-b.Remaining)
	if !sa.Equal(sb) {
		return sa.Before(sb)
	}
	return a.ID < b.ID
}
