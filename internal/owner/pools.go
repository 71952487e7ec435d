package owner

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/pollenford/pollenford/internal/instances"
	"github.com/pollenford/pollenford/internal/pool"
	"github.com/pollenford/pollenford/internal/schedule"
	"github.com/pollenford/pollenford/internal/workload"
)

// moveOverdue is how long beyond the usual time a moved instance counts as coming before it is given up for the plan.
const moveOverdue = 2 * time.Second

// balance moves empty instances to where work waits, and those that nobody needs to standby.
func (o *Owner) balance(now time.Time) {
	states := map[string]*pool.State{}
	for _, p := range o.cfg.Catalog().Pools {
		states[p.Name] = &pool.State{Name: p.Name, Standby: p.Standby, PendingCPU: o.pendingCPU[p.Name], InstancesNeeded: o.instancesNeeded(p.Name)}
		if rate := o.arrivalRates[p.Name]; rate != nil {
			states[p.Name].ForecastCPU = rate.ForecastCPU(now)
		}
	}
	for _, w := range o.workers {
		if s := states[w.info.Pool]; s != nil {
			s.UsedCPU += w.used.resources.CPU
			if w.usable(now) {
				s.FreeCPU += w.info.Capacity.CPU - w.used.resources.CPU
			}
		}
	}
	for _, inst := range o.fleet.instances {
		if to := states[inst.movingTo]; to != nil {
			if o.moveFinished(inst, now) {
				inst.movingTo = ""
			} else {
				to.IncomingCPU += inst.info.Capacity.CPU
				to.IncomingInstances++
			}
			continue
		}
		if s := states[inst.info.Pool]; s != nil && o.movable(inst, s.Standby, now) {
			s.IdleInstances = append(s.IdleInstances, pool.Instance{ID: inst.info.ID, CPU: inst.info.Capacity.CPU, IdleTime: o.idle(inst, now), RejectedBy: inst.refused})
		}
	}
	list := make([]pool.State, 0, len(states))
	for _, s := range states {
		slices.SortFunc(s.IdleInstances, func(a, b pool.Instance) int { return strings.Compare(a.ID, b.ID) })
		list = append(list, *s)
	}
	slices.SortFunc(list, func(a, b pool.State) int { return strings.Compare(a.Name, b.Name) })
	for _, m := range pool.Plan(list, pool.DefaultPolicy()) {
		if !o.fleet.callBudget.Allow() {
			return
		}
		o.move(o.fleet.instances[m.Instance], m)
	}
}

// recordArrival notes the work of a job that was accepted.
func (o *Owner) recordArrival(spec *workload.Job, now time.Time) {
	q := o.cfg.Catalog().Queues[spec.Queue]
	if q == nil || spec.IsLongRunning() || spec.IsScheduled() {
		return
	}
	work := int64(0)
	for i := range spec.Steps {
		s := &spec.Steps[i]
		work += int64(s.Count) * s.ReservedResources().CPU * s.Estimate.Milliseconds()
	}
	if o.arrivalRates[q.Pool] == nil {
		o.arrivalRates[q.Pool] = &pool.ArrivalRate{}
	}
	o.arrivalRates[q.Pool].Add(work, now)
}

// moveFinished reports whether a moved instance can be counted in its pool again, or is overdue.
func (o *Owner) moveFinished(inst *instance, now time.Time) bool {
	if inst.ordered {
		return false
	}
	w := o.workers[inst.info.Worker]
	here := inst.info.Pool == inst.movingTo && inst.info.State == instances.Up && (w != nil && w.sessionEstablished || o.cfg.Catalog().Pools[inst.movingTo].Standby)
	return here || now.After(inst.settledAfter.Add(moveOverdue))
}

