package owner

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/juju/errors"

	"github.com/pollenford/pollenford/internal/catalog"
	"github.com/pollenford/pollenford/internal/jobs"
	"github.com/pollenford/pollenford/internal/topic/topictest"
	"github.com/pollenford/pollenford/internal/workers"
	"github.com/pollenford/pollenford/internal/workers/workertest"
	"github.com/pollenford/pollenford/internal/workload"
)

// Guards the path: steps run in order, the job completes and the worker's ends are acknowledged.
func TestJobRunsItsStepsInOrder(t *testing.T) {
	w := newHarness(t)
	worker := w.addWorker("w1", 30*time.Millisecond)
	o := w.startOwner(true)
	w.submit(o, newJob("a", 2, 3))
	w.awaitState(o, "a", workload.Completed)
	starts := w.fleet.Starts()
	if len(starts) != 5 {
		t.Fatalf("%d starts, want 5: %v", len(starts), starts)
	}
	for _, s := range starts[:2] {
		if s.Task != "a.0.0.0" && s.Task != "a.0.0.1" {
			t.Errorf("%s started before its predecessors ended", s.Task)
		}
	}
	w.await("ends are acknowledged", func() bool { return worker.UnacknowledgedEnds() == 0 })
}

// Guards against a second job for a repeated request with the same ID.
func TestRepeatedSubmitIsOneJob(t *testing.T) {
	w := newHarness(t)
	w.addWorker("w1", 20*time.Millisecond)
	o := w.startOwner(true)
	for range 3 {
		w.submit(o, newJob("a", 1))
	}
	w.awaitState(o, "a", workload.Completed)
	w.submit(o, newJob("a", 1)) // arrives after the end
	if n := len(w.startsOf("a.0.0.0")); n != 1 {
		t.Errorf("%d runs, want 1", n)
	}
}

// Guards against effects of decisions that a successor could not know: without the store nothing starts, nothing is
// acknowledged, and new jobs are rejected as not stored.
func TestNothingTakesEffectBeforeItIsRecorded(t *testing.T) {
	w := newHarness(t)
	worker := w.addWorker("w1", 0)
	o := w.startOwner(true)
	w.submit(o, newJob("a", 1, 1))
	w.await("the first step runs", func() bool { return len(worker.Running()) == 1 })

	w.store.SetFaults(topictest.Faults{Down: true})
	worker.EndRun("a.0.0.0", workers.Done)
	tries := 0
	w.await("the owner notices the store", func() bool {
		ctx, stop := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer stop()
		tries++
		err := o.Submit(ctx, newJob(fmt.Sprint("b", tries), 1))
		var rejection *jobs.Rejection
		return errors.As(err, &rejection)
	})
	if n := len(w.fleet.Starts()); n != 1 {
		t.Errorf("%d starts, want 1: the second step began without a record", n)
	}
	if worker.UnacknowledgedEnds() != 1 {
		t.Error("an end was acknowledged that is not recorded")
	}
	w.store.SetFaults(topictest.Faults{})
	w.await("the second step runs", func() bool { return len(w.startsOf("a.0.1.0")) == 1 })
}

// Guards against a second run, or a lost end, when the answers of appends are lost.
func TestLostAnswersOfTheStore(t *testing.T) {
	w := newHarness(t)
	w.addWorker("w1", 20*time.Millisecond)
	o := w.startOwner(true)
	w.store.SetFaults(topictest.Faults{LoseAnswers: 3})
	w.submit(o, newJob("a", 2, 2))
	w.awaitState(o, "a", workload.Completed)
	if n := len(w.fleet.Starts()); n != 4 {
		t.Errorf("%d runs, want 4", n)
	}
}

// Guards against a second run of adopted tasks and against lost ends after a change of owner.
func TestSuccessorAdoptsWhatRuns(t *testing.T) {
	w := newHarness(t)
	worker := w.addWorker("w1", 0)
	first := w.startOwner(true)
	w.submit(first, newJob("a", 3))
	w.await("the tasks run", func() bool { return len(worker.Running()) == 3 })
	first.stop()
	worker.EndRun("a.0.0.0", workers.Done) // between the owners

	second := w.startOwner(true)
	w.await("the successor holds the worker", func() bool { return worker.Fence() == second.term.Fence })
	worker.EndRun("a.0.0.1", workers.Done)
	worker.EndRun("a.0.0.2", workers.Done)
	w.awaitState(second, "a", workload.Completed)
	if n := len(w.fleet.Starts()); n != 3 {
		t.Errorf("%d runs, want 3", n)
	}
}

