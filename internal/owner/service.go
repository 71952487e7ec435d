package owner

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/pollenford/pollenford/internal/jobs"
	"github.com/pollenford/pollenford/internal/workload"
)

// storeStallLimit is how long an append may be in flight before new jobs are rejected rather than queued behind it.
// Clients wait 3 s; a usual append takes less than 10 ms.
const storeStallLimit = 400 * time.Millisecond

// storeRetryAfter is the retry delay sent to clients while the store does not respond. Clients wait 3 s: with a second
// between their attempts, one that arrives in the last two seconds of an outage returns within a second of its end.
const storeRetryAfter = time.Second

// reply carries the result of a call; only the first send counts.
type reply chan error

func (r reply) send(err error) {
	select {
	case r <- err:
	default: // a result was sent before
	}
}

// runInLoop runs a call in the event loop and returns its result; jobs.ErrOutcomeUnknown if ctx or the term ends first. All
// calls pass here: after a pause none is answered from memory before the term is confirmed.
func (o *Owner) runInLoop(ctx context.Context, call func(r reply)) error {
	r := make(reply, 1)
	gated := func() {
		if o.noticePause(); o.unconfirmed() {
			o.hold(r, func() { call(r) })
			return
		}
		call(r)
	}
	if !o.post(gated) {
		return &jobs.Rejection{Reason: "the owner has stopped", RetryAfter: time.Second}
	}
	select {
	case err := <-r:
		return err
	case <-ctx.Done():
		return errors.Annotate(jobs.ErrOutcomeUnknown, ctx.Err().Error())
	case <-o.ctx.Done():
		return errors.Annotate(jobs.ErrOutcomeUnknown, "the owner has stopped")
	}
}

// Submit implements jobs.Service.
func (o *Owner) Submit(ctx context.Context, spec *workload.Job) error {
	// An entry has validated the job, but a malformed message of another process must not reach the event loop.
	if err := spec.Validate(); err != nil {
		return &jobs.Rejection{Reason: err.Error(), Permanent: true}
	}
	return o.runInLoop(ctx, func(r reply) {
		if j := o.jobs[spec.ID]; j != nil {
			if !j.isRepeatedBy(spec) {
				o.reject(spec.ID, errIDInUse, r)
				return
			}
			o.acknowledge(j, r)
			return
		}
		if o.appendStalled() {
			o.metrics.rejected.Inc(1)
			r.send(o.storeStalled())
			return
		}
		if o.earlyCancels.bind(spec) {
			if rejection := o.admitBytes(spec.Organisation, endedBytes(spec.ID), 0); rejection != nil {
				o.reject(spec.ID, rejection, r)
				return
			}
			o.log.Info("job submitted after its cancel", "job", spec.ID)
			j := o.newJob(spec)
			j.progress.Cancel()
			o.endJob(j)
			o.acknowledge(j, r)
			return
		}
		if rejection := o.admit(spec); rejection != nil {
			o.reject(spec.ID, rejection, r)
			return
		}
		j := o.newJob(spec)
		o.active[spec.ID] = j
		o.computePlan(j)
		if spec.IsScheduled() {
			o.recordUpcoming(j, time.Now())
		} else {
			o.recordArrival(spec, time.Now())
		}
		j.progress.CreateUpTo(spec, time.Now().UnixMilli(), 1)
		o.account(j)
		o.markDirty(j)
		o.replan = true
		o.acknowledge(j, r)
		o.metrics.accepted.Inc(1)
		o.log.Info("job accepted", "job", spec.ID, "queue", spec.Queue, "organisation", spec.Organisation,
			"steps", len(spec.Steps))
	})
}

// reject rejects a job, with a line a second for each reason.
func (o *Owner) reject(job string, rejection *jobs.Rejection, r reply) {
	o.metrics.rejected.Inc(1)
	if n, log := o.rejections.Note(rejection.Reason, time.Now()); log {
		o.log.Info("job rejected", "job", job, "reason", rejection.Reason, "retry_after", rejection.RetryAfter, "since_last_line", n)
	}
	r.send(rejection)
}

// errIDInUse rejects a job whose ID another one has. Tasks are named by the ID alone, so that only one can be kept.
var errIDInUse = &jobs.Rejection{Reason: "the ID belongs to another job", Permanent: true}

// isRepeatedBy reports whether a submission repeats that of the job rather than being one of another queue or organisation.
// A repeated one may have become anonymous, as after its key was revoked.
func (j *job) isRepeatedBy(spec *workload.Job) bool {
	p := j.progress
	return (p.Queue == "" || p.Queue == spec.Queue) &&
		(p.Organisation == spec.Organisation || p.Organisation == "" || spec.Organisation == "")
}

