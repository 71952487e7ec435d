package owner

import (
	"slices"
	"time"

	"github.com/pollenford/pollenford/internal/jobs"
	"github.com/pollenford/pollenford/internal/workload"
)

// maxUnsubmitted bounds the cancels of jobs that have not arrived, so that an organisation cannot fill the memory and the
// store with them. Each is kept as long as the status of an ended job.
const maxUnsubmitted = 10_000

// cancelUnsubmitted records the cancel of a job that the organisation has not submitted, and then answers that the job does
// not exist. The record also confirms the term.
func (o *Owner) cancelUnsubmitted(id, organisation string, r reply) {
	deny := func() { o.denyJob("cancel", id, r) }
	switch j := o.jobs[id]; {
	case j != nil && j.progress.Unsubmitted && j.progress.Organisation == organisation:
		o.whenRecorded(j, deny)
		return
	case j != nil, len(id) > workload.MaxIDBytes:
		o.hold(r, deny) // the job of another organisation, or one that is never accepted
		return
	case o.appendStalled():
		r.send(o.storeStalled())
		return
	case o.unsubmitted >= maxUnsubmitted:
		r.send(&jobs.Rejection{Reason: "too many cancels of unknown jobs", RetryAfter: time.Second, Overloaded: true})
		return
	}
	now := time.Now().UnixMilli()
	j := &job{
		spec: &workload.Job{ID: id, Organisation: organisation}, progress: workload.NewUnsubmitted(organisation, now),
		neverRecorded: true, specWritten: true, specDeleted: true,
	}
	o.jobs[id] = j
	o.ended = append(o.ended, endedJob{id, now})
	o.unsubmitted++
	o.markDirty(j)
	o.whenRecorded(j, deny)
}

// joinSubmission joins a submission to the job that is known under its ID and reports whether it belongs to it. A cancel
// that came before the submission binds only the organisation that sent it.
func (o *Owner) joinSubmission(j *job, spec *workload.Job) bool {
	if !j.progress.Unsubmitted {
		return true
	}
	o.forgetUnsubmitted(j)
	if j.progress.Organisation != spec.Organisation {
		o.ended = slices.DeleteFunc(o.ended, func(e endedJob) bool { return e.id == spec.ID })
		return false
	}
	o.log.Info("job submitted after its cancel", "job", spec.ID)
	j.spec, j.specWritten, j.specDeleted = spec, true, true
	j.progress.Submit(spec)
	o.markDirty(j)
	return true
}

// forgetUnsubmitted takes a job out of the count of those that have not been submitted.
func (o *Owner) forgetUnsubmitted(j *job) {
	if j.progress.Unsubmitted {
		o.unsubmitted--
	}
}