// Guards against an owner that goes on after it was replaced: its records are refused, so it orders nothing.
func TestReplacedOwnerStops(t *testing.T) {
	w := newHarness(t)
	w.addWorker("w1", 0)
	first := w.startOwner(true)
	w.startOwner(true)
	err := first.Submit(t.Context(), newJob("a", 1))
	if err == nil {
		t.Error("a replaced owner accepted a job")
	}
	select {
	case <-first.done:
	case <-time.After(patience):
		t.Error("a replaced owner did not stop")
	}
	if n := len(w.fleet.Starts()); n != 0 {
		t.Errorf("%d starts, want 0", n)
	}
}

// Guards against two runs at a time: the tasks of a worker that cannot be reached wait until its lease has lapsed.
func TestSilentWorkerKeepsItsTasksUntilItsLeaseLapses(t *testing.T) {
	w := newHarness(t)
	silent := w.addWorker("w1", 0)
	o := w.startOwner(true)
	w.submit(o, newJob("a", 1))
	w.await("the task runs", func() bool { return len(silent.Running()) == 1 })
	w.addWorker("w2", 0)
	silent.SetUnresponsive(true)
	w.await("the task runs elsewhere", func() bool { return len(w.startsOf("a.0.0.0")) == 2 })
	if len(silent.Running()) != 0 {
		t.Error("the task started elsewhere while it ran on the silent worker")
	}
}

// Guards the restart of lasting tasks after a take-over: a successor must not wait longer for a worker than the owner
// that lost it would have (the tasks of a dead rack stayed away for 18 s).
func TestSuccessorKnowsWhichWorkersWereLost(t *testing.T) {
	w := newHarness(t)
	dead := w.addWorker("w1", 0)
	first := w.startOwner(true)
	w.submit(first, longRunningJob("a", 1, 1))
	w.await("the task runs", func() bool { return len(dead.Running()) == 1 })
	w.addWorker("w2", 0)
	dead.SetUnresponsive(true)
	w.await("the loss is recorded", func() bool {
		records, _, _, err := w.store.SnapshotPage(t.Context(), jobsTopic, "l/")
		return err == nil && len(records) > 0 && records[0].Key == "l/w1"
	})
	first.stop()

	began := time.Now()
	w.startOwner(false) // not handed over: without the record the wait is renewBound longer
	w.await("the task runs elsewhere", func() bool { return len(w.startsOf("a.0.0.0")) == 2 })
	if waited := time.Since(began); waited > leaseExpiryBound(leaseTime)+time.Second {
		t.Errorf("the successor waited %v, want at most a lease (%v)", waited, leaseExpiryBound(leaseTime))
	}
}

// Guards against a run that starts late, after the task was given to another worker.
func TestLateOrderDoesNotRunTwice(t *testing.T) {
	w := newHarness(t)
	late := w.addWorker("w1", 0)
	o := w.startOwner(true)
	w.await("the worker is held", func() bool { return late.Fence() == 1 })
	late.DelayStarts(2 * time.Second)
	w.submit(o, newJob("a", 1))
	w.await("the order is on its way", func() bool { return w.status(o, "a").Begun })
	w.addWorker("w2", 0)
	w.await("the task runs elsewhere", func() bool { return len(w.startsOf("a.0.0.0")) >= 1 })
	time.Sleep(2500 * time.Millisecond) // the late order arrives
	if starts := w.startsOf("a.0.0.0"); len(starts) != 1 || starts[0].Worker != "w2" {
		t.Errorf("starts %v, want one on w2", starts)
	}
}

// Guards the recorded loss of a worker: a start that was decided before the loss must not extend the lease that a successor
// counts from that record.
func TestLostWorkerGetsNoLeaseFromAStart(t *testing.T) {
	w := newHarness(t)
	silent := w.addWorker("w1", 0)
	o := w.startOwner(true)
	w.submit(o, newJob("a", 1))
	w.await("the task runs", func() bool { return len(silent.Running()) == 1 })
	silent.SetUnresponsive(true)
	lease := make(chan time.Time, 1)
	var known *worker
	w.await("the worker is lost", func() bool {
		lost := make(chan bool, 1)
		o.post(func() { known = o.workers["w1"]; lost <- !known.sessionEstablished })
		return <-lost
	})
	spec := newJob("b", 1)
	o.post(func() {
		j := &job{spec: spec, progress: workload.NewProgress(spec), neverRecorded: true}
		j.progress.CreateDue(spec, 0)
		o.jobs["b"], o.active["b"] = j, j
		o.computePlan(j)
		lease <- known.leaseUntil
		o.start(j, workload.TaskRef{}, 1, known, "")
	})
	before := <-lease
	w.await("the decision is recorded", func() bool { return w.status(o, "b").Begun })
	o.post(func() { lease <- known.leaseUntil })
	if after := <-lease; !after.Equal(before) {
		t.Errorf("the lease was extended by %v", after.Sub(before))
	}
}

