package owner

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/pollenford/pollenford/internal/workers"
	"github.com/pollenford/pollenford/internal/workers/workertest"
)

// Guards against a job that no longer counts as pending although no worker has started a task of it: it had only been
// assigned to a worker, also by an earlier owner (review/9).
func TestAssignedJobIsPendingUntilATaskStarts(t *testing.T) {
	const address = "address-of-w1"
	for name, c := range map[string]struct {
		prevent, allow func(h *harness, w *workertest.Worker)
	}{
		"the worker is lost": {
			prevent: func(_ *harness, w *workertest.Worker) { w.SetUnresponsive(true) },
			allow:   func(_ *harness, w *workertest.Worker) { w.SetUnresponsive(false) },
		},
		"starts are refused": {
			prevent: func(_ *harness, w *workertest.Worker) { w.RefuseStarts(workers.ErrInsufficientCapacity) },
			allow:   func(_ *harness, w *workertest.Worker) { w.RefuseStarts(nil) },
		},
		"starts are on their way": {
			prevent: func(h *harness, _ *workertest.Worker) { h.fleet.HoldStarts(address) },
			allow:   func(h *harness, _ *workertest.Worker) { h.fleet.ReleaseStarts(address) },
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t)
				w := h.addWorker("w1", 0)
				o := h.startOwner(true)
				h.await("the worker has a session", func() bool { return w.Fence() == 1 })
				c.prevent(h, w)
				h.submit(o, newJob("a", 1))
				h.await("the job is assigned", func() bool { return h.status(o, "a").Begun })
				check := func(when string, want int) {
					t.Helper()
					pending, err := o.Pending(t.Context(), "queue")
					if status := h.status(o, "a"); err != nil || pending != want || status.Started() != (want == 0) {
						t.Errorf("%s: %d jobs are pending (%v), started %v, want %d pending", when, pending, err, status.Started(), want)
					}
				}
				check("after the assignment", 1)
				time.Sleep(2 * time.Second)
				check("2 s later", 1)
				o.stop()
				o = h.startOwner(true)
				check("after a takeover", 1)
				time.Sleep(2 * time.Second)
				check("2 s after the takeover", 1)

				c.allow(h, w)
				h.await("the task runs", func() bool { return len(w.Running()) == 1 })
				h.await("the job has started", func() bool { return h.status(o, "a").Started() })
				check("after the start", 0)
				w.SetUnresponsive(true)
				o.stop()
				o = h.startOwner(true)
				check("after another takeover, with the worker lost", 0)
			})
		})
	}
}
