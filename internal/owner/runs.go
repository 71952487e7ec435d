package owner

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/pollenford/pollenford/internal/catalog"
	"github.com/pollenford/pollenford/internal/wait"
	"github.com/pollenford/pollenford/internal/workers"
	"github.com/pollenford/pollenford/internal/workload"
)

// usage counts what may run on a worker.
type usage struct {
	resources    catalog.Resources
	tasksPerStep map[stepKey]int
	// organisations is what each uses of the worker, in thousandths of a core.
	organisations map[string]int64
}

// stepKey names an occurrence of a step of a job.
type stepKey struct {
	job              *job
	occurrence, step int
}

// reserve counts a placement on its worker and for its organisation.
func (o *Owner) reserve(w *worker, p *placement) {
	step := &p.job.spec.Steps[p.ref.Step]
	w.runs[p.taskName] = p
	w.used.resources = w.used.resources.Add(step.ReservedResources())
	if w.used.tasksPerStep == nil {
		w.used.tasksPerStep = map[stepKey]int{}
	}
	w.used.tasksPerStep[stepKey{p.job, p.ref.Occurrence, p.ref.Step}]++
	org := p.job.spec.Organisation
	o.usage[org] = o.usage[org].Add(step.Resources)
	if w.used.organisations == nil {
		w.used.organisations = map[string]int64{}
	}
	w.used.organisations[org] += step.ReservedResources().CPU
}

// release is the reverse of hold.
func (o *Owner) release(w *worker, p *placement) {
	step := &p.job.spec.Steps[p.ref.Step]
	delete(w.runs, p.taskName)
	w.idleSince = time.Now()
	w.used.resources = w.used.resources.Sub(step.ReservedResources())
	key := stepKey{p.job, p.ref.Occurrence, p.ref.Step}
	if w.used.tasksPerStep[key]--; w.used.tasksPerStep[key] == 0 {
		delete(w.used.tasksPerStep, key)
	}
	org := p.job.spec.Organisation
	o.usage[org] = o.usage[org].Sub(step.Resources)
	if w.used.organisations[org] -= step.ReservedResources().CPU; w.used.organisations[org] == 0 {
		delete(w.used.organisations, org)
	}
	o.replan = true
}

// adoptRun counts a run that an earlier owner placed.
func (o *Owner) adoptRun(j *job, ref workload.TaskRef, t *workload.Task) {
	w := o.worker(t.Worker)
	if w.info.Incarnation < t.Incarnation {
		w.info.Incarnation = t.Incarnation
	}
	o.reserve(w, &placement{
		job: j, ref: ref, taskName: workload.TaskName(j.spec.ID, ref), run: t.Run, adopted: true, orderedAt: o.began,
	})
}

// start places a task on a worker and orders it once that is recorded.
func (o *Owner) start(j *job, ref workload.TaskRef, run int, w *worker, ticket string) {
	if !j.progress.Begun {
		o.metrics.firstStartDelay.RecordDuration(time.Duration(time.Now().UnixMilli()-j.spec.ReceivedMS) * time.Millisecond)
	}
	if err := j.progress.Place(ref, run, w.info.ID, w.info.Incarnation); err != nil {
		o.log.Error("placement refused", "job", j.spec.ID, "err", err)
		return
	}
	p := &placement{job: j, ref: ref, taskName: workload.TaskName(j.spec.ID, ref), run: run, orderedAt: time.Now()}
	o.reserve(w, p)
	o.markDirty(j)
	task := j.progress.Task(ref)
	order := workers.StartRequest{Task: p.taskName, Run: run, Spec: j.spec.Spec, Checkpoint: task.Checkpoint, Ticket: ticket}
	o.afterCommit(func() { o.orderStart(w, p, order) })
}

// orderStart sends a recorded start.
func (o *Owner) orderStart(w *worker, p *placement, order workers.StartRequest) {
	if w.runs[p.taskName] != p {
		return // the worker started anew meanwhile
	}
	if p.stopping || !w.sessionEstablished || !o.leading() {
		o.loseRun(w, p, workload.NeverStarted, "it was not ordered")
		return
	}
	order.LeaseUntilMS = o.lease(w)
	o.metrics.starts.Inc(1)
	o.log.Debug("starting a run", "task", p.taskName, "run", p.run, "worker", w.info.ID, "until_ms", order.LeaseUntilMS)
	to := w.session.target
	go func() {
		ctx, stop := context.WithTimeout(o.ctx, orderTimeout)
		defer stop()
		var err error
		if o.leading() { // the process may have been suspended since
			_, err = o.cfg.Workers.Start(ctx, to, order)
		} else {
			err = workers.ErrRequestExpired
		}
		o.post(func() { o.started(w, p, err) })
	}()
}

// started takes the answer to a start.
func (o *Owner) started(w *worker, p *placement, err error) {
	if w.runs[p.taskName] != p {
		return
	}
	switch {
	case err == nil:
		if p.confirmedAt.IsZero() {
			p.confirmedAt = time.Now()
		}
	case errors.Is(err, workers.ErrFenced):
		o.stepDown("worker " + w.info.ID + " follows a newer owner")
	case isRefusal(err):
		o.metrics.startsRefused.Inc(1)
		o.log.Info("start refused", "task", p.taskName, "run", p.run, "worker", w.info.ID, "reason", err)
		w.avoidUntil = time.Now().Add(refusalPause)
		if errors.Is(err, workers.ErrInvalidTicket) {
			delete(o.tickets, stepKey{p.job, p.ref.Occurrence, p.ref.Step}) // the next placement asks again
		}
		if errors.Is(err, workers.ErrUnhealthy) {
			w.health.recordFailure(time.Now())
		}
		o.loseRun(w, p, workload.NeverStarted, "the worker refused it")
	default:
		o.metrics.startsUnanswered.Inc(1)
		o.log.Warn("start without an answer", "task", p.taskName, "run", p.run, "worker", w.info.ID, "err", err)
		w.avoidUntil = time.Now().Add(silencePause)
		w.health.recordNoAnswer(time.Now())
		o.stopRun(w, p)
	}
}

