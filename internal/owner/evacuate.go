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

// evacuate moves long-running tasks away from instances that are due for maintenance, before these are cordoned. A step
// loses one task at a time, and a task takes about a second until it is at work again: a wave in which many tasks of
// one step have to move meets its deadline only if their moves begin with it and go on without a pause.
func (o *Owner) evacuate(now time.Time) {
	for _, p := range o.evacuationCandidates(now) {
		if !o.mayEvacuateOne(p) {
			continue
		}
		w := o.workers[p.job.progress.Task(p.ref).Worker]
		stays := func(other *worker) bool { return !o.isDueForMaintenance(other) }
		if o.countEligible(p.job, p.ref.Occurrence, p.ref.Step, stays) == 0 {
			o.blockedEvictions = append(o.blockedEvictions, p)
			continue
		}
		o.evict(w, p)
	}
}

// evacuationCandidates returns a long-running task to move for each step that has any on an instance that is due for
// maintenance and not cordoned yet.
func (o *Owner) evacuationCandidates(now time.Time) map[stepKey]*placement {
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
	return candidates
}

// mayEvacuateOne reports whether the step's availability budget allows to move one task. A step without a budget moves
// its tasks one by one as well.
func (o *Owner) mayEvacuateOne(p *placement) bool {
	return o.countUnavailable(p.job, p.ref.Occurrence, p.ref.Step) < max(1, p.step().MaxUnavailable)
}
