package owner

import (
	"time"

	"github.com/juju/errors"

	"github.com/pollenford/pollenford/internal/leader"
	"github.com/pollenford/pollenford/internal/topic"
	"github.com/pollenford/pollenford/internal/workers"
	"github.com/pollenford/pollenford/internal/workload"
)

func (o *Owner) followWorkers() {
	f := &topic.Follower{
		Store: o.cfg.Store, Topic: o.cfg.Codec.WorkerTopic(), MinInterval: workerPollInterval, Log: o.log,
		OnSnapshot: func(records []topic.Record) { o.post(func() { o.applyWorkerSnapshot(records) }) },
		OnRecords: func(records []topic.Record, _ int64) {
			if len(records) > 0 {
				o.post(func() { o.applyWorkerRecords(records) })
			}
		},
		OnError: func(err error) { o.log.Debug("reading the worker directory failed", "err", err) },
	}
	f.Run(o.ctx)
}

// applyWorkerSnapshot applies a snapshot of the worker directory. Workers missing from it have left or expired.
func (o *Owner) applyWorkerSnapshot(records []topic.Record) {
	clear(o.workerIndex.unconfigured)
	registered := map[string]bool{}
	for _, r := range records {
		registered[r.Key] = r.Value != nil
	}
	for id, w := range o.workers {
		if !registered[id] && w.registered {
			o.workerDeregistered(w)
		}
	}
	o.applyWorkerRecords(records)
}

func (o *Owner) applyWorkerRecords(records []topic.Record) {
	for _, r := range records {
		info, err := o.decodeWorker(r)
		if err == nil {
			o.workerRegistered(info)
			continue
		}
		if r.Value != nil {
			o.logOnce(o.cfg.Codec.WorkerTopic(), r, err)
		}
		// A record that names no worker to use ends an earlier registration, like one that deletes its key.
		if w := o.workers[r.Key]; w != nil && w.registered {
			o.workerDeregistered(w)
		}
	}
}

// decodeWorker returns the worker that a record names. One of a pool that is not configured is kept for
// registerUnconfigured.
func (o *Owner) decodeWorker(r topic.Record) (workers.Info, error) {
	delete(o.workerIndex.unconfigured, r.Key)
	if r.Value == nil {
		return workers.Info{}, errors.NotFoundf("worker %q", r.Key)
	}
	info, err := o.cfg.Codec.DecodeWorker(r)
	if err == nil && o.cfg.Catalog().Pools[info.Pool] == nil {
		if o.workerIndex.unconfigured == nil {
			o.workerIndex.unconfigured = map[string]workers.Info{}
		}
		o.workerIndex.unconfigured[r.Key] = info
		err = errors.NotFoundf("pool %q", info.Pool)
	}
	return info, err
}

// registerUnconfigured registers the workers whose pools have been configured since their records were read.
func (o *Owner) registerUnconfigured() {
	for id, info := range o.workerIndex.unconfigured {
		if o.cfg.Catalog().Pools[info.Pool] != nil {
			delete(o.workerIndex.unconfigured, id)
			o.workerRegistered(info)
		}
	}
}

func (o *Owner) workerDeregistered(w *worker) {
	o.log.Info("worker deregistered", "worker", w.info.ID, "runs", len(w.runs))
	w.registered = false
	o.replan = true
}

func (o *Owner) getOrCreateWorker(id string) *worker {
	w := o.workers[id]
	if w == nil {
		w = &worker{info: workers.Info{ID: id}, runs: map[string]*placement{}, idleSince: time.Now()}
		w.leaseUntil = o.recoveredAt.Add(leaseExpiryBound(leaseDuration))
		if !o.term.PredecessorEnded {
			// The predecessor may still renew leases until its leader.MaxRenewalAge has passed.
			w.leaseUntil = w.leaseUntil.Add(leader.MaxRenewalAge)
		}
		o.workers[id] = w
		o.workerIndex.moved(w, "")
	}
	return w
}

func (o *Owner) workerRegistered(info workers.Info) {
	w := o.getOrCreateWorker(info.ID)
	named := info.Incarnation
	info = w.attributeEntry(info)
	if w.info.Incarnation > info.Incarnation {
		return // a stale record of an earlier incarnation
	}
	if w.info.Incarnation < info.Incarnation && w.info.Address != "" {
		o.awaitAnnounced(w, info)
		return
	}
	o.register(w, info, named)
}

