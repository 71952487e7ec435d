package owner

import (
	"context"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/pollenford/pollenford/internal/instances"
	"github.com/pollenford/pollenford/internal/leader"
	"github.com/pollenford/pollenford/internal/pool"
	"github.com/pollenford/pollenford/internal/topic"
	"github.com/pollenford/pollenford/internal/wait"
	"github.com/pollenford/pollenford/internal/workload"
)

const (
	// listInterval is the pause between instance listings; calls are billed and limited to 64 per second.
	listInterval = 500 * time.Millisecond
	// controlTimeout bounds one call to the instance service.
	controlTimeout = 1 * time.Second
	// planInterval is the time between two planning rounds for waves and pools.
	planInterval = 100 * time.Millisecond
	// newOrderShare is the share of the instance service's rate for new orders; the rest is for retries.
	newOrderShare = 0.9
	// drainTimeout is how long a cordoned instance waits for short tasks to end before its maintenance interrupts them.
	drainTimeout = 4 * time.Second
	// orderRetryDelay is the pause before an unanswered order to the instance service is retried.
	orderRetryDelay = 200 * time.Millisecond
)

// fleetState is the owner's view of instances and waves.
type fleetState struct {
	instances map[string]*instance
	list      instanceList
	waves     map[int64]*wave
	nextPlan  time.Time
	// poolsLogged is when the states of the pools were last logged.
	poolsLogged time.Time
	callBudget  pool.CallBudget // for new orders
	// inheritedMoves lists, by instance, the moves that an earlier owner ordered without recording the outcome.
	inheritedMoves map[string]moveOrder
	// instanceOfWorker holds the listed instance of each worker.
	instanceOfWorker map[string]string
	statuses         statusPublisher
}

func (f *fleetState) init() {
	f.instances = map[string]*instance{}
	f.waves = map[int64]*wave{}
	f.inheritedMoves = map[string]moveOrder{}
	f.instanceOfWorker = map[string]string{}
}

// instanceList describes the last complete list of instances. A row that it lacks says something only about the time at
// which the list was requested.
type instanceList struct {
	requestedAt time.Time // when its first page was requested; zero before the first list
	unnamed     int       // rows whose ID could not be read
}

// reflects reports whether the list was requested after an event.
func (l *instanceList) reflects(event time.Time) bool {
	return !l.requestedAt.IsZero() && !l.requestedAt.Before(event)
}

// instance is the listed state of an instance and the orders for it.
type instance struct {
	info         instances.Instance
	listed       bool
	orderPending bool // an order is in flight or unanswered
	// answeredAt is when the last order was answered: a list that was requested later shows its effect. settledAfter is the
	// time from which the usual list does.
	answeredAt, settledAfter time.Time
	// cordonedAt is when the instance was cordoned for the wave cordonedFor; zero if it is not cordoned.
	cordonedAt  time.Time
	cordonedFor *wave
	// maintainedFor is the wave whose maintenance this owner last found to have begun; nil if there is none.
	maintainedFor *wave
	// movingTo is the target pool of a move in progress.
	movingTo   string
	rejectedBy []string // pools that rejected the instance
	// dueForMaintenance reports whether the instance is part of a wave and its maintenance has not begun.
	dueForMaintenance bool
}

func (o *Owner) followOperator() {
	handle := func(records []topic.Record) {
		if len(records) > 0 {
			o.post(func() { o.handleOperatorRecords(records) })
		}
	}
	f := &topic.Follower{
		Store: o.evacuations.Reader(o.cfg.Store, o.cfg.Codec), Topic: o.cfg.Codec.OperatorTopic(),
		PollTimeout: o.evacuations.pollTimeout(), Log: o.log,
		OnSnapshot: handle,
		OnRecords:  func(records []topic.Record, _ int64) { handle(records) },
		OnError:    func(err error) { o.log.Debug("reading operator records failed", "err", err) },
	}
	f.Run(o.ctx)
}

func (o *Owner) handleOperatorRecords(records []topic.Record) {
	for _, r := range records {
		decoded, err := o.cfg.Codec.DecodeOperator(r)
		switch {
		case err != nil:
			o.logOnce(o.cfg.Codec.OperatorTopic(), r, err)
		case decoded.Evacuation != nil:
			o.replan = true // Evacuations has it
		case decoded.Catalog != nil:
			o.cfg.OnCatalog(decoded.Catalog)
			o.registerUnconfigured()
			o.replan = true
		case decoded.Wave != nil:
			w := o.getOrCreateWave(decoded.Wave.Number)
			if !w.hasSpec {
				o.log.Info("maintenance wave received", "wave", decoded.Wave.Number, "instances", len(decoded.Wave.Instances),
					"at_once", decoded.Wave.MaxConcurrent, "deadline_s", decoded.Wave.DeadlineS, "begun", len(w.begun))
				w.Wave, w.hasSpec, w.receivedAt = *decoded.Wave, true, time.Now()
				o.publishWaveStatus(w) // an earlier owner may have ended before it published the state
			}
		}
	}
}

