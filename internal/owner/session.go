package owner

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"

	"github.com/pollenford/pollenford/internal/topic"
	"github.com/pollenford/pollenford/internal/wait"
	"github.com/pollenford/pollenford/internal/workers"
	"github.com/pollenford/pollenford/internal/workload"
)

// Timing of sessions with workers.
const (
	// leaseTime is how long a worker goes on without being held. It covers the take-over after a silent owner (2 s),
	// the age of the last hold and the reading of the jobs; a longer one delays the restart of what a lost worker ran.
	leaseTime = 4 * time.Second
	// heartbeatPollTimeout is how long a worker may wait for an end before it answers a hold.
	heartbeatPollTimeout = 1 * time.Second
	// startupPollTimeout is the same while a lasting task starts up, which takes some tenths of a second.
	startupPollTimeout = 150 * time.Millisecond
	// holdTimeout is how long an answer may take beyond holdWait before the connection counts as lost.
	holdTimeout = 600 * time.Millisecond
	holdRetry   = 100 * time.Millisecond
	// orderTimeout is how long the answer to an order may take; a usual one takes a few milliseconds.
	orderTimeout = 500 * time.Millisecond
	stopRetry    = 150 * time.Millisecond
	// renewBound is how long an owner renews leases without having renewed its own record, so that running work
	// outlives an outage of the store.
	renewBound = 6 * time.Second
	// clockError is the share by which a worker's clock may be slow.
	clockError = 0.02
	// commitTimeout is how long a session waits for ends to be recorded before it renews the lease without
	// acknowledging them.
	commitTimeout = 700 * time.Millisecond
)

// leaseExpiryBound returns how long after an order with a lease everything on the worker has ended at the latest.
func leaseExpiryBound(lease time.Duration) time.Duration {
	return time.Duration(float64(lease)*(1+2*clockError)) + 100*time.Millisecond
}

// placement is a run that is recorded as placed on a worker and may be running there.
type placement struct {
	job      *job
	ref      workload.TaskRef
	taskName string
	run      int
	// confirmedAt is when the order's answer arrived. It is zero until then.
	confirmedAt  time.Time
	adopted      bool // placed by an earlier owner
	reported     bool // seen among the running
	speedPercent int
	stopping     bool
	stopSent     bool
	stoppedAt    time.Time // when the worker confirmed the stop
	orderedAt    time.Time
}

// worker is what the owner knows of one worker.
type worker struct {
	info workers.Info
	// registered tells that the worker's entry stands in the directory.
	registered bool
	// sessionEstablished tells that the worker has answered this owner and still does.
	sessionEstablished bool
	runs               map[string]*placement // by task name
	used               usage
	// endsSeen is the number of the last end that was taken over, endsRecorded the last that may be acknowledged.
	endsSeen, endsRecorded int64
	clockMS                int64 // the worker's clock at clockAt
	clockAt                time.Time
	// leaseUntil is when everything there has ended unless it was held again.
	leaseUntil   time.Time
	session      *session
	health       health
	lossRecorded bool
	cordoned     bool // no new work: an upkeep or a move is being prepared
	avoidUntil   time.Time
	idleSince    time.Time // when its last run ended, or it appeared
}

// session holds one incarnation of a worker.
type session struct {
	w      *worker
	target workers.Target
	cancel context.CancelFunc
	resume chan workers.HeartbeatRequest
	// waitingSince is set while the session waits for the loop.
	waitingSince time.Time
}

func (o *Owner) followWorkers() {
	f := &topic.Follower{
		Store: o.cfg.Store, Topic: o.cfg.Codec.WorkerTopic(), MinInterval: workersEvery,
		OnSnapshot: func(records []topic.Record) { o.post(func() { o.workersNewest(records) }) },
		OnRecords: func(records []topic.Record, _ int64) {
			if len(records) > 0 {
				o.post(func() { o.workerRecords(records) })
			}
		},
		OnError: func(err error) { o.log.Debug("reading workers", "err", err) },
	}
	f.Run(o.ctx)
}

// workersNewest takes the whole directory: who is missing there has left or lapsed.
func (o *Owner) workersNewest(records []topic.Record) {
	present := map[string]bool{}
	for _, r := range records {
		present[r.Key] = r.Value != nil
	}
	for id, w := range o.workers {
		if !present[id] && w.registered {
			o.workerDeregistered(w)
		}
	}
	o.workerRecords(records)
}