// awaitAnnounced asks a later incarnation, which the directory announces, to answer. Until then the known one keeps its entry,
// its runs and their leases, because the announcement may be wrong.
func (o *Owner) awaitAnnounced(w *worker, info workers.Info) {
	known := w.announced
	w.announced = &info
	if known == nil || known.Incarnation != info.Incarnation || known.Address != info.Address {
		o.openSession(w)
	}
}

// resolveAnnounced decides by the incarnation that answered whether the announced one replaces the known one.
func (o *Owner) resolveAnnounced(w *worker, found int64) {
	info := *w.announced
	w.announced = nil
	if found < info.Incarnation {
		w.unconfirmed = &info // it may answer later, and the directory delivers its entry only once
		o.log.Warn("worker entry ignored: another incarnation is up", "worker", w.info.ID, "announced", info.Incarnation, "incarnation", found)
		o.openSession(w)
		return
	}
	named := info.Incarnation
	info.Incarnation = found
	o.log.Info("worker restarted", "worker", w.info.ID, "incarnation", found, "described", named == found)
	o.register(w, info, named)
}

// register takes over what the directory says of a worker in an entry that names an incarnation, or none (0).
func (o *Owner) register(w *worker, info workers.Info, named int64) {
	previous, wasDescribed := w.info, w.described()
	w.info, w.entryIncarnation, w.announced, w.unconfirmed = info, named, nil, nil
	if info.Pool != previous.Pool || info.Instance != previous.Instance {
		o.workerIndex.moved(w, previous.Instance)
	}
	if info.Incarnation != previous.Incarnation {
		o.resetIncarnation(w, info.Incarnation)
	}
	if !w.registered || !wasDescribed || info.Draining != previous.Draining || info.Pool != previous.Pool {
		o.log.Info("worker registered or updated", "worker", info.ID, "incarnation", info.Incarnation, "pool", info.Pool,
			"zone", info.Zone, "draining", info.Draining, "cpu", info.Capacity.CPU)
		o.replan = true
	}
	w.registered = true
	if w.sessionEstablished {
		o.endOlderIncarnations(w)
	}
	if w.session == nil || w.session.target.Address != info.Address || w.session.target.Incarnation != info.Incarnation {
		o.openSession(w)
	}
}

// resetIncarnation discards the state of a worker's earlier incarnation. Runs whose start may have reached the new one,
// or may still reach it, stay placed until its replies and lists show where they are.
func (o *Owner) resetIncarnation(w *worker, incarnation int64) {
	w.info.Incarnation = incarnation
	o.extendLeaseBound(w)
	for _, p := range w.placements() {
		t, ok := p.job.progress.Task(p.ref)
		switch {
		case !ok || t.Incarnation == incarnation:
		case p.seenOn != 0 && p.seenOn != incarnation:
			o.loseRun(w, p, workload.Interrupted, "worker restarted")
		case !p.startSent && !p.adopted:
			o.loseRun(w, p, workload.NeverStarted, "worker restarted")
		default:
			p.restarted = true
			if !p.stoppedAt.IsZero() {
				p.stoppedAt, p.stopSent = time.Time{}, false
			}
		}
	}
	w.lastEndSeen, w.lastEndRecorded, w.clockMS, w.sessionEstablished = 0, 0, 0, false
	w.health, w.endExpectedSince = health{}, time.Time{}
}

// extendLeaseBound provides for leases that were requested of a worker's earlier incarnation and reach the next one. Its
// clock starts anew, so that it shortens them only to the longest lease it accepts.
func (o *Owner) extendLeaseBound(w *worker) {
	if w.clockMS == 0 && len(w.runs) == 0 {
		return // none was requested
	}
	w.leaseUntil = latest(w.leaseUntil, time.Now().Add(leaseExpiryBound(o.cfg.Timing.MaxLease)))
	if o.lossMayBeRead(w.info.ID) {
		o.recordLoss(w)
	}
}

// endOlderIncarnations ends the runs of earlier workers on the same instance, which runs one worker at a time. Call it only
// for a worker that answers: an entry alone may be wrong. Where a worker runs that no entry describes is unknown.
func (o *Owner) endOlderIncarnations(w *worker) {
	if !w.described() {
		return
	}
	for _, other := range o.workerIndex.byInstance[w.info.Instance] {
		if other == w || other.info.Incarnation >= w.info.Incarnation || !other.described() {
			continue
		}
		for _, p := range other.placements() {
			o.loseRun(other, p, workload.Interrupted, "instance restarted")
		}
	}
}