// followInstances lists all instances every listInterval until the term ends.
func (o *Owner) followInstances() {
	for {
		requestedAt := time.Now()
		if all, err := o.listInstances(); err != nil {
			o.log.Debug("listing instances failed", "err", err)
		} else {
			o.post(func() { o.updateInstances(all, requestedAt) })
		}
		if !wait.For(o.ctx, listInterval) {
			return
		}
	}
}

// listInstances returns all pages of the list of instances, or an error: a part of it shows no removal.
func (o *Owner) listInstances() (all []instances.Instance, err error) {
	page := ""
	for {
		ctx, stop := context.WithTimeout(o.ctx, controlTimeout)
		list, next, err := o.cfg.Control.List(ctx, page)
		stop()
		if err != nil {
			return nil, err
		}
		all = append(all, list...)
		if page = next; page == "" {
			return all, nil
		}
	}
}

// updateInstances replaces what is known of the instances by a complete list.
func (o *Owner) updateInstances(all []instances.Instance, requestedAt time.Time) {
	o.fleet.list.requestedAt = requestedAt
	for _, inst := range o.fleet.instances {
		inst.listed = false
	}
	clear(o.fleet.instanceOfWorker)
	unnamed := 0
	for _, info := range all {
		if info.ID == "" {
			if unnamed++; unnamed == 1 && o.fleet.list.unnamed == 0 {
				o.log.Warn("instance skipped", "instance", "", "err", info.Err)
			}
			continue
		}
		inst := o.getOrCreateInstance(info.ID)
		inst.listed = true
		if info.State != instances.Unknown {
			inst.info = info
		} else {
			if inst.info.State != instances.Unknown {
				o.log.Warn("instance skipped", "instance", info.ID, "err", info.Err)
			}
			inst.info.ID, inst.info.State = info.ID, instances.Unknown // its pool and worker stay as last listed
		}
		o.fleet.instanceOfWorker[inst.info.Worker] = inst.info.ID
	}
	o.fleet.list.unnamed = unnamed
}

func (o *Owner) getOrCreateInstance(id string) *instance {
	inst := o.fleet.instances[id]
	if inst == nil {
		inst = &instance{info: instances.Instance{ID: id}}
		o.fleet.instances[id] = inst
	}
	return inst
}

// stateUnknown reports whether the list does not tell the state of an instance. One that is missing may have been removed, or
// added since the list was requested.
func stateUnknown(inst *instance) bool {
	return inst == nil || !inst.listed || inst.info.State == instances.Unknown
}

// removed reports whether an instance that existed at a time has been removed: a list that was requested later lacks it, and
// has no row that may be the instance.
func (o *Owner) removed(id string, existedAt time.Time) bool {
	inst := o.fleet.instances[id]
	return (inst == nil || !inst.listed) && o.fleet.list.unnamed == 0 && o.fleet.list.reflects(existedAt)
}

// showsLastOrder reports whether the listed state of an instance includes the effect of the last order for it. The list may be
// older, as while the service does not answer.
func (o *Owner) showsLastOrder(inst *instance, now time.Time) bool {
	return now.After(inst.settledAfter) && o.fleet.list.reflects(inst.answeredAt)
}

// workersOn returns the workers on an instance: the listed one, and those that have registered since the list was requested.
func (o *Owner) workersOn(inst *instance) []*worker {
	list := o.workerIndex.byInstance[inst.info.ID]
	if w := o.workers[inst.info.Worker]; w != nil && w.info.Instance != inst.info.ID {
		list = append(slices.Clip(list), w)
	}
	return list
}

// tickFleet advances waves and balances the pools every planInterval.
func (o *Owner) tickFleet(now time.Time) {
	if now.Before(o.fleet.nextPlan) || !o.mayOrder() {
		return
	}
	if o.cfg.Control == nil {
		o.fleet.nextPlan = now.Add(planInterval)
		o.blockedEvictions = nil
		o.relocate(now) // out of evacuated zones
		return
	}
	if o.fleet.list.requestedAt.IsZero() {
		return
	}
	o.fleet.nextPlan = now.Add(planInterval)
	o.fleet.callBudget.Refill(now)
	o.resumeMoves()
	o.blockedEvictions = nil
	o.reserveOrdered(now)
	for _, w := range o.activeWaves() {
		o.advanceWave(w, now)
	}
	o.markDueForMaintenance()
	o.relocate(now)
	o.balancePools(now)
}

