package owner

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/pollenford/pollenford/internal/catalog"
	"github.com/pollenford/pollenford/internal/jobs"
	"github.com/pollenford/pollenford/internal/workload"
)

// overloadedOwner returns an owner without its event loop that has one worker of four cores, one job that needs all of
// them and twelve that need one each, with a little more slack.
func overloadedOwner(t *testing.T, policy OverloadPolicy) (*Owner, tally.TestScope) {
	h := newHarness(t)
	scope := tally.NewTestScope("", nil)
	h.scope = scope
	o := stoppedOwner(h)
	o.cfg.Overload = policy
	o.addIdleWorker("w1")
	large := newJob("large", 1)
	large.Steps[0].Resources.CPU, large.Steps[0].Estimate = 4000, 300*time.Millisecond
	o.addActiveJob(large)
	for i := range 12 {
		small := newJob(fmt.Sprint("small", i), 1)
		small.Steps[0].Estimate = 400 * time.Millisecond
		o.addActiveJob(small)
	}
	return o, scope
}

// A peak in which not all jobs can be in time: the one with the least value for its work gives way, although it has the
// least slack. Without the switch it is placed first, and the others become late.
func TestOverloadDefersTheLeastValueForItsWork(t *testing.T) {
	for _, deferring := range []bool{false, true} {
		o, scope := overloadedOwner(t, OverloadPolicy{Defer: deferring})
		o.place()
		if begun := o.jobs["large"].progress.Begun; begun == deferring {
			t.Errorf("defer %v: the large job is placed: %v", deferring, begun)
		}
		if runs := len(o.workers["w1"].runs); deferring && runs != 4 {
			t.Errorf("%d runs, want one on each core", runs)
		}
		counted := scope.Snapshot().Counters()["jobs_deferred+organisation=org,queue=queue"] != nil
		if counted != deferring {
			t.Errorf("defer %v: deferred jobs are counted: %v", deferring, counted)
		}
	}
}

// A backlog that takes several times the late objective of a new job: it is rejected before it is accepted, with a time to
// return that differs between clients. Without the switch, and for long-running and scheduled work, it is accepted.
func TestOverloadRejectsNewJobs(t *testing.T) {
	rejectionOf := func(policy OverloadPolicy, change func(j *workload.Job)) *jobs.Rejection {
		o, _ := overloadedOwner(t, policy)
		for i := range 300 {
			o.addActiveJob(newJob(fmt.Sprint("backlog", i), 4))
		}
		o.place()
		if p := o.overload.pools[testPool]; p != nil {
			p.since = p.since.Add(-rejectionDelay)
		}
		j := newJob("new", 4)
		change(j)
		return o.admit(j)
	}
	as := func(id string) func(*workload.Job) { return func(j *workload.Job) { j.ID = id } }
	both := OverloadPolicy{Defer: true, Reject: true}
	a, b := rejectionOf(both, as("a")), rejectionOf(both, as("b"))
	if a == nil || b == nil || !a.Overloaded || a.Permanent || a.RetryAfter < time.Second || a.RetryAfter == b.RetryAfter {
		t.Errorf("rejections %+v and %+v", a, b)
	}
	young, _ := overloadedOwner(t, both)
	if young.place(); young.admit(newJob("new", 400)) != nil {
		t.Error("rejected before the pool could fetch instances")
	}
	if r := rejectionOf(both, func(j *workload.Job) { j.Organisation = "another" }); r != nil {
		t.Errorf("a job of an organisation within its share is rejected: %v", r)
	}
	if r := rejectionOf(OverloadPolicy{Defer: true}, as("a")); r != nil {
		t.Errorf("rejected without the switch: %v", r)
	}
	if r := rejectionOf(both, func(j *workload.Job) { j.Steps[0].LongRunning = true }); r != nil {
		t.Errorf("long-running work is rejected: %v", r)
	}
	if r := rejectionOf(both, func(j *workload.Job) { j.Repeats = 1 }); r != nil {
		t.Errorf("scheduled work is rejected: %v", r)
	}
}

// Rejection alone: it changes neither the order of placement nor the counters of deferred and preferred jobs.
func TestOverloadRejectAloneKeepsTheOrder(t *testing.T) {
	o, scope := overloadedOwner(t, OverloadPolicy{Reject: true})
	old := newJob("old", 8)
	old.ReceivedMS -= 60_000
	o.addActiveJob(old)
	o.place()
	if p := o.overload.pools[testPool]; p == nil || p.since.IsZero() {
		t.Fatal("the pool is not overloaded")
	}
	if !o.jobs["large"].progress.Begun || o.jobs["old"].progress.Begun {
		t.Error("the order is not that of the least slack")
	}
	for name := range scope.Snapshot().Counters() {
		if strings.HasPrefix(name, "jobs_deferred") || strings.HasPrefix(name, "jobs_preferred") {
			t.Errorf("%s is counted", name)
		}
	}
}

