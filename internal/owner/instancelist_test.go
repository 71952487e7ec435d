package owner

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/juju/errors"

	"github.com/pollenford/pollenford/internal/instances"
)

// awaitPlans waits until the owner has planned waves a number of times after it has received a wave.
func (h *harness) awaitPlans(o *runningOwner, wave int64, plans int) {
	h.t.Helper()
	last := time.Time{}
	h.await(fmt.Sprintf("wave %d is planned", wave), func() bool {
		h.inLoop(o, func() {
			w := o.fleet.waves[wave]
			if w != nil && w.hasSpec && o.fleet.nextPlan != last {
				last = o.fleet.nextPlan
				plans--
			}
		})
		return plans < 0
	})
}

// Guards against a wave that is reported completed without the maintenance of an instance that was added after the list of
// instances was last read. The list may be as old as the service has been silent.
func TestWaveAwaitsAListThatIsNewerThanItsOrder(t *testing.T) {
	for _, takeover := range []bool{false, true} {
		t.Run(fmt.Sprint("takeover ", takeover), func(t *testing.T) {
			t.Parallel()
			h := newHarness(t)
			c := h.withControl()
			c.add("i1", false)
			o := h.startOwner(true)
			c.show(nil)
			c.silenceLists(true)
			c.add("i2", false)
			wave := instances.Wave{Number: 1, Instances: []string{"i2"}, DeadlineS: 20, MaxConcurrent: 1}
			h.putWave(wave)
			h.awaitPlans(o, 1, 3)
			if h.waveStatus(1) == "true" {
				t.Error("the wave is reported completed while no list since its order was read")
			}
			if takeover {
				o.stop()
				h.startOwner(true)
			}
			c.silenceLists(false)
			h.awaitWaves(c, wave)
		})
	}
}

// Guards against a wave that waits for an instance that was removed, also if it was the last one, so that the list is empty.
func TestRemovedInstanceHoldsNoWaveUp(t *testing.T) {
	for _, removed := range [][]string{{"i1"}, {"i1", "i2"}} {
		t.Run(fmt.Sprint(removed), func(t *testing.T) {
			t.Parallel()
			h := newHarness(t)
			c := h.withControl()
			c.add("i1", false)
			c.add("i2", false)
			h.startOwner(true)
			c.show(nil)
			for _, id := range removed {
				c.remove(id)
			}
			h.startWave(1, "i1", "i2")
			h.await("the wave is completed", h.waveCompleted)
			wave := instances.Wave{Number: 1, Instances: []string{"i1", "i2"}}
			if missing := c.missing(wave); len(missing) != len(removed) {
				t.Errorf("no maintenance of %v, removed are %v", missing, removed)
			}
		})
	}
}

// Guards against work that a successor places on an instance whose move may still take effect, because the list lacks the
// instance. What became of the order is known from the response to a repeated one, also for an instance that was removed.
func TestSuccessorSettlesMoveOfAnUnlistedInstance(t *testing.T) {
	for _, removed := range []bool{false, true} {
		t.Run(fmt.Sprint("removed ", removed), func(t *testing.T) {
			t.Parallel()
			h := newHarness(t)
			c := h.leaveMoveUnanswered()
			if removed {
				c.remove("i1")
			}
			c.mu.Lock()
			ignored := c.ignoredMoves
			c.view = func([]instances.Instance) []instances.Instance {
				return []instances.Instance{{ID: "other", Pool: testPool, State: instances.Up}}
			}
			c.mu.Unlock()
			second := h.startOwner(true)
			h.submit(second, newJob("a", 1))
			h.await("the move is repeated", func() bool { return c.count(&c.ignoredMoves) > ignored })
			if n := len(h.startsOf("a.0.0.0")); n > 0 {
				t.Error("a task was placed on an instance with an unanswered move")
			}
			c.mu.Lock()
			c.ignoreMoves, c.view = false, nil
			c.mu.Unlock()
			if removed {
				c.add("i2", false)
			}
			h.await("the task runs once an instance is there", func() bool { return len(h.startsOf("a.0.0.0")) == 1 })
			h.await("the order is settled", func() (settled bool) {
				h.inLoop(second, func() { settled = !second.fleet.instances["i1"].orderPending })
				return settled
			})
		})
	}
}

