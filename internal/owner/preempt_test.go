package owner

import (
	"testing"
	"time"

	"github.com/pollenford/pollenford/internal/catalog"
	"github.com/pollenford/pollenford/internal/workers"
	"github.com/pollenford/pollenford/internal/workers/workertest"
	"github.com/pollenford/pollenford/internal/workload"
)

// Guards the priority of urgent queues: an urgent task preempts a checkpointing run in a full pool, and that run later
// resumes from its checkpoint. Runs without checkpoints and at-most-once runs are not preempted.
func TestUrgentTaskPreemptsCheckpointingRun(t *testing.T) {
	h := newHarness(t)
	h.catalog.Store(catalog.New(1, []*catalog.Queue{
		{Name: "queue", Pool: testPool, Urgency: 1, MaxAttempts: 2, SlackFactor: 2, TargetLatency: time.Hour},
		{Name: "urgent", Pool: testPool, MaxAttempts: 2, SlackFactor: 2, TargetLatency: time.Minute},
	}, []*catalog.Pool{{Name: testPool}}, []*catalog.Organisation{{Name: "org"}}, catalog.HTTPLimits{}))
	worker := h.addWorker("w1", 0)
	worker.WorkForSpec = func(spec string) workertest.Work {
		work := workertest.Work{EndReason: workers.Done, FinalCheckpoint: "half"}
		if spec == "spec of urgent" {
			work.RunTime = 200 * time.Millisecond
		}
		return work
	}
	o := h.startOwner(true)
	for _, id := range []string{"saves", "plain", "once"} {
		j := newJob(id, 1)
		j.Steps[0].SavesProgress, j.Steps[0].AtMostOnce = id != "plain", id == "once"
		h.submit(o, j)
	}
	wide := newJob("wide", 1) // takes the last core of the pool
	h.submit(o, wide)
	h.await("the pool is full", func() bool { return len(worker.Running()) == 4 })
	time.Sleep(3 * time.Second) // longer than the minimum run time before preemption
	urgent := newJob("urgent", 1)
	urgent.Queue = "urgent"
	h.submit(o, urgent)
	h.awaitState(o, "urgent", workload.Completed)
	h.await("the preempted task runs again", func() bool { return len(h.startsOf("saves.0.0.0")) == 2 })
	if again := h.startsOf("saves.0.0.0")[1]; again.Checkpoint != "half" {
		t.Errorf("resumed from %q", again.Checkpoint)
	}
	for _, task := range []string{"plain.0.0.0", "once.0.0.0", "wide.0.0.0"} {
		if n := len(h.startsOf(task)); n != 1 {
			t.Errorf("%s: %d runs, want 1", task, n)
		}
	}
}