// Guards against tasks that stay lost when a worker starts anew under its ID.
func TestRebornWorkerLosesItsRuns(t *testing.T) {
	w := newHarness(t)
	w.addWorker("w1", 0)
	o := w.startOwner(true)
	w.submit(o, newJob("a", 1))
	w.await("the task runs", func() bool { return len(w.startsOf("a.0.0.0")) == 1 })
	w.fleet.Add("address-of-w1", "w1", 2, 20*time.Millisecond)
	w.awaitState(o, "a", workload.Completed)
	if starts := w.startsOf("a.0.0.0"); len(starts) != 2 || starts[1].Run != 2 {
		t.Errorf("starts %v, want a second run", starts)
	}
}

// Guards shares in a pool that stays full: an organisation with three times the weight gets three times the work done,
// although the other one came first with as much.
func TestFullPoolIsDividedByShares(t *testing.T) {
	w := newHarness(t)
	w.catalog.Store(catalog.New(1,
		[]*catalog.Queue{{Name: "queue", Pool: testPool, MaxAttempts: 2}}, []*catalog.Pool{{Name: testPool}},
		[]*catalog.Organisation{{Name: "small", Weight: 1}, {Name: "big", Weight: 3}}, catalog.HTTPLimits{}))
	w.addWorker("w1", 40*time.Millisecond) // four tasks at a time
	o := w.startOwner(true)
	for _, org := range []string{"small", "big"} {
		for i := range 4 {
			j := newJob(fmt.Sprint(org, i), 100)
			j.Organisation = org
			w.submit(o, j)
		}
	}
	began := len(w.fleet.Starts())
	const some = 120
	w.await("the pool has worked for a while", func() bool { return len(w.fleet.Starts()) > began+some })
	count := map[string]int{}
	for _, s := range w.fleet.Starts()[began:] {
		count[s.Task[:3]]++
	}
	if ratio := float64(count["big"]) / float64(count["sma"]); ratio < 2.5 || ratio > 3.5 {
		t.Errorf("runs %v, want three to one", count)
	}
}

// Guards the organisation's limit, which counts everything that may run.
func TestOrganisationStaysWithinItsLimit(t *testing.T) {
	w := newHarness(t)
	w.limit(catalog.Resources{CPU: 2000})
	worker := w.addWorker("w1", 60*time.Millisecond)
	o := w.startOwner(true)
	w.submit(o, newJob("a", 6))
	most := 0
	w.await("the job completes", func() bool {
		most = max(most, len(worker.Running()))
		return w.status(o, "a").State == workload.Completed
	})
	if most != 2 {
		t.Errorf("%d tasks at a time, want 2", most)
	}
}

// Guards cancellation: what runs is stopped, nothing else starts, and the worker's room is free again.
func TestCancelStopsWhatRuns(t *testing.T) {
	w := newHarness(t)
	worker := w.addWorker("w1", 0)
	o := w.startOwner(true)
	w.submit(o, newJob("a", 2, 2))
	w.await("the first step runs", func() bool { return len(worker.Running()) == 2 })
	if err := o.Cancel(t.Context(), "a", "org"); err != nil {
		t.Fatal(err)
	}
	w.await("the runs are stopped", func() bool { return len(worker.Running()) == 0 })
	w.submit(o, newJob("b", 4)) // needs the whole worker
	w.await("the room is free", func() bool { return len(worker.Running()) == 4 })
	if status := w.status(o, "a"); status.State != workload.Cancelled {
		t.Errorf("state %v, want cancelled", status.State)
	}
}

// Guards against jobs that another organisation can see or cancel.
func TestJobsBelongToTheirOrganisation(t *testing.T) {
	w := newHarness(t)
	w.addWorker("w1", 0)
	o := w.startOwner(true)
	w.submit(o, newJob("a", 1))
	if _, err := o.Status(t.Context(), "a", "other"); !errors.Is(err, jobs.ErrNoSuchJob) {
		t.Errorf("status: %v, want no such job", err)
	}
	if err := o.Cancel(t.Context(), "a", "other"); !errors.Is(err, jobs.ErrNoSuchJob) {
		t.Errorf("cancel: %v, want no such job", err)
	}
}

