package owner

import (
	"slices"
	"time"

	"github.com/pollenford/pollenford/internal/catalog"
	"github.com/pollenford/pollenford/internal/jobs"
	"github.com/pollenford/pollenford/internal/overload"
	"github.com/pollenford/pollenford/internal/schedule"
	"github.com/pollenford/pollenford/internal/topic"
	"github.com/pollenford/pollenford/internal/workload"
)

// placementRetryInterval is the interval of placement rounds without an event, for tasks that wait for time to pass.
const placementRetryInterval = 200 * time.Millisecond

// plan holds what determines a job's place in the placement order.
type plan struct {
	demand schedule.Demand
	// criticalPath holds, by step, the estimated duration of the longest chain of steps that starts with it.
	criticalPath []time.Duration
	// least bounds the resources of the job's tasks from below.
	least    catalog.Resources
	overload jobOverload
}

// computePlan sets the plan of a job from its specification and its queue's configuration.
func (o *Owner) computePlan(j *job) {
	criticalPath, longest := schedule.CriticalPath(j.spec.Steps)
	j.plan.criticalPath = criticalPath
	d := schedule.Demand{LongRunning: j.spec.IsLongRunning(), ID: j.spec.ID, Remaining: longest}
	slack, target := 1.0, time.Duration(0)
	if q := o.queueOf(j.spec); q != nil {
		d.Urgency, slack, target = q.Urgency, q.SlackFactor, q.TargetLatency
	}
	d.Objective = schedule.NewObjective(time.UnixMilli(j.spec.ReceivedMS), longest, slack, target)
	j.plan.demand = d
	j.plan.least = j.spec.Steps[0].Resources
	for i := range j.spec.Steps {
		j.plan.least = j.plan.least.Min(j.spec.Steps[i].Resources)
	}
	o.recordWork(j)
}

// queueOf returns the queue of a job by the active configuration or, once it is removed, by the terms under which the job was
// accepted; nil if neither is known.
func (o *Owner) queueOf(spec *workload.Job) *catalog.Queue {
	if q := o.cfg.Catalog().Queues[spec.Queue]; q != nil {
		return q
	}
	if spec.Terms != nil {
		return spec.Terms.Queue(spec.Queue)
	}
	return nil
}

// admit returns the reason to reject a job, or nil to accept it under the terms of its queue.
func (o *Owner) admit(spec *workload.Job) *jobs.Rejection {
	c := o.cfg.Catalog()
	q := c.Queues[spec.Queue]
	if q == nil {
		// The entry has a newer configuration than this instance, or an older one.
		return &jobs.Rejection{Reason: "the queue is not known to the owner", RetryAfter: time.Second}
	}
	spec.Terms = o.termsOf(q)
	if size := len(o.encode(spec)) + recordSize(topic.Record{Key: jobKeyPrefix + spec.ID}); size > o.cfg.MaxRecordBytes {
		// An append that the store never accepts would block all later decisions.
		return errTooLarge
	}
	if spec.MinRecordBytes()+recordSize(topic.Record{Key: progressKeyPrefix + spec.ID}) > o.cfg.MaxRecordBytes {
		return errTooLarge
	}
	if org := c.Organisations[spec.Organisation]; org != nil {
		for i := range spec.Steps {
			if !org.LimitAllows(spec.Steps[i].Resources) {
				return &jobs.Rejection{Reason: "a task is larger than the organisation's limit", Permanent: true}
			}
		}
	}
	if rejection := o.admitBySize(spec, q); rejection != nil {
		return rejection
	}
	return o.admitByForecast(spec, q, time.Now())
}

// termsOf returns the terms of a queue, which its jobs share.
func (o *Owner) termsOf(q *catalog.Queue) *workload.QueueTerms {
	if o.terms[q] == nil {
		if o.terms == nil || o.cfg.Catalog().Queues[q.Name] == q && len(o.terms) > 2*len(o.cfg.Catalog().Queues) {
			o.terms = map[*catalog.Queue]*workload.QueueTerms{} // those of earlier configurations go with it
		}
		o.terms[q] = workload.TermsOf(q)
	}
	return o.terms[q]
}

