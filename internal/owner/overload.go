package owner

import (
	"cmp"
	"slices"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/pollenford/pollenford/internal/catalog"
	"github.com/pollenford/pollenford/internal/overload"
	"github.com/pollenford/pollenford/internal/workload"
)

// OverloadPolicy selects what happens to work that a full pool cannot do in time.
type OverloadPolicy struct {
	// Defer orders jobs that could be in time only at the cost of worthier ones behind these.
	Defer bool
	// Reject turns new jobs away that would end after their late objective.
	Reject bool
}

const (
	// overloadEndsAfter is how long nothing is deferred in a pool before its overload counts as ended.
	overloadEndsAfter = time.Second
	// overloadPlanInterval is the least time between two plans of a pool. Rounds between them use its decisions; new jobs then go
	// with those that can be in time, where they have the most slack.
	overloadPlanInterval = 50 * time.Millisecond
	// serviceDelay is the time from the arrival of a moved instance to the first heartbeat of its worker, roughly.
	serviceDelay = 300 * time.Millisecond
	// maxJobValue bounds the value of a job, in that of a mean one of its queue; minJobValue is that of a small one.
	maxJobValue, minJobValue = 4.0, 0.3
	// paceShare is the weight of a run in the pace of its pool; minPace and maxPace bound what it counts.
	paceShare        = 0.02
	minPace, maxPace = 0.25, 4.0
	// meanWorkShare is the weight of a new job in the mean work of its queue.
	meanWorkShare = 0.02
)

// jobOverload is what the overload plan keeps of a job.
type jobOverload struct {
	work      float64 // estimated, in thousandths of a core times seconds
	decision  overload.Decision
	plan      int // number of the pool's plan with the decision
	deferred  bool
	preferred bool // counted as preferred
	expedited bool // tasks were placed ahead
	agedRank  int  // from 1 in the order in which aged jobs go ahead, 0 for other jobs
}

// overloadState is the state of the overload plans of all pools.
type overloadState struct {
	pools    map[string]*poolOverload
	meanWork map[string]float64 // of jobs, by queue
	counters map[counterKey]tally.Counter
}

type counterKey struct{ name, queue, organisation string }

// poolOverload is the state of the overload of a pool, and memory for its plans.
type poolOverload struct {
	planner overload.Planner
	room    overload.Room
	limits  map[string]*limitRoom // by organisation
	plans   int                   // number of plans so far
	jobs    []overload.Job
	owners  []*job // parallel to jobs
	stages  []overload.Stage
	ends    []time.Duration
	// pace is how long recent runs took as a multiple of their estimates, 0 before the first.
	pace float64
	// expeditedCPU is what the expedited jobs use.
	expeditedCPU int64
	aged         []*job

	plannedAt                     time.Time
	since, lastDeferral           time.Time // zero if the pool is not overloaded
	deferred, preferred, rejected int       // jobs since the overload began
}

// limitRoom is what an organisation with a limit may use over time, for one plan.
type limitRoom struct {
	overload.Room
	plan int
}

// limit returns what an organisation may use, nil without a limit.
func (p *poolOverload) limit(organisation string) *overload.Room {
	if l := p.limits[organisation]; l != nil && l.plan == p.plans {
		return &l.Room
	}
	return nil
}

// recordWork sets the work of a job and adds it to the mean of its queue.
func (o *Owner) recordWork(j *job) {
	work := 0.0
	for i := range j.spec.Steps {
		s := &j.spec.Steps[i]
		work += float64(s.Count) * float64(s.ReservedResources().CPU) * s.Estimate.Seconds()
	}
	j.plan.overload.work = work
	if o.overload.meanWork == nil {
		o.overload.meanWork = map[string]float64{}
	}
	mean, known := o.overload.meanWork[j.spec.Queue]
	if !known {
		mean = work
	}
	o.overload.meanWork[j.spec.Queue] = mean + meanWorkShare*(work-mean)
}

