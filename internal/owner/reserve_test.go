package owner

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/pollenford/pollenford/internal/catalog"
	"github.com/pollenford/pollenford/internal/instances"
	"github.com/pollenford/pollenford/internal/leader"
	"github.com/pollenford/pollenford/internal/workers"
	"github.com/pollenford/pollenford/internal/workload"
)

// stoppedOwner returns an owner without its event loop, for tests that drive its rounds. It sends nothing.
func stoppedOwner(h *harness) *Owner {
	return New(context.Background(), Config{
		Store: h.store, Workers: h.fleet, Codec: codec{}, Catalog: h.catalog.Load, OnCatalog: func(*catalog.Catalog) {},
		Evacuations:    noEvacuations(time.Hour),
		MaxRecordBytes: 64 << 10, MaxAppendBytes: 1 << 20, Scope: h.scope, Log: hclog.NewNullLogger(),
	}, leader.NewTerm(1, true))
}

// addIdleWorker adds a worker with four cores and an established session, on an instance of its own.
func (o *Owner) addIdleWorker(id string) *worker {
	w := o.getOrCreateWorker(id)
	w.info = workers.Info{ID: id, Incarnation: 1, Pool: testPool, Instance: "instance-of-" + id, Capacity: catalog.Resources{CPU: 4000, MemoryMB: 4000}}
	o.workerIndex.moved(w, "")
	w.registered, w.sessionEstablished = true, true
	o.fleet.instances[w.info.Instance] = &instance{listed: true, info: instances.Instance{
		ID: w.info.Instance, Pool: testPool, State: instances.Up, Worker: id, Capacity: w.info.Capacity}}
	return w
}

// endOneRun ends a run of a short task on the worker and starts the next round.
func (o *Owner) endOneRun(w *worker) {
	for _, p := range w.runs {
		if !p.step().LongRunning {
			o.endRun(w, p, workers.RunEnd{Task: p.taskName, Run: p.run, Reason: workers.Done})
			break
		}
	}
	o.place()
}

// Overload during a wave: short tasks take each core that becomes free, so a long-running task that needs three cores at
// once finds room only if they are held back for it. On crt-rounds-large (trouble-3, 10 to 18 s) nothing was evicted, and
// the wave missed its end.
func TestOverloadLeavesRoomForLongRunningTasks(t *testing.T) {
	h := newHarness(t)
	o := stoppedOwner(h)
	leaving := o.addIdleWorker("w1")
	long := longRunningJob("long", 1, 1)
	long.Steps[0].Resources.CPU = 3000
	j := o.addActiveJob(long)
	o.place()
	p := leaving.runs[workload.TaskName("long", workload.TaskRef{})]
	if p == nil {
		t.Fatal("the long-running task is not placed in an idle pool")
	}
	p.confirmedAt, p.reported, p.speedPercent = time.Now(), true, 100
	staying := o.addIdleWorker("w2")
	for i := range 100 {
		o.addActiveJob(newJob(fmt.Sprint("short", i), 4))
	}
	o.place()
	o.fleet.instances[leaving.info.Instance].dueForMaintenance = true

	const rounds = 10
	for range rounds {
		o.blockedEvictions = nil
		o.relocate(time.Now())
		o.endOneRun(staying)
	}
	if !p.evicted {
		t.Fatalf("not evicted after %d rounds of a full pool", rounds)
	}
	o.endRun(leaving, p, workers.RunEnd{Task: p.taskName, Run: p.run, Reason: workers.Stopped})
	o.fleet.instances[leaving.info.Instance].cordon(&wave{}, time.Now())
	for range rounds {
		o.endOneRun(staying)
	}
	if task, _ := j.progress.Task(workload.TaskRef{}); task.Phase != workload.Placed || task.Worker != "w2" {
		t.Errorf("the evicted task is %v on %s, want it placed on w2", task.Phase, task.Worker)
	}
	if len(staying.runs) != 2 {
		t.Errorf("%d runs on the worker, want the long-running one and one of the short ones", len(staying.runs))
	}
}
