package owner

import (
	"context"
	"maps"
	"time"

	"github.com/juju/errors"

	"github.com/pollenford/pollenford/internal/catalog"
	"github.com/pollenford/pollenford/internal/leader"
	"github.com/pollenford/pollenford/internal/wait"
	"github.com/pollenford/pollenford/internal/workers"
	"github.com/pollenford/pollenford/internal/workload"
)

// usage holds the resources of all runs that may be active on a worker.
type usage struct {
	resources catalog.Resources
	// longRunning is the part of resources that long-running tasks hold.
	longRunning  catalog.Resources
	tasksPerStep map[stepKey]int
	// organisations holds the CPU used on the worker by organisation, in thousandths of a core.
	organisations map[string]int64
}

// stepKey identifies a step of one occurrence of a job.
type stepKey struct {
	job              *job
	occurrence, step int
}

func (p *placement) stepKey() stepKey { return stepKey{p.job, p.ref.Occurrence, p.ref.Step} }

// reserve adds a placement to the usage of its worker and of its organisation.
func (o *Owner) reserve(w *worker, p *placement) {
	step := p.step()
	p.job.placed++
	w.runs[p.taskName] = p
	w.used.resources = w.used.resources.Add(step.ReservedResources())
	if step.LongRunning {
		w.used.longRunning = w.used.longRunning.Add(step.ReservedResources())
	}
	if w.used.tasksPerStep == nil {
		w.used.tasksPerStep = map[stepKey]int{}
	}
	w.used.tasksPerStep[p.stepKey()]++
	org := p.job.spec.Organisation
	o.usage[org] = o.usage[org].Add(step.Resources)
	o.accounts.begun.Add(org, runBytes)
	if w.used.organisations == nil {
		w.used.organisations = map[string]int64{}
	}
	w.used.organisations[org] += step.ReservedResources().CPU
}

// release reverses reserve.
func (o *Owner) release(w *worker, p *placement) {
	step := p.step()
	delete(w.runs, p.taskName)
	if p.job.placed--; p.job.placed == 0 {
		o.forgetSpec(p.job)
	}
	w.idleSince = time.Now()
	w.used.resources = w.used.resources.Sub(step.ReservedResources())
	if step.LongRunning {
		w.used.longRunning = w.used.longRunning.Sub(step.ReservedResources())
	}
	key := p.stepKey()
	if w.used.tasksPerStep[key]--; w.used.tasksPerStep[key] == 0 {
		delete(w.used.tasksPerStep, key)
	}
	org := p.job.spec.Organisation
	o.usage[org] = o.usage[org].Sub(step.Resources)
	o.accounts.begun.Add(org, -runBytes)
	if w.used.organisations[org] -= step.ReservedResources().CPU; w.used.organisations[org] == 0 {
		delete(w.used.organisations, org)
	}
	o.replan = true
}

// adoptRun reserves resources for a run that an earlier owner placed.
func (o *Owner) adoptRun(j *job, ref workload.TaskRef, t *workload.Task) {
	w := o.getOrCreateWorker(t.Worker)
	if w.info.Incarnation < t.Incarnation {
		w.info.Incarnation = t.Incarnation
	}
	o.reserve(w, &placement{
		job: j, ref: ref, taskName: workload.TaskName(j.spec.ID, ref), run: t.Run, adopted: true, requestedAt: o.recoveredAt,
		stopping: j.progress.IsEvicted(ref),
	})
}

// resumeRun places a run again that counted as lost, because its worker lists it. It returns nil if the task has gone on
// without it.
func (o *Owner) resumeRun(w *worker, taskName string, run int) *placement {
	id, ref, err := workload.ParseTaskName(taskName)
	j := o.jobs[id]
	if err != nil || j == nil || j.spec == nil ||
		!j.progress.Resume(j.spec, ref, run, w.info.ID, w.info.Incarnation) {
		return nil
	}
	o.log.Info("lost run found", "task", taskName, "run", run, "worker", w.info.ID)
	now := time.Now()
	p := &placement{job: j, ref: ref, taskName: taskName, run: run, startSent: true, seenOn: w.info.Incarnation,
		requestedAt: now, confirmedAt: now}
	o.reserve(w, p)
	o.markDirty(j)
	o.noteStarted(j)
	return p
}