// Overload that does not end: jobs past their late objective go on within a small share of the pool, the oldest first.
// Behind all jobs that can be in time they would never run.
func TestOverloadKeepsTheOldestJobsGoing(t *testing.T) {
	o, _ := overloadedOwner(t, OverloadPolicy{Defer: true})
	for i := range 3 {
		old := newJob(fmt.Sprint("old", i), 8)
		old.ReceivedMS -= int64(60_000 - i)
		o.addActiveJob(old)
	}
	o.place()
	placed := 8 - o.jobs["old0"].progress.Current[0].Tasks[0].Waiting()
	if placed != 1 || o.jobs["old1"].progress.Begun || o.jobs["old2"].progress.Begun {
		t.Errorf("%d tasks of the oldest job are placed, want one, and none of the others", placed)
	}
}

// Aged jobs that cannot be placed do not stop the expediting of the others.
func TestOverloadExpeditesPastJobsThatCannotBePlaced(t *testing.T) {
	for name, change := range map[string]func(j *workload.Job){
		"a gang larger than the pool":  func(j *workload.Job) { j.Steps[0].Gang = true },
		"a label that no worker has":   func(j *workload.Job) { j.Steps[0].RequiredLabel = "none" },
		"an organisation at its limit": func(j *workload.Job) { j.Organisation = "limited" },
	} {
		o, _ := overloadedOwner(t, OverloadPolicy{Defer: true})
		c := o.cfg.Catalog()
		c.Organisations = map[string]*catalog.Organisation{"limited": {Name: "limited", Limit: catalog.Resources{CPU: 1}}}
		for i := range 2 {
			old := newJob(fmt.Sprint("old", i), 8)
			old.ReceivedMS -= int64(60_000 - i)
			if i == 0 {
				change(old)
			}
			o.addActiveJob(old)
		}
		o.place()
		if o.jobs["old0"].progress.Begun {
			t.Errorf("%s: the job is placed", name)
		}
		if placed := 8 - o.jobs["old1"].progress.Current[0].Tasks[0].Waiting(); placed != 1 {
			t.Errorf("%s: %d tasks of the next job are placed, want 1", name, placed)
		}
	}
}

// A gang that exceeds the share is expedited as a whole, once.
func TestOverloadExpeditesAGangOnce(t *testing.T) {
	o, _ := overloadedOwner(t, OverloadPolicy{Defer: true})
	for i := range 2 {
		old := newJob(fmt.Sprint("old", i), 2)
		old.ReceivedMS -= int64(60_000 - i)
		old.Steps[0].Gang = true
		o.addActiveJob(old)
	}
	o.place()
	if !o.jobs["old0"].progress.Begun || o.jobs["old1"].progress.Begun {
		t.Errorf("placed: the oldest gang %v, the next one %v", o.jobs["old0"].progress.Begun, o.jobs["old1"].progress.Begun)
	}
}

// One organisation floods an urgent queue: the urgent job of another one is placed within its share, although it has more
// slack than all of the flood; a less urgent job waits, whatever share its organisation has.
func TestOverloadPlacesWithinSharesByUrgency(t *testing.T) {
	h := newHarness(t)
	queue := func(name string, urgency int) *catalog.Queue {
		return &catalog.Queue{Name: name, Pool: testPool, Urgency: urgency, SlackFactor: 2, TargetLatency: time.Second}
	}
	h.catalog.Store(catalog.New(1, []*catalog.Queue{queue("urgent", 0), queue("other", 1)}, []*catalog.Pool{{Name: testPool}},
		nil, catalog.HTTPLimits{}))
	o := stoppedOwner(h)
	o.cfg.Overload.Defer = true
	o.addIdleWorker("w1")
	o.addIdleWorker("w2")
	add := func(id, queue, organisation string, laterMS int64) *job {
		j := newJob(id, 1)
		j.Queue, j.Organisation, j.Steps[0].Estimate = queue, organisation, 400*time.Millisecond
		j.ReceivedMS += laterMS
		return o.addActiveJob(j)
	}
	for i := range 12 {
		add(fmt.Sprint("flood", i), "urgent", "flood", 0)
	}
	urgent, other := add("u", "urgent", "b", 500), add("o", "other", "c", 0)
	o.place()
	if !urgent.progress.Begun || other.progress.Begun {
		t.Errorf("placed: the urgent job %v, the other one %v", urgent.progress.Begun, other.progress.Begun)
	}
}
