package owner

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"github.com/pollenford/pollenford/internal/instances"
	"github.com/pollenford/pollenford/internal/pool"
	"github.com/pollenford/pollenford/internal/topic"
	"github.com/pollenford/pollenford/internal/wait"
	"github.com/pollenford/pollenford/internal/workload"
)

// waveKeyPrefix is the prefix of the keys under which the progress of waves is recorded.
const waveKeyPrefix = "w/"

const (
	// listEvery is the time between two lists of the instances, whose calls are priced and limited to 64 a second.
	listEvery = 500 * time.Millisecond
	// controlTimeout bounds a call to the instance service.
	controlTimeout = 1 * time.Second
	// planEvery is the time between two looks at waves and pools.
	planEvery = 100 * time.Millisecond
	// newOrderShare is the part of the instance service's rate that new orders use; the rest is for repeated ones.
	newOrderShare = 0.9
	// drainTimeout is how long an instance is kept free of new work, waiting for short tasks to end, before its upkeep
	// ends them.
	drainTimeout = 4 * time.Second
	// orderRetry is the pause before an order to the instance service is repeated.
	orderRetry = 200 * time.Millisecond
)

// fleetState is what the owner knows of instances and waves.
type fleetState struct {
	instances  map[string]*instance
	listed     bool
	waves      map[int64]*wave
	nextPlan   time.Time
	callBudget pool.CallBudget // for orders
}

func (f *fleetState) init() {
	f.instances = map[string]*instance{}
	f.waves = map[int64]*wave{}
}

// instance is what the owner knows and has ordered of one instance.
type instance struct {
	info    instances.Instance
	listed  bool
	ordered bool // an order is in flight or unanswered
	// settledAfter is when the effect of the last order must be visible in the list.
	settledAfter time.Time
	// cordonedAt is when it was closed for new work.
	cordonedAt time.Time
	// movingTo is the pool that it was ordered to, until it has arrived there.
	movingTo string
	refused  []string // pools that do not take it
}

// waveProgress is what is recorded of a wave.
type waveProgress struct {
	Number    int64    `cbor:"1,keyasint"`
	Begun     []string `cbor:"2,keyasint"` // instances whose upkeep has begun
	Completed bool     `cbor:"3,keyasint"`
	// Ordered lists instances whose upkeep is about to be ordered, or was without an answer: it may begin at any time.
	Ordered []string `cbor:"4,keyasint,omitempty"`
}

type wave struct {
	instances.Wave
	progress waveProgress
	begun    map[string]bool
	seen     time.Time
	known    bool // the operator's record was read
}

func (o *Owner) wave(number int64) *wave {
	w := o.fleet.waves[number]
	if w == nil {
		w = &wave{begun: map[string]bool{}, seen: time.Now()}
		w.Number, w.progress.Number = number, number
		o.fleet.waves[number] = w
	}
	return w
}

func (o *Owner) loadWave(r topic.Record) error {
	var recorded waveProgress
	if err := cbor.Unmarshal(r.Value, &recorded); err != nil {
		return errors.Trace(err)
	}
	w := o.wave(recorded.Number)
	w.progress = recorded
	for _, id := range recorded.Begun {
		w.begun[id] = true
	}
	return nil
}

func (o *Owner) followOperator() {
	take := func(records []topic.Record) {
		if len(records) > 0 {
			o.post(func() { o.operatorRecords(records) })
		}
	}
	f := &topic.Follower{
		Store: o.cfg.Store, Topic: o.cfg.Codec.OperatorTopic(), PollTimeout: operatorPollTimeout, OnSnapshot: take,
		OnRecords: func(records []topic.Record, _ int64) { take(records) },
		OnError:   func(err error) { o.log.Debug("reading the operator's records", "err", err) },
	}
	f.Run(o.ctx)
}

func (o *Owner) operatorRecords(records []topic.Record) {
	for _, r := range records {
		decoded, err := o.cfg.Codec.DecodeOperator(r)
		switch {
		case err != nil:
			o.logOnce(o.cfg.Codec.OperatorTopic(), r, err)
		case decoded.Catalog != nil:
			o.cfg.OnCatalog(decoded.Catalog)
			o.replan = true
		case decoded.Wave != nil:
			w := o.wave(decoded.Wave.Number)
			if !w.known {
				o.log.Info("wave", "wave", decoded.Wave.Number, "instances", len(decoded.Wave.Instances), "at_once", decoded.Wave.MaxConcurrent,
					"deadline_s", decoded.Wave.DeadlineS, "begun", len(w.begun))
				w.Wave, w.known = *decoded.Wave, true
				if !w.progress.Completed {
					o.reportWave(w)
				}
			}
		}
	}
}