// recordPace adds a run that succeeded to the pace of its pool.
func (o *Owner) recordPace(run *placement, now time.Time) {
	q, step := o.queueOf(run.job.spec), run.step()
	if q == nil || run.adopted || step.LongRunning || step.Estimate <= 0 || o.cfg.Overload == (OverloadPolicy{}) {
		return
	}
	p := o.poolOverload(q.Pool)
	took := now.Sub(run.requestedAt).Seconds() / step.Estimate.Seconds()
	p.pace = p.currentPace() + paceShare*(min(max(took, minPace), maxPace)-p.currentPace())
}

func (p *poolOverload) currentPace() float64 {
	if p.pace == 0 {
		return 1
	}
	return p.pace
}

// expected returns how long something is expected to take at the pool's pace.
func (p *poolOverload) expected(estimate time.Duration) time.Duration {
	return time.Duration(p.currentPace() * float64(estimate))
}

// jobValue returns what it is worth to end a job in time, in the value of a mean job of its queue.
func (o *Owner) jobValue(j *job) float64 {
	mean := o.overload.meanWork[j.spec.Queue]
	if mean <= 0 {
		return 1
	}
	return min(maxJobValue, minJobValue+(1-minJobValue)*j.plan.overload.work/mean)
}

// planOverload decides, for each pool whose ready tasks request more than is free, which jobs give way.
func (o *Owner) planOverload(list []readyStep, views map[string]*poolView, now time.Time) {
	due := map[string]*poolOverload{}
	for name, view := range views {
		if view.ready.FitsIn(view.free()) {
			continue
		}
		view.overload = o.poolOverload(name)
		if now.Sub(view.overload.plannedAt) >= overloadPlanInterval {
			view.overload.begin(now)
			due[name] = view.overload
		}
	}
	if len(due) > 0 {
		o.planPools(due, views, now)
	}
	for i := range list {
		r := &list[i]
		if r.view != nil && r.view.overload != nil && o.cfg.Overload.Defer {
			d := &r.job.plan.overload
			r.demand.Deferred = d.plan == r.view.overload.plans && d.decision == overload.Defer
			r.demand.Reserve = time.Duration((overload.OrderStretch*r.view.overload.currentPace() - 1) * float64(r.demand.Remaining))
		}
	}
}

// planPools makes the plans of pools.
func (o *Owner) planPools(pools map[string]*poolOverload, views map[string]*poolView, now time.Time) {
	for _, j := range o.active {
		if q := o.queueOf(j.spec); q != nil && pools[q.Pool] != nil {
			o.addToOverload(pools[q.Pool], j, q.Urgency, now)
		}
	}
	for name, p := range pools {
		o.planPool(name, p, views[name], now)
	}
}

// free returns what is free in a pool for short tasks.
func (v *poolView) free() catalog.Resources {
	var free catalog.Resources
	for i := range v.candidates {
		free = free.Add(v.candidates[i].Free.Sub(v.candidates[i].Reserved))
	}
	return free
}

func (o *Owner) poolOverload(pool string) *poolOverload {
	if o.overload.pools == nil {
		o.overload.pools = map[string]*poolOverload{}
	}
	p := o.overload.pools[pool]
	if p == nil {
		p = &poolOverload{limits: map[string]*limitRoom{}}
		o.overload.pools[pool] = p
	}
	return p
}

// begin begins the next plan in the memory of the last one.
func (p *poolOverload) begin(now time.Time) {
	p.plans++
	p.plannedAt = now
	p.room = overload.Room{}
	p.jobs, p.owners, p.stages, p.aged = p.jobs[:0], p.owners[:0], p.stages[:0], p.aged[:0]
}

// addToOverload adds a job to the plan of its pool if it can be in time, or to the aged ones if it is past its late
// objective. Long-running and scheduled jobs are never deferred.
func (o *Owner) addToOverload(p *poolOverload, j *job, urgency int, now time.Time) {
	if j.spec.IsScheduled() || j.plan.demand.LongRunning || len(j.progress.Current) == 0 {
		return
	}
	if now.After(j.plan.demand.PartialCreditUntil) {
		p.aged = append(p.aged, j)
		p.addLate(j, urgency)
		return
	}
	first := len(p.stages)
	if !p.addStages(j, now) {
		p.stages = p.stages[:first]
		p.addLate(j, urgency)
		return
	}
	stages := p.stages[first:]
	slices.SortFunc(stages, func(a, b overload.Stage) int { return cmp.Compare(a.Due, b.Due) })
	p.jobs = append(p.jobs, overload.Job{
		ID: j.spec.ID, Organisation: j.spec.Organisation, Urgency: urgency, Value: o.jobValue(j), Begun: j.progress.Begun,
		Previous: j.plan.overload.decision, Stages: stages})
	p.owners = append(p.owners, j)
}

