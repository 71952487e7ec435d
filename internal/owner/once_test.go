package owner

import (
	"context"
	"testing"
	"time"

	"github.com/juju/errors"

	"github.com/pollenford/pollenford/internal/jobs"
	"github.com/pollenford/pollenford/internal/workers"
	"github.com/pollenford/pollenford/internal/workers/workertest"
	"github.com/pollenford/pollenford/internal/workload"
)

// once returns a job of one task that must not run again.
func once(id string) *workload.Job {
	j := newJob(id, 1)
	j.Steps[0].AtMostOnce, j.KeepsAnswer, j.Fingerprint = true, true, "print of "+id
	return j
}

// Guards work that must not run twice: however its run ends, and whoever owns it then, there is no second one, and the
// client learns whether the work failed or was cut off.
func TestOnceRunsOnce(t *testing.T) {
	for name, c := range map[string]struct {
		end         func(w *harness, worker *workertest.Worker)
		state       workload.State
		interrupted bool
	}{
		"failed":  {func(_ *harness, worker *workertest.Worker) { worker.EndRun("a.0.0.0", workers.Failed) }, workload.Failed, false},
		"stopped": {func(_ *harness, worker *workertest.Worker) { worker.EndRun("a.0.0.0", workers.Stopped) }, workload.Failed, true},
		"reborn":  {func(w *harness, _ *workertest.Worker) { w.fleet.Add("address-of-w1", "w1", 2, 0) }, workload.Failed, true},
		"silent":  {func(_ *harness, worker *workertest.Worker) { worker.SetUnresponsive(true) }, workload.Failed, true},
		"done":    {func(_ *harness, worker *workertest.Worker) { worker.EndRun("a.0.0.0", workers.Done) }, workload.Completed, false},
		"other owner": {func(w *harness, worker *workertest.Worker) {
			w.startOwner(false)
			worker.EndRun("a.0.0.0", workers.Failed)
		}, workload.Failed, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newHarness(t)
			worker := w.addWorker("w1", 0)
			w.addWorker("w2", 0).RefuseStarts(workers.ErrInsufficientCapacity)
			o := w.startOwner(true)
			w.submit(o, once("a"))
			w.await("the task runs", func() bool { return len(worker.Running()) == 1 })
			c.end(w, worker)
			if name == "other owner" {
				o = w.startOwner(true)
			}
			w.awaitState(o, "a", c.state)
			if status := w.status(o, "a"); status.Interrupted != c.interrupted || status.Fingerprint != "print of a" {
				t.Errorf("%+v, want interrupted %v", status, c.interrupted)
			}
			if n := len(w.startsOf("a.0.0.0")); n != 1 {
				t.Errorf("%d runs, want 1", n)
			}
		})
	}
}

// Guards against work that is given up although it never ran: a refused start is no run.
func TestOnceIsTriedAgainAfterARefusal(t *testing.T) {
	w := newHarness(t)
	worker := w.addWorker("w1", 10*time.Millisecond)
	worker.RefuseStarts(workers.ErrInsufficientCapacity)
	o := w.startOwner(true)
	w.submit(o, once("a"))
	time.Sleep(3 * refusalPause)
	worker.RefuseStarts(nil)
	w.awaitState(o, "a", workload.Completed)
}

// Guards planned stops: an upkeep waits for the end of work that must not run again.
func TestUpkeepWaitsForWorkThatRunsOnce(t *testing.T) {
	w := newHarness(t)
	c := &fakeControl{w: w}
	w.control = c
	c.add("i1", false)
	o := w.startOwner(true)
	w.submit(o, once("a"))
	w.await("the task runs", func() bool { return len(w.fleet.Running()) == 1 })
	w.startWave(1, "i1")
	time.Sleep(drainTimeout + time.Second)
	if ordered := c.ordered(); len(ordered) != 0 {
		t.Fatalf("ordered %v while the work runs", ordered)
	}
	if err := o.Cancel(t.Context(), "a", "org"); err != nil {
		t.Fatal(err)
	}
	w.await("the wave completes", w.waveCompleted)
}

// Guards those who wait for a job: they are told its recorded end with the answer, also by the next owner, and a job that
// goes on keeps them waiting.
func TestAwaitTellsTheRecordedEnd(t *testing.T) {
	w := newHarness(t)
	worker := w.addWorker("w1", 0)
	worker.WorkForSpec = func(string) workertest.Work {
		return workertest.Work{RunTime: 300 * time.Millisecond, EndReason: workers.Done, FinalCheckpoint: "left"}
	}
	o := w.startOwner(true)
	w.submit(o, once("a"))
	short, stop := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer stop()
	if _, err := o.Await(short, "a", "org"); !errors.Is(err, jobs.ErrOutcomeUnknown) {
		t.Errorf("before the end: %v", err)
	}
	for range 2 {
		status, err := o.Await(t.Context(), "a", "org")
		if err != nil || status.State != workload.Completed || status.Answer != "left" {
			t.Errorf("%+v, %v", status, err)
		}
		o = w.startOwner(true)
	}
	if _, err := o.Await(t.Context(), "a", "other"); !errors.Is(err, jobs.ErrNoSuchJob) {
		t.Errorf("another organisation: %v", err)
	}
}

// Guards the view of operators.
func TestFleetShowsWorkersAndWaves(t *testing.T) {
	w := newHarness(t)
	w.addWorker("w1", 0)
	w.addWorker("w2", 0).SetUnresponsive(true)
	o := w.startOwner(true)
	w.submit(o, newJob("a", 2))
	w.startWave(1, "none")
	w.await("the fleet is seen", func() bool {
		f, err := o.Fleet(t.Context())
		if err != nil || len(f.Workers) != 2 || len(f.Waves) != 1 {
			return false
		}
		seen, lost := f.Workers[0], f.Workers[1]
		return f.Fence == w.fence && seen.Phase == jobs.InService && seen.Runs == 2 && seen.UsedCPU == 2000 && seen.CPU == 4000 && lost.Phase == jobs.Lost
	})
}
