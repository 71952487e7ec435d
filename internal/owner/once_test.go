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

// atMostOnceJob returns a job with one task that must run at most once.
func atMostOnceJob(id string) *workload.Job {
	j := newJob(id, 1)
	j.Steps[0].AtMostOnce, j.KeepsAnswer, j.Fingerprint = true, true, "print of "+id
	return j
}

// A task that must run at most once gets no second run, however its first run ends and whichever owner processes the
// end. The job's status tells a failed run from an interrupted one.
func TestAtMostOnceTaskRunsOnce(t *testing.T) {
	for name, c := range map[string]struct {
		end         func(h *harness, worker *workertest.Worker)
		state       workload.State
		interrupted bool
	}{
		"failed":  {func(_ *harness, worker *workertest.Worker) { worker.EndRun("a.0.0.0", workers.Failed) }, workload.Failed, false},
		"stopped": {func(_ *harness, worker *workertest.Worker) { worker.EndRun("a.0.0.0", workers.Stopped) }, workload.Failed, true},
		"reborn":  {func(h *harness, _ *workertest.Worker) { h.fleet.Add("address-of-w1", "w1", 2, 0) }, workload.Failed, true},
		"silent":  {func(_ *harness, worker *workertest.Worker) { worker.SetUnresponsive(true) }, workload.Failed, true},
		"done":    {func(_ *harness, worker *workertest.Worker) { worker.EndRun("a.0.0.0", workers.Done) }, workload.Completed, false},
		"other owner": {func(h *harness, worker *workertest.Worker) {
			h.startOwner(false)
			worker.EndRun("a.0.0.0", workers.Failed)
		}, workload.Failed, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t)
			worker := h.addWorker("w1", 0)
			h.addWorker("w2", 0).RefuseStarts(workers.ErrInsufficientCapacity)
			o := h.startOwner(true)
			h.submit(o, atMostOnceJob("a"))
			h.await("the task runs", func() bool { return len(worker.Running()) == 1 })
			c.end(h, worker)
			if name == "other owner" {
				o = h.startOwner(true)
			}
			h.awaitState(o, "a", c.state)
			if status := h.status(o, "a"); status.Interrupted != c.interrupted || status.Fingerprint != "print of a" {
				t.Errorf("%+v, want interrupted %v", status, c.interrupted)
			}
			if n := len(h.startsOf("a.0.0.0")); n != 1 {
				t.Errorf("%d runs, want 1", n)
			}
		})
	}
}

// A refused start does not count as a run: an at-most-once task is placed again.
func TestAtMostOnceTaskIsRetriedAfterRefusal(t *testing.T) {
	h := newHarness(t)
	worker := h.addWorker("w1", 10*time.Millisecond)
	worker.RefuseStarts(workers.ErrInsufficientCapacity)
	o := h.startOwner(true)
	h.submit(o, atMostOnceJob("a"))
	time.Sleep(3 * refusalBackoff)
	worker.RefuseStarts(nil)
	h.awaitState(o, "a", workload.Completed)
}

// Maintenance waits for the end of an at-most-once run.
func TestMaintenanceWaitsForAtMostOnceTask(t *testing.T) {
	h := newHarness(t)
	c := newControl(h)
	h.control = c
	c.add("i1", false)
	o := h.startOwner(true)
	h.submit(o, atMostOnceJob("a"))
	h.await("the task runs", func() bool { return len(h.fleet.Running()) == 1 })
	h.startWave(1, "i1")
	time.Sleep(drainTimeout + time.Second)
	if ordered := c.ordered(); len(ordered) != 0 {
		t.Fatalf("maintenance ordered while the task runs: %v", ordered)
	}
	if err := o.Cancel(t.Context(), "a", "org"); err != nil {
		t.Fatal(err)
	}
	h.await("the wave completes", h.waveCompleted)
}

// Await returns the recorded end of a job with its answer, also from the next owner, and waits while the job is active.
func TestAwaitReturnsTheRecordedEnd(t *testing.T) {
	h := newHarness(t)
	worker := h.addWorker("w1", 0)
	worker.WorkForSpec = func(string) workertest.Work {
		return workertest.Work{RunTime: 300 * time.Millisecond, EndReason: workers.Done, FinalCheckpoint: "left"}
	}
	o := h.startOwner(true)
	h.submit(o, atMostOnceJob("a"))
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
		o = h.startOwner(true)
	}
	if _, err := o.Await(t.Context(), "a", "other"); !errors.Is(err, jobs.ErrNoSuchJob) {
		t.Errorf("another organisation: %v", err)
	}
}

// Fleet returns the workers and waves that operators see.
func TestFleetShowsWorkersAndWaves(t *testing.T) {
	h := newHarness(t)
	h.addWorker("w1", 0)
	h.addWorker("w2", 0).SetUnresponsive(true)
	o := h.startOwner(true)
	h.submit(o, newJob("a", 2))
	h.startWave(1, "none")
	h.await("the fleet shows workers and waves", func() bool {
		f, err := o.Fleet(t.Context())
		if err != nil || len(f.Workers) != 2 || len(f.Waves) != 1 {
			return false
		}
		inService, lost := f.Workers[0], f.Workers[1]
		return f.Fence == h.fence && inService.Phase == jobs.InService && inService.Runs == 2 &&
			inService.UsedCPU == 2000 && inService.CPU == 4000 && lost.Phase == jobs.Lost
	})
}
