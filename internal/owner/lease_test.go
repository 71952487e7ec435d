package owner

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pollenford/pollenford/internal/topic"
	"github.com/pollenford/pollenford/internal/topic/topictest"
	"github.com/pollenford/pollenford/internal/workers"
	"github.com/pollenford/pollenford/internal/workers/workertest"
)

// Guards against a lease that is renewed while a successor may still read the record of the worker's loss: it took the
// lease for expired and started the worker's tasks elsewhere beside their runs (review/6).
func TestNoLeaseBesideARecordedLoss(t *testing.T) {
	endShort := func(w *workertest.Worker) { w.EndRun("short.0.0.0", workers.Done) }
	for name, c := range map[string]struct {
		// before and after the worker is back, while the store does not answer
		before, after func(w *workertest.Worker)
	}{
		"nothing ended": {},
		"a run ended":   {before: endShort},
		"a run ended, cut off once more": {before: endShort, after: func(w *workertest.Worker) {
			w.SetUnresponsive(true)
			time.Sleep(heartbeatPollTimeout + heartbeatTimeout)
			w.SetUnresponsive(false)
		}},
		"a run ended after the return": {after: endShort},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t)
				store := &topictest.SilentAppends{Store: h.store}
				h.ownerStore = store
				w := h.addWorker("w1", 0)
				o := h.startOwner(true)
				h.submit(o, longRunningJob("lasting", 1, 1))
				h.submit(o, newJob("short", 1))
				h.await("the tasks run", func() bool { return len(w.Running()) == 2 })
				h.addWorker("w2", 0)
				time.Sleep(2 * heartbeatPollTimeout)
				w.SetUnresponsive(true)
				h.await("the loss is recorded", func() bool { return h.hasRecord(lossKeyPrefix + "w1") })
				time.Sleep(100 * time.Millisecond)
				store.On.Store(true)
				if c.before != nil {
					c.before(w)
				}
				w.SetUnresponsive(false)
				time.Sleep(2 * commitTimeout)
				if c.after != nil {
					c.after(w)
				}
				time.Sleep(3 * commitTimeout)
				w.SetUnresponsive(true)
				o.stop()
				store.On.Store(false)

				h.startOwner(true)
				h.await("the task runs elsewhere", func() bool { return len(h.startsOf("lasting.0.0.0")) > 1 })
				time.Sleep(leaseExpiryBound(leaseDuration))
				h.checkNothingRanTwice(t)
			})
		})
	}
}

// hasRecord reports whether the store holds a record of the jobs topic.
func (h *harness) hasRecord(key string) bool {
	records, _, _, err := h.store.SnapshotPage(h.t.Context(), jobsTopic, "")
	return err == nil && slices.ContainsFunc(records, func(r topic.Record) bool { return r.Key == key && r.Value != nil })
}