// movable reports whether an instance is up, empty and not needed for anything else. The instances of a standby pool
// have no workers.
func (o *Owner) movable(inst *instance, standby bool, now time.Time) bool {
	if !inst.listed || inst.ordered || inst.info.State != instances.Up || now.Before(inst.settledAfter) || !inst.cordonedAt.IsZero() {
		return false
	}
	w := o.workers[inst.info.Worker]
	if standby {
		return w == nil || len(w.runs) == 0
	}
	return w != nil && w.usable(now) && len(w.runs) == 0 && w.info.Pool == inst.info.Pool && w.info.Instance == inst.info.ID
}

// idle returns how long an instance has been empty.
func (o *Owner) idle(inst *instance, now time.Time) time.Duration {
	if w := o.workers[inst.info.Worker]; w != nil {
		return now.Sub(w.idleSince)
	}
	return 0
}

// move orders a move. The instance gets no new work from here on, also while the outcome of the order is unknown.
func (o *Owner) move(inst *instance, m pool.Move) {
	o.metrics.moves.Inc(1)
	o.log.Info("moving an instance", "instance", m.Instance, "from", m.From, "to", m.To)
	inst.ordered = true
	inst.movingTo = m.To
	w := o.workers[inst.info.Worker]
	if w != nil {
		w.cordoned = true
	}
	o.orderInstance(func(ctx context.Context) error {
		return o.cfg.Control.Move(ctx, o.holder(), m.Instance, m.To)
	}, func(err error) {
		inst.ordered = false
		inst.settledAfter = time.Now().Add(o.cfg.Timing.MoveTime + listEvery)
		switch {
		case err == nil:
			return
		case errors.Is(err, instances.ErrFenced):
			o.stepDown("the instance service follows a newer owner")
			return
		case errors.Is(err, instances.ErrInvalidTarget):
			inst.refused = append(inst.refused, m.To)
		}
		o.log.Info("move refused", "instance", m.Instance, "to", m.To, "reason", err)
		inst.movingTo = ""
		if w != nil {
			w.cordoned = false
		}
	})
}

// instancesNeeded returns how many more instances the lasting tasks of a pool need: those that wait for a worker, and those
// that are to leave theirs and have nowhere to go.
func (o *Owner) instancesNeeded(name string) int {
	most := o.blockedEvictions[name]
	for _, j := range o.active {
		q := o.cfg.Catalog().Queues[j.spec.Queue]
		if q == nil || q.Pool != name || !j.spec.IsLongRunning() {
			continue
		}
		for _, occurrence := range j.progress.Current {
			for step := range j.spec.Steps {
				if j.spec.Steps[step].LongRunning && occurrence.Ready(j.spec, step) {
					most = max(most, o.countUnplaceable(j, occurrence, step))
				}
			}
		}
	}
	return most
}

// countUnplaceable counts the waiting tasks of a step that no worker can take now.
func (o *Owner) countUnplaceable(j *job, occurrence *workload.Occurrence, step int) int {
	waiting := 0
	for i := range occurrence.Tasks[step] {
		if occurrence.Tasks[step][i].Phase == workload.Waiting {
			waiting++
		}
	}
	if waiting == 0 {
		return 0
	}
	return max(0, waiting-o.countEligibleWorkers(j, occurrence.Number, step))
}

// countEligibleWorkers counts the workers that can take a task of a lasting step now.
func (o *Owner) countEligibleWorkers(j *job, occurrence, step int) int {
	spec := &j.spec.Steps[step]
	q := o.cfg.Catalog().Queues[j.spec.Queue]
	if q == nil {
		return 0
	}
	now := time.Now()
	key := stepKey{j, occurrence, step}
	n := 0
	for _, w := range o.workers {
		candidate := schedule.Candidate{
			Free: w.info.Capacity.Sub(w.used.resources), StepTasks: w.used.tasksPerStep[key], HasLabel: w.info.HasLabel(spec.RequiredLabel),
		}
		if w.info.Pool == q.Pool && w.usable(now) && schedule.SelectWorker(spec, []schedule.Candidate{candidate}) == 0 {
			n++
		}
	}
	return n
}