// startRun places a task on a worker and sends the start request once the placement is recorded.
func (o *Owner) startRun(j *job, ref workload.TaskRef, run int, w *worker, ticket string) {
	if err := j.progress.Place(ref, run, w.info.ID, w.info.Incarnation); err != nil {
		o.log.Error("placement rejected", "job", j.spec.ID, "err", err)
		return
	}
	j.markBegun(stepKey{j, ref.Occurrence, ref.Step})
	p := &placement{job: j, ref: ref, taskName: workload.TaskName(j.spec.ID, ref), run: run, requestedAt: time.Now()}
	o.reserve(w, p)
	o.markDirty(j)
	w.starting++
	o.accounts.starts++
	request := workers.StartRequest{
		Task: p.taskName, Run: run, Spec: j.spec.Spec, Checkpoint: j.progress.Checkpoint(j.spec, ref), Ticket: ticket}
	o.afterCommit(func() { o.sendStart(w, p, request) })
}

// noteStarted notes that a worker has shown that it started a task of a job, which no longer is pending then.
func (o *Owner) noteStarted(j *job) {
	if j.progress.State == workload.Active && j.progress.ConfirmStart() {
		o.metrics.firstStartDelay.RecordDuration(time.Duration(time.Now().UnixMilli()-j.spec.ReceivedMS) * time.Millisecond)
		o.markDirty(j)
	}
}

// markBegun records when the first task of a step was placed, and forgets the occurrences that have ended.
func (j *job) markBegun(key stepKey) {
	if _, begun := j.stepsBegan[key]; begun {
		return
	}
	if j.stepsBegan == nil {
		j.stepsBegan = map[stepKey]time.Time{}
	}
	maps.DeleteFunc(j.stepsBegan, func(k stepKey, _ time.Time) bool { return j.progress.Occurrence(k.occurrence) == nil })
	j.stepsBegan[key] = time.Now()
}

// sendStart sends the start request of a recorded placement.
func (o *Owner) sendStart(w *worker, p *placement, request workers.StartRequest) {
	if w.runs[p.taskName] != p { // the worker has restarted since
		o.startAnswered(w)
		return
	}
	if p.leaving() || !o.mayExtendLease(w) {
		o.startAnswered(w)
		o.loseRun(w, p, workload.NeverStarted, "start not requested")
		return
	}
	if !o.mayStartOn(w) {
		o.metrics.startsWithheld.Inc(1)
		reason := "operators' records outdated"
		if o.evacuated(w) {
			reason = "zone evacuated"
		}
		o.startAnswered(w)
		o.loseRun(w, p, workload.NeverStarted, reason)
		return
	}
	request.LeaseUntilMS = o.extendLease(w)
	p.startSent, p.startUntilMS = true, request.LeaseUntilMS
	o.metrics.starts.Inc(1)
	o.log.Debug("run starting", "task", p.taskName, "run", p.run, "worker", w.info.ID, "until_ms", request.LeaseUntilMS)
	target, zone := w.session.target, w.info.Zone
	go func() {
		ctx, stop := context.WithTimeout(o.ctx, requestTimeout)
		defer stop()
		var reply workers.Reply
		var err error
		// The process may have been suspended since.
		if o.leading() && o.evacuations.mayStart(zone, leader.BootTime()) {
			reply, err = o.cfg.Workers.Start(ctx, target, request)
		} else {
			err = workers.ErrRequestExpired
		}
		o.post(func() { o.handleStartResult(w, p, reply, err) })
	}()
}