// newJob adds a job that is not recorded yet.
func (o *Owner) newJob(spec *workload.Job) *job {
	spec.ID = strings.Clone(spec.ID) // it may be part of a long address
	j := &job{spec: spec, progress: workload.NewProgress(spec), neverRecorded: true}
	o.jobs[spec.ID] = j
	return j
}

// acknowledge answers a submission once its job is recorded. A job that is withdrawn before rejects it instead.
func (o *Owner) acknowledge(j *job, r reply) {
	if j.neverRecorded {
		j.submissions = append(j.submissions, r)
	}
	o.whenRecorded(j, func() { r.send(nil) })
}

// withdrawUnsent rejects the new jobs that wait for an append behind one that the store does not answer. No append
// contains them, so the rejection is true, and their clients may return instead of waiting until their deadline.
func (o *Owner) withdrawUnsent() {
	kept := o.commit.dirtyJobs[:0]
	for _, j := range o.commit.dirtyJobs {
		if j.specWritten || !j.neverRecorded || j.progress.Begun || j.progress.State != workload.Active {
			kept = append(kept, j)
			continue
		}
		o.log.Info("job withdrawn: the store does not answer", "job", j.spec.ID, "append_ms", o.appendAge().Milliseconds())
		o.metrics.rejected.Inc(1)
		o.dropJob(j)
		for _, r := range j.submissions {
			r.send(o.storeStalled())
		}
	}
	o.commit.dirtyJobs = kept
}

// storeStalled returns the rejection of a job while the store does not answer. If the owner cannot renew its record
// either, the rejection says so: another instance may take over if the store answers it.
func (o *Owner) storeStalled() *jobs.Rejection {
	rejection := &jobs.Rejection{Reason: "the store does not answer", RetryAfter: storeRetryAfter, Overloaded: true}
	if o.term.RenewalFailing() {
		rejection.CutOwner = o.term.Fence
	}
	return rejection
}

// whenRecorded runs an effect once all changes of a job are recorded.
func (o *Owner) whenRecorded(j *job, effect func()) {
	if j.unrecordedChanges == 0 {
		effect()
		return
	}
	o.afterCommit(effect)
}

// runForJob is runInLoop for a job of the organisation; the error is jobs.ErrNoSuchJob for any other job. A successor may
// have accepted a job that is not in memory, so the store confirms the term first. The name of the call is for the log.
func (o *Owner) runForJob(ctx context.Context, name, id, organisation string, call func(j *job, r reply)) error {
	return o.runInLoop(ctx, func(r reply) {
		if rejection := o.queueUnknown(jobs.AnonymousQueue(ctx)); rejection != nil {
			r.send(rejection)
			return
		}
		if j := o.jobOf(ctx, id, organisation); j != nil {
			call(j, r)
			return
		}
		o.hold(r, func() {
			if j := o.jobOf(ctx, id, organisation); j != nil { // submitted meanwhile
				call(j, r)
				return
			}
			o.denyJob(name, id, r)
		})
	})
}

// denyJob answers that a job does not exist. The term must have been confirmed since the call came.
func (o *Owner) denyJob(name, id string, r reply) {
	o.log.Info("no such job", "job", id, "call", name, "term_age_ms", o.term.Age().Milliseconds())
	r.send(jobs.ErrNoSuchJob)
}

// jobOf returns a job that the caller, of an organisation or anonymous, may see, or nil.
func (o *Owner) jobOf(ctx context.Context, id, organisation string) *job {
	j := o.jobs[id]
	if j == nil || !mayAccess(j.progress.Organisation, organisation) &&
		!(organisation == "" && o.isOpenAt(j, jobs.AnonymousQueue(ctx))) {
		return nil
	}
	return j
}

// mayAccess reports whether an organisation may see and cancel a job of the given owner: any may if it is anonymous.
func mayAccess(owner, organisation string) bool { return owner == "" || owner == organisation }

// Status implements jobs.Service. It returns the last recorded status; unrecorded changes are not visible.
func (o *Owner) Status(ctx context.Context, id, organisation string) (jobs.Status, error) {
	var status jobs.Status
	err := o.runForJob(ctx, "status", id, organisation, func(j *job, r reply) {
		respond := func() {
			if o.jobs[id] != j { // it was withdrawn meanwhile
				o.hold(r, func() { o.denyJob("status", id, r) })
				return
			}
			status = j.recordedStatus
			r.send(nil)
		}
		if j.neverRecorded {
			o.afterCommit(respond)
			return
		}
		respond()
	})
	if err != nil {
		return jobs.Status{}, err
	}
	return status, nil
}

