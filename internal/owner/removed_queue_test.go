package owner

import (
	"testing"

	"github.com/pollenford/pollenford/internal/catalog"
	"github.com/pollenford/pollenford/internal/workers"
	"github.com/pollenford/pollenford/internal/workload"
)

// Guards against jobs that never go on: those of a queue that a later configuration removes keep the terms under which they
// were accepted, also under a successor that has not seen the earlier configuration.
func TestJobsOfARemovedQueueGoOn(t *testing.T) {
	for name, restart := range map[string]bool{"same owner": false, "next owner": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t)
			worker := h.addWorker("w1", 0)
			o := h.startOwner(true)
			h.submit(o, newJob("a", 1, 1))
			h.await("the first step runs", func() bool { return len(worker.Running()) == 1 })
			old := h.catalog.Load()
			h.catalog.Store(catalog.New(2, nil, []*catalog.Pool{old.Pools[testPool]},
				[]*catalog.Organisation{old.Organisations["org"]}, catalog.HTTPLimits{}))
			if restart {
				o = h.startOwner(true)
			}
			worker.EndRun("a.0.0.0", workers.Failed)
			h.await("the first step is tried again", func() bool { return len(h.startsOf("a.0.0.0")) == 2 })
			worker.EndRun("a.0.0.0", workers.Done)
			h.await("the second step runs", func() bool { return len(worker.Running()) == 1 && len(h.startsOf("a.0.1.0")) == 1 })
			worker.EndRun("a.0.1.0", workers.Done)
			h.awaitState(o, "a", workload.Completed)
		})
	}
}
