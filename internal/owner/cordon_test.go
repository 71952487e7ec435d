package owner

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/pollenford/pollenford/internal/instances"
)

// unansweredMaintenance plays an owner whose order for the maintenance of its only instance, i1, is carried out without a
// response. The owner has ended, and the instance is up again with another worker.
func unansweredMaintenance(t *testing.T) (*harness, *fakeControl) {
	h := newHarness(t)
	c := h.withControl()
	c.dropResponses = true
	c.add("i1", false)
	o := h.startOwner(true)
	h.startWave(1, "i1")
	h.await("maintenance was ordered", func() bool { return len(c.ordered()) == 1 })
	o.stop()
	time.Sleep(2 * defaultDowntime)
	return h, c
}

// Guards against a worker that gets no work for good: a successor repeated the maintenance order of its instance, which had
// been carried out before the worker started (review/7).
func TestWorkerOutlivesARepeatedMaintenanceOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, c := unansweredMaintenance(t)
		c.mu.Lock()
		c.dropResponses = false
		c.mu.Unlock()

		o := h.startOwner(true)
		h.await("the wave is completed", h.waveCompleted)
		h.submit(o, newJob("a", 1))
		h.await("the task runs", func() bool { return len(h.startsOf("a.0.0.0")) == 1 })
	})
}

// Guards against work on a worker that an order ends, and against one that stays without work after the orders for its
// instance have ended, whichever they were and however they ended.
func TestCordonFollowsFromOrders(t *testing.T) {
	now := time.Now()
	for name, c := range map[string]struct {
		change func(o *Owner, inst *instance, w *worker)
		want   bool
	}{
		"no order":    {func(*Owner, *instance, *worker) {}, false},
		"preparation": {func(_ *Owner, inst *instance, _ *worker) { inst.cordon(&wave{}, now) }, true},
		"open move":   {func(_ *Owner, inst *instance, _ *worker) { inst.orderPending = true }, true},
		"inherited move": {func(o *Owner, inst *instance, _ *worker) {
			o.fleet.inheritedMoves[inst.info.ID] = moveOrder{Worker: "w1", To: "standby"}
		}, true},
		"preparation, the worker's entry names another instance": {func(_ *Owner, inst *instance, w *worker) {
			w.info.Instance = "other"
			inst.cordon(&wave{}, now)
		}, true},
		"preparation, the list names an earlier worker": {func(o *Owner, inst *instance, _ *worker) {
			inst.info.Worker = "w0"
			o.updateInstances([]instances.Instance{inst.info}, time.Now())
			inst.cordon(&wave{}, now)
		}, true},
		"failed maintenance": {func(o *Owner, inst *instance, _ *worker) {
			inst.cordon(&wave{}, now)
			o.handleMaintenanceResult(&wave{}, inst, instances.ErrBusy)
		}, false},
		"failed maintenance beside an inherited move": {func(o *Owner, inst *instance, _ *worker) {
			o.fleet.inheritedMoves[inst.info.ID] = moveOrder{Worker: "w1", To: "standby"}
			inst.cordon(&wave{}, now)
			o.handleMaintenanceResult(&wave{}, inst, instances.ErrBusy)
		}, true},
		"a wave that ends without its instance": {func(o *Owner, inst *instance, _ *worker) {
			w := &wave{Wave: instances.Wave{Instances: []string{inst.info.ID}}}
			inst.cordon(w, now)
			o.releaseInstances(w)
		}, false},
		"maintenance carried out": {func(o *Owner, inst *instance, _ *worker) {
			inst.cordon(&wave{}, now)
			o.handleMaintenanceResult(&wave{begun: map[string]bool{}}, inst, nil)
		}, true},
		"maintenance carried out, an earlier heartbeat answered": {func(o *Owner, inst *instance, w *worker) {
			o.expectEnd(inst)
			o.noticeOutlived(w, w.endExpectedSince.Add(-time.Millisecond))
		}, true},
		"maintenance carried out before, a later heartbeat answered": {func(o *Owner, inst *instance, w *worker) {
			o.expectEnd(inst)
			o.noticeOutlived(w, w.endExpectedSince.Add(time.Millisecond))
		}, false},
		"maintenance carried out, the next incarnation is up": {func(o *Owner, inst *instance, w *worker) {
			o.expectEnd(inst)
			o.resetIncarnation(w, 2)
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			o := h.newOwner(true).Owner
			w := o.addIdleWorker("w1")
			inst := o.fleet.instances[w.info.Instance]
			o.updateInstances([]instances.Instance{inst.info}, time.Now())
			c.change(o, inst, w)
			if got := o.cordoned(w); got != c.want {
				t.Errorf("cordoned: %v, want %v", got, c.want)
			}
		})
	}
}

// Guards against work that a successor places on an instance before it has listed the instances, while an earlier owner's
// order for its maintenance may still take effect.
func TestInheritedMaintenanceKeepsWorkOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, c := unansweredMaintenance(t)

		c.mu.Lock()
		c.view = func([]instances.Instance) []instances.Instance { return nil }
		c.mu.Unlock()
		o := h.startOwner(true)
		h.submit(o, newJob("a", 1))
		time.Sleep(time.Second)
		if n := len(h.fleet.Starts()); n != 0 {
			t.Errorf("%d tasks were started on an instance whose order is unsettled", n)
		}
		c.mu.Lock()
		c.view, c.dropResponses = nil, false
		c.mu.Unlock()
		h.await("the task runs", func() bool { return len(h.startsOf("a.0.0.0")) == 1 })
	})
}
