package owner

import (
	"time"

	"github.com/pollenford/pollenford/internal/budget"
	"github.com/pollenford/pollenford/internal/catalog"
	"github.com/pollenford/pollenford/internal/jobs"
	"github.com/pollenford/pollenford/internal/schedule"
	"github.com/pollenford/pollenford/internal/workload"
)

// What an owner holds for accepted work is bounded. A submission must fit before it is accepted, since accepted work is never
// dropped. Tasks that have had a run need more memory, so a job begins only if all of its tasks fit; it waits until then.

// Shares of an instance's memory. The rest is for clients (see ingress.DefaultLimits), sessions with workers, and the garbage
// collector.
const (
	acceptedShare = 8
	begunShare    = 16
	startShare    = 16
	// unlimitedMemoryMB is assumed of an instance without a limit.
	unlimitedMemoryMB = 512
	// minInstanceMB is the least memory that counts of another instance: what a connection claims must not stop the owner.
	minInstanceMB = 64
	// minBegunBytes holds the largest gang in half of the budget.
	minBegunBytes = 8 << 20
)

// Memory in bytes of what the owner keeps beside the types of package workload.
const (
	// jobBytes is a job without its steps, with its entries in maps and its record on the way to the store.
	jobBytes = 1300
	// endedJobBytes is what remains of an ended job.
	endedJobBytes = 800
	// earlyCancelBytes is a cancel that came before its job.
	earlyCancelBytes = 640
	// runBytes is a run that is placed.
	runBytes = 600
	// startBytes is a start that has not been answered: its goroutine and its request. Most of them wait for their record or for
	// a connection.
	startBytes = 4 << 10
	// idCopies is how often the ID of a job is held: in keys, records and names.
	idCopies = 4
)

// urgentShare is the part of the budget that is kept for the most urgent queues.
const urgentShare = 8

// accounts holds the budgets of accepted work.
type accounts struct {
	accepted, begun budget.Budget
	// starts is the number of starts without an answer, maxStarts its limit.
	starts, maxStarts int
	highest           int64 // of accepted
}

// charge is what a job holds of the budgets.
type charge struct{ accepted, begun int64 }

// setMemory sets the limits for the smallest instance that may have to hold the work: this one, or a successor.
func (a *accounts) setMemory(megabytes int64) {
	bytes := megabytes << 20
	a.accepted.SetLimit(bytes / acceptedShare)
	a.begun.SetLimit(max(minBegunBytes, bytes/begunShare))
	a.maxStarts = int(bytes / startShare / startBytes)
}

// updateLimits follows the memory of the smallest instance that is known.
func (o *Owner) updateLimits() {
	megabytes := int64(o.cfg.MemoryMB)
	if megabytes == 0 {
		megabytes = unlimitedMemoryMB
	}
	if o.cfg.SmallestEntryMB != nil {
		if smallest := o.cfg.SmallestEntryMB(); smallest > 0 {
			megabytes = min(megabytes, max(smallest, minInstanceMB))
		}
	}
	o.accounts.setMemory(megabytes)
}

// acceptedBytes returns what a job takes when it is accepted, with its first occurrence.
func acceptedBytes(spec *workload.Job) int64 {
	return jobBytes + idCopies*int64(len(spec.ID)) + spec.MemoryBytes() + spec.OccurrenceBytes()
}

// endedBytes returns what an ended job takes once it is recorded.
func endedBytes(id string) int64 { return endedJobBytes + idCopies*int64(len(id)) }

// admitBySize rejects a job that the organisation has no room for. Its ended jobs count until their status is forgotten.
func (o *Owner) admitBySize(spec *workload.Job, q *catalog.Queue) *jobs.Rejection {
	reserved := int64(0)
	if q.Urgency > 0 {
		reserved = o.accounts.accepted.Limit() / urgentShare
	}
	return o.admitBytes(spec.Organisation, acceptedBytes(spec), reserved)
}

