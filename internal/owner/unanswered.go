package owner

import (
	"time"

	"github.com/pollenford/pollenford/internal/workload"
)

// A start that was not answered may have been carried out, or be carried out later. A stop settles it, but may find the run
// at work by then. A run of a step with an availability budget is therefore stopped only within the budget, or once its start
// has expired; one that its worker lists goes on.

// lateRequestLimit is how long after it was sent an unanswered request may be carried out: 2 to 12 s were seen.
const lateRequestLimit = 12 * time.Second

// hasBudget reports whether an availability budget covers the run. A gang is at work as a whole or not at all, so stopping a
// member whose start is unanswered ends none that is.
func (p *placement) hasBudget() bool {
	step := p.step()
	return step.LongRunning && step.MaxUnavailable > 0 && !step.Gang
}

// handleUnansweredStart decides about a run whose start got no answer. One that its worker has listed goes on.
func (o *Owner) handleUnansweredStart(w *worker, p *placement) {
	if !p.confirmedAt.IsZero() {
		return
	}
	p.unansweredSince = time.Now()
	if !p.hasBudget() || p.job.progress.State != workload.Active {
		o.stopRun(w, p)
	}
}

// keepListedRun keeps a run whose start was not answered, because its worker lists it. A stop that was not confirmed is not
// repeated; it may still be carried out.
func (o *Owner) keepListedRun(p *placement) {
	if p.unansweredSince.IsZero() || !p.stoppedAt.IsZero() || p.job.progress.State != workload.Active {
		return
	}
	o.metrics.unansweredStartsListed.Inc(1)
	o.log.Info("run listed after its start was unanswered", "task", p.taskName, "run", p.run, "stop_sent", p.stopSent)
	p.unansweredSince, p.startExpired = time.Time{}, false
	p.stopping, p.stopSent = false, false
	if p.evicted {
		p.evicted = false
		p.job.progress.Retain(p.ref)
		o.markDirty(p.job)
	}
}

// resolveUnansweredStart decides to stop a run that is missing from a list sent after its start was given up.
func (o *Owner) resolveUnansweredStart(w *worker, p *placement, clockMS int64, sent time.Time) {
	if p.unansweredSince.IsZero() || !sent.After(p.unansweredSince) {
		return
	}
	p.startExpired = p.restarted || clockMS > p.startUntilMS // also of a run whose stop the budget keeps back
	if !p.leaving() && o.budgetAllowsSending(p) {
		o.evict(w, p)
	}
}

// budgetAllowsSending reports whether a stop may be sent now: others of the step may have become unavailable since it was
// decided. A run whose start has expired is missing from the latest list, so it is not at work.
func (o *Owner) budgetAllowsSending(p *placement) bool {
	return !p.hasBudget() || p.job.progress.State != workload.Active || p.startExpired ||
		o.countOthersUnavailable(p) < p.step().MaxUnavailable
}

// countOthersUnavailable is countUnavailable without the run's own task.
func (o *Owner) countOthersUnavailable(p *placement) int {
	n := o.countUnavailable(p.job, p.ref.Occurrence, p.ref.Step)
	if t, ok := p.job.progress.Task(p.ref); ok && o.isUnavailable(p.job, p.ref, t) {
		n--
	}
	return n
}

// isUnavailable reports whether a task is to be stopped or not known to run at full speed.
func (o *Owner) isUnavailable(j *job, ref workload.TaskRef, t workload.Task) bool {
	w := o.workers[t.Worker]
	if t.Phase != workload.Placed || w == nil || !w.sessionEstablished {
		return true
	}
	p := w.runs[workload.TaskName(j.spec.ID, ref)]
	return p == nil || !p.reported || p.speedPercent < 100 || p.leaving() || p.lateStopMayFollow(time.Now())
}

// lateStopMayFollow reports whether a stop that was withdrawn may still be carried out.
func (p *placement) lateStopMayFollow(now time.Time) bool {
	return !p.lastStop.IsZero() && now.Sub(p.lastStop) < lateRequestLimit
}
