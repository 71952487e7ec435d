package overload

import (
	"math"
	"slices"
	"time"
)

// level is what a plan leaves to the jobs of an urgency and, once these are served, to less urgent ones.
type level struct {
	urgency          int
	free, left, rest timeline
}

const (
	// rejectMargin is by how much the capacity until a job's late objective must fall short before it is rejected. Estimates
	// are off, and pools may fetch more instances than are on their way.
	rejectMargin = 1.5
	// minRetry and maxRetry bound the time after which a rejected client returns: not before the next plans, and soon
	// enough that capacity which came unexpectedly is not missed for long.
	minRetry = time.Second
	maxRetry = 20 * time.Second
)

// Admit reports whether a new job may be accepted by the last plan: it can be in time beside the kept jobs, behind all work
// that waits and is at least as urgent it ends by its late objective, or its organisation is within its fair share until
// then. The forecast counts an accepted job from then on. For others it returns when to retry; spread, in [0, 1),
// distributes the clients that were rejected together.
func (p *Planner) Admit(j *Job, late time.Duration, spread float64) (retry time.Duration, ok bool) {
	if l := p.levelOf(j.Urgency); l.left.has(j.Stages, &l.free, 1-shareOfNew) {
		l.left.take(j.Stages)
		p.backlog.Add(j.Urgency, j.Organisation, j.work())
		return 0, true
	}
	work := j.work()
	end := p.endOf(j.Urgency, &work, rejectMargin)
	if end <= late.Seconds() || math.IsInf(end, 1) || p.withinShare(j, late) { // a pool without capacity has no forecast
		p.backlog.Add(j.Urgency, j.Organisation, j.work())
		return 0, true
	}
	wait := p.endOf(j.Urgency, &work, 1) - late.Seconds()
	retry = min(max(time.Duration(min(wait, maxRetry.Seconds())*float64(time.Second)), minRetry), maxRetry)
	return time.Duration((1 + spread) * float64(retry)), false
}

// levelOf returns the level of an urgency, which it adds if the plan had no job of it.
func (p *Planner) levelOf(urgency int) *level {
	i, found := slices.BinarySearchFunc(p.levels, urgency, func(l level, u int) int { return l.urgency - u })
	if !found {
		free := p.whole
		if i > 0 {
			free = p.levels[i-1].rest
		}
		p.levels = slices.Insert(p.levels, i, level{urgency: urgency, free: free, left: free, rest: free})
	}
	return &p.levels[i]
}

func (j *Job) work() (sum Amount) {
	for i := range j.Stages {
		for k, w := range j.Stages[i].Work {
			sum[k] += w
		}
	}
	return sum
}

// endOf returns when work would end behind what waits and is at least as urgent, in seconds, if the room were larger by a
// factor.
func (p *Planner) endOf(urgency int, work *Amount, factor float64) float64 {
	end := 0.0
	_, backlog := p.backlog.upTo(urgency)
	for k, w := range work {
		if w == 0 {
			continue
		}
		need := (w + backlog[k]) / factor
		at := 0
		for at < intervals && p.whole[at][k] < need {
			at++
		}
		if missing := need - p.whole[at][k]; missing > 0 {
			rate := (p.whole[at][k] - p.whole[at-1][k]) / (points[at] - points[at-1])
			if rate <= 0 {
				return math.Inf(1)
			}
			end = max(end, points[at]+missing/rate)
			continue
		}
		end = max(end, points[at])
	}
	return end
}