// cordon reserves an instance for a wave: no other wave orders its maintenance meanwhile.
func (inst *instance) cordon(w *wave, now time.Time) { inst.cordonedAt, inst.cordonedFor = now, w }

func (inst *instance) uncordon() { inst.cordonedAt, inst.cordonedFor = time.Time{}, nil }

// disruptionCost weighs the runs that maintenance would wait for or move; a long-running run counts as three.
func (o *Owner) disruptionCost(inst *instance) int {
	n := 0
	for _, w := range o.workersOn(inst) {
		for _, p := range w.runs {
			n++
			if p.step().LongRunning {
				n += 2
			}
		}
	}
	return n
}

// step returns the step of the run. It is kept, since the run may outlast what its job keeps of the specification.
func (p *placement) step() *workload.Step {
	if p.stepSpec == nil {
		p.stepSpec = &p.job.spec.Steps[p.ref.Step]
	}
	return p.stepSpec
}

// tryDrain evicts the long-running tasks of a cordoned instance within their budgets and reports whether it may go down now.
func (o *Owner) tryDrain(inst *instance, now time.Time) bool {
	idle, blocked := true, false
	for _, worker := range o.workersOn(inst) {
		for _, p := range worker.placements() {
			idle = false
			switch {
			case p.step().AtMostOnce:
				blocked = true // cannot run again: maintenance waits for its end
			case p.step().LongRunning:
				blocked = true
				o.tryEvict(worker, p)
			}
		}
	}
	return idle || !blocked && now.Sub(inst.cordonedAt) > drainTimeout
}

// tryEvict evicts a long-running task if its budget allows it and another worker can take it.
func (o *Owner) tryEvict(w *worker, p *placement) {
	switch {
	case p.leaving() || o.startsHeld() || !o.budgetAllowsStop(p):
	case o.countEligibleWorkers(p.job, p.ref.Occurrence, p.ref.Step) == 0:
		o.blockedEvictions = append(o.blockedEvictions, p)
	default:
		o.evict(w, p)
	}
}

// budgetAllowsStop reports whether the step's availability budget allows one more unavailable task.
func (o *Owner) budgetAllowsStop(p *placement) bool {
	budget := p.step().MaxUnavailable
	if budget == 0 {
		return true
	}
	return o.countUnavailable(p.job, p.ref.Occurrence, p.ref.Step) < budget
}

// countUnavailable counts the unavailable tasks of a step.
func (o *Owner) countUnavailable(j *job, occurrence, step int) int {
	current := j.progress.Occurrence(occurrence)
	if current == nil {
		return 0
	}
	n := 0
	for i := range current.Tasks[step].Len() {
		ref := workload.TaskRef{Occurrence: occurrence, Step: step, Index: i}
		if o.isUnavailable(j, ref, current.Tasks[step].At(i)) {
			n++
		}
	}
	return n
}

func (o *Owner) ownerID() instances.OwnerID {
	return instances.OwnerID{Name: o.cfg.Name, Fence: o.term.Fence}
}

// mayOrder reports whether no other instance can have become the owner yet. Unlike the renewal of leases, an order must
// not be sent later: the next owner may have placed work on the instance.
func (o *Owner) mayOrder() bool {
	return o.term.Age() < leader.SilentRecordTTL && !o.term.RenewalFailing()
}

// sendInstanceOrder repeats a call until it succeeds or is rejected, then runs onResult in the event loop. It pauses
// while another owner may exist.
func (o *Owner) sendInstanceOrder(call func(ctx context.Context) error, onResult func(error)) {
	go func() {
		for {
			if o.mayOrder() {
				ctx, stop := context.WithTimeout(o.ctx, controlTimeout)
				err := call(ctx)
				stop()
				if err == nil || isDefinitive(err) {
					o.post(func() { onResult(err) })
					return
				}
				o.log.Debug("instance order unanswered", "err", err)
			}
			if !wait.For(o.ctx, orderRetryDelay) {
				return
			}
		}
	}()
}

// isDefinitive reports whether an error is a final rejection by the instance service; other errors are retried.
func isDefinitive(err error) bool {
	return errors.Is(err, instances.ErrFenced) || errors.Is(err, instances.ErrBusy) ||
		errors.Is(err, instances.ErrNotInWave) || errors.Is(err, instances.ErrInvalidTarget)
}
