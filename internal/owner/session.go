package owner

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/pollenford/pollenford/internal/wait"
	"github.com/pollenford/pollenford/internal/workers"
	"github.com/pollenford/pollenford/internal/workload"
)

// Timing of worker sessions.
const (
	// leaseDuration is how long runs continue on a worker without a heartbeat. It covers the failover from an unresponsive
	// owner (2 s), the age of the last heartbeat and the recovery of the jobs. A longer lease delays the restart of tasks
	// whose runs are lost.
	leaseDuration = 4 * time.Second
	// heartbeatPollTimeout is how long a worker may hold a heartbeat open until a run ends.
	heartbeatPollTimeout = 1 * time.Second
	// startupPollTimeout is used instead while a long-running task starts up, which takes some tenths of a second.
	startupPollTimeout = 150 * time.Millisecond
	// heartbeatTimeout is how long beyond its poll timeout the response to a heartbeat may take to begin before the worker
	// counts as lost.
	heartbeatTimeout    = 600 * time.Millisecond
	heartbeatRetryDelay = 100 * time.Millisecond
	// requestTimeout bounds a start or stop request, which usually takes a few milliseconds.
	requestTimeout = 500 * time.Millisecond
	stopRetryDelay = 150 * time.Millisecond
	// maxClockDrift is the fraction by which a worker's clock may run slow.
	maxClockDrift = 0.02
	// commitTimeout is how long a session waits for the decisions on a heartbeat to be recorded before it sends the next
	// one, which acknowledges no run end that is not recorded.
	commitTimeout = 700 * time.Millisecond
)

// leaseExpiryBound returns the time after granting a lease by which every run on the worker has ended, even if the
// worker's clock is slow.
func leaseExpiryBound(lease time.Duration) time.Duration {
	return time.Duration(float64(lease)*(1+2*maxClockDrift)) + 100*time.Millisecond
}

// placement is a run that is assigned to a worker and may be active there.
type placement struct {
	job      *job
	ref      workload.TaskRef
	stepSpec *workload.Step // see step
	taskName string
	run      int
	// confirmedAt is when the worker confirmed the start, or first reported the run; zero until then.
	confirmedAt time.Time
	// seenOn is the incarnation known to have the run; 0 until a reply or a list of the worker shows it.
	seenOn    int64
	startSent bool // by this owner
	restarted bool // the worker restarted while the start may have been on its way

	adopted      bool // placed by an earlier owner
	reported     bool // listed as running in a heartbeat response
	speedPercent int
	// evicted reports that a stop was decided; it may be sent once the decision is recorded.
	evicted     bool
	stopping    bool // a stop may be sent, or was sent
	stopSent    bool
	stoppedAt   time.Time // when the worker confirmed the stop
	lastStop    time.Time // when the latest stop was sent
	stopSeries  int       // numbers the series of a stop and its repetitions
	evictions   int       // numbers the decisions to evict the run
	requestedAt time.Time

	// unansweredSince is when the start was given up without an answer, until a list shows the run (see unanswered.go).
	unansweredSince time.Time
	startUntilMS    int64 // deadline of the start on the worker's clock
	startExpired    bool  // the deadline has passed, and a list that was sent since the start was given up lacks the run
}

// leaving reports whether the run was decided to be stopped.
func (p *placement) leaving() bool { return p.evicted || p.stopping }

// worker is the owner's state of one worker.
type worker struct {
	info workers.Info
	// registered reports whether the worker is listed in the directory.
	registered bool
	// entryIncarnation is the incarnation that the entry in use names, 0 if it names none (see described).
	entryIncarnation int64
	// announced is a later incarnation that the directory names and that has not answered yet, or nil.
	announced *workers.Info
	// unconfirmed is the entry of an announced incarnation while an earlier one still answered, or nil.
	unconfirmed *workers.Info
	// sessionEstablished reports whether the worker responds to this owner's heartbeats.
	sessionEstablished bool
	runs               map[string]*placement // by task name
	starting           int                   // starts without an answer
	used               usage
	// Sequence numbers of the last run end processed and of the last one that may be acknowledged.
	lastEndSeen, lastEndRecorded int64
	endsListed                   bool  // by the last heartbeat response
	clockMS                      int64 // the worker's clock at clockAt
	clockAt                      time.Time
	// leaseUntil is when every run on the worker has ended unless its lease is renewed.
	leaseUntil time.Time
	session    *session
	health     health
	// endExpectedSince is when an order that ends the worker was answered; zero without one and once the worker has answered
	// a later heartbeat.
	endExpectedSince time.Time
	backoffUntil     time.Time
	idleSince        time.Time // when the latest of its runs ended, or when it was first seen
}

