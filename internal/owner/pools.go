package owner

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"github.com/pollenford/pollenford/internal/instances"
	"github.com/pollenford/pollenford/internal/pool"
	"github.com/pollenford/pollenford/internal/schedule"
	"github.com/pollenford/pollenford/internal/topic"
	"github.com/pollenford/pollenford/internal/workload"
)

// moveGracePeriod is how long beyond the usual move time an instance counts as incoming capacity of its target pool.
const moveGracePeriod = 2 * time.Second

// balancePools moves idle instances to pools with pending work and unneeded ones to standby pools.
func (o *Owner) balancePools(now time.Time) {
	states := map[string]*pool.State{}
	needed := o.instancesNeeded()
	for _, p := range o.cfg.Catalog().Pools {
		states[p.Name] = &pool.State{Name: p.Name, Standby: p.Standby, PendingCPU: o.pendingCPU[p.Name],
			InstancesNeeded: needed[p.Name]}
		if demand := o.demands[p.Name]; demand != nil {
			states[p.Name].ForecastCPU = demand.ForecastCPU(now, o.cfg.Timing.MoveTime, o.limitCPU)
		}
	}
	for name, cpu := range o.expectedCPU(now) {
		if s := states[name]; s != nil {
			s.ExpectedCPU = cpu
		}
	}
	for _, w := range o.workers {
		if s := states[w.info.Pool]; s != nil {
			leaving := o.leavingCPU(w)
			s.UsedCPU += w.used.resources.CPU - leaving
			s.EvacuatedCPU += leaving
			s.LongRunningCPU += w.used.longRunning.CPU
			if o.usable(w, now) {
				s.FreeCPU += w.info.Capacity.CPU - w.used.resources.CPU
			}
		}
	}
	for _, inst := range o.fleet.instances {
		if to := states[inst.movingTo]; to != nil {
			if o.moveFinished(inst, now) {
				inst.movingTo = ""
			} else if !o.instanceEvacuated(inst) {
				to.IncomingCPU += inst.info.Capacity.CPU
				to.IncomingInstances++
			}
			continue
		}
		if s := states[inst.info.Pool]; s != nil && o.isMovable(inst, s.Standby, now) {
			s.IdleInstances = append(s.IdleInstances, pool.Instance{ID: inst.info.ID, CPU: inst.info.Capacity.CPU,
				IdleTime: o.idleTime(inst, now), RejectedBy: inst.rejectedBy, DueForMaintenance: inst.dueForMaintenance,
				Evacuated: o.instanceEvacuated(inst)})
		}
	}
	list := make([]pool.State, 0, len(states))
	for _, s := range states {
		slices.SortFunc(s.IdleInstances, func(a, b pool.Instance) int { return strings.Compare(a.ID, b.ID) })
		list = append(list, *s)
	}
	slices.SortFunc(list, func(a, b pool.State) int { return strings.Compare(a.Name, b.Name) })
	o.logPools(list, now)
	for _, m := range pool.Plan(list, pool.DefaultPolicy()) {
		if !o.fleet.callBudget.Allow() {
			return
		}
		o.move(o.fleet.instances[m.Instance], m)
	}
}

// expectedCPU returns, by pool, what the accepted jobs will use when an instance that is fetched now arrives.
func (o *Owner) expectedCPU(now time.Time) map[string]int64 {
	expected := map[string]int64{}
	for _, j := range o.active {
		q := o.queueOf(j.spec)
		if q == nil || j.spec.IsLongRunning() {
			continue
		}
		waiting := int64(-1) // of an occurrence that has not begun; the others need the same
		for _, occurrence := range j.progress.Current {
			if occurrence.Begun() || waiting < 0 {
				cpu := pool.ExpectedCPU(j.activeSteps(occurrence, now), o.cfg.Timing.MoveTime)
				expected[q.Pool] += cpu
				if !occurrence.Begun() {
					waiting = cpu
				}
				continue
			}
			expected[q.Pool] += waiting
		}
	}
	return expected
}

func (j *job) activeSteps(occurrence *workload.Occurrence, now time.Time) []pool.ActiveStep {
	steps := make([]pool.ActiveStep, len(j.spec.Steps))
	for i := range j.spec.Steps {
		s := &j.spec.Steps[i]
		steps[i] = pool.ActiveStep{
			Unfinished: occurrence.Unfinished(i), CPU: s.ReservedResources().CPU, Estimate: s.Estimate, After: s.After}
		if began, ok := j.stepsBegan[stepKey{j, occurrence.Number, i}]; ok {
			steps[i].Started, steps[i].Elapsed = true, now.Sub(began)
		}
	}
	return steps
}

// poolLogInterval bounds the lines about pools to one for each pool and interval.
const poolLogInterval = time.Second