func (o *Owner) workerRecords(records []topic.Record) {
	for _, r := range records {
		if r.Value == nil {
			if w := o.workers[r.Key]; w != nil && w.registered {
				o.workerDeregistered(w)
			}
			continue
		}
		info, err := o.cfg.Codec.DecodeWorker(r)
		if err != nil {
			o.logOnce(o.cfg.Codec.WorkerTopic(), r, err)
			continue
		}
		o.workerRegistered(info)
	}
}

func (o *Owner) workerDeregistered(w *worker) {
	o.log.Info("worker left the directory", "worker", w.info.ID, "runs", len(w.runs))
	w.registered = false
	o.replan = true
}

func (o *Owner) worker(id string) *worker {
	w := o.workers[id]
	if w == nil {
		w = &worker{info: workers.Info{ID: id}, runs: map[string]*placement{}, idleSince: time.Now()}
		w.leaseUntil = o.began.Add(leaseExpiryBound(leaseTime))
		if !o.term.PredecessorEnded {
			// The owner before may go on renewing for as long as it is allowed to without the store.
			w.leaseUntil = w.leaseUntil.Add(renewBound)
		}
		o.workers[id] = w
	}
	return w
}

func (o *Owner) workerRegistered(info workers.Info) {
	w := o.worker(info.ID)
	before := w.info
	if before.Incarnation > info.Incarnation {
		return // an entry of an earlier life
	}
	w.info = info
	if info.Incarnation != before.Incarnation {
		o.resetIncarnation(w, info.Incarnation)
	}
	if !w.registered || info.Draining != before.Draining || info.Pool != before.Pool {
		o.log.Info("worker", "worker", info.ID, "incarnation", info.Incarnation, "pool", info.Pool, "zone", info.Zone,
			"draining", info.Draining, "cpu", info.Capacity.CPU)
		o.replan = true
	}
	w.registered = true
	o.endOlderIncarnations(w)
	if w.session == nil || w.session.target.Address != info.Address || info.Incarnation != before.Incarnation {
		o.openSession(w)
	}
}

// resetIncarnation drops everything that was believed of an earlier life of a worker.
func (o *Owner) resetIncarnation(w *worker, incarnation int64) {
	w.info.Incarnation = incarnation
	for _, p := range w.placements() {
		if t := p.job.progress.Task(p.ref); t != nil && t.Incarnation != incarnation {
			o.loseRun(w, p, workload.Interrupted, "the worker started anew")
		}
	}
	w.endsSeen, w.endsRecorded, w.clockMS, w.sessionEstablished = 0, 0, 0, false
	w.health = health{}
}

// endOlderIncarnations ends what ran on earlier workers of the same instance: an instance has one life at a time.
func (o *Owner) endOlderIncarnations(w *worker) {
	if w.info.Instance == "" {
		return
	}
	for _, other := range o.workers {
		if other == w || other.info.Instance != w.info.Instance || other.info.Incarnation >= w.info.Incarnation {
			continue
		}
		for _, p := range other.placements() {
			o.loseRun(other, p, workload.Interrupted, "its instance has started anew")
		}
	}
}

// placements returns the runs of a worker, for loops that change them.
func (w *worker) placements() []*placement {
	list := make([]*placement, 0, len(w.runs))
	for _, p := range w.runs {
		list = append(list, p)
	}
	return list
}

func (o *Owner) openSession(w *worker) {
	if w.session != nil {
		w.session.cancel()
	}
	ctx, cancel := context.WithCancel(o.ctx)
	w.sessionEstablished = false
	w.session = &session{
		w: w, cancel: cancel, resume: make(chan workers.HeartbeatRequest, 1),
		target: workers.Target{ID: w.info.ID, Address: w.info.Address, Fence: o.term.Fence},
	}
	go o.runSession(ctx, w.session)
}

// runSession holds the worker until its context ends: one call in flight at a time.
func (o *Owner) runSession(ctx context.Context, s *session) {
	order := workers.HeartbeatRequest{}
	for {
		callCtx, stop := context.WithTimeout(ctx, order.PollTimeout+holdTimeout)
		sent := time.Now()
		report, err := o.cfg.Workers.Heartbeat(callCtx, s.target, order)
		stop()
		received := time.Now()
		if ctx.Err() != nil {
			return
		}
		if err != nil && !wait.For(ctx, holdRetry) {
			return
		}
		if !o.post(func() { o.handleHeartbeat(s, report, err, sent, received) }) {
			return
		}
		select {
		case order = <-s.resume:
		case <-ctx.Done():
			return
		}
	}
}