// Pauses before a worker gets new work.
const (
	// refusalPause lets the next report show what takes the room.
	refusalPause = 200 * time.Millisecond
	// silencePause is the time in which an unanswered order is usually resolved.
	silencePause = 500 * time.Millisecond
)

// isRefusal reports whether an order was answered and not carried out.
func isRefusal(err error) bool {
	for _, refusal := range []error{
		workers.ErrStaleRun, workers.ErrRequestExpired, workers.ErrInsufficientCapacity, workers.ErrInvalidTicket, workers.ErrInvalidRequest,
		workers.ErrUnhealthy, workers.ErrIncarnationMismatch,
	} {
		if errors.Is(err, refusal) {
			return true
		}
	}
	return false
}

// stopRun stops a run and repeats the order until the worker confirms it. Afterwards the run can no longer start there.
func (o *Owner) stopRun(w *worker, p *placement) {
	p.stopping = true
	if w.runs[p.taskName] != p || p.stopSent || w.session == nil {
		return
	}
	p.stopSent = true
	o.sendStop(w, p, w.session.target)
}

func (o *Owner) sendStop(w *worker, p *placement, to workers.Target) {
	go func() {
		ctx, stop := context.WithTimeout(o.ctx, orderTimeout)
		err := o.cfg.Workers.Stop(ctx, to, p.taskName, p.run)
		stop()
		if err != nil && !wait.For(o.ctx, stopRetry) {
			return
		}
		o.post(func() {
			if o.stopAnswered(w, p, err) {
				o.sendStop(w, p, w.session.target)
			}
		})
	}()
}

// stopAnswered takes the answer to a stop and reports whether it has to be sent again.
func (o *Owner) stopAnswered(w *worker, p *placement, err error) bool {
	if w.runs[p.taskName] != p || w.session == nil {
		return false
	}
	switch {
	case err == nil:
		p.stoppedAt = time.Now()
		return false
	case errors.Is(err, workers.ErrFenced):
		o.stepDown("worker " + w.info.ID + " follows a newer owner")
		return false
	case errors.Is(err, workers.ErrIncarnationMismatch), errors.Is(err, workers.ErrStaleRun), errors.Is(err, workers.ErrInvalidRequest):
		p.stoppedAt = time.Now()
		return false
	}
	return true
}

// stopUnknownRun stops a run that is not placed there: one that was given up, or of a job that is forgotten.
func (o *Owner) stopUnknownRun(w *worker, run workers.Run) {
	o.log.Warn("stopping a run that is not placed there", "task", run.Task, "run", run.Number, "worker", w.info.ID)
	to := w.session.target
	go func() {
		ctx, stop := context.WithTimeout(o.ctx, orderTimeout)
		defer stop()
		if err := o.cfg.Workers.Stop(ctx, to, run.Task, run.Number); err != nil {
			o.log.Warn("stopping failed; the next report shows the run again", "task", run.Task, "err", err)
		}
	}()
}

// endRun takes over the end of a run as its worker lists it.
func (o *Owner) endRun(w *worker, p *placement, end workers.RunEnd) {
	j := p.job
	o.release(w, p)
	lasts := j.spec.Steps[p.ref.Step].LongRunning
	ending := workload.Interrupted
	switch end.Reason {
	case workers.Done:
		ending = workload.Succeeded
		w.health.recordSuccess()
	case workers.Failed:
		ending = workload.Errored
		if !lasts {
			w.health.recordFailure(time.Now())
		}
	}
	if j.spec.KeepsAnswer && len(end.Checkpoint) > o.cfg.MaxRecordBytes/2 {
		o.log.Warn("answer too large to be kept", "task", end.Task, "run", end.Run, "bytes", len(end.Checkpoint))
		ending, end.Checkpoint = workload.Errored, ""
	}
	if end.Reason != workers.Done {
		o.log.Info("run ended", "task", end.Task, "run", end.Run, "worker", w.info.ID, "how", end.Reason)
	}
	outcome := j.progress.EndRun(j.spec, p.ref, p.run, ending, end.Checkpoint, o.maxFailures(j))
	o.afterEnd(j, outcome)
}

// loseRun takes note that a run is not there any more, or never was, without an end.
func (o *Owner) loseRun(w *worker, p *placement, ending workload.RunResult, why string) {
	o.metrics.runsLost.Inc(1)
	o.log.Info("run lost", "task", p.taskName, "run", p.run, "worker", w.info.ID, "why", why)
	o.release(w, p)
	o.afterEnd(p.job, p.job.progress.EndRun(p.job.spec, p.ref, p.run, ending, "", 0))
}

func (o *Owner) afterEnd(j *job, outcome workload.Transition) {
	if outcome == workload.Ignored {
		return
	}
	o.markDirty(j)
	if outcome == workload.JobEnded {
		o.endJob(j)
	}
}

// maxFailures returns how many runs of a task may fail.
func (o *Owner) maxFailures(j *job) int {
	if q := o.cfg.Catalog().Queues[j.spec.Queue]; q != nil {
		return q.MaxAttempts
	}
	return defaultFailures // the queue is gone; its jobs go on
}

// defaultFailures is used for jobs of a queue that was removed: the larger of the values that deployments use.
const defaultFailures = 4
