package owner

import (
	"errors"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/pollenford/pollenford/internal/catalog"
	"github.com/pollenford/pollenford/internal/jobs"
	"github.com/pollenford/pollenford/internal/schedule"
	"github.com/pollenford/pollenford/internal/workers"
	"github.com/pollenford/pollenford/internal/workload"
)

// waitingJob returns a job that no worker can run.
func waitingJob(id string, tasks ...int) *workload.Job {
	j := newJob(id, tasks...)
	for i := range j.Steps {
		j.Steps[i].RequiredLabel = "absent"
	}
	return j
}

// fill submits jobs until one is rejected and returns how many were accepted.
func fill(t *testing.T, o *runningOwner, organisation string, job func(id string) *workload.Job) int {
	t.Helper()
	for n := 0; ; n++ {
		j := job(fmt.Sprint(organisation, "-", n))
		j.Organisation = organisation
		err := o.Submit(t.Context(), j)
		var rejection *jobs.Rejection
		switch {
		case err == nil:
			continue
		case !errors.As(err, &rejection) || !rejection.Overloaded || rejection.RetryAfter < time.Second:
			t.Fatalf("%v, want a rejection with a time to retry", err)
		}
		return n
	}
}

// Guards against an organisation that fills the owner's memory with jobs, and against one that then keeps out the jobs of
// others. What was rejected is not known afterwards, and what was accepted survives a failover within the same account.
func TestJobsOfAnOrganisationAreBounded(t *testing.T) {
	h := newHarness(t)
	h.memoryMB = 8
	o := h.startOwner(true)
	n := fill(t, o, "crowd", func(id string) *workload.Job { return waitingJob(id, 4_000) })
	if _, err := o.Status(t.Context(), fmt.Sprint("crowd-", n), "crowd"); !errors.Is(err, jobs.ErrNoSuchJob) {
		t.Errorf("the rejected job: %v, want no such job", err)
	}
	if err := o.Submit(t.Context(), waitingJob("ordinary", 8)); err != nil {
		t.Errorf("an ordinary job of another organisation: %v", err)
	}
	used := o.acceptedUsed(h)
	if limit := int64(8 << 20 / acceptedShare); used > limit {
		t.Errorf("%d bytes charged, limit %d", used, limit)
	}
	o.stop()
	successor := h.startOwner(true)
	if again := successor.acceptedUsed(h); again != used {
		t.Errorf("the successor is charged %d bytes, its predecessor was %d", again, used)
	}
	if err := successor.Cancel(t.Context(), "crowd-0", "crowd"); err != nil {
		t.Fatal(err)
	}
	h.await("the end of a job frees most of its memory", func() bool { return successor.acceptedUsed(h) < used })
	successor.stop()
}

func (o *runningOwner) acceptedUsed(h *harness) (used int64) {
	h.inLoop(o, func() { used = o.accounts.accepted.Used() })
	return used
}

// Guards against charges that remain when all is over.
func TestChargesReturnToZero(t *testing.T) {
	h := newHarness(t)
	h.addWorker("w1", time.Millisecond)
	o := h.newOwner(true)
	o.cfg.Timing.StatusRetention = -statusRetentionMargin
	o.start()
	if err := o.Cancel(t.Context(), "unknown", "org"); !errors.Is(err, jobs.ErrNoSuchJob) {
		t.Fatal(err)
	}
	for i := range 10 {
		if err := o.Submit(t.Context(), newJob(fmt.Sprint("job", i), 8, 8)); err != nil {
			t.Fatal(err)
		}
	}
	h.await("all charges are returned", func() (zero bool) {
		h.inLoop(o, func() {
			a := &o.accounts
			zero = a.accepted.Used() == 0 && a.begun.Used() == 0 && a.starts == 0 && len(o.jobs) == 0
		})
		return zero
	})
	o.stop()
}

// Guards against a charge that stays: a job may be forgotten before the record of its end is acknowledged, after an outage of
// the store that lasts longer than its status is kept.
func TestRemovedJobHoldsNothing(t *testing.T) {
	o := stoppedOwner(newHarness(t))
	j := o.addActiveJob(waitingJob("job", 8))
	o.account(j)
	j.progress.Cancel()
	o.endJob(j)
	f := o.takeDecisions()
	o.dropJob(j)
	o.finish(f)
	if used := o.accounts.accepted.Used(); used != 0 {
		t.Errorf("%d bytes stay charged", used)
	}
}

// Guards against a job that begins although the memory for its tasks is taken, and against one that then never begins.
func TestJobsBeginWithinTheirBudget(t *testing.T) {
	h := newHarness(t)
	o := stoppedOwner(h)
	o.addIdleWorker("w1")
	o.accounts.begun.SetLimit(3 * (4_000*64 + 10*runBytes))
	for i := range 3 {
		j := newJob(fmt.Sprint("job", i), 4_000)
		j.Steps[0].Resources = catalog.Resources{CPU: 1000}
		o.addActiveJob(j)
	}
	o.place()
	begun := func() (ids []string) {
		for id, j := range o.jobs {
			if j.progress.Begun {
				ids = append(ids, id)
			}
		}
		return ids
	}
	if ids := begun(); len(ids) != 1 {
		t.Fatalf("%v have begun, want one", ids)
	}
	first := o.jobs[begun()[0]]
	first.progress.Cancel()
	for _, w := range o.workers {
		for _, p := range w.placements() {
			o.loseRun(w, p, workload.NeverStarted, "test")
		}
	}
	o.endJob(first)
	o.place()
	if ids := begun(); len(ids) != 2 {
		t.Errorf("%v have begun, want another one", ids)
	}
}

