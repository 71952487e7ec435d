// Package overload decides which jobs of a pool give way when not all of them can be in time. It depends on its arguments
// only: no clock, state of the owner or I/O.
//
// A job counts if it ends within its objective and is worth little afterwards. Taken by the least slack alone, jobs that
// cannot be in time hold the room of those that could, until all of them are late. The plan instead keeps jobs in the order
// of their value for their work, each only if all that are kept can still be in time; the others wait. With capacity over
// time as the only restriction, this order is the best one for divisible jobs, since the restrictions are nested by due time.
package overload

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/pollenford/pollenford/internal/schedule"
)

// Decision is what the plan says about a job.
type Decision uint8

// Decisions. The zero value is that of a job that no plan has seen.
const (
	Unplanned Decision = iota
	Start              // in the usual order
	Defer              // behind all jobs that can be in time
)

// Job is a job that can still be in time if nothing makes it wait.
type Job struct {
	ID           string
	Organisation string
	// Urgency is the urgency of the queue; 0 comes first.
	Urgency int
	// Value is what ending in time is worth, in any unit that is the same for all jobs.
	Value float64
	// Begun reports whether a task has been placed.
	Begun bool
	// Previous is the decision of the last plan.
	Previous Decision
	// Stages are ordered by Due.
	Stages []Stage
}

// Stage is the work of a step that is not placed yet. Times are relative to now.
type Stage struct {
	// Work is the resources of the tasks times their estimated duration in seconds.
	Work Amount
	// Begin is when the step can begin if nothing waits, Due when its work must be done for the job to be in time.
	Begin, Due time.Duration
}

// Organisation is what a plan needs to know of an organisation.
type Organisation struct {
	// Weight is the organisation's share relative to the others; 0 counts as 1.
	Weight float64
	// Limit is what the organisation may use beside its running tasks, over time; nil without a limit.
	Limit *Room
}

// GuaranteedShare is the part of the kept work, and of the capacity that it uses, which is divided by fair shares, whatever
// the value of the jobs. If all of it were, jobs with the least slack would wait for others, and credit be lost.
const GuaranteedShare = 0.7

// Shares of the capacity that jobs may fill, by the previous decision. The steps between them keep jobs from being
// deferred and returned by turns while estimates turn out wrong; new jobs leave room for those that take longer than
// estimated.
const (
	shareOfKept     = 1.2
	shareOfNew      = 0.8
	shareOfDeferred = 0.4
	// keptBonus is by how much the value for work of a new job must exceed that of a kept one to displace it.
	keptBonus = 1.25
)

// Planner makes plans. It keeps its memory for the next one.
type Planner struct {
	items     []item
	decisions []Decision
	// free is the capacity without what more urgent jobs use, left is what the kept jobs do not need of it.
	free, left timeline
	// whole is the capacity of the plan, levels what it leaves, and backlog the work that waits. Admit adds to them.
	whole         timeline
	levels        []level
	backlog       Backlog
	lookUp        func(name string) Organisation
	organisations map[string]*orgState
	orgs          []*orgState // in the order of their first jobs
	unused        []*orgState
	claims        []schedule.Claim
}

// item is a job during a plan.
type item struct {
	job   int
	value float64 // for its work, with the bonus of a kept job
	size  float64 // part of the capacity that it needs
	org   *orgState
}

// orgState is the state of an organisation during a plan.
type orgState struct {
	name               string
	weight             float64
	limited            bool
	limit, left, saved timeline
	// Sizes of its jobs, of those that are kept, and of its share.
	requested, kept, share float64
}

// Plan returns the decision on each job. The slice is valid until the next plan.
func (p *Planner) Plan(room *Room, jobs []Job, organisation func(name string) Organisation) []Decision {
	p.prepare(room, jobs, organisation)
	for first := 0; first < len(p.items); {
		urgency, end := jobs[p.items[first].job].Urgency, first
		for end < len(p.items) && jobs[p.items[end].job].Urgency == urgency {
			end++
		}
		p.planUrgency(jobs, p.items[first:end])
		l := level{urgency: urgency, free: p.free, left: p.left}
		p.consume(jobs, p.items[first:end])
		l.rest = p.free
		p.levels = append(p.levels, l)
		first = end
	}
	return p.decisions
}

func (p *Planner) prepare(room *Room, jobs []Job, organisation func(name string) Organisation) {
	p.free.by(room)
	p.whole, p.levels, p.backlog = p.free, p.levels[:0], maps.Clone(room.Late)
	p.lookUp = organisation
	p.decisions = slices.Grow(p.decisions[:0], len(jobs))[:len(jobs)]
	p.items = p.items[:0]
	p.unused = append(p.unused, p.orgs...)
	p.orgs = p.orgs[:0]
	if p.organisations == nil {
		p.organisations = map[string]*orgState{}
	}
	clear(p.organisations)
	for i := range jobs {
		j := &jobs[i]
		p.backlog.Add(j.Urgency, j.Organisation, j.work())
		it := item{job: i, size: p.size(j.work()), org: p.stateOf(j.Organisation, organisation)}
		it.value = j.Value / max(it.size, 1e-9)
		if j.Previous == Start {
			it.value *= keptBonus
		}
		p.items = append(p.items, it)
	}
	slices.SortFunc(p.items, func(a, b item) int { return before(jobs, &a, &b) })
}

// before orders jobs by urgency, those that keep their place first, then by value for work.
func before(jobs []Job, a, b *item) int {
	x, y := &jobs[a.job], &jobs[b.job]
	if c := cmp.Compare(x.Urgency, y.Urgency); c != 0 {
		return c
	}
	if keeps := x.keepsPlace(); keeps != y.keepsPlace() {
		if keeps {
			return -1
		}
		return 1
	}
	if c := cmp.Compare(b.value, a.value); c != 0 {
		return c
	}
	return cmp.Compare(x.ID, y.ID)
}