// session sends heartbeats to one incarnation of a worker. The result of each lets exactly one other follow.
type session struct {
	w           *worker
	target      workers.Target
	cancel      context.CancelFunc
	nextRequest chan workers.HeartbeatRequest
	// results counts the results processed; resumed reports whether the heartbeat after the latest one may be sent.
	results int
	resumed bool
	// awaitingCommitSince is set while the session waits for the decisions on the latest result to be recorded.
	awaitingCommitSince time.Time
}

// placements returns a copy of the worker's runs, for loops that add or remove runs.
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
	info := w.info
	if w.announced != nil {
		info = *w.announced
	}
	w.session = &session{
		w: w, cancel: cancel, nextRequest: make(chan workers.HeartbeatRequest, 1), resumed: true,
		target: workers.Target{ID: info.ID, Address: info.Address, Incarnation: info.Incarnation, Fence: o.term.Fence},
	}
	go o.runSession(ctx, w.session)
}

// runSession sends heartbeats to the worker until ctx ends, one at a time.
func (o *Owner) runSession(ctx context.Context, s *session) {
	request := workers.HeartbeatRequest{}
	for {
		request.AnswerTimeout = heartbeatTimeout
		sent := time.Now()
		response, err := o.cfg.Workers.Heartbeat(ctx, s.target, request)
		received := time.Now()
		if ctx.Err() != nil {
			return
		}
		if err != nil && !wait.For(ctx, heartbeatRetryDelay) {
			return
		}
		if !o.post(func() { o.handleHeartbeat(s, response, err, sent, received) }) {
			return
		}
		select {
		case request = <-s.nextRequest:
		case <-ctx.Done():
			return
		}
	}
}

// handleHeartbeat processes the result of a heartbeat.
func (o *Owner) handleHeartbeat(s *session, response workers.HeartbeatResponse, err error, sent, received time.Time) {
	w := s.w
	if w.session != s {
		return
	}
	s.results++
	s.resumed = false
	switch found := incarnationFound(response.Incarnation, err); {
	case w.announced != nil && found != 0:
		o.resolveAnnounced(w, found)
		if w.session == s {
			o.resumeSession(w, 0)
		}
		return
	case found > w.info.Incarnation:
		o.workerRestarted(w, found)
		return
	}
	if err != nil {
		o.handleHeartbeatError(w, err)
		o.resumeSession(w, 0)
		return
	}
	if response.Incarnation != 0 && response.Incarnation < w.info.Incarnation {
		o.resumeSession(w, 0)
		return
	}
	w.clockMS, w.clockAt = response.ClockMS, received
	if !w.sessionEstablished {
		o.clearLoss(w)
		o.log.Info("worker session established", "worker", w.info.ID,
			"running", len(response.Running), "ended", len(response.Ended))
		w.sessionEstablished = true
		o.endOlderIncarnations(w)
		o.replan = true
	}
	o.noticeOutlived(w, sent)
	w.endsListed = len(response.Ended) > 0
	newEnds := o.processRunEnds(w, response.Ended)
	o.reconcileRuns(w, response, sent)
	if newEnds {
		o.acknowledgeEnds(w)
	}
	if w.lastEndSeen > w.lastEndRecorded || o.lossMayBeRead(w.info.ID) {
		o.resumeAfterCommit(s)
		return
	}
	o.resumeSession(w, w.pollTimeout())
}

