package owner

import (
	"time"

	"github.com/pollenford/pollenford/internal/instances"
)

// markDueForMaintenance sets which instances an incomplete wave is going to take down.
func (o *Owner) markDueForMaintenance() {
	for _, inst := range o.fleet.instances {
		inst.dueForMaintenance = false
	}
	for _, w := range o.fleet.waves {
		if !w.hasSpec || w.progress.Completed {
			continue
		}
		for _, id := range w.Instances {
			if inst := o.fleet.instances[id]; inst != nil && !w.begun[id] {
				inst.dueForMaintenance = true
			}
		}
	}
}

func (o *Owner) isDueForMaintenance(w *worker) bool {
	inst := o.fleet.instances[w.info.Instance]
	return inst != nil && inst.dueForMaintenance
}

// relocate moves long-running tasks out of evacuated zones, and away from instances that are due for maintenance before
// these are cordoned. A step loses one task at a time, and a task takes about a second until it is at work again: a wave
// in which many tasks of one step have to move meets its deadline only if their moves begin with it and go on without a
// pause.
func (o *Owner) relocate(now time.Time) {
	if o.startsHeld() {
		return // a task that is stopped could not start elsewhere
	}
	for _, p := range o.relocationCandidates(now) {
		if !o.mayRelocateOne(p) {
			continue
		}
		task, _ := p.job.progress.Task(p.ref)
		w := o.workers[task.Worker]
		evacuated := o.evacuated(w)
		suits := func(other *worker) bool { return evacuated || !o.isDueForMaintenance(other) }
		if o.countEligible(p.job, p.ref.Occurrence, p.ref.Step, suits) == 0 {
			o.blockedEvictions = append(o.blockedEvictions, p)
			continue
		}
		if evacuated {
			o.metrics.zoneEvictions.Inc(1)
		}
		o.evict(w, p)
	}
}

// relocationCandidates returns a long-running task to move for each step that has any in an evacuated zone, or on an
// instance that is due for maintenance and not cordoned yet.
func (o *Owner) relocationCandidates(now time.Time) map[stepKey]*placement {
	candidates := map[stepKey]*placement{}
	for _, inst := range o.fleet.instances {
		w := o.workers[inst.info.Worker]
		if !inst.dueForMaintenance || inst.info.State != instances.Up || w == nil || !o.usable(w, now) {
			continue
		}
		for _, p := range w.runs {
			if p.step().LongRunning && !p.step().AtMostOnce && !p.leaving() {
				candidates[p.stepKey()] = p
			}
		}
	}
	for _, w := range o.workers {
		if !w.sessionEstablished || o.cordoned(w) || !o.evacuated(w) {
			continue // a wave moves the tasks of a cordoned instance
		}
		for _, p := range w.runs {
			if p.step().LongRunning && p.mayRelocate() && !p.leaving() {
				candidates[p.stepKey()] = p
			}
		}
	}
	return candidates
}

// mayRelocate reports whether the run may be stopped because its zone is evacuated: a gang would start anew as a whole, and
// an at-most-once task not at all.
func (p *placement) mayRelocate() bool { return !p.step().AtMostOnce && !p.step().Gang }

// mayRelocateOne reports whether the step's availability budget allows to move one task. A step without a budget moves
// its tasks one by one as well.
func (o *Owner) mayRelocateOne(p *placement) bool {
	return o.countUnavailable(p.job, p.ref.Occurrence, p.ref.Step) < max(1, p.step().MaxUnavailable)
}