// reportWave writes the state of a wave where operators read it.
func (o *Owner) reportWave(w *wave) {
	record := o.cfg.Codec.EncodeWaveStatus(w.Number, w.progress.Completed)
	go func() {
		err := o.retryStore("reporting a wave", func(ctx context.Context) error {
			_, _, err := o.cfg.Store.Append(ctx, o.cfg.Codec.StatusTopic(), topic.Batch{Records: []topic.Record{record}})
			return err
		})
		if err != nil {
			o.log.Info("wave not reported", "wave", w.Number, "err", err)
		}
	}()
}

// listInstances reads the list of instances again and again.
func (o *Owner) listInstances() {
	for {
		var all []instances.Instance
		page := ""
		for {
			ctx, stop := context.WithTimeout(o.ctx, controlTimeout)
			list, next, err := o.cfg.Control.List(ctx, page)
			stop()
			if err != nil {
				o.log.Debug("listing instances", "err", err)
				all = nil
				break
			}
			all = append(all, list...)
			if page = next; page == "" {
				break
			}
		}
		if all != nil {
			o.post(func() { o.instancesListed(all) })
		}
		if !wait.For(o.ctx, listEvery) {
			return
		}
	}
}

func (o *Owner) instancesListed(all []instances.Instance) {
	o.fleet.listed = true
	for _, known := range o.fleet.instances {
		known.listed = false
	}
	for _, info := range all {
		known := o.fleet.instances[info.ID]
		if known == nil {
			known = &instance{}
			o.fleet.instances[info.ID] = known
		}
		known.info, known.listed = info, true
	}
}

// tickFleet advances waves.
func (o *Owner) tickFleet(now time.Time) {
	if !o.fleet.listed || now.Before(o.fleet.nextPlan) || !o.leading() {
		return
	}
	o.fleet.nextPlan = now.Add(planEvery)
	o.fleet.callBudget.Refill(now)
	o.blockedEvictions = map[string]int{}
	for _, w := range o.fleet.waves {
		if w.known && !w.progress.Completed {
			o.advanceWave(w, now)
		}
	}
	o.balance(now)
}

// advanceWave prepares and starts upkeep, at most AtOnce at a time.
func (o *Owner) advanceWave(w *wave, now time.Time) {
	busy, open := 0, 0
	var candidates []*instance
	for _, id := range w.Instances {
		inst := o.fleet.instances[id]
		if inst == nil || !inst.listed {
			continue // it has left
		}
		if !w.begun[id] && inst.info.State == instances.InMaintenance {
			w.hasBegun(id) // by an order that had no answer
			o.recordWave(w)
		}
		if w.begun[id] {
			if inst.info.State == instances.InMaintenance || now.Before(inst.settledAfter) {
				busy++
			}
			continue
		}
		open++
		switch {
		case !inst.cordonedAt.IsZero() || slices.Contains(w.progress.Ordered, id):
			if inst.cordonedAt.IsZero() {
				inst.cordonedAt = now // ordered by an earlier owner
			}
			busy++
			o.prepareUpkeep(w, inst, now)
		case inst.info.State == instances.Up && now.After(inst.settledAfter) && inst.movingTo == "":
			candidates = append(candidates, inst)
		}
	}
	if open == 0 {
		w.progress.Completed = true
		o.log.Info("wave completed", "wave", w.Number, "ms", now.Sub(w.seen).Milliseconds())
		o.recordWave(w)
		o.afterCommit(func() { o.reportWave(w) })
		return
	}
	for busy < w.MaxConcurrent && len(candidates) > 0 {
		best := 0
		for i := range candidates {
			if o.disruptionCost(candidates[i]) < o.disruptionCost(candidates[best]) {
				best = i
			}
		}
		inst := candidates[best]
		candidates = append(candidates[:best], candidates[best+1:]...)
		inst.cordonedAt = now
		busy++
		o.prepareUpkeep(w, inst, now)
	}
}

// disruptionCost is how much work the upkeep of an instance would wait for or move.
func (o *Owner) disruptionCost(inst *instance) int {
	w := o.workers[inst.info.Worker]
	if w == nil {
		return 0
	}
	n := 0
	for _, p := range w.runs {
		n++
		if p.step().LongRunning {
			n += 2
		}
	}
	return n
}

func (p *placement) step() *workload.Step { return &p.job.spec.Steps[p.ref.Step] }

// prepareUpkeep keeps new work off an instance, moves lasting tasks away within their availability budget, and orders
// the upkeep once nothing is lost by it.
func (o *Owner) prepareUpkeep(w *wave, inst *instance, now time.Time) {
	if inst.ordered {
		return
	}
	if !o.tryDrain(inst, now) || !o.fleet.callBudget.Allow() {
		return
	}
	inst.ordered = true
	id, number := inst.info.ID, w.Number
	if !slices.Contains(w.progress.Ordered, id) {
		w.progress.Ordered = append(w.progress.Ordered, id)
		o.recordWave(w)
	}
	o.afterCommit(func() {
		o.orderInstance(func(ctx context.Context) error {
			return o.cfg.Control.StartMaintenance(ctx, o.holder(), id, number)
		}, func(err error) { o.upkeepAnswered(w, inst, err) })
	})
}