// acknowledgeEnds lets the session acknowledge the run ends seen so far once they are recorded.
func (o *Owner) acknowledgeEnds(w *worker) {
	lastEnd, incarnation := w.lastEndSeen, w.info.Incarnation
	o.afterCommit(func() {
		if w.info.Incarnation == incarnation {
			w.lastEndRecorded = max(w.lastEndRecorded, lastEnd)
		}
	})
}

// resumeAfterCommit resumes a session once all decisions made so far are recorded, or after commitTimeout.
func (o *Owner) resumeAfterCommit(s *session) {
	result := s.results
	s.awaitingCommitSince = time.Now()
	o.afterCommit(func() {
		if s.w.session == s && s.results == result {
			o.resumeSession(s.w, s.w.pollTimeout())
		}
	})
}

// incarnationFound returns the incarnation that a worker's reply names, or that was found in place of the addressed one;
// 0 if neither is known.
func incarnationFound(replied int64, err error) int64 {
	var other *workers.IncarnationError
	if errors.As(err, &other) {
		return other.Found
	}
	return replied
}

// workerRestarted goes on with a later incarnation of a worker, in a session of its own.
func (o *Owner) workerRestarted(w *worker, incarnation int64) {
	if info := w.unconfirmed; info != nil && info.Incarnation == incarnation {
		o.log.Info("worker restarted", "worker", w.info.ID, "incarnation", incarnation, "described", true)
		o.register(w, *info, incarnation)
		return
	}
	o.resetIncarnation(w, incarnation)
	o.log.Info("worker restarted", "worker", w.info.ID, "incarnation", incarnation, "described", w.described())
	o.openSession(w)
}

// pollTimeout returns how long the worker may hold a heartbeat open. It is short while a long-running task starts up,
// because maintenance of another instance may wait until the task runs at full speed.
func (w *worker) pollTimeout() time.Duration {
	for _, p := range w.runs {
		startsUp := !p.leaving() && (!p.reported || p.speedPercent < 100)
		if p.step().LongRunning && (startsUp || !p.unansweredSince.IsZero()) {
			return startupPollTimeout
		}
	}
	return heartbeatPollTimeout
}

func (o *Owner) handleHeartbeatError(w *worker, err error) {
	if errors.Is(err, workers.ErrFenced) {
		o.stepDown("worker " + w.info.ID + " has accepted a newer owner")
		return
	}
	if w.sessionEstablished {
		if o.cordoned(w) && len(w.runs) == 0 {
			o.log.Info("worker left: its instance moves or is maintained", "worker", w.info.ID)
		} else {
			o.log.Warn("worker lost", "worker", w.info.ID, "runs", len(w.runs), "err", err)
		}
		w.sessionEstablished = false
		o.recordLoss(w)
	}
}

// resumeSession lets a session send its next heartbeat, unless it was resumed since the latest result. It acknowledges only
// what the last response listed: a repeated acknowledgement could reach the next incarnation, which numbers its ends anew.
func (o *Owner) resumeSession(w *worker, pollTimeout time.Duration) {
	s := w.session
	if s.resumed {
		return
	}
	s.resumed, s.awaitingCommitSince = true, time.Time{}
	request := workers.HeartbeatRequest{PollTimeout: pollTimeout, LeaseUntilMS: o.extendLease(w)}
	if w.sessionEstablished && w.endsListed {
		request.AcknowledgedEnds = w.lastEndRecorded
	}
	s.nextRequest <- request // has room: the request before it was taken to get the result
}

// mayExtendLease reports whether the worker may get a new lease. A successor that reads a record of the worker's loss takes
// the lease for the last one.
func (o *Owner) mayExtendLease(w *worker) bool {
	return w.sessionEstablished && w.clockMS != 0 && o.leading() && !o.lossMayBeRead(w.info.ID)
}

