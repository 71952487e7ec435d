package owner

import (
	"time"

	"github.com/pollenford/pollenford/internal/catalog"
	"github.com/pollenford/pollenford/internal/schedule"
)

// preempt stops checkpointing runs to free capacity for tasks of urgent queues that can still meet their objective.
// Capacity of runs that are already stopping counts as free.
func (o *Owner) preempt(list []readyStep, now time.Time) {
	views := map[*poolView]*preemptionView{}
	for i := range list {
		r := &list[i]
		if r.view == nil || r.queue.Urgency > 0 || r.demand.IsLate(now) {
			continue
		}
		step := &r.job.spec.Steps[r.step]
		unplaced := int(o.countWithinLimit(r))
		if unplaced == 0 || step.Gang || step.RequiredLabel != "" || step.MaxPerWorker > 0 || r.queue.RequiresAdvice {
			continue // stopping runs may not be enough to place these tasks
		}
		if views[r.view] == nil {
			views[r.view] = o.newPreemptionView(r.view, now)
		}
		if pv := views[r.view]; len(pv.victims) > 0 {
			o.preemptFor(r, pv, step.ReservedResources(), unplaced)
		}
	}
}

// preemptionView is the capacity of a pool that preemption can use.
type preemptionView struct {
	free    []catalog.Resources // by worker, including runs that are stopping
	victims []schedule.Victim
	runs    []*placement // parallel to victims
}

func (o *Owner) newPreemptionView(view *poolView, now time.Time) *preemptionView {
	pv := &preemptionView{free: make([]catalog.Resources, len(view.workers))}
	for i, w := range view.workers {
		pv.free[i] = view.candidates[i].Free
		for _, p := range w.runs {
			switch {
			case p.stopping:
				pv.free[i] = pv.free[i].Add(p.step().ReservedResources())
			case p.mayBePreempted():
				urgency := 0
				if q := o.queueOf(p.job.spec); q != nil {
					urgency = q.Urgency
				}
				pv.victims = append(pv.victims, schedule.Victim{Worker: i, Resources: p.step().ReservedResources(),
					Urgency: urgency, RunTime: now.Sub(p.confirmedAt)})
				pv.runs = append(pv.runs, p)
			}
		}
	}
	return pv
}

// preemptFor stops runs of a pool until the unplaced tasks of a step fit, with need per task.
func (o *Owner) preemptFor(r *readyStep, pv *preemptionView, need catalog.Resources, unplaced int) {
	for i := range pv.free {
		for unplaced > 0 && need.FitsIn(pv.free[i]) {
			pv.free[i] = pv.free[i].Sub(need)
			unplaced--
		}
	}
	if unplaced == 0 {
		return
	}
	for _, v := range schedule.SelectVictims(need, r.queue.Urgency, unplaced, pv.free, pv.victims) {
		victim, p := &pv.victims[v], pv.runs[v]
		w := r.view.workers[victim.Worker]
		o.metrics.preempted.Inc(1)
		o.log.Info("preempting run", "task", p.taskName, "run", p.run, "worker", w.info.ID,
			"ran_ms", victim.RunTime.Milliseconds(), "for", r.job.spec.ID, "queue", r.queue.Name)
		o.stopRun(w, p)
		victim.RunTime = 0 // below the minimum run time: not selected again
	}
}

// mayBePreempted reports whether a run would lose little by being stopped.
func (p *placement) mayBePreempted() bool {
	step := p.step()
	return step.SavesProgress && !step.LongRunning && !step.Gang && !step.AtMostOnce && !p.confirmedAt.IsZero()
}