// hasBegun takes note that the upkeep of an instance has begun.
func (w *wave) hasBegun(id string) {
	w.notOrdered(id)
	if !w.begun[id] {
		w.begun[id] = true
		w.progress.Begun = append(w.progress.Begun, id)
	}
}

// notOrdered takes note that no order for an instance is on its way any more.
func (w *wave) notOrdered(id string) {
	w.progress.Ordered = slices.DeleteFunc(w.progress.Ordered, func(other string) bool { return other == id })
}

// tryDrain cordons the worker on an instance and reports whether it may be taken down now.
func (o *Owner) tryDrain(inst *instance, now time.Time) bool {
	worker := o.workers[inst.info.Worker]
	if worker == nil {
		return true
	}
	worker.cordoned = true
	if len(worker.runs) == 0 {
		return true
	}
	lasting := false
	for _, p := range worker.placements() {
		if p.step().AtMostOnce {
			lasting = true // the upkeep waits for its end
			continue
		}
		if p.step().LongRunning {
			lasting = true
			if p.stopping || !o.mayStop(p) {
				continue
			}
			if o.countEligibleWorkers(p.job, p.ref.Occurrence, p.ref.Step) == 0 {
				o.blockedEvictions[worker.info.Pool]++
				continue
			}
			o.log.Info("moving a lasting task", "task", p.taskName, "worker", worker.info.ID)
			o.stopRun(worker, p)
		}
	}
	return !lasting && now.Sub(inst.cordonedAt) > drainTimeout
}

// mayStop reports whether the availability budget of a lasting step allows another task to be away.
func (o *Owner) mayStop(p *placement) bool {
	budget := p.step().MaxUnavailable
	if budget == 0 {
		return true
	}
	return o.countUnavailable(p.job, p.ref.Occurrence, p.ref.Step) < budget
}

// countUnavailable counts the tasks of a step that are not at work for any reason.
func (o *Owner) countUnavailable(j *job, occurrence, step int) int {
	current := j.progress.Occurrence(occurrence)
	if current == nil {
		return 0
	}
	n := 0
	for i := range current.Tasks[step] {
		t := &current.Tasks[step][i]
		name := workload.TaskName(j.spec.ID, workload.TaskRef{Occurrence: occurrence, Step: step, Index: i})
		w := o.workers[t.Worker]
		if t.Phase != workload.Placed || w == nil || !w.sessionEstablished {
			n++
			continue
		}
		if p := w.runs[name]; p == nil || !p.reported || p.speedPercent < 100 || p.stopping {
			n++
		}
	}
	return n
}

func (o *Owner) holder() instances.OwnerID {
	return instances.OwnerID{Name: o.cfg.Name, Fence: o.term.Fence}
}

// orderInstance makes a call to the instance service until it is answered, and hands the answer to the loop.
func (o *Owner) orderInstance(call func(ctx context.Context) error, answered func(error)) {
	go func() {
		for {
			ctx, stop := context.WithTimeout(o.ctx, controlTimeout)
			err := call(ctx)
			stop()
			if err == nil || isInstanceAnswer(err) {
				o.post(func() { answered(err) })
				return
			}
			o.log.Debug("instance order without an answer", "err", err)
			if !wait.For(o.ctx, orderRetry) || !o.leading() {
				o.post(func() { answered(err) })
				return
			}
		}
	}()
}

func isInstanceAnswer(err error) bool {
	return errors.Is(err, instances.ErrFenced) || errors.Is(err, instances.ErrBusy) ||
		errors.Is(err, instances.ErrNotInWave) || errors.Is(err, instances.ErrInvalidTarget)
}

func (o *Owner) upkeepAnswered(w *wave, inst *instance, err error) {
	id := inst.info.ID
	inst.ordered = false
	switch {
	case err == nil:
		o.metrics.upkeeps.Inc(1)
		o.log.Info("upkeep begun", "wave", w.Number, "instance", id, "worker", inst.info.Worker)
		w.hasBegun(id)
		inst.cordonedAt = time.Time{}
		inst.settledAfter = time.Now().Add(o.cfg.Timing.MaintenanceTime + 2*listEvery)
		o.recordWave(w)
	case errors.Is(err, instances.ErrFenced):
		o.stepDown("the instance service follows a newer owner")
	default:
		o.log.Info("upkeep refused", "wave", w.Number, "instance", id, "reason", err)
		if isInstanceAnswer(err) {
			w.notOrdered(id)
			o.recordWave(w)
		}
		inst.cordonedAt = time.Time{}
		inst.settledAfter = time.Now().Add(2 * listEvery)
		if worker := o.workers[inst.info.Worker]; worker != nil {
			worker.cordoned = false
		}
	}
}

func (o *Owner) recordWave(w *wave) {
	o.queueRecord(topic.Record{Key: waveKeyPrefix + strconv.FormatInt(w.Number, 10), Value: o.encode(&w.progress)})
}