// extendLease updates leaseUntil for a new lease and returns the lease's end on the worker's clock in milliseconds. Every
// lease is granted here; it returns 0, which renews nothing, if there may be none.
func (o *Owner) extendLease(w *worker) int64 {
	if !o.mayExtendLease(w) {
		return 0
	}
	now := time.Now()
	w.leaseUntil = latest(w.leaseUntil, now.Add(leaseExpiryBound(leaseDuration)))
	return w.clockMS + now.Sub(w.clockAt).Milliseconds() + min(leaseDuration, o.cfg.Timing.MaxLease).Milliseconds()
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// processRunEnds processes the run ends that a worker lists and reports whether any of them is new.
func (o *Owner) processRunEnds(w *worker, ends []workers.RunEnd) bool {
	newEnds := false
	for _, end := range ends {
		if end.Sequence <= w.lastEndSeen {
			continue
		}
		w.lastEndSeen = end.Sequence
		newEnds = true
		p := w.runs[end.Task]
		if p == nil && end.Reason == workers.Done {
			p = o.resumeRun(w, end.Task, end.Run)
		}
		if p != nil && p.run == end.Run {
			o.endRun(w, p, end)
		}
	}
	return newEnds
}

// reconcileRuns compares the runs that a worker reports with those placed on it.
func (o *Owner) reconcileRuns(w *worker, response workers.HeartbeatResponse, sent time.Time) {
	running := make(map[string]int, len(response.Running))
	for _, run := range response.Running {
		running[run.Task] = run.Number
		p := w.runs[run.Task]
		if p == nil {
			if p = o.resumeRun(w, run.Task, run.Number); p != nil && p.step().Gang {
				p.stopping = true // the others of its gang wait to start again with it
			}
		}
		if p == nil || p.run != run.Number {
			o.stopUnknownRun(w, run)
			continue
		}
		p.reported, p.seenOn = true, w.info.Incarnation
		p.speedPercent = run.SpeedPercent
		p.job.progress.SaveCheckpoint(p.job.spec, p.ref, run.Checkpoint)
		o.keepListedRun(p)
		if p.confirmedAt.IsZero() {
			p.confirmedAt = time.Now()
			o.noteStarted(p.job)
		}
		if p.stopping && !p.stopSent || p.job.progress.State != workload.Active {
			o.stopRun(w, p)
		}
	}
	for _, p := range w.placements() {
		if n, ok := running[p.taskName]; ok && n == p.run {
			continue
		}
		if p.stopping && !p.stopSent {
			o.stopRun(w, p)
		}
		o.resolveUnansweredStart(w, p, response.ClockMS, sent)
		// Since its first heartbeat the worker rejects requests of earlier owners, so an adopted run it omits cannot start.
		absent := p.adopted ||
			!p.stoppedAt.IsZero() && sent.After(p.stoppedAt.Add(o.cfg.Timing.StopTime)) ||
			!p.confirmedAt.IsZero() && p.stoppedAt.IsZero() && sent.After(p.confirmedAt)
		if absent && len(response.Ended) < maxReportedEnds {
			// A worker lists a started run until its end is acknowledged, which happens only after the end is recorded.
			result := workload.NeverStarted
			if !p.confirmedAt.IsZero() || p.restarted {
				result = workload.Interrupted
			}
			o.loseRun(w, p, result, "not reported by the worker")
		}
	}
}

// maxReportedEnds is how many run ends a worker lists in one response. A missing run may be among the ends not listed.
const maxReportedEnds = 500

// checkWorkerTimeouts resumes a session whose commit timed out, ends the runs of an expired lease as lost and removes a
// deregistered worker.
func (o *Owner) checkWorkerTimeouts(w *worker, now time.Time) {
	if s := w.session; s != nil && !s.awaitingCommitSince.IsZero() && now.Sub(s.awaitingCommitSince) > commitTimeout {
		o.resumeSession(w, 0)
	}
	if now.Before(w.leaseUntil) || w.sessionEstablished {
		return
	}
	for _, p := range w.placements() {
		o.loseRun(w, p, workload.Interrupted, "lease expired")
	}
	if !w.registered {
		if w.session != nil {
			w.session.cancel()
		}
		o.clearLoss(w)
		delete(o.workers, w.info.ID)
		o.workerIndex.removed(w)
		o.log.Info("worker removed", "worker", w.info.ID)
	}
}