// handleHeartbeat takes a worker's report.
func (o *Owner) handleHeartbeat(s *session, report workers.HeartbeatResponse, err error, sent, received time.Time) {
	w := s.w
	if w.session != s {
		return
	}
	if err != nil {
		o.handleHeartbeatError(w, err)
		o.resume(w, 0)
		return
	}
	if report.Incarnation != 0 && report.Incarnation != w.info.Incarnation {
		if report.Incarnation < w.info.Incarnation {
			o.resume(w, 0)
			return
		}
		o.log.Info("worker started anew", "worker", w.info.ID, "incarnation", report.Incarnation)
		o.resetIncarnation(w, report.Incarnation)
	}
	w.clockMS, w.clockAt = report.ClockMS, received
	first := !w.sessionEstablished
	if first {
		o.regained(w)
		o.log.Info("worker held", "worker", w.info.ID, "running", len(report.Running), "ended", len(report.Ended))
		w.sessionEstablished = true
		o.replan = true
	}
	news := o.processRunEnds(w, report.Ended)
	o.reconcileRuns(w, report, sent)
	switch {
	case news || w.endsSeen > w.endsRecorded:
		upTo := w.endsSeen
		s.waitingSince = time.Now()
		o.afterCommit(func() {
			if w.session == s {
				w.endsRecorded = max(w.endsRecorded, upTo)
				o.resume(w, w.holdFor())
			}
		})
	case first:
		// The first hold renewed nothing. The loss may only be followed by a lease once its record is dropped.
		o.afterCommit(func() {
			if w.session == s {
				o.resume(w, 0)
			}
		})
	default:
		o.resume(w, w.holdFor())
	}
}

// holdFor is how long the worker may wait for an end: while a lasting task starts up, its next one may have to wait for
// the report that it is at work.
func (w *worker) holdFor() time.Duration {
	for _, p := range w.runs {
		if p.step().LongRunning && !p.stopping && (!p.reported || p.speedPercent < 100) {
			return startupPollTimeout
		}
	}
	return heartbeatPollTimeout
}

func (o *Owner) handleHeartbeatError(w *worker, err error) {
	if errors.Is(err, workers.ErrFenced) {
		o.stepDown("worker " + w.info.ID + " follows a newer owner")
		return
	}
	if w.sessionEstablished {
		level := hclog.Warn
		if w.cordoned && len(w.runs) == 0 {
			level = hclog.Info // its instance was emptied for a move or an upkeep
		}
		o.log.Log(level, "worker lost", "worker", w.info.ID, "runs", len(w.runs), "err", err)
		w.sessionEstablished = false
		o.recordLoss(w)
	}
}

// loss is recorded when a worker stops answering, so that a successor need not wait longer than this owner would.
type loss struct {
	Incarnation int64 `cbor:"1,keyasint"`
	// LapsesMS is how long after the record everything on the worker has ended, in milliseconds.
	LapsesMS int64 `cbor:"2,keyasint"`
}

// lossKeyPrefix is the prefix of the keys of losses.
const lossKeyPrefix = "l/"

func (o *Owner) recordLoss(w *worker) {
	if len(w.runs) == 0 {
		return
	}
	w.lossRecorded = true
	o.queueRecord(topic.Record{Key: lossKeyPrefix + w.info.ID, Value: o.encode(loss{
		Incarnation: w.info.Incarnation, LapsesMS: max(0, time.Until(w.leaseUntil).Milliseconds()),
	})})
}

// regained drops the record of a loss.
func (o *Owner) regained(w *worker) {
	if w.lossRecorded {
		w.lossRecorded = false
		o.queueRecord(topic.Record{Key: lossKeyPrefix + w.info.ID})
	}
}