// place runs a placement round: it assigns waiting tasks to workers.
func (o *Owner) place() {
	if o.appendStalled() || !o.leading() || o.startsHeld() {
		o.lastPlacementTry = time.Now()
		return
	}
	now := time.Now()
	o.metrics.placementRounds.Inc(1)
	o.pendingCPU = map[string]int64{}
	o.advice.queue.Reset()
	o.endOverloads(now)
	clear(o.rounds.room)
	list := o.readySteps()
	if len(list) == 0 {
		return
	}
	views := o.assignPoolViews(list, now)
	if o.cfg.Overload != (OverloadPolicy{}) {
		o.planOverload(list, views, now)
	}
	slices.SortFunc(list, func(a, b readyStep) int { return compareReady(&a, &b, now) })
	// Steps that can still meet their deadline are placed in order. Late steps in a full pool are first placed within
	// their organisation's fair share; unused shares then go to the other organisations.
	var late []*readyStep
	for i := range list {
		r := &list[i]
		o.placeAhead(list, i, now)
		if r.view == nil {
			continue
		}
		if r.view.shares != nil && r.demand.IsLate(now) {
			late = append(late, r)
			o.placeStep(r, r.view.shares, now)
			continue
		}
		o.pendingCPU[r.queue.Pool] += o.placeStep(r, nil, now)
	}
	for _, r := range late {
		o.pendingCPU[r.queue.Pool] += o.placeStep(r, nil, now)
	}
	o.preempt(list, now)
	o.callAdvice(now)
}

// assignPoolViews sets the queue, pool view and organisation of each step, and the fair shares of full pools. It returns
// the views by pool.
func (o *Owner) assignPoolViews(list []readyStep, now time.Time) map[string]*poolView {
	c := o.cfg.Catalog()
	views := map[string]*poolView{}
	for i := range list {
		r := &list[i]
		q := o.queueOf(r.job.spec)
		if q == nil {
			continue
		}
		view := views[q.Pool]
		if view == nil {
			view = o.newPoolView(q.Pool, now)
			views[q.Pool] = view
		}
		r.queue, r.view, r.org = q, view, c.Organisations[r.job.spec.Organisation]
		count, need := o.waitingWithinLimit(r), r.job.spec.Steps[r.step].ReservedResources()
		view.requested[r.job.spec.Organisation] += count * need.CPU
		view.ready = view.ready.Add(need.Times(count))
	}
	for _, j := range o.rounds.atLimit {
		if q := o.queueOf(j.spec); q != nil && views[q.Pool] != nil {
			views[q.Pool].requested[j.spec.Organisation] += 0 // it has waiting tasks
		}
	}
	for _, view := range views {
		view.computeShares(c, o.cfg.Overload.Defer)
	}
	for _, p := range o.blockedEvictions {
		if q := o.queueOf(p.job.spec); q != nil && views[q.Pool] != nil {
			view := views[q.Pool]
			view.prepare(p.step(), p.stepKey(), nil, now)
			schedule.Reserve(p.step(), view.candidates, 1)
		}
	}
	return views
}

// poolView is the available capacity of a pool during one placement round.
type poolView struct {
	workers    []*worker
	candidates []schedule.Candidate
	// doesNotFit is the smallest request that fit on no worker; requests at least as large are skipped.
	doesNotFit *catalog.Resources
	// paced is the smallest request for which no worker takes further starts until others are answered. Gangs do not wait.
	paced *catalog.Resources
	// CPU by organisation in thousandths of a core: in use, requested by waiting tasks and, in a full pool, fair share.
	used, requested, shares map[string]int64
	capacity                int64
	// ready is what the ready tasks request. overload is nil unless that exceeds what is free.
	ready    catalog.Resources
	overload *poolOverload
	// guaranteed is the part of the shares within which the kept jobs of an overloaded pool go first.
	guaranteed map[string]int64
	labels     map[string]bool // of all workers; nil until a step requires one
	// constrained reports whether the candidates have the properties of a step that constrains its workers.
	constrained bool
}

// computeShares sets the fair shares, and if required the guaranteed ones, if several organisations request CPU and demand
// exceeds the pool's capacity.
func (v *poolView) computeShares(c *catalog.Catalog, guaranteed bool) {
	total := int64(0)
	var claims []schedule.Claim
	for name, requested := range v.requested {
		claim := schedule.Claim{Organisation: name, Requested: requested + v.used[name]}
		if org := c.Organisations[name]; org != nil {
			claim.Weight = org.Weight
		}
		total += requested
		claims = append(claims, claim)
	}
	capacity := v.capacity
	for name, used := range v.used {
		total += used
		if _, waits := v.requested[name]; !waits {
			capacity -= used // in use by an organisation without waiting tasks
		}
	}
	if len(claims) > 1 && total > v.capacity {
		v.shares = schedule.FairShares(capacity, claims)
		if guaranteed {
			v.guaranteed = schedule.FairShares(int64(overload.GuaranteedShare*float64(capacity)), claims)
		}
	}
}