// addStages adds the stages of a job that are not placed yet, and reports whether it can be in time.
func (p *poolOverload) addStages(j *job, now time.Time) bool {
	occurrence := j.progress.Current[0]
	allowed := j.plan.demand.FullCreditUntil.Sub(now)
	p.ends = slices.Grow(p.ends[:0], len(j.spec.Steps))[:len(j.spec.Steps)]
	clear(p.ends)
	for i := range j.spec.Steps {
		unfinished := occurrence.Unfinished(i)
		if unfinished == 0 {
			continue
		}
		s := &j.spec.Steps[i]
		begin, takes, waiting := time.Duration(0), s.Estimate, occurrence.Tasks[i].Waiting()
		for _, predecessor := range s.After {
			begin = max(begin, p.ends[predecessor])
		}
		if began, ok := j.stepsBegan[stepKey{j, occurrence.Number, i}]; ok && waiting == 0 {
			takes = overload.Remaining(s.Estimate-now.Sub(began), s.Estimate)
		}
		p.ends[i] = begin + takes
		if p.ends[i]+j.plan.criticalPath[i]-s.Estimate > allowed {
			return false
		}
		if waiting > 0 {
			p.stages = append(p.stages, p.stage(s, waiting, begin, allowed, j.plan.criticalPath[i]))
		}
	}
	return true
}

// stage returns the work of a step with waiting tasks, as it is expected at the pool's pace.
func (p *poolOverload) stage(s *workload.Step, waiting int, begin, allowed, path time.Duration) overload.Stage {
	takes := p.expected(s.Estimate)
	return overload.Stage{Work: amount(s.ReservedResources(), float64(waiting)*takes.Seconds()), Begin: p.expected(begin),
		Due: overload.DueOf(allowed, p.expected(path), takes)}
}

// addLate adds the work of a job that cannot be in time to what waits behind the others.
func (p *poolOverload) addLate(j *job, urgency int) {
	for i := range j.spec.Steps {
		s := &j.spec.Steps[i]
		unfinished := float64(j.progress.Current[0].Unfinished(i))
		p.room.Late.Add(urgency, j.spec.Organisation, amount(s.ReservedResources(), unfinished*s.Estimate.Seconds()))
	}
}

func amount(r catalog.Resources, factor float64) overload.Amount {
	return overload.Amount{float64(r.CPU) * factor, float64(r.MemoryMB) * factor, float64(r.GPU) * factor}
}

// planPool makes the plan of a pool.
func (o *Owner) planPool(name string, p *poolOverload, view *poolView, now time.Time) {
	o.addRoom(name, p, view, now)
	organisations := o.cfg.Catalog().Organisations
	decisions := p.planner.Plan(&p.room, p.jobs, func(name string) overload.Organisation {
		org := overload.Organisation{Limit: p.limit(name)}
		if c := organisations[name]; c != nil {
			org.Weight = c.Weight
		}
		return org
	})
	if o.cfg.Overload.Defer {
		p.expedite()
	}
	o.recordDecisions(name, p, decisions, now)
}

