package owner

import (
	"context"
	"time"

	"github.com/pollenford/pollenford/internal/guard"
	"github.com/pollenford/pollenford/internal/jobs"
	"github.com/pollenford/pollenford/internal/leader"
)

// confirmReadInterval is the time between two reads that confirm what is known of evacuations. The follower of the topic is
// more patient, but its call may have been sent during an outage and stay unanswered after it.
const confirmReadInterval = 300 * time.Millisecond

// startGuard is the state of the check that nothing is started by outdated knowledge of evacuations.
type startGuard struct {
	held     bool // reported as outdated
	nextRead time.Time
	// lastRecheck is when an answered append last led to a read. Appends are answered up to a hundred times a second.
	lastRecheck time.Time
}

// evacuated reports whether the worker is in an evacuated zone.
func (o *Owner) evacuated(w *worker) bool { return o.evacuations.evacuated(w.info.Zone) }

// instanceEvacuated reports whether the instance is of no use to a pool because its zone, or that of its worker, is
// evacuated.
func (o *Owner) instanceEvacuated(inst *instance) bool {
	w := o.workers[inst.info.Worker]
	return o.evacuations.evacuated(inst.info.Zone) || w != nil && o.evacuated(w)
}

// leavingCPU returns the CPU on a worker in an evacuated zone that tasks will need elsewhere: all but that of long-running
// tasks that stay.
func (o *Owner) leavingCPU(w *worker) int64 {
	if !o.evacuated(w) {
		return 0
	}
	leaving := w.used.resources.CPU
	for _, p := range w.runs {
		if p.step().LongRunning && !p.mayRelocate() {
			leaving -= p.step().ReservedResources().CPU
		}
	}
	return leaving
}

// startsHeld reports whether nothing may be started because a zone may have been evacuated without this owner's knowledge.
func (o *Owner) startsHeld() bool { return o.evacuations.outdated(leader.BootTime()) }

// mayStartOn reports whether a start may be sent to the worker.
func (o *Owner) mayStartOn(w *worker) bool {
	return o.evacuations.mayStart(w.info.Zone, leader.BootTime())
}

// recheckEvacuations checks at once after the store has answered an append: starts held by an outage go on soon after it.
func (o *Owner) recheckEvacuations() {
	g := &o.startGuard
	if now := time.Now(); o.startsHeld() && now.Sub(g.lastRecheck) >= tickInterval {
		g.lastRecheck, g.nextRead = now, time.Time{}
		o.checkEvacuations(now)
	}
}

// checkEvacuations keeps the knowledge of evacuations current while jobs are active, and logs when starts are held for it.
func (o *Owner) checkEvacuations(now time.Time) {
	g := &o.startGuard
	if held := o.startsHeld(); held != g.held {
		g.held = held
		if held {
			o.log.Warn("starts held: the operators' records may be outdated")
		} else {
			o.log.Info("starts resumed: the operators' records were read")
			o.replan = true
		}
	}
	if len(o.active) == 0 || now.Before(g.nextRead) || !o.evacuations.olderThan(confirmShare, leader.BootTime()) {
		return
	}
	g.nextRead = now.Add(confirmReadInterval)
	go o.confirmEvacuations()
}

// confirmEvacuations reads what was appended to the operators' topic since the last read.
func (o *Owner) confirmEvacuations() {
	ctx, stop := context.WithTimeout(o.ctx, storeTimeout)
	defer stop()
	var err error
	defer guard.Recover(o.log, "confirming evacuations", &err)
	store := o.evacuations.Reader(o.cfg.Store, o.cfg.Codec)
	if _, err = store.Read(ctx, o.cfg.Codec.OperatorTopic(), o.evacuations.nextOffset(), 0); err != nil {
		o.log.Debug("confirming evacuations failed", "err", err)
	}
}

// listEvacuations returns the evacuated zones with the runs still there.
func (o *Owner) listEvacuations() []jobs.Evacuation {
	var list []jobs.Evacuation
	for _, zone := range o.evacuations.zones() {
		e := jobs.Evacuation{Zone: zone}
		for _, w := range o.workers {
			if w.info.Zone != zone {
				continue
			}
			for _, p := range w.runs {
				if p.step().LongRunning {
					e.LongRunningRuns++
				} else {
					e.ShortRuns++
				}
			}
		}
		list = append(list, e)
	}
	return list
}

func (o *Owner) updateEvacuationGauges() {
	short, longRunning := 0, 0
	list := o.listEvacuations()
	for _, e := range list {
		short += e.ShortRuns
		longRunning += e.LongRunningRuns
	}
	o.metrics.zonesEvacuated.Update(float64(len(list)))
	o.metrics.evacuatedRuns.Update(float64(short))
	o.metrics.evacuatedLongRunning.Update(float64(longRunning))
}