func (o *Owner) newPoolView(pool string, now time.Time) *poolView {
	view := o.rounds.view(pool)
	for _, w := range o.workersOf(pool) {
		if !o.usable(w, now) {
			continue
		}
		view.capacity += w.info.Capacity.CPU
		for name, cpu := range w.used.organisations {
			view.used[name] += cpu
		}
		view.workers = append(view.workers, w)
	}
	for _, w := range view.workers {
		view.candidates = append(view.candidates, schedule.Candidate{
			Free: w.info.Capacity.Sub(w.used.resources), Rack: w.info.Rack, SuspectScore: w.health.suspectScore(now),
			DueForMaintenance: o.isDueForMaintenance(w), Ending: w.used.resources.Sub(w.used.longRunning), Starting: w.starting,
		})
	}
	return view
}

// usable reports whether the worker may get new work.
func (o *Owner) usable(w *worker, now time.Time) bool {
	return o.acceptsWork(w, now) && !o.evacuated(w)
}

// acceptsWork reports whether the worker would take new work, whether or not its zone is evacuated.
func (o *Owner) acceptsWork(w *worker, now time.Time) bool {
	return w.registered && w.sessionEstablished && w.described() && !w.info.Draining && now.After(w.backoffUntil) && !o.cordoned(w)
}

// placeStep assigns the waiting tasks of a step to workers of its pool and returns the CPU requested by the tasks that
// still wait. A gang is placed as a whole or not at all. If the queue requires advice, only workers with a valid ticket
// are eligible. shares keeps the organisation within its share of the pool, unless it is nil.
func (o *Owner) placeStep(r *readyStep, shares map[string]int64, now time.Time) int64 {
	step, view, org := &r.job.spec.Steps[r.step], r.view, r.org
	need := step.ReservedResources()
	key := stepKey{r.job, r.occurrence.Number, r.step}
	if view.doesNotFit != nil && view.doesNotFit.FitsIn(need) {
		if r.queue.RequiresAdvice {
			o.requestAhead(r, key, now)
		}
		return need.CPU * o.waitingWithinLimit(r)
	}
	if step.RequiredLabel != "" && !view.carries(step.RequiredLabel) {
		return need.CPU * o.waitingWithinLimit(r)
	}
	if org != nil && !org.LimitAllows(o.usage[org.Name].Add(step.Resources)) {
		if r.queue.RequiresAdvice {
			o.requestAhead(r, key, now)
		}
		return 0
	}
	if !o.mayStart(r, need) {
		return 0
	}
	var advised *tickets
	if r.queue.RequiresAdvice {
		if advised = o.advice.steps[key]; !advised.hasValid(view.workers, now) {
			o.requestFirst(r, key, now)
			return need.CPU * o.waitingWithinLimit(r)
		}
	}
	view.prepare(step, key, advised, now)
	name := r.job.spec.Organisation
	usage := o.usage[name]
	// Tasks that wait for room in the record or in the budgets, or for answers to other starts, need no further instance.
	room, held := o.roundRoom(r.job), false
	begin := r.beginBytes()
	doesNotFit := view.doesNotFit
	var workerIndexes []int
	var taskIndexes []int
	tasks := &r.occurrence.Tasks[r.step]
	for index := tasks.NextWaiting(0); index < tasks.Len(); index = tasks.NextWaiting(index + 1) {
		usage = usage.Add(step.Resources)
		if org != nil && !org.LimitAllows(usage) {
			break
		}
		if shares != nil && view.used[name]+need.CPU > shares[name] {
			break
		}
		best := schedule.SelectWorker(step, view.candidates)
		if best < 0 {
			constrained := step.RequiredLabel != "" || step.MaxPerWorker > 0 || advised != nil
			if held = view.startsPaced(); held && !constrained && !step.Gang {
				view.paced = smallest(need)
			} else if !held && !constrained {
				view.doesNotFit = smallest(need)
			}
			break
		}
		size := workload.PlacementBytes(view.workers[best].info.ID)
		if room < size {
			held = true // the other tasks wait until some of these have ended
			break
		}
		if placed := len(workerIndexes); !o.accounts.begun.Fits(name, begin+int64(placed+1)*runBytes, 0) ||
			!step.Gang && o.accounts.starts+placed >= o.accounts.maxStarts {
			held = true
			break
		}
		room -= size
		view.candidates[best].Free = view.candidates[best].Free.Sub(need)
		view.candidates[best].StepTasks++
		view.candidates[best].Starting++
		view.used[name] += need.CPU
		workerIndexes, taskIndexes = append(workerIndexes, best), append(taskIndexes, index)
	}
	if advised != nil && len(workerIndexes) < tasks.Waiting() {
		o.requestAdvice(r, key, now) // other workers may be allowed as well
	}
	if step.Gang && len(workerIndexes) < step.Count {
		view.doesNotFit = doesNotFit // what the gang took is free again
		for _, i := range workerIndexes {
			view.candidates[i].Free = view.candidates[i].Free.Add(need)
			view.candidates[i].Starting--
			view.used[name] -= need.CPU
		}
		return need.CPU * o.waitingWithinLimit(r)
	}
	if step.LongRunning {
		schedule.Reserve(step, view.candidates, int(o.countWithinLimit(r))-len(taskIndexes))
	}
	o.rounds.room[r.job] = room
	run := 0
	for i, index := range taskIndexes {
		ref := workload.TaskRef{Occurrence: r.occurrence.Number, Step: r.step, Index: index}
		if run == 0 || !step.Gang {
			run = r.job.progress.NextRun(r.job.spec, ref)
		}
		w, ticket := view.workers[workerIndexes[i]], ""
		if advised != nil {
			ticket = advised.validTicket(w, now)
		}
		o.startRun(r.job, ref, run, w, ticket)
	}
	if len(taskIndexes) > 0 {
		o.log.Info("tasks placed", "job", r.job.spec.ID, "occurrence", r.occurrence.Number, "step", r.step,
			"tasks", len(taskIndexes), "of", step.Count, "config", o.cfg.Catalog().Version,
			"age_ms", time.Now().UnixMilli()-r.job.spec.ReceivedMS)
	}
	if len(taskIndexes) > 0 && begin > 0 {
		o.account(r.job)
	}
	if held {
		return 0
	}
	return need.CPU * o.waitingWithinLimit(r)
}

