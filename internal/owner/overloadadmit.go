package owner

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"github.com/pollenford/pollenford/internal/catalog"
	"github.com/pollenford/pollenford/internal/jobs"
	"github.com/pollenford/pollenford/internal/overload"
	"github.com/pollenford/pollenford/internal/schedule"
	"github.com/pollenford/pollenford/internal/workload"
)

// maxPlanAge is the age of a plan from which nothing is rejected by it. Rounds are at most placementRetryInterval apart
// while tasks wait.
const maxPlanAge = 2 * placementRetryInterval

// rejectionDelay is how long, beyond a move, a pool must be overloaded in this term before new jobs are rejected: the
// instances that it fetches have arrived by then, and a new owner has sessions with the workers.
const rejectionDelay = 2 * time.Second

// admitByForecast rejects a new job that its pool's last plan expects to end after its late objective. Long-running and
// scheduled jobs are never rejected.
func (o *Owner) admitByForecast(spec *workload.Job, q *catalog.Queue, now time.Time) *jobs.Rejection {
	p := o.overload.pools[q.Pool]
	if !o.cfg.Overload.Reject || p == nil || p.since.IsZero() || now.Sub(p.plannedAt) > maxPlanAge ||
		now.Sub(p.since) < o.cfg.Timing.MoveTime+rejectionDelay ||
		spec.IsLongRunning() || spec.IsScheduled() {
		return nil
	}
	criticalPath, longest := schedule.CriticalPath(spec.Steps)
	objective := schedule.NewObjective(time.UnixMilli(spec.ReceivedMS), longest, q.SlackFactor, q.TargetLatency)
	allowed := objective.FullCreditUntil.Sub(p.plannedAt)
	candidate := overload.Job{ID: spec.ID, Organisation: spec.Organisation, Urgency: q.Urgency}
	for i := range spec.Steps {
		s := &spec.Steps[i]
		candidate.Stages = append(candidate.Stages, p.stage(s, s.Count, 0, allowed, criticalPath[i]))
	}
	slices.SortFunc(candidate.Stages, func(a, b overload.Stage) int { return cmp.Compare(a.Due, b.Due) })
	retry, ok := p.planner.Admit(&candidate, objective.PartialCreditUntil.Sub(p.plannedAt), spreadOf(spec.ID))
	if ok {
		return nil
	}
	o.countOverload("jobs_rejected_overload", spec)
	p.rejected++
	return &jobs.Rejection{Reason: "the pool is overloaded: the job would end after its late objective", RetryAfter: retry,
		Overloaded: true}
}

// spreadOf returns a number in [0, 1) that distributes jobs by their IDs.
func spreadOf(id string) float64 {
	h := fnv.New32a()
	h.Write([]byte(id))
	return float64(h.Sum32()) / (1 << 32)
}