// logPools writes the state of each pool, from which the moves of the following interval were planned.
func (o *Owner) logPools(list []pool.State, now time.Time) {
	if now.Sub(o.fleet.poolsLogged) < poolLogInterval {
		return
	}
	o.fleet.poolsLogged = now
	for i := range list {
		s := &list[i]
		o.log.Info("pool state", "pool", s.Name, "used_cpu", s.UsedCPU, "free_cpu", s.FreeCPU, "pending_cpu", s.PendingCPU,
			"forecast_cpu", s.ForecastCPU, "expected_cpu", s.ExpectedCPU, "incoming", s.IncomingInstances, "idle", len(s.IdleInstances),
			"needed", s.InstancesNeeded, "evacuated_cpu", s.EvacuatedCPU)
	}
}

// limitCPU returns an organisation's limit in thousandths of a core; 0 means that it has none.
func (o *Owner) limitCPU(organisation string) int64 {
	if org := o.cfg.Catalog().Organisations[organisation]; org != nil {
		return org.Limit.CPU
	}
	return 0
}

// recordArrival adds an occurrence of a job to the demand on its pool; long-running jobs do not count.
func (o *Owner) recordArrival(spec *workload.Job, now time.Time) {
	q := o.queueOf(spec)
	if q == nil || spec.IsLongRunning() {
		return
	}
	work := int64(0)
	for i := range spec.Steps {
		s := &spec.Steps[i]
		work += int64(s.Count) * s.ReservedResources().CPU * s.Estimate.Milliseconds()
	}
	if o.demands[q.Pool] == nil {
		o.demands[q.Pool] = &pool.Demand{}
	}
	o.demands[q.Pool].Add(spec.Organisation, work, now)
}

// recordUpcoming adds the occurrences that are due before an instance that is fetched now is in service.
func (o *Owner) recordUpcoming(j *job, now time.Time) {
	horizon := now.Add(o.cfg.Timing.MoveTime).UnixMilli()
	j.demanded = max(j.demanded, j.progress.Created)
	if behind := now.UnixMilli() - j.spec.FirstDueMS; behind > 0 && j.spec.PeriodMS > 0 {
		j.demanded = max(j.demanded, int(min(behind/j.spec.PeriodMS, int64(j.spec.Repeats)))) // they wait already
	}
	for j.demanded < j.spec.Repeats && j.spec.DueMS(j.demanded) <= horizon {
		j.demanded++
		o.recordArrival(j.spec, now)
	}
}

// moveFinished reports whether a moved instance is in service in its target pool or overdue.
func (o *Owner) moveFinished(inst *instance, now time.Time) bool {
	if inst.orderPending {
		return false
	}
	w := o.workers[inst.info.Worker]
	arrived := inst.info.Pool == inst.movingTo && inst.info.State == instances.Up &&
		(w != nil && w.sessionEstablished && w.described() || o.cfg.Catalog().Pools[inst.movingTo].Standby)
	return arrived || now.After(inst.settledAfter.Add(moveGracePeriod))
}

// isMovable reports whether an instance is up, idle and neither cordoned nor subject to a pending order. Instances of a
// standby pool have no workers.
func (o *Owner) isMovable(inst *instance, standby bool, now time.Time) bool {
	if !inst.listed || inst.orderPending || inst.info.State != instances.Up ||
		!o.showsLastOrder(inst, now) || !inst.cordonedAt.IsZero() {
		return false
	}
	if slices.ContainsFunc(o.workersOn(inst), func(w *worker) bool { return len(w.runs) > 0 }) {
		return false
	}
	w := o.workers[inst.info.Worker]
	return standby || w != nil && o.acceptsWork(w, now) &&
		w.info.Pool == inst.info.Pool && w.info.Instance == inst.info.ID
}

// idleTime returns how long an instance has had no runs; 0 if it has no worker.
func (o *Owner) idleTime(inst *instance, now time.Time) time.Duration {
	if w := o.workers[inst.info.Worker]; w != nil {
		return now.Sub(w.idleSince)
	}
	return 0
}

// moveKeyPrefix is the prefix of the keys of ordered moves whose outcome is not known yet.
const moveKeyPrefix = "m/"

// moveOrder is recorded before a move is ordered, under the instance's ID. A successor must not use the worker while
// the order may still take effect, because a move ends everything that runs on the instance.
type moveOrder struct {
	Worker string `cbor:"1,keyasint"`
	To     string `cbor:"2,keyasint"`
}

// loadMove keeps the worker of an ordered move cordoned until resumeMoves has ordered the move again.
func (o *Owner) loadMove(instance string, r topic.Record) error {
	var order moveOrder
	if err := cbor.Unmarshal(r.Value, &order); err != nil {
		return errors.Trace(err)
	}
	o.fleet.inheritedMoves[instance] = order
	return nil
}