// loadLoss bounds the wait for a worker that an earlier owner lost: that owner has renewed nothing there since.
func (o *Owner) loadLoss(id string, r topic.Record) error {
	var l loss
	if err := cbor.Unmarshal(r.Value, &l); err != nil {
		return errors.Trace(err)
	}
	w := o.worker(id)
	w.lossRecorded = true
	w.info.Incarnation = max(w.info.Incarnation, l.Incarnation)
	if until := o.began.Add(time.Duration(l.LapsesMS) * time.Millisecond); until.Before(w.leaseUntil) {
		w.leaseUntil = until
	}
	return nil
}

// resume lets a session make its next call.
func (o *Owner) resume(w *worker, holdFor time.Duration) {
	order := workers.HeartbeatRequest{AcknowledgedEnds: w.endsRecorded, PollTimeout: holdFor}
	if w.sessionEstablished && o.leading() {
		order.LeaseUntilMS = o.lease(w)
	}
	w.session.waitingSince = time.Time{}
	select {
	case w.session.resume <- order:
	default: // it has been resumed by a time-out
	}
}

// lease returns a time limit on the worker's clock and notes when it has passed; 0 if that clock is not known.
func (o *Owner) lease(w *worker) int64 {
	if w.clockMS == 0 {
		return 0
	}
	now := time.Now()
	w.leaseUntil = latest(w.leaseUntil, now.Add(leaseExpiryBound(leaseTime)))
	return w.clockMS + now.Sub(w.clockAt).Milliseconds() + min(leaseTime, o.cfg.Timing.MaxLease).Milliseconds()
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// processRunEnds takes over the ends that a worker lists, and reports whether there were new ones.
func (o *Owner) processRunEnds(w *worker, ends []workers.RunEnd) bool {
	news := false
	for _, end := range ends {
		if end.Sequence <= w.endsSeen {
			continue
		}
		w.endsSeen = end.Sequence
		news = true
		if p := w.runs[end.Task]; p != nil && p.run == end.Run {
			o.endRun(w, p, end)
		}
	}
	return news
}

// reconcileRuns compares what a worker runs with what is placed there.
func (o *Owner) reconcileRuns(w *worker, report workers.HeartbeatResponse, sent time.Time) {
	running := make(map[string]int, len(report.Running))
	for _, run := range report.Running {
		running[run.Task] = run.Number
		p := w.runs[run.Task]
		if p == nil || p.run != run.Number {
			o.stopUnknownRun(w, run)
			continue
		}
		p.reported = true
		p.speedPercent = run.SpeedPercent
		if t := p.job.progress.Task(p.ref); t != nil && run.Checkpoint != "" {
			t.Checkpoint = run.Checkpoint
		}
		if p.confirmedAt.IsZero() {
			p.confirmedAt = time.Now()
		}
		if p.stopping && !p.stopSent || p.job.progress.State != workload.Active {
			o.stopRun(w, p)
		}
	}
	for _, p := range w.placements() {
		if n, ok := running[p.taskName]; ok && n == p.run {
			continue
		}
		// The worker refuses the orders of older owners since it was held, so what it does not list it will never run.
		absent := p.adopted ||
			!p.stoppedAt.IsZero() && sent.After(p.stoppedAt.Add(o.cfg.Timing.StopTime)) ||
			!p.confirmedAt.IsZero() && p.stoppedAt.IsZero() && sent.After(p.confirmedAt)
		if absent && len(report.Ended) < maxEnds {
			// A run that began is listed until its end is acknowledged, which follows the record of the end.
			ending := workload.NeverStarted
			if !p.confirmedAt.IsZero() {
				ending = workload.Interrupted
			}
			o.loseRun(w, p, ending, "the worker does not list it")
		}
	}
}

// maxEnds is how many ends a worker lists at a time; the end of a run may be among the rest.
const maxEnds = 500

// checkWorker finds what has lapsed on a worker.
func (o *Owner) checkWorker(w *worker, now time.Time) {
	if s := w.session; s != nil && !s.waitingSince.IsZero() && now.Sub(s.waitingSince) > commitTimeout {
		o.resume(w, 0)
	}
	if now.Before(w.leaseUntil) || w.sessionEstablished {
		return
	}
	for _, p := range w.placements() {
		o.loseRun(w, p, workload.Interrupted, "its lease has lapsed")
	}
	if !w.registered {
		if w.session != nil {
			w.session.cancel()
		}
		o.regained(w)
		delete(o.workers, w.info.ID)
		o.log.Info("worker forgotten", "worker", w.info.ID)
	}
}
