package owner

import (
	"slices"
	"strings"
	"time"

	"github.com/pollenford/pollenford/internal/catalog"
	"github.com/pollenford/pollenford/internal/jobs"
	"github.com/pollenford/pollenford/internal/schedule"
	"github.com/pollenford/pollenford/internal/topic"
	"github.com/pollenford/pollenford/internal/workload"
)

// placementRetryInterval is how often placements are tried without an event, for those that wait for a time.
const placementRetryInterval = 200 * time.Millisecond

// plan is what the order of a job is derived from.
type plan struct {
	demand schedule.Demand
	// from is the longest chain of estimated work from each step on.
	from []time.Duration
}

// computePlan derives the plan of a job.
func (o *Owner) computePlan(j *job) {
	from, longest := schedule.CriticalPath(j.spec.Steps)
	j.plan.from = from
	d := schedule.Demand{LongRunning: j.spec.IsLongRunning(), ID: j.spec.ID, Remaining: longest}
	slack, target := 1.0, time.Duration(0)
	if q := o.cfg.Catalog().Queues[j.spec.Queue]; q != nil {
		d.Urgency, slack, target = q.Urgency, q.SlackFactor, q.TargetLatency
	}
	d.Objective = schedule.NewObjective(time.UnixMilli(j.spec.ReceivedMS), longest, slack, target)
	j.plan.demand = d
}

// admit returns why a job is rejected, or nil.
func (o *Owner) admit(spec *workload.Job) *jobs.Rejection {
	c := o.cfg.Catalog()
	q := c.Queues[spec.Queue]
	if q == nil {
		// The entry knows a configuration that has not arrived here, or this instance a newer one.
		return &jobs.Rejection{Reason: "the queue is not known to the owner", RetryAfter: time.Second}
	}
	if size := len(o.encode(spec)) + recordSize(topic.Record{Key: jobKeyPrefix + spec.ID}); size > o.cfg.MaxRecordBytes {
		// An append that the store can never take would hold up every decision behind it.
		return &jobs.Rejection{Reason: "the job is too large to be stored", Permanent: true}
	}
	if org := c.Organisations[spec.Organisation]; org != nil {
		for i := range spec.Steps {
			if !org.LimitAllows(spec.Steps[i].Resources) {
				return &jobs.Rejection{Reason: "a task is larger than the organisation's limit", Permanent: true}
			}
		}
	}
	return nil
}

// readyStep is a step with tasks to place.
type readyStep struct {
	job        *job
	occurrence *workload.Occurrence
	step       int
	demand     schedule.Demand
	// The fields below are set for a step whose queue is configured. org is nil on an open queue.
	queue *catalog.Queue
	view  *poolView
	org   *catalog.Organisation
}

// place gives waiting tasks to workers.
func (o *Owner) place() {
	if o.appendAge() > storeStallLimit || !o.leading() {
		o.lastTry = time.Now()
		return
	}
	now := time.Now()
	o.metrics.placementRounds.Inc(1)
	o.pendingCPU = map[string]int64{}
	list := o.readySteps()
	if len(list) == 0 {
		return
	}
	slices.SortFunc(list, func(a, b readyStep) int {
		if schedule.Before(&a.demand, &b.demand, now) {
			return -1
		}
		return 1
	})
	o.joinPools(list, now)
	// Deadlines decide as long as they can be met. Late work in a full pool is divided by shares; what some organisations
	// leave of theirs goes to the others.
	var late []*readyStep
	for i := range list {
		r := &list[i]
		if r.view == nil {
			continue
		}
		byShares := r.view.shares != nil && r.demand.IsLate(now)
		if byShares {
			late = append(late, r)
		}
		waiting := o.placeStep(r, byShares, now)
		if !byShares {
			o.pendingCPU[r.queue.Pool] += waiting
		}
	}
	for _, r := range late {
		o.pendingCPU[r.queue.Pool] += o.placeStep(r, false, now)
	}
	o.preempt(list, now)
}

// joinPools sets what the steps need of the configuration and of their pools, and the shares of full pools.
func (o *Owner) joinPools(list []readyStep, now time.Time) {
	c := o.cfg.Catalog()
	pools := map[string]*poolView{}
	for i := range list {
		r := &list[i]
		q := c.Queues[r.job.spec.Queue]
		if q == nil {
			continue
		}
		view := pools[q.Pool]
		if view == nil {
			view = o.viewPool(q.Pool, now)
			pools[q.Pool] = view
		}
		r.queue, r.view, r.org = q, view, c.Organisations[r.job.spec.Organisation]
		view.asked[r.job.spec.Organisation] += o.countWithinLimit(r) * r.job.spec.Steps[r.step].ReservedResources().CPU
	}
	for _, view := range pools {
		view.divide(c)
	}
}

func (o *Owner) readySteps() []readyStep {
	var list []readyStep
	for _, j := range o.active {
		for _, occurrence := range j.progress.Current {
			for step := range j.spec.Steps {
				if !occurrence.Ready(j.spec, step) || !hasWaiting(occurrence.Tasks[step]) {
					continue
				}
				demand := j.plan.demand
				demand.Remaining = j.plan.from[step]
				list = append(list, readyStep{job: j, occurrence: occurrence, step: step, demand: demand})
			}
		}
	}
	return list
}

func hasWaiting(tasks []workload.Task) bool {
	for i := range tasks {
		if tasks[i].Phase == workload.Waiting {
			return true
		}
	}
	return false
}

// poolView is the room of a pool during one round of placements.
type poolView struct {
	workers    []*worker
	candidates []schedule.Candidate
	// tooLarge is the smallest amount that did not fit anywhere, to skip its like.
	tooLarge *catalog.Resources
	// Amounts by organisation, in thousandths of a core: what it uses, what it waits for, and, in a full pool, its share.
	used, asked, shares map[string]int64
	capacity            int64
}

