package owner

import (
	"time"

	"github.com/pollenford/pollenford/internal/catalog"
	"github.com/pollenford/pollenford/internal/schedule"
)

// preempt stops runs that save their progress so that urgent tasks without room find it, if these can still meet their
// objective. Room that is being made already is not asked for again.
func (o *Owner) preempt(list []readyStep, now time.Time) {
	yields := map[*poolView]*preemptionView{}
	for i := range list {
		r := &list[i]
		if r.view == nil || r.queue.Urgency > 0 || r.demand.IsLate(now) {
			continue
		}
		step := &r.job.spec.Steps[r.step]
		missing := int(o.countWithinLimit(r))
		if missing == 0 || step.Gang || step.RequiredLabel != "" || step.MaxPerWorker > 0 || r.queue.RequiresAdvice {
			continue // stopping runs might not make the room that they need
		}
		if yields[r.view] == nil {
			yields[r.view] = o.viewYield(r.view, now)
		}
		if y := yields[r.view]; len(y.victims) > 0 {
			o.preemptFor(r, y, step.ReservedResources(), missing)
		}
	}
}

// preemptionView is what a pool could give to urgent work.
type preemptionView struct {
	free    []catalog.Resources // of each worker, with the room that is being made
	victims []schedule.Victim
	runs    []*placement // of the victims
}

func (o *Owner) viewYield(view *poolView, now time.Time) *preemptionView {
	y := &preemptionView{free: make([]catalog.Resources, len(view.workers))}
	for i, w := range view.workers {
		y.free[i] = view.candidates[i].Free
		for _, p := range w.runs {
			switch {
			case p.stopping:
				y.free[i] = y.free[i].Add(p.step().ReservedResources())
			case p.mayBePreempted():
				urgency := 0
				if q := o.cfg.Catalog().Queues[p.job.spec.Queue]; q != nil {
					urgency = q.Urgency
				}
				y.victims = append(y.victims, schedule.Victim{Worker: i, Resources: p.step().ReservedResources(), Urgency: urgency, RunTime: now.Sub(p.confirmedAt)})
				y.runs = append(y.runs, p)
			}
		}
	}
	return y
}

// preemptFor stops runs of a pool for tasks that need an amount each.
func (o *Owner) preemptFor(r *readyStep, y *preemptionView, need catalog.Resources, missing int) {
	for i := range y.free {
		for missing > 0 && need.FitsIn(y.free[i]) {
			y.free[i] = y.free[i].Sub(need)
			missing--
		}
	}
	if missing == 0 {
		return
	}
	for _, v := range schedule.SelectVictims(need, r.queue.Urgency, missing, y.free, y.victims) {
		victim, p := &y.victims[v], y.runs[v]
		w := r.view.workers[victim.Worker]
		o.metrics.preempted.Inc(1)
		o.log.Info("preempting a run", "task", p.taskName, "run", p.run, "worker", w.info.ID, "ran_ms", victim.RunTime.Milliseconds(),
			"for", r.job.spec.ID, "queue", r.queue.Name)
		o.stopRun(w, p)
		victim.RunTime = 0 // it is stopped once
	}
}

// mayBePreempted reports whether a run would lose little by being stopped.
func (p *placement) mayBePreempted() bool {
	step := p.step()
	return step.SavesProgress && !step.LongRunning && !step.Gang && !step.AtMostOnce && !p.confirmedAt.IsZero()
}