// Cancel implements jobs.Service. The cancel of a job that has not arrived is recorded as well: its submission may be on its
// way, or be repeated.
func (o *Owner) Cancel(ctx context.Context, id, organisation string) error {
	return o.runInLoop(ctx, func(r reply) {
		if rejection := o.queueUnknown(jobs.AnonymousQueue(ctx)); rejection != nil {
			r.send(rejection)
			return
		}
		j := o.jobOf(ctx, id, organisation)
		if j == nil {
			o.cancelEarly(id, organisation, r)
			return
		}
		if j.progress.Cancel() {
			o.metrics.cancelled.Inc(1)
			o.log.Info("job cancelled", "job", id, "term_age_ms", o.term.Age().Milliseconds())
			o.endJob(j)
		}
		o.whenRecorded(j, func() { r.send(nil) })
	})
}

// Await implements jobs.Service.
func (o *Owner) Await(ctx context.Context, id, organisation string) (jobs.Status, error) {
	var status jobs.Status
	err := o.runForJob(ctx, "await", id, organisation, func(j *job, r reply) {
		if j.neverRecorded {
			j.submissions = append(j.submissions, r) // a withdrawn job never ends
		}
		j.waiters = append(j.waiters, func() { status = j.recordedStatus; r.send(nil) })
		j.notifyWaiters()
	})
	if err != nil {
		return jobs.Status{}, err
	}
	return status, nil
}

// notifyWaiters completes pending Await calls if the end of the job is recorded.
func (j *job) notifyWaiters() {
	if j.recordedStatus.State == workload.Active {
		return
	}
	runAll(j.waiters)
	j.waiters = nil
}

// Fleet implements jobs.Service.
func (o *Owner) Fleet(ctx context.Context) (jobs.Fleet, error) {
	f := jobs.Fleet{Owner: o.cfg.Name, Fence: o.term.Fence}
	err := o.runInLoop(ctx, func(r reply) {
		for _, w := range o.workers {
			f.Workers = append(f.Workers, o.view(w))
		}
		for _, w := range o.fleet.waves {
			f.Waves = append(f.Waves, jobs.Wave{
				Number: w.Number, Total: len(w.Instances), Begun: len(w.begun), Completed: w.completionRecorded,
			})
		}
		f.Evacuations = o.listEvacuations()
		r.send(nil)
	})
	if err != nil {
		return jobs.Fleet{}, err
	}
	slices.SortFunc(f.Workers, func(a, b jobs.Worker) int { return strings.Compare(a.ID, b.ID) })
	slices.SortFunc(f.Waves, func(a, b jobs.Wave) int { return cmp.Compare(a.Number, b.Number) })
	return f, nil
}

func (o *Owner) view(w *worker) jobs.Worker {
	v := jobs.Worker{
		ID: w.info.ID, Pool: w.info.Pool, Zone: w.info.Zone, Rack: w.info.Rack, Instance: w.info.Instance,
		Phase: jobs.InService, Runs: len(w.runs), UsedCPU: w.used.resources.CPU, CPU: w.info.Capacity.CPU,
	}
	switch {
	case !w.registered || !w.sessionEstablished || !w.described():
		v.Phase = jobs.Lost
	case w.info.Draining || o.cordoned(w):
		v.Phase = jobs.Draining
	}
	return v
}

// Pending implements jobs.Service.
func (o *Owner) Pending(ctx context.Context, queue string) (int, error) {
	n := 0
	err := o.runInLoop(ctx, func(r reply) {
		for _, j := range o.active {
			if j.spec.Queue == queue && !j.progress.Started() {
				n++
			}
		}
		r.send(nil)
	})
	if err != nil {
		return 0, err
	}
	return n, nil
}

// endJob records the end of a job, whatever its cause, and then stops the remaining runs.
func (o *Owner) endJob(j *job) {
	id := j.spec.ID
	j.progress.EndedMS = time.Now().UnixMilli()
	delete(o.active, id)
	o.ended = append(o.ended, endedJob{id, j.progress.EndedMS})
	o.markDirty(j)
	o.account(j)
	o.metrics.ended[j.progress.State.String()].Inc(1)
	o.log.Info("job ended", "job", id, "state", j.progress.State.String(), "ms", j.progress.EndedMS-j.spec.ReceivedMS)
	j.progress.EachPlaced(func(ref workload.TaskRef, t *workload.Task) {
		w := o.workers[t.Worker]
		if w == nil {
			return
		}
		if p := w.runs[workload.TaskName(id, ref)]; p != nil {
			o.afterCommit(func() { o.stopRun(w, p) })
		}
	})
}