// handleStartResult processes the result of a start request.
func (o *Owner) handleStartResult(w *worker, p *placement, reply workers.Reply, err error) {
	o.startAnswered(w)
	if err == nil {
		o.noteStarted(p.job)
	}
	if w.runs[p.taskName] != p {
		return
	}
	switch {
	case err == nil:
		o.confirmStart(w, p, reply.Incarnation)
	case errors.Is(err, workers.ErrFenced):
		o.stepDown("worker " + w.info.ID + " has accepted a newer owner")
	case isRefusal(err):
		o.metrics.startsRefused.Inc(1)
		o.log.Info("start refused", "task", p.taskName, "run", p.run, "worker", w.info.ID, "reason", err)
		w.backoffUntil = time.Now().Add(refusalBackoff)
		if errors.Is(err, workers.ErrInvalidTicket) {
			o.advice.steps[p.stepKey()].rejected(w.info.ID)
		}
		if errors.Is(err, workers.ErrUnhealthy) {
			w.health.recordFailure(time.Now())
		}
		o.loseRun(w, p, workload.NeverStarted, "start refused by the worker")
		if found := incarnationFound(0, err); found > w.info.Incarnation {
			o.workerRestarted(w, found)
		}
	default:
		o.metrics.startsUnanswered.Inc(1)
		o.log.Warn("start request unanswered", "task", p.taskName, "run", p.run, "worker", w.info.ID, "err", err)
		w.backoffUntil = time.Now().Add(noResponseBackoff)
		w.health.recordNoResponse(time.Now())
		o.handleUnansweredStart(w, p)
	}
}

// confirmStart processes the acceptance of a start by an incarnation, or by an unknown one (0).
func (o *Owner) confirmStart(w *worker, p *placement, incarnation int64) {
	if incarnation > w.info.Incarnation {
		o.workerRestarted(w, incarnation)
	}
	if incarnation != 0 && incarnation < w.info.Incarnation {
		o.loseRun(w, p, workload.Interrupted, "worker restarted")
		return
	}
	if incarnation != 0 {
		p.seenOn = incarnation
	}
	if p.confirmedAt.IsZero() {
		p.confirmedAt = time.Now()
	}
}

// Pauses before a worker receives new work.
const (
	// refusalBackoff leaves time for the next heartbeat to show what occupies the worker.
	refusalBackoff = 200 * time.Millisecond
	// noResponseBackoff is the time within which the outcome of an unanswered request is usually known.
	noResponseBackoff = 500 * time.Millisecond
)

// isRefusal reports whether an error means that the worker responded to a request without carrying it out.
func isRefusal(err error) bool {
	for _, refusal := range []error{
		workers.ErrStaleRun, workers.ErrRequestExpired, workers.ErrInsufficientCapacity, workers.ErrInvalidTicket,
		workers.ErrInvalidRequest, workers.ErrUnhealthy, workers.ErrIncarnationMismatch,
	} {
		if errors.Is(err, refusal) {
			return true
		}
	}
	return false
}

// evict stops a run of a job that goes on. The stop is requested only after the decision is recorded: a successor must
// not count the run as available while the stop may still reach the worker.
func (o *Owner) evict(w *worker, p *placement) {
	if !p.job.progress.Evict(p.ref) {
		return
	}
	o.log.Info("evicting long-running task", "task", p.taskName, "run", p.run, "worker", w.info.ID)
	p.evicted = true
	p.evictions++
	eviction := p.evictions
	o.markDirty(p.job)
	o.afterCommit(func() {
		if p.evicted && p.evictions == eviction { // not withdrawn since
			o.stopRun(w, p)
		}
	})
}

// stopRun stops a run and retries until the worker confirms. After that the run can no longer start on this worker. A stop
// that the availability budget does not allow now is sent after a later heartbeat.
func (o *Owner) stopRun(w *worker, p *placement) {
	p.stopping = true
	if w.runs[p.taskName] != p || p.stopSent || w.session == nil || !o.budgetAllowsSending(p) {
		return
	}
	p.stopSent = true
	o.sendStop(w, p)
}

func (o *Owner) sendStop(w *worker, p *placement) {
	p.lastStop = time.Now()
	p.stopSeries++
	series, target, sentTo := p.stopSeries, w.session.target, w.info.Incarnation
	if target.Incarnation != 0 {
		sentTo = target.Incarnation
	}
	go func() {
		ctx, stop := context.WithTimeout(o.ctx, requestTimeout)
		reply, err := o.cfg.Workers.Stop(ctx, target, p.taskName, p.run)
		stop()
		if err != nil && !wait.For(o.ctx, stopRetryDelay) {
			return
		}
		o.post(func() {
			incarnation := incarnationFound(reply.Incarnation, err)
			if incarnation == 0 {
				incarnation = sentTo // or a later one
			}
			if o.handleStopResult(w, p, incarnation, err) && p.stopping && p.stopSeries == series {
				p.stopSent = false
				o.stopRun(w, p)
			}
		})
	}()
}