// addRoom adds what is free in a pool, what its short runs will free and the instances on their way to it, and what each
// organisation may use within its limit.
func (o *Owner) addRoom(name string, p *poolOverload, view *poolView, now time.Time) {
	p.room.Add(0, amount(view.free(), 1))
	for i := range p.jobs {
		o.addLimit(p, p.jobs[i].Organisation)
	}
	for _, w := range view.workers {
		for _, run := range w.runs {
			step := run.step()
			if step.LongRunning {
				continue
			}
			takes := p.expected(step.Estimate)
			in := overload.Remaining(takes-now.Sub(run.requestedAt), takes)
			p.room.Add(in, amount(step.ReservedResources(), 1))
			if limit := p.limit(run.job.spec.Organisation); limit != nil {
				limit.Add(in, amount(step.Resources, 1))
			}
		}
	}
	for _, inst := range o.fleet.instances {
		if inst.movingTo != name || o.instanceEvacuated(inst) {
			continue
		}
		arrives := inst.settledAfter.Sub(now)
		if inst.orderPending {
			arrives = o.cfg.Timing.MoveTime
		}
		if in := arrives + serviceDelay; in > 0 { // one that is overdue counts once it is there
			p.room.Add(in, amount(inst.info.Capacity, 1))
		}
	}
}

// unlimited stands for a resource without a limit.
const unlimited = 1e12

// addLimit adds what an organisation with a limit may use beside its running tasks.
func (o *Owner) addLimit(p *poolOverload, name string) {
	org := o.cfg.Catalog().Organisations[name]
	if org == nil || org.Limit == (catalog.Resources{}) || p.limit(name) != nil {
		return
	}
	room := p.limits[name]
	if room == nil {
		room = &limitRoom{}
		p.limits[name] = room
	}
	*room = limitRoom{plan: p.plans}
	left := amount(org.Limit.Sub(o.usage[name]), 1)
	for i, limit := range amount(org.Limit, 1) {
		if limit == 0 {
			left[i] = unlimited
		}
	}
	room.Add(0, left)
}

// recordDecisions keeps the decisions of a plan, counts those that changed and logs the beginning of an overload. Without
// Defer the decisions only show whether the pool is overloaded.
func (o *Owner) recordDecisions(pool string, p *poolOverload, decisions []overload.Decision, now time.Time) {
	deferred := 0
	for i, decision := range decisions {
		d := &p.owners[i].plan.overload
		d.decision, d.plan = decision, p.plans
		if decision == overload.Defer {
			deferred++
		}
	}
	if deferred == 0 {
		return
	}
	if !o.cfg.Overload.Defer {
		deferred = 0
	}
	p.lastDeferral = now
	if p.since.IsZero() {
		p.since, p.deferred, p.preferred, p.rejected = now, 0, 0, 0
		o.log.Info("pool overloaded", "pool", pool, "jobs", len(p.jobs), "deferred", deferred, "past_late_objective", len(p.aged))
	}
	if !o.cfg.Overload.Defer {
		return
	}
	for i, decision := range decisions {
		spec, d := p.owners[i].spec, &p.owners[i].plan.overload
		switch {
		case decision == overload.Defer && !d.deferred:
			d.deferred = true
			p.deferred++
			o.countOverload("jobs_deferred", spec)
		case decision == overload.Start && !d.preferred:
			d.preferred = true
			p.preferred++
			o.countOverload("jobs_preferred", spec)
		}
	}
}

// endOverloads logs the overloads that have ended.
func (o *Owner) endOverloads(now time.Time) {
	for pool, p := range o.overload.pools {
		if !p.since.IsZero() && now.Sub(p.lastDeferral) > overloadEndsAfter {
			o.log.Info("pool overload ended", "pool", pool, "ms", p.lastDeferral.Sub(p.since).Milliseconds(),
				"deferred", p.deferred, "preferred", p.preferred, "rejected", p.rejected)
			p.since = time.Time{}
		}
	}
}

// countOverload counts a job by queue and organisation, so that operators see who was deferred for whom.
func (o *Owner) countOverload(name string, spec *workload.Job) {
	key := counterKey{name, spec.Queue, spec.Organisation}
	counter := o.overload.counters[key]
	if counter == nil {
		if o.overload.counters == nil {
			o.overload.counters = map[counterKey]tally.Counter{}
		}
		counter = o.cfg.Scope.Tagged(map[string]string{"queue": spec.Queue, "organisation": spec.Organisation}).Counter(name)
		o.overload.counters[key] = counter
	}
	counter.Inc(1)
}