// keepsPlace reports whether no job that has not begun may displace this one.
func (j *Job) keepsPlace() bool { return j.Begun && j.Previous != Defer }

// size returns the largest part of any resource of the pool that an amount of work needs.
func (p *Planner) size(work Amount) float64 {
	size := 0.0
	for k, w := range work {
		if total := p.free[intervals][k]; w > 0 && total > 0 {
			size = max(size, w/total)
		}
	}
	return size
}

func (p *Planner) stateOf(name string, lookUp func(string) Organisation) *orgState {
	org := p.organisations[name]
	if org != nil {
		return org
	}
	if n := len(p.unused); n > 0 {
		org, p.unused = p.unused[n-1], p.unused[:n-1]
	} else {
		org = &orgState{}
	}
	o := lookUp(name)
	org.name, org.weight, org.limited = name, o.Weight, o.Limit != nil
	if org.limited {
		org.limit.by(o.Limit)
		org.left = org.limit
	}
	p.organisations[name] = org
	p.orgs = append(p.orgs, org)
	return org
}

// planUrgency decides about the jobs of one urgency. If the order by value leaves an organisation far below its fair share
// of the work that is kept, each organisation first fills its share.
func (p *Planner) planUrgency(jobs []Job, items []item) {
	for _, org := range p.orgs {
		org.requested, org.kept, org.saved = 0, 0, org.left
	}
	for i := range items {
		items[i].org.requested += items[i].size
		p.decisions[items[i].job] = Defer
	}
	p.left = p.free
	p.keepFitting(jobs, items, false)
	if p.sharesKept() {
		return
	}
	for _, org := range p.orgs {
		org.kept, org.left = 0, org.saved
	}
	for i := range items {
		p.decisions[items[i].job] = Defer
	}
	p.left = p.free
	p.keepFitting(jobs, items, true)
	p.keepFitting(jobs, items, false)
}

// shareUnit is the precision of sizes in claims.
const shareUnit = 1e9

// sharesKept computes the fair shares of the work that is kept and reports whether each organisation has what is
// guaranteed to it.
func (p *Planner) sharesKept() bool {
	if len(p.orgs) < 2 {
		return true
	}
	total := 0.0
	p.claims = p.claims[:0]
	for _, org := range p.orgs {
		total += org.kept
		p.claims = append(p.claims, schedule.Claim{
			Organisation: org.name, Weight: org.weight, Requested: int64(org.requested * shareUnit)})
	}
	shares := schedule.FairShares(int64(GuaranteedShare*total*shareUnit), p.claims)
	kept := true
	for _, org := range p.orgs {
		org.share = float64(shares[org.name]) / shareUnit
		kept = kept && org.kept >= org.share
	}
	return kept
}

// keepFitting keeps the jobs, in their order, with which all kept ones can be in time; withinShare only as far as their
// organisations' shares reach.
func (p *Planner) keepFitting(jobs []Job, items []item, withinShare bool) {
	for i := range items {
		it := &items[i]
		j := &jobs[it.job]
		if p.decisions[it.job] == Start || withinShare && it.org.kept >= it.org.share || !p.fits(j, it.org) {
			continue
		}
		p.decisions[it.job] = Start
		it.org.kept += it.size
		p.left.take(j.Stages)
		if it.org.limited {
			it.org.left.take(j.Stages)
		}
	}
}

// fits reports whether a job and all kept ones can be in time.
func (p *Planner) fits(j *Job, org *orgState) bool {
	share := shareOfNew
	switch j.Previous {
	case Start:
		share = shareOfKept
	case Defer:
		share = shareOfDeferred
	}
	return p.left.has(j.Stages, &p.free, 1-share) && (!org.limited || org.left.has(j.Stages, &org.limit, 1-share))
}

// consume reduces the free capacity by what the kept jobs use if they start as soon as they can, as urgent jobs do.
func (p *Planner) consume(jobs []Job, items []item) {
	var begins timeline
	for i := range items {
		if p.decisions[items[i].job] != Start {
			continue
		}
		for _, s := range jobs[items[i].job].Stages {
			at := &begins[min(pointBefore(s.Begin)+1, intervals)]
			for k, w := range s.Work {
				at[k] += w
			}
		}
	}
	for k := range resources {
		waiting, previous := 0.0, 0.0
		for at := 1; at <= intervals; at++ {
			waiting += begins[at][k]
			gained := p.free[at][k] - previous
			previous = p.free[at][k]
			used := min(waiting, max(gained, 0))
			waiting -= used
			p.free[at][k] = p.free[at-1][k] + gained - used
		}
	}
}

const (
	// pathStretch is how much longer than its estimate a chain of steps is expected to take: a step ends with the slowest
	// of its tasks, whose estimates are off by up to 1.9 times.
	pathStretch = 1.8
	// OrderStretch is the same for the order of the kept jobs by slack. With pathStretch, long chains go so far ahead that
	// short ones become late.
	OrderStretch = 1.4
)

// DueOf returns by when the work of a step must be done, if the objective of its job leaves the given time and the chain
// of steps that begins with it is estimated to take path.
func DueOf(left, path, estimate time.Duration) time.Duration {
	return left - time.Duration(pathStretch*float64(path)) + estimate
}

// remainingShare is the part of its estimate that a run is expected to go on at least: estimates are off by up to 1.9
// times, and one that exceeds its estimate ends at any time from then on.
const remainingShare = 0.25

// Remaining returns for how long a run is expected to go on, from what its estimate leaves (negative if exceeded).
func Remaining(left, estimate time.Duration) time.Duration {
	return max(left, time.Duration(remainingShare*float64(estimate)))
}