// admitBytes rejects what an organisation has no room for.
func (o *Owner) admitBytes(organisation string, bytes, reserved int64) *jobs.Rejection {
	if o.accounts.accepted.Fits(organisation, bytes, reserved) {
		return nil
	}
	o.metrics.rejectedForMemory.Inc(1)
	return &jobs.Rejection{Reason: "no memory to hold more jobs of the organisation", RetryAfter: o.memoryRetryAfter(time.Now()), Overloaded: true}
}

// Bounds of the time after which a client may try again.
const minMemoryRetry, maxMemoryRetry = time.Second, 10 * time.Second

// memoryRetryAfter returns when the next ended job is forgotten, within bounds. When active jobs end is unknown.
func (o *Owner) memoryRetryAfter(now time.Time) time.Duration {
	if len(o.ended) == 0 {
		return maxMemoryRetry
	}
	expires := time.UnixMilli(o.ended[0].endedMS).Add(o.statusRetention())
	return min(max(expires.Sub(now), minMemoryRetry), maxMemoryRetry)
}

// account charges a job for its present state. One that was removed holds nothing, also if a record of it is acknowledged later.
func (o *Owner) account(j *job) {
	if o.jobs[j.spec.ID] != j {
		return
	}
	spec, p := j.spec, j.progress
	var c charge
	switch {
	case j.specForgotten:
		c.accepted = endedBytes(spec.ID) + int64(len(p.Answer))
	default:
		c.accepted = acceptedBytes(spec) + int64(max(0, len(p.Current)-1))*spec.OccurrenceBytes() + int64(len(p.Answer))
		c.begun = int64(p.BegunOccurrences()) * spec.BegunBytes()
	}
	o.recharge(j, c)
}

// recharge replaces what a job is charged.
func (o *Owner) recharge(j *job, c charge) {
	a := &o.accounts
	a.accepted.Add(j.progress.Organisation, c.accepted-j.charge.accepted)
	a.begun.Add(j.progress.Organisation, c.begun-j.charge.begun)
	if c.begun < j.charge.begun {
		o.replan = true
	}
	j.charge = c
	a.highest = max(a.highest, a.accepted.Used())
}

// dropJob removes a job.
func (o *Owner) dropJob(j *job) {
	o.recharge(j, charge{})
	delete(o.jobs, j.spec.ID)
	delete(o.active, j.spec.ID)
}

// createDue creates the occurrences of a scheduled job that are due, as far as there is memory, and reports whether there were
// any.
func (o *Owner) createDue(j *job, now time.Time) bool {
	limit := int(o.accounts.accepted.Room(j.progress.Organisation) / j.spec.OccurrenceBytes())
	if len(j.progress.Current) == 0 {
		limit = max(limit, 1) // it is charged
	}
	created := j.progress.CreateUpTo(j.spec, now.UnixMilli(), limit)
	if created {
		o.account(j)
	}
	return created
}

// beginBytes returns what the first placement of a task of a step's occurrence takes.
func (r *readyStep) beginBytes() int64 {
	if r.occurrence.Begun() {
		return 0
	}
	return r.job.spec.BegunBytes()
}

// forgetSpec releases what is no longer needed of an ended job whose end is recorded. Runs may outlast their job: those of a
// gang that ended as a whole are placed until their own ends are listed.
func (o *Owner) forgetSpec(j *job) {
	if j.specForgotten || !j.specDeleted || j.dirty || j.unrecordedChanges > 0 || j.placed > 0 {
		return
	}
	spec := j.spec
	j.spec = &workload.Job{ID: spec.ID, Queue: spec.Queue, Organisation: spec.Organisation, Terms: spec.Terms}
	j.specForgotten = true
	j.plan, j.stepsBegan, j.submissions = plan{}, nil, nil
	o.account(j)
}

// startAnswered notes that a start was answered, given up or not sent.
func (o *Owner) startAnswered(w *worker) {
	if w.starting >= schedule.MaxStarting || o.accounts.starts >= o.accounts.maxStarts {
		o.replan = true
	}
	w.starting--
	o.accounts.starts--
}