// resumeMoves repeats the moves whose outcome an earlier owner did not record. The repeated order has no effect if the
// first one was carried out, and otherwise fences it. For an instance that was removed the response says so.
func (o *Owner) resumeMoves() {
	for id, order := range o.fleet.inheritedMoves {
		inst, removed := o.fleet.instances[id], o.removed(id, o.recoveredAt)
		if !removed && stateUnknown(inst) {
			continue // the order may still take effect
		}
		w := o.workers[order.Worker]
		idle := w == nil || len(w.runs) == 0 // an owner of an earlier version placed work regardless of the record
		if idle && (removed || inst.info.Pool != order.To && inst.info.Worker == order.Worker) {
			if o.fleet.callBudget.Allow() {
				delete(o.fleet.inheritedMoves, id)
				inst = o.getOrCreateInstance(id)
				o.move(inst, pool.Move{Instance: id, From: inst.info.Pool, To: order.To})
			}
			continue
		}
		o.log.Info("inherited move has ended", "instance", id, "to", order.To)
		delete(o.fleet.inheritedMoves, id)
		o.forgetMove(id)
	}
}

func (o *Owner) forgetMove(instance string) {
	o.queueRecord(topic.Record{Key: moveKeyPrefix + instance})
}

// move orders a move once it is recorded. The worker stays cordoned while the outcome of the order is unknown.
func (o *Owner) move(inst *instance, m pool.Move) {
	o.metrics.moves.Inc(1)
	o.log.Info("moving instance", "instance", m.Instance, "from", m.From, "to", m.To)
	inst.orderPending = true
	inst.movingTo = m.To
	o.queueRecord(topic.Record{Key: moveKeyPrefix + m.Instance, Value: o.encode(moveOrder{inst.info.Worker, m.To})})
	o.afterCommit(func() {
		o.sendInstanceOrder(func(ctx context.Context) error {
			return o.cfg.Control.Move(ctx, o.ownerID(), m.Instance, m.To)
		}, func(err error) { o.handleMoveResult(inst, m, err) })
	})
}

func (o *Owner) handleMoveResult(inst *instance, m pool.Move, err error) {
	inst.orderPending, inst.answeredAt = false, time.Now()
	inst.settledAfter = time.Now().Add(o.cfg.Timing.MoveTime + listInterval)
	switch {
	case err == nil:
		o.forgetMove(m.Instance)
		o.expectEnd(inst)
		return
	case errors.Is(err, instances.ErrFenced):
		o.stepDown("the instance service has accepted a newer owner")
		return
	case errors.Is(err, instances.ErrInvalidTarget):
		inst.rejectedBy = append(inst.rejectedBy, m.To)
	}
	o.forgetMove(m.Instance)
	o.log.Info("instance move failed", "instance", m.Instance, "to", m.To, "reason", err)
	inst.movingTo = ""
}

// instancesNeeded returns how many more instances each pool needs for long-running tasks: the number of blocked
// evictions or the highest number of unplaceable tasks in a step, whichever is larger.
func (o *Owner) instancesNeeded() map[string]int {
	needed := map[string]int{}
	for _, p := range o.blockedEvictions {
		if q := o.queueOf(p.job.spec); q != nil {
			needed[q.Pool]++
		}
	}
	for _, j := range o.active {
		q := o.queueOf(j.spec)
		if q == nil || !j.spec.IsLongRunning() {
			continue
		}
		for _, occurrence := range j.progress.Current {
			for step := range j.spec.Steps {
				if j.spec.Steps[step].LongRunning && occurrence.Ready(j.spec, step) {
					needed[q.Pool] = max(needed[q.Pool], o.countUnplaceable(j, occurrence, step))
				}
			}
		}
	}
	return needed
}

// countUnplaceable returns by how many the waiting tasks of a step outnumber its eligible workers, at least 0.
func (o *Owner) countUnplaceable(j *job, occurrence *workload.Occurrence, step int) int {
	waiting := occurrence.Tasks[step].Waiting()
	if waiting == 0 {
		return 0
	}
	return max(0, waiting-o.countEligibleWorkers(j, occurrence.Number, step))
}

// countEligibleWorkers returns how many workers can take a task of the step now.
func (o *Owner) countEligibleWorkers(j *job, occurrence, step int) int {
	return o.countEligible(j, occurrence, step, func(*worker) bool { return true })
}

// countEligible returns how many of the workers that satisfy a condition can take a task of the step now.
func (o *Owner) countEligible(j *job, occurrence, step int, condition func(*worker) bool) int {
	spec := &j.spec.Steps[step]
	q := o.queueOf(j.spec)
	if q == nil {
		return 0
	}
	now := time.Now()
	key := stepKey{j, occurrence, step}
	n := 0
	for _, w := range o.workersOf(q.Pool) {
		if !o.usable(w, now) || !condition(w) {
			continue
		}
		if candidate := w.candidate(key, spec); candidate.Fits(spec) {
			n++
		}
	}
	return n
}

// candidate returns the worker as a candidate for a task of a step, without what only orders the candidates.
func (w *worker) candidate(key stepKey, step *workload.Step) schedule.Candidate {
	return schedule.Candidate{
		Free: w.info.Capacity.Sub(w.used.resources), StepTasks: w.used.tasksPerStep[key],
		HasLabel: w.info.HasLabel(step.RequiredLabel),
	}
}
