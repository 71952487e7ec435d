package owner

import (
	"cmp"
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"github.com/pollenford/pollenford/internal/instances"
	"github.com/pollenford/pollenford/internal/topic"
)

// waveKeyPrefix is the prefix of the keys of recorded wave progress.
const waveKeyPrefix = "w/"

// waveProgress is the stored state of a wave.
type waveProgress struct {
	Number    int64    `cbor:"1,keyasint"`
	Begun     []string `cbor:"2,keyasint"` // instances whose maintenance has begun
	Completed bool     `cbor:"3,keyasint"`
	// Ordered lists instances with a pending or unanswered maintenance order; their maintenance may begin at any time.
	Ordered []string `cbor:"4,keyasint,omitempty"`
}

type wave struct {
	instances.Wave
	progress  waveProgress
	begun     map[string]bool
	firstSeen time.Time
	hasSpec   bool // the embedded Wave was read from the operator's record
	// receivedAt is when that record was read. The instances of the wave existed before.
	receivedAt time.Time
	// completionRecorded reports whether the store has acknowledged progress.Completed.
	completionRecorded bool
}

func (o *Owner) getOrCreateWave(number int64) *wave {
	w := o.fleet.waves[number]
	if w == nil {
		w = &wave{begun: map[string]bool{}, firstSeen: time.Now()}
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
	w := o.getOrCreateWave(recorded.Number)
	w.progress, w.completionRecorded = recorded, recorded.Completed
	for _, id := range recorded.Begun {
		w.begun[id] = true
	}
	for _, id := range recorded.Ordered {
		// The order may still take effect, also before the instances are listed.
		if inst := o.getOrCreateInstance(id); !recorded.Completed && inst.cordonedFor == nil {
			inst.cordon(w, o.recoveredAt)
		}
	}
	return nil
}

// activeWaves returns the waves to advance, the earliest deadline first.
func (o *Owner) activeWaves() []*wave {
	var active []*wave
	for _, w := range o.fleet.waves {
		if w.hasSpec && !w.progress.Completed {
			active = append(active, w)
		}
	}
	slices.SortFunc(active, func(a, b *wave) int {
		return cmp.Or(a.deadline().Compare(b.deadline()), cmp.Compare(a.Number, b.Number))
	})
	return active
}

func (w *wave) deadline() time.Time {
	return w.firstSeen.Add(time.Duration(w.DeadlineS * float64(time.Second)))
}

// reserveOrdered cordons the instances whose maintenance an earlier owner ordered for the wave that it ordered it for. The
// operator's record of that wave may still have to be read.
func (o *Owner) reserveOrdered(now time.Time) {
	for _, w := range o.fleet.waves {
		if w.progress.Completed {
			continue
		}
		for _, id := range w.progress.Ordered {
			if inst := o.fleet.instances[id]; inst != nil && inst.listed && inst.cordonedFor == nil {
				inst.cordon(w, now)
			}
		}
	}
}

// showsMaintenanceOf reports whether the listed maintenance of an instance is certainly the one that the wave has ordered.
// It may be another wave's if that has ordered or begun one; then only the response to the wave's own order tells.
func (o *Owner) showsMaintenanceOf(w *wave, inst *instance) bool {
	id := inst.info.ID
	if inst.info.State != instances.InMaintenance || !slices.Contains(w.progress.Ordered, id) {
		return false
	}
	for _, other := range o.fleet.waves {
		if other != w && (other.begun[id] || slices.Contains(other.progress.Ordered, id)) {
			return false
		}
	}
	return true
}

// mayBeDownFor reports whether an instance whose maintenance for the wave has begun may still be down for it.
func (inst *instance) mayBeDownFor(w *wave, now time.Time) bool {
	if inst.maintainedFor != nil && inst.maintainedFor != w {
		return false // it was up again when the other wave's order was sent
	}
	return inst.info.State == instances.InMaintenance || now.Before(inst.settledAfter)
}

// mayTakeDown reports whether a wave may order the maintenance of an instance.
func (o *Owner) mayTakeDown(inst *instance, now time.Time) bool {
	_, moveUnsettled := o.fleet.inheritedMoves[inst.info.ID]
	return inst.info.State == instances.Up && o.showsLastOrder(inst, now) &&
		inst.cordonedFor == nil && inst.movingTo == "" && !moveUnsettled
}

// advanceWave prepares and starts maintenance on at most MaxConcurrent instances at a time.
func (o *Owner) advanceWave(w *wave, now time.Time) {
	inProgress, remaining, removed := 0, 0, 0
	var candidates []*instance
	for _, id := range w.Instances {
		inst := o.fleet.instances[id]
		gone, ordered := o.removed(id, w.receivedAt), slices.Contains(w.progress.Ordered, id)
		if gone && !ordered {
			removed++
			continue
		}
		if stateUnknown(inst) {
			// Nothing new is ordered for it, and its maintenance may be in progress.
			if !w.begun[id] {
				remaining++
			}
			if w.begun[id] || ordered || inst != nil && inst.cordonedFor == w {
				inProgress++
			}
			if gone {
				o.orderMaintenance(w, o.getOrCreateInstance(id)) // the response tells what became of the order
			}
			continue
		}
		if !w.begun[id] && o.showsMaintenanceOf(w, inst) {
			w.markBegun(id) // by an order whose response was lost
			inst.maintainedFor = w
			o.expectEnd(inst)
			o.recordWave(w)
			if !inst.orderPending {
				inst.uncordon()
			}
		}
		if w.begun[id] {
			if inst.mayBeDownFor(w, now) {
				inProgress++
			}
			continue
		}
		remaining++
		switch {
		case inst.cordonedFor == w:
			inProgress++
			o.prepareMaintenance(w, inst, now)
		case o.mayTakeDown(inst, now):
			candidates = append(candidates, inst)
		}
	}
	if remaining == 0 {
		w.progress.Completed = true
		o.log.Info("maintenance wave completed", "wave", w.Number, "ms", now.Sub(w.firstSeen).Milliseconds(),
			"begun", len(w.begun), "removed", removed, "list_age_ms", now.Sub(o.fleet.list.requestedAt).Milliseconds())
		o.recordWave(w)
		o.afterCommit(func() {
			w.completionRecorded = true
			o.publishWaveStatus(w)
		})
		o.releaseInstances(w)
		return
	}
	for inProgress < w.MaxConcurrent && len(candidates) > 0 {
		best := 0
		for i := range candidates {
			if o.disruptionCost(candidates[i]) < o.disruptionCost(candidates[best]) {
				best = i
			}
		}
		inst := candidates[best]
		candidates = append(candidates[:best], candidates[best+1:]...)
		inst.cordon(w, now)
		inProgress++
		o.prepareMaintenance(w, inst, now)
	}
}

// releaseInstances uncordons the instances that were removed before their maintenance was ordered; one may be listed again.
func (o *Owner) releaseInstances(w *wave) {
	for _, id := range w.Instances {
		if inst := o.fleet.instances[id]; inst != nil && inst.cordonedFor == w && !inst.orderPending {
			inst.uncordon()
		}
	}
}

// prepareMaintenance cordons an instance, moves long-running tasks away within their availability budget and orders the
// maintenance once the instance is drained.
func (o *Owner) prepareMaintenance(w *wave, inst *instance, now time.Time) {
	if !inst.orderPending && o.tryDrain(inst, now) {
		o.orderMaintenance(w, inst)
	}
}

// orderMaintenance orders the maintenance of an instance unless an order for it is unanswered.
func (o *Owner) orderMaintenance(w *wave, inst *instance) {
	if inst.orderPending || !o.fleet.callBudget.Allow() {
		return
	}
	inst.orderPending = true
	id, number := inst.info.ID, w.Number
	if !slices.Contains(w.progress.Ordered, id) {
		w.progress.Ordered = append(w.progress.Ordered, id)
		o.recordWave(w)
	}
	o.afterCommit(func() {
		o.sendInstanceOrder(func(ctx context.Context) error {
			return o.cfg.Control.StartMaintenance(ctx, o.ownerID(), id, number)
		}, func(err error) { o.handleMaintenanceResult(w, inst, err) })
	})
}

// markBegun marks the maintenance of an instance as begun.
func (w *wave) markBegun(id string) {
	w.clearOrdered(id)
	if !w.begun[id] {
		w.begun[id] = true
		w.progress.Begun = append(w.progress.Begun, id)
	}
}

// clearOrdered removes an instance from progress.Ordered.
func (w *wave) clearOrdered(id string) {
	w.progress.Ordered = slices.DeleteFunc(w.progress.Ordered, func(other string) bool { return other == id })
}

func (o *Owner) handleMaintenanceResult(w *wave, inst *instance, err error) {
	id := inst.info.ID
	inst.orderPending, inst.answeredAt = false, time.Now()
	switch {
	case err == nil:
		o.metrics.maintenanceStarts.Inc(1)
		o.log.Info("maintenance started", "wave", w.Number, "instance", id, "worker", inst.info.Worker)
		w.markBegun(id)
		inst.maintainedFor = w
		inst.uncordon()
		o.expectEnd(inst)
		inst.settledAfter = time.Now().Add(o.cfg.Timing.MaintenanceTime + 2*listInterval)
		o.recordWave(w)
	case errors.Is(err, instances.ErrFenced):
		o.stepDown("the instance service has accepted a newer owner")
	default:
		o.log.Info("maintenance order failed", "wave", w.Number, "instance", id, "reason", err)
		w.clearOrdered(id)
		o.recordWave(w)
		inst.uncordon()
		inst.settledAfter = time.Now().Add(2 * listInterval)
	}
}

func (o *Owner) recordWave(w *wave) {
	o.queueRecord(topic.Record{Key: waveKeyPrefix + strconv.FormatInt(w.Number, 10), Value: o.encode(&w.progress)})
}