// Guards the pages of a list: one that breaks off shows no removal, and its age is that of its first page.
func TestOnlyCompleteListsShowRemovals(t *testing.T) {
	h := newHarness(t)
	h.control = newControl(h)
	o := h.newOwner(true)
	before := time.Now()
	o.updateInstances([]instances.Instance{{ID: "i1", State: instances.Up}}, before)
	if o.removed("i1", before) || o.removed("i2", before.Add(time.Nanosecond)) {
		t.Error("an instance counts as removed that is listed, or is newer than the list")
	}
	if !o.removed("i2", before) {
		t.Error("an instance that a later list lacks does not count as removed")
	}
	o.updateInstances([]instances.Instance{{}}, before)
	if o.removed("i1", before) {
		t.Error("an instance counts as removed that may be the one without a readable ID")
	}
	o.updateInstances(nil, before)
	if !o.removed("i1", before) {
		t.Error("an empty list shows no removal")
	}
	pages := &brokenPages{Control: h.control}
	o.cfg.Control = pages
	if all, err := o.listInstances(); err == nil {
		t.Errorf("a list that broke off has %d instances", len(all))
	}
	pages.whole = true
	if all, err := o.listInstances(); err != nil || len(all) != 2 {
		t.Errorf("%d instances of two pages, error %v", len(all), err)
	}
}

// brokenPages lists one instance a page and fails after the first one, unless it is whole.
type brokenPages struct {
	instances.Control
	whole bool
}

// List implements instances.Control.
func (b *brokenPages) List(_ context.Context, page string) ([]instances.Instance, string, error) {
	switch {
	case page == "":
		return []instances.Instance{{ID: "i1"}}, "2", nil
	case b.whole:
		return []instances.Instance{{ID: "i2"}}, "", nil
	}
	return nil, "", errors.New("connection reset")
}

// Guards against an order that ends work on an instance: the row of an old list has the worker of before, or the pool that the
// instance has left, while a new worker has registered and has runs.
func TestOrdersAwaitAListOfTheLastOrder(t *testing.T) {
	h := newHarness(t)
	h.control = newControl(h)
	o := h.newOwner(true)
	w := o.addIdleWorker("w1")
	inst := o.fleet.instances[w.info.Instance]
	row := inst.info
	row.Worker = "w0" // that of before
	answered := time.Now()
	o.updateInstances([]instances.Instance{row}, answered.Add(-time.Nanosecond))
	inst.answeredAt, inst.settledAfter = answered, answered.Add(time.Second)
	now := answered.Add(time.Minute)
	if o.mayTakeDown(inst, now) {
		t.Error("a wave takes an instance by a list from before the last order")
	}
	if o.isMovable(inst, true, now) {
		t.Error("an instance may be moved by a list from before the last order")
	}
	o.updateInstances([]instances.Instance{row}, answered)
	if !o.mayTakeDown(inst, now) || !o.isMovable(inst, true, now) {
		t.Error("an instance may be neither maintained nor moved after a list that shows the last order")
	}
	job := longRunningJob("a", 1, 1)
	j := o.newJob(job)
	o.active[job.ID] = j
	o.computePlan(j)
	j.progress.CreateUpTo(job, time.Now().UnixMilli(), 1)
	o.place()
	if len(w.runs) != 1 {
		t.Fatal("the task was not placed")
	}
	inst.cordon(o.getOrCreateWave(1), now)
	if o.tryDrain(inst, now.Add(2*drainTimeout)) {
		t.Error("the instance counts as drained with a long-running task on a worker that the list does not have yet")
	}
	inst.uncordon()
	if o.isMovable(inst, true, now) {
		t.Error("an instance may be moved with a run on a worker that the list does not have yet")
	}
}