// divide sets the shares of organisations if they ask for more than there is.
func (v *poolView) divide(c *catalog.Catalog) {
	total := int64(0)
	var claims []schedule.Claim
	for name, asked := range v.asked {
		claim := schedule.Claim{Organisation: name, Requested: asked + v.used[name]}
		if org := c.Organisations[name]; org != nil {
			claim.Weight = org.Weight
		}
		total += asked
		claims = append(claims, claim)
	}
	capacity := v.capacity
	for name, used := range v.used {
		total += used
		if _, waits := v.asked[name]; !waits {
			capacity -= used // it keeps what it has
		}
	}
	if len(claims) > 1 && total > v.capacity {
		v.shares = schedule.FairShares(capacity, claims)
	}
}

func (o *Owner) viewPool(pool string, now time.Time) *poolView {
	view := &poolView{used: map[string]int64{}, asked: map[string]int64{}}
	for _, w := range o.workers {
		if w.info.Pool != pool || !w.usable(now) {
			continue
		}
		view.capacity += w.info.Capacity.CPU
		for name, cpu := range w.used.organisations {
			view.used[name] += cpu
		}
		view.workers = append(view.workers, w)
	}
	slices.SortFunc(view.workers, func(a, b *worker) int { return strings.Compare(a.info.ID, b.info.ID) })
	view.candidates = make([]schedule.Candidate, len(view.workers))
	for i, w := range view.workers {
		view.candidates[i] = schedule.Candidate{
			Free: w.info.Capacity.Sub(w.used.resources), Rack: w.info.Rack, SuspectScore: w.health.suspectScore(now),
		}
	}
	return view
}

// usable reports whether the worker may get new work.
func (w *worker) usable(now time.Time) bool {
	return w.registered && w.sessionEstablished && !w.info.Draining && !w.cordoned && now.After(w.avoidUntil)
}

// placeStep gives the waiting tasks of a step to the workers of its pool and returns the processors that those without
// room ask for. The members of a gang go together or not at all. On an advised queue only workers with a ticket count. byShares
// keeps the organisation within its share of the pool.
func (o *Owner) placeStep(r *readyStep, byShares bool, now time.Time) int64 {
	step, view, org := &r.job.spec.Steps[r.step], r.view, r.org
	need := step.ReservedResources()
	if view.tooLarge != nil && view.tooLarge.FitsIn(need) {
		return need.CPU * o.countWithinLimit(r)
	}
	key := stepKey{r.job, r.occurrence.Number, r.step}
	var advised *tickets
	if r.queue.RequiresAdvice {
		advised = o.ticketsFor(key, view, now)
	}
	for i, w := range view.workers {
		view.candidates[i].StepTasks = w.used.tasksPerStep[key]
		view.candidates[i].HasLabel = step.RequiredLabel == "" || w.info.HasLabel(step.RequiredLabel)
		view.candidates[i].Excluded = advised != nil && advised.validTicket(w, now) == ""
	}
	name := r.job.spec.Organisation
	usage := o.usage[name]
	var chosen []int
	var waiting []int
	for index := range r.occurrence.Tasks[r.step] {
		if r.occurrence.Tasks[r.step][index].Phase != workload.Waiting {
			continue
		}
		usage = usage.Add(step.Resources)
		if org != nil && !org.LimitAllows(usage) {
			break
		}
		if byShares && view.used[name]+need.CPU > view.shares[name] {
			break
		}
		best := schedule.SelectWorker(step, view.candidates)
		if best < 0 {
			if step.RequiredLabel == "" && step.MaxPerWorker == 0 && advised == nil {
				view.tooLarge = &need
			}
			break
		}
		view.candidates[best].Free = view.candidates[best].Free.Sub(need)
		view.candidates[best].StepTasks++
		view.used[name] += need.CPU
		chosen, waiting = append(chosen, best), append(waiting, index)
	}
	if step.Gang && len(chosen) < step.Count {
		for _, i := range chosen {
			view.candidates[i].Free = view.candidates[i].Free.Add(need)
			view.used[name] -= need.CPU
		}
		return need.CPU * o.countWithinLimit(r)
	}
	run := 0
	for i, index := range waiting {
		ref := workload.TaskRef{Occurrence: r.occurrence.Number, Step: r.step, Index: index}
		if run == 0 || !step.Gang {
			run = r.job.progress.NextRun(r.job.spec, ref)
		}
		w, text := view.workers[chosen[i]], ""
		if advised != nil {
			text = advised.validTicket(w, now)
		}
		o.start(r.job, ref, run, w, text)
	}
	if len(waiting) > 0 {
		o.log.Info("tasks placed", "job", r.job.spec.ID, "occurrence", r.occurrence.Number, "step", r.step, "tasks", len(waiting),
			"of", step.Count, "config", o.cfg.Catalog().Version, "age_ms", time.Now().UnixMilli()-r.job.spec.ReceivedMS)
	}
	return need.CPU * o.countWithinLimit(r)
}

// countWithinLimit returns how many waiting tasks of a step its organisation may have running beside what runs now.
func (o *Owner) countWithinLimit(r *readyStep) int64 {
	n := int64(0)
	usage := o.usage[r.job.spec.Organisation]
	for i := range r.occurrence.Tasks[r.step] {
		if r.occurrence.Tasks[r.step][i].Phase != workload.Waiting {
			continue
		}
		usage = usage.Add(r.job.spec.Steps[r.step].Resources)
		if r.org != nil && !r.org.LimitAllows(usage) {
			break
		}
		n++
	}
	return n
}