// Guards against limits of an instance that its smallest successor cannot hold, and against a connection that claims to be of
// so small a one that nothing is accepted any more.
func TestLimitsFollowTheSmallestInstance(t *testing.T) {
	o := stoppedOwner(newHarness(t))
	for _, c := range []struct{ own, smallest, want int64 }{{536, 0, 536}, {536, 184, 184}, {184, 536, 184}, {536, 1, 64}, {0, 0, 512}, {32, 1, 32}} {
		o.cfg.MemoryMB, o.cfg.SmallestEntryMB = int(c.own), func() int64 { return c.smallest }
		o.updateLimits()
		if got := o.accounts.accepted.Limit(); got != c.want<<20/acceptedShare {
			t.Errorf("own memory %d MB, smallest entry %d MB: limit %d, want that of %d MB", c.own, c.smallest, got, c.want)
		}
	}
}

// Guards against more starts than a worker can answer: they would time out, be stopped and be sent again.
func TestStartsWaitForAnswers(t *testing.T) {
	h := newHarness(t)
	o := stoppedOwner(h)
	w := o.addIdleWorker("w1")
	j := newJob("job", 4_000)
	j.Steps[0].Resources = catalog.Resources{}
	o.addActiveJob(j)
	o.place()
	if len(w.runs) != schedule.MaxStarting {
		t.Fatalf("%d runs placed, want %d", len(w.runs), schedule.MaxStarting)
	}
	o.replan = false
	o.startAnswered(w)
	if !o.replan {
		t.Error("no further placement after an answer")
	}
	if o.place(); len(w.runs) != schedule.MaxStarting+1 {
		t.Errorf("%d runs placed after an answer, want one more", len(w.runs))
	}
}

// Guards against changes that count as unrecorded for ever: the occurrences of a schedule that waits need no record, since a
// successor creates them as well.
func TestOccurrencesOfAWaitingScheduleNeedNoRecord(t *testing.T) {
	h := newHarness(t)
	o := h.startOwner(true)
	j := waitingJob("schedule", 4)
	j.Repeats, j.PeriodMS, j.FirstDueMS = 5, 20, time.Now().UnixMilli()
	h.submit(o, j)
	h.await("all occurrences are due", func() (all bool) {
		h.inLoop(o, func() { all = len(o.jobs["schedule"].progress.Current) == 5 })
		return all
	})
	h.inLoop(o, func() {
		if j := o.jobs["schedule"]; j.dirty || j.unrecordedChanges != 0 {
			t.Errorf("dirty %v, %d changes count as unrecorded", j.dirty, j.unrecordedChanges)
		}
	})
	if h.hasRecord(progressKeyPrefix + "schedule") {
		t.Error("the progress of a job without a placement is recorded")
	}
	o.stop()
	successor := h.startOwner(true)
	h.await("a successor creates them", func() (all bool) {
		h.inLoop(successor, func() { all = len(successor.jobs["schedule"].progress.Current) == 5 })
		return all
	})
	successor.stop()
}

// Guards against a panic of the owner over runs that outlast what it keeps of their ended job: a gang ends as a whole with the
// end of one member.
func TestRunsOutlastTheSpecificationOfTheirJob(t *testing.T) {
	h := newHarness(t)
	w := h.addWorker("w1", 0)
	o := h.startOwner(true)
	gang := newJob("gang", 3)
	gang.Steps[0].Gang = true
	h.submit(o, gang)
	h.await("the gang is at work", func() bool { return len(w.Running()) == 3 })
	w.EndRun("gang.0.0.0", workers.Done)
	h.awaitState(o, "gang", workload.Completed)
	h.inLoop(o, func() {
		if j := o.jobs["gang"]; j.placed > 0 && j.specForgotten {
			t.Errorf("the specification is gone while %d runs are placed", j.placed)
		}
	})
	w.EndRun("gang.0.0.1", workers.Done)
	w.EndRun("gang.0.0.2", workers.Stopped)
	h.await("the specification is forgotten", func() (forgotten bool) {
		h.inLoop(o, func() { forgotten = o.jobs["gang"].specForgotten && o.accounts.begun.Used() == 0 })
		return forgotten
	})
	o.stop()
}

// BenchmarkJobMemory measures what jobs take, beside what they are charged.
func BenchmarkJobMemory(b *testing.B) {
	many := make([]int, 1_000)
	for i := range many {
		many[i] = 1
	}
	for name, tasks := range map[string][]int{"one task": {1}, "two steps of 8 tasks": {8, 8}, "4000 tasks": {4_000}, "1000 steps": many} {
		b.Run(name, func(b *testing.B) {
			h := newHarness(b)
			h.discardLogs = true
			o := stoppedOwner(h)
			before := heap()
			for i := range b.N {
				j := waitingJob(fmt.Sprintf("%016d", i), tasks...)
				o.addActiveJob(j)
				o.account(o.jobs[j.ID])
			}
			o.place()
			b.ReportMetric(float64(heap()-before)/float64(b.N), "B/job")
			b.ReportMetric(float64(o.accounts.accepted.Used())/float64(b.N), "charged/job")
			runtime.KeepAlive(o)
		})
	}
}

func heap() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
