package owner

import (
	"cmp"
	"slices"
	"time"
)

// expeditedShare is the part of an overloaded pool that goes to jobs past their late objective, the oldest first, so that
// they end however long the overload lasts.
const expeditedShare = 0.05

// expedite sets the order in which the jobs past their late objective go ahead of those that can be in time, if there are
// any of these: the ones expedited before and then the oldest.
func (p *poolOverload) expedite() {
	slices.SortFunc(p.aged, func(a, b *job) int {
		if a.plan.overload.expedited != b.plan.overload.expedited {
			if a.plan.overload.expedited {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(a.spec.ReceivedMS, b.spec.ReceivedMS), cmp.Compare(a.spec.ID, b.spec.ID))
	})
	p.expeditedCPU = 0
	for i, j := range p.aged {
		d := &j.plan.overload
		if d.agedRank = i + 1; len(p.jobs) == 0 {
			d.agedRank, d.expedited = 0, false
		}
		if d.expedited {
			p.expeditedCPU += placedCPU(j)
		}
	}
}

// placedCPU returns what the placed tasks of a job's ready steps use.
func placedCPU(j *job) (cpu int64) {
	occurrence := j.progress.Current[0]
	for i := range j.spec.Steps {
		if occurrence.Ready(j.spec, i) {
			placed := occurrence.Unfinished(i) - occurrence.Tasks[i].Waiting()
			cpu += int64(placed) * j.spec.Steps[i].ReservedResources().CPU
		}
	}
	return cpu
}

// placeAhead places what goes before step i of the ordered list, once long-running work is placed: expedited jobs, and
// before the first step of each urgency the kept jobs of that urgency as far as guaranteed shares reach.
func (o *Owner) placeAhead(list []readyStep, i int, now time.Time) {
	if !o.cfg.Overload.Defer {
		return
	}
	first := i == 0 || list[i-1].demand.LongRunning
	if list[i].demand.LongRunning || !first && list[i-1].demand.Urgency == list[i].demand.Urgency {
		return
	}
	if first {
		o.placeExpedited(list[i:], now)
	}
	o.placeGuaranteed(list[i:], now)
}

// placeExpedited places tasks of aged jobs, in their order, within expeditedShare of their pools; one task if that is less.
// Only what is placed counts, so that a job that cannot be placed does not hold up the others.
func (o *Owner) placeExpedited(list []readyStep, now time.Time) {
	var aged []*readyStep
	for i := range list {
		r := &list[i]
		if r.view != nil && r.view.overload != nil && r.job.plan.overload.agedRank > 0 {
			aged = append(aged, r)
		}
	}
	slices.SortStableFunc(aged, func(a, b *readyStep) int {
		return cmp.Compare(a.job.plan.overload.agedRank, b.job.plan.overload.agedRank)
	})
	for _, r := range aged {
		left := r.expeditedLeft()
		if left <= 0 {
			continue
		}
		p, org := r.view.overload, r.job.spec.Organisation
		before := r.view.used[org]
		o.placeStep(r, map[string]int64{org: before + left}, now)
		if placed := r.view.used[org] - before; placed > 0 {
			p.expeditedCPU += placed
			r.job.plan.overload.expedited = true
		}
	}
}

// expeditedLeft returns what the expedited share leaves to a step. A gang may exceed it once, since less than its whole size
// is of no use to it.
func (r *readyStep) expeditedLeft() int64 {
	p, step := r.view.overload, &r.job.spec.Steps[r.step]
	need := step.ReservedResources().CPU
	left := int64(expeditedShare*float64(r.view.capacity)) - p.expeditedCPU
	if p.expeditedCPU == 0 {
		left = max(left, need)
	}
	if step.Gang && left > 0 {
		left = max(left, need*int64(step.Count))
	}
	return left
}

// placeGuaranteed places the kept jobs of overloaded pools as far as their organisations' guaranteed shares reach, up to the
// next urgency. Those of an organisation that floods a pool would otherwise take all that becomes free.
func (o *Owner) placeGuaranteed(list []readyStep, now time.Time) {
	for i := range list {
		r := &list[i]
		if r.demand.LongRunning || r.demand.IsLate(now) || r.demand.Urgency != list[0].demand.Urgency {
			return
		}
		if r.view != nil && r.view.overload != nil && r.view.guaranteed != nil {
			o.placeStep(r, r.view.guaranteed, now)
		}
	}
}