// handleStopResult processes the result of a stop request and reports whether to retry it. A stop that an earlier
// incarnation confirmed does not keep the start from reaching the present one.
func (o *Owner) handleStopResult(w *worker, p *placement, incarnation int64, err error) bool {
	if w.runs[p.taskName] != p || w.session == nil {
		return false
	}
	var other *workers.IncarnationError
	switch {
	case errors.Is(err, workers.ErrFenced):
		o.stepDown("worker " + w.info.ID + " has accepted a newer owner")
		return false
	case errors.As(err, &other) && incarnation <= w.info.Incarnation:
		return true // the request was not sent, and the run may be on the incarnation that was found
	case incarnation < w.info.Incarnation:
		return true
	case err == nil, errors.Is(err, workers.ErrIncarnationMismatch), errors.Is(err, workers.ErrStaleRun),
		errors.Is(err, workers.ErrInvalidRequest):
		p.stopping, p.stopSent, p.stoppedAt = true, true, time.Now()
		return false
	}
	return true
}

// stopUnknownRun stops a run that is not placed on the worker: a lost run, or a run of a job no longer kept.
func (o *Owner) stopUnknownRun(w *worker, run workers.Run) {
	o.log.Warn("unknown run on worker, stopping it", "task", run.Task, "run", run.Number, "worker", w.info.ID)
	target := w.session.target
	go func() {
		ctx, stop := context.WithTimeout(o.ctx, requestTimeout)
		defer stop()
		if _, err := o.cfg.Workers.Stop(ctx, target, run.Task, run.Number); err != nil {
			o.log.Warn("stopping an unknown run failed; the next heartbeat retries", "task", run.Task, "err", err)
		}
	}()
}

// endRun processes the end of a run reported by its worker.
func (o *Owner) endRun(w *worker, p *placement, end workers.RunEnd) {
	j := p.job
	o.noteStarted(j)
	longRunning := p.step().LongRunning
	o.release(w, p)
	result := workload.Interrupted
	switch end.Reason {
	case workers.Done:
		result = workload.Succeeded
		w.health.recordSuccess()
		o.recordPace(p, time.Now())
	case workers.Failed:
		result = workload.Errored
		if !longRunning {
			w.health.recordFailure(time.Now())
		}
	}
	if j.spec.KeepsAnswer && len(end.Checkpoint) > o.cfg.MaxRecordBytes/2 {
		o.log.Warn("job answer too large to be stored", "task", end.Task, "run", end.Run, "bytes", len(end.Checkpoint))
		result, end.Checkpoint = workload.Errored, ""
	}
	if end.Reason != workers.Done {
		o.log.Info("run ended", "task", end.Task, "run", end.Run, "worker", w.info.ID, "how", end.Reason)
	}
	transition := j.progress.EndRun(j.spec, p.ref, p.run, result, end.Checkpoint, o.maxFailures(j))
	o.afterEnd(j, transition)
}

// loseRun ends a run that is no longer on its worker, or never started there, and whose end was not reported.
func (o *Owner) loseRun(w *worker, p *placement, result workload.RunResult, reason string) {
	o.metrics.runsLost.Inc(1)
	o.log.Info("run lost", "task", p.taskName, "run", p.run, "worker", w.info.ID, "why", reason)
	o.release(w, p)
	o.afterEnd(p.job, p.job.progress.EndRun(p.job.spec, p.ref, p.run, result, "", 0))
}

func (o *Owner) afterEnd(j *job, transition workload.Transition) {
	if transition == workload.Ignored {
		return
	}
	o.markDirty(j)
	switch {
	case transition == workload.JobEnded:
		o.endJob(j)
	case transition == workload.Released, transition == workload.TaskFinished && j.spec.IsScheduled():
		o.account(j) // an occurrence may have ended
	}
}

// maxFailures returns the number of failed runs of a task after which its job fails.
func (o *Owner) maxFailures(j *job) int {
	if q := o.queueOf(j.spec); q != nil {
		return q.MaxAttempts
	}
	return defaultMaxFailures // the queue was removed, its jobs still run
}

// defaultMaxFailures applies to jobs of a removed queue. It is the larger of the values that deployments use.
const defaultMaxFailures = 4