// smallest returns a copy of a request. Only the few that are kept take memory of their own.
func smallest(need catalog.Resources) *catalog.Resources { return &need }

// mayStart reports whether a step may start a task in this round. Those that wait for answers to other starts, or for memory,
// are not tried, since a crowd may have thousands of them.
func (o *Owner) mayStart(r *readyStep, need catalog.Resources) bool {
	paced := r.view.paced != nil && r.view.paced.FitsIn(need) || o.accounts.starts >= o.accounts.maxStarts
	return (!paced || r.job.spec.Steps[r.step].Gang) &&
		o.accounts.begun.Fits(r.job.spec.Organisation, r.beginBytes()+runBytes, 0)
}

// carries reports whether a worker has a label. Many jobs may wait for labels that none has.
func (v *poolView) carries(label string) bool {
	if v.labels == nil {
		v.labels = map[string]bool{}
		for _, w := range v.workers {
			for _, l := range w.info.Labels {
				v.labels[l] = true
			}
		}
	}
	return v.labels[label]
}

// startsPaced reports whether a worker gets no more starts until others are answered.
func (v *poolView) startsPaced() bool {
	return slices.ContainsFunc(v.candidates, func(c schedule.Candidate) bool { return c.Starting >= schedule.MaxStarting })
}

// prepare sets the properties of the candidates that depend on the step. Most steps constrain no worker, and none of
// these properties then matters.
func (v *poolView) prepare(step *workload.Step, key stepKey, advised *tickets, now time.Time) {
	constrained := step.MaxPerWorker > 0 || step.LongRunning || step.RequiredLabel != "" || advised != nil
	if !constrained && !v.constrained {
		return
	}
	v.constrained = constrained
	for i, w := range v.workers {
		c := &v.candidates[i]
		c.StepTasks, c.HasLabel, c.Excluded = 0, true, false
		if constrained {
			c.StepTasks = w.used.tasksPerStep[key]
			c.HasLabel = step.RequiredLabel == "" || w.info.HasLabel(step.RequiredLabel)
			c.Excluded = advised != nil && advised.validTicket(w, now) == ""
		}
	}
}
