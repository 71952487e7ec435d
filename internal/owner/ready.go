package owner

import (
	"cmp"
	"sort"
	"time"

	"github.com/pollenford/pollenford/internal/catalog"
	"github.com/pollenford/pollenford/internal/schedule"
	"github.com/pollenford/pollenford/internal/workload"
)

// readyStep is a step whose predecessors are done and that has waiting tasks.
type readyStep struct {
	job        *job
	occurrence *workload.Occurrence
	step       int
	// unlisted counts the later occurrences of the job in which the same step is ready. All their tasks wait.
	unlisted int64
	demand   schedule.Demand
	// The fields below are set only if the queue is configured. org is nil for jobs without a configured organisation, as
	// on a queue that allows anonymous jobs.
	queue *catalog.Queue
	view  *poolView
	org   *catalog.Organisation
}

// maxListedOccurrences bounds the occurrences of a job that a placement round looks at. A schedule that is behind has thousands
// that wait, and their order is that of their numbers.
const maxListedOccurrences = 256

// readySteps returns the ready steps of the active jobs, without those of organisations that have reached their limit.
func (o *Owner) readySteps() []readyStep {
	list := o.rounds.ready[:0]
	o.rounds.atLimit = o.rounds.atLimit[:0]
	c := o.cfg.Catalog()
	for _, j := range o.active {
		if org := c.Organisations[j.spec.Organisation]; org != nil && !org.LimitAllows(o.usage[org.Name].Add(j.plan.least)) {
			if j.hasReadyStep() {
				o.rounds.atLimit = append(o.rounds.atLimit, j)
			}
			if q := o.queueOf(j.spec); q == nil || !q.RequiresAdvice {
				continue
			}
		}
		list = appendReady(list, j, maxListedOccurrences)
	}
	o.rounds.ready = list
	return list
}

// appendReady appends the ready steps with waiting tasks of a job: those of its occurrences that have begun, and of up to limit
// others. The rest of these is counted with the last one.
func appendReady(list []readyStep, j *job, limit int) []readyStep {
	waiting, last := 0, 0
	for _, occurrence := range j.progress.Current {
		if !occurrence.Begun() {
			if waiting++; waiting > limit {
				continue
			}
			last = len(list)
		}
		for step := range j.spec.Steps {
			if !j.isReady(occurrence, step) {
				continue
			}
			demand := j.plan.demand
			demand.Remaining = j.plan.criticalPath[step]
			list = append(list, readyStep{job: j, occurrence: occurrence, step: step, demand: demand})
		}
	}
	if waiting > limit && last < len(list) {
		for i, occurrence := last, list[last].occurrence; i < len(list) && list[i].occurrence == occurrence; i++ {
			list[i].unlisted = int64(waiting - limit)
		}
	}
	return list
}

// isReady reports whether a step has waiting tasks that may start.
func (j *job) isReady(occurrence *workload.Occurrence, step int) bool {
	return occurrence.Tasks[step].Waiting() > 0 && occurrence.Ready(j.spec, step)
}

// hasReadyStep reports whether a task of the job may start.
func (j *job) hasReadyStep() bool {
	for _, occurrence := range j.progress.Current {
		for step := range j.spec.Steps {
			if j.isReady(occurrence, step) {
				return true
			}
		}
	}
	return false
}

// compareReady orders ready steps: the occurrences of a job by their numbers.
func compareReady(a, b *readyStep, now time.Time) int {
	if a.job != b.job || a.demand.Remaining != b.demand.Remaining || a.demand.Reserve != b.demand.Reserve {
		if schedule.Before(&a.demand, &b.demand, now) {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(a.occurrence.Number, b.occurrence.Number), cmp.Compare(a.step, b.step))
}

// countWithinLimit returns how many waiting tasks of a step could start now within the organisation's limit.
func (o *Owner) countWithinLimit(r *readyStep) int64 {
	return o.withinLimit(r, r.occurrence.Tasks[r.step].Waiting())
}

// waitingWithinLimit is countWithinLimit with the occurrences that the round does not look at.
func (o *Owner) waitingWithinLimit(r *readyStep) int64 {
	n := o.countWithinLimit(r)
	if r.unlisted > 0 {
		n += r.unlisted * o.withinLimit(r, r.job.spec.Steps[r.step].Count)
	}
	return n
}

// withinLimit returns how many of a number of tasks of a step could start now within the organisation's limit.
func (o *Owner) withinLimit(r *readyStep, tasks int) int64 {
	if r.org == nil {
		return int64(tasks)
	}
	usage, need := o.usage[r.job.spec.Organisation], r.job.spec.Steps[r.step].Resources
	return int64(sort.Search(tasks, func(n int) bool { return !r.org.LimitAllows(usage.Add(need.Times(int64(n + 1)))) }))
}