// Guards against poison: a task that fails every time fails its job after the queue's attempts.
func TestJobFailsAfterItsAttempts(t *testing.T) {
	w := newHarness(t)
	worker := w.addWorker("w1", 0)
	o := w.startOwner(true)
	w.submit(o, newJob("a", 1))
	for range 2 {
		w.await("the task runs", func() bool { return len(worker.Running()) == 1 })
		worker.EndRun("a.0.0.0", workers.Failed)
	}
	w.awaitState(o, "a", workload.Failed)
	if n := len(w.startsOf("a.0.0.0")); n != 2 {
		t.Errorf("%d runs, want 2", n)
	}
}

// Guards a pool against a worker that fails everything: after two failures in a row it gets no work while sound ones have
// room, and it is tried again later.
func TestSickWorkerComesLast(t *testing.T) {
	w := newHarness(t)
	sick := w.addWorker("w1", 0)
	w.catalog.Store(catalog.New(1, []*catalog.Queue{{Name: "queue", Pool: testPool, MaxAttempts: 4}}, []*catalog.Pool{{Name: testPool}}, nil, catalog.HTTPLimits{}))
	var healed atomic.Bool
	sick.WorkForSpec = func(string) workertest.Work {
		work := workertest.Work{RunTime: 5 * time.Millisecond, EndReason: workers.Failed}
		if healed.Load() {
			work.EndReason = workers.Done
		}
		return work
	}
	w.addWorker("w2", 5*time.Millisecond)
	o := w.startOwner(true)
	submit := func(n int) {
		for i := range 10 {
			id := fmt.Sprintf("job-%d-%d", n, i)
			w.submit(o, newJob(id, 1))
			w.awaitState(o, id, workload.Completed)
		}
	}
	onSick := func() int {
		n := 0
		for _, s := range w.fleet.Starts() {
			if s.Worker == "w1" {
				n++
			}
		}
		return n
	}
	submit(1)
	if n := onSick(); n > suspectThreshold {
		t.Errorf("%d runs on the sick worker, want at most %d", n, suspectThreshold)
	}
	healed.Store(true)
	time.Sleep(suspectDuration + 100*time.Millisecond)
	before := onSick()
	for n := 2; n < 20 && onSick() == before; n++ {
		submit(n)
	}
	if onSick() == before {
		t.Error("the healed worker gets no work")
	}
}

// Guards the owner against a job that the store can never take: its append would hold up every decision behind it.
func TestJobTooLargeForTheStoreIsRejected(t *testing.T) {
	w := newHarness(t)
	w.addWorker("w1", 10*time.Millisecond)
	o := w.startOwner(true)
	large := newJob("a", 1)
	for range 4000 { // some 20 bytes each, against records of 64 KiB
		large.Steps = append(large.Steps, large.Steps[0])
	}
	var rejection *jobs.Rejection
	if err := o.Submit(t.Context(), large); !errors.As(err, &rejection) || !rejection.Permanent {
		t.Errorf("%v, want a permanent rejection", err)
	}
	w.submit(o, newJob("b", 1))
	w.awaitState(o, "b", workload.Completed)
}

// Guards against work for a worker that leaves.
func TestDrainingWorkerGetsNoNewWork(t *testing.T) {
	w := newHarness(t)
	w.addWorker("w1", 20*time.Millisecond)
	w.addWorker("w2", 20*time.Millisecond)
	o := w.startOwner(true)
	info := w.infos["w1"]
	info.Draining = true
	w.publish(info)
	w.await("the owner knows", func() bool {
		known := make(chan bool, 1)
		o.post(func() { x := o.workers["w1"]; known <- x != nil && x.info.Draining })
		return <-known
	})
	before := len(w.fleet.Starts())
	w.submit(o, newJob("a", 8))
	w.awaitState(o, "a", workload.Completed)
	for _, s := range w.fleet.Starts()[before:] {
		if s.Worker == "w1" {
			t.Errorf("%s started on a draining worker", s.Task)
		}
	}
}

// Guards against a job that is lost with everything that knew it but the store.
func TestJobsSurviveWithoutAnyProcess(t *testing.T) {
	w := newHarness(t)
	first := w.startOwner(true) // no worker yet
	for _, id := range []string{"a", "b", "c"} {
		w.submit(first, newJob(id, 1))
	}
	first.stop()
	w.store.Compact("workers")
	w.addWorker("w1", 10*time.Millisecond)
	second := w.startOwner(false)
	for _, id := range []string{"a", "b", "c"} {
		w.awaitState(second, id, workload.Completed)
	}
}
