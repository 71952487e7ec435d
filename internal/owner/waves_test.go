package owner

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/pollenford/pollenford/internal/instances"
)

// putWave writes the operator's record of a wave.
func (h *harness) putWave(w instances.Wave) {
	h.store.Put("operator", fmt.Sprint("wave/", w.Number), encodeJSON(h.t, w))
}

// waveStatus returns the published status of a wave, "" if there is none.
func (h *harness) waveStatus(number int64) string {
	h.t.Helper()
	records, _, _, err := h.store.SnapshotPage(h.t.Context(), "status", "")
	if err != nil {
		h.t.Fatal(err)
	}
	for _, r := range records {
		if r.Key == fmt.Sprint(number) {
			return string(r.Value)
		}
	}
	return ""
}

// missing returns the instances of a wave that had no maintenance for it.
func (c *fakeControl) missing(w instances.Wave) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(w.Instances), func(id string) bool {
		return c.maintained[maintenanceOrder{w.Number, id}]
	})
}

// awaitWaves waits until all waves are reported completed, and checks that each was carried out within its limit.
func (h *harness) awaitWaves(c *fakeControl, waves ...instances.Wave) {
	h.t.Helper()
	h.await("the waves are completed", func() bool {
		completed := 0
		for _, w := range waves {
			if h.waveStatus(w.Number) != "true" {
				continue
			}
			completed++
			if missing := c.missing(w); len(missing) > 0 {
				h.t.Fatalf("wave %d was reported completed without maintenance of %v", w.Number, missing)
			}
		}
		return completed == len(waves)
	})
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, w := range waves {
		if most := c.maxDownOf[w.Number]; most > w.MaxConcurrent {
			h.t.Errorf("%d instances were down for wave %d, want at most %d", most, w.Number, w.MaxConcurrent)
		}
	}
}

// An instance of two waves gets its maintenance for each. While it was down for one wave, the other one once counted it
// as well and was reported completed (crt-rounds, two waves 0.5 s apart, seeds 1 to 3).
func TestInstanceOfTwoWavesIsMaintainedForEach(t *testing.T) {
	h := newHarness(t)
	c := h.withControl()
	c.downtime = 2 * time.Second
	c.add("i1", false)
	c.add("i2", false)
	h.startOwner(true)
	first := instances.Wave{Number: 1, Instances: []string{"i1", "i2"}, DeadlineS: 20, MaxConcurrent: 2}
	second := instances.Wave{Number: 2, Instances: []string{"i1"}, DeadlineS: 20, MaxConcurrent: 1}
	h.putWave(first)
	h.await("the first wave is at work", func() bool { return len(c.ordered()) == 2 })
	h.putWave(second)
	h.awaitWaves(c, first, second)
}

// An instance that an earlier owner took down for one wave, without a response, is not maintained for another one.
func TestSuccessorCreditsMaintenanceToItsWave(t *testing.T) {
	h := newHarness(t)
	c := h.withControl()
	c.downtime, c.dropResponses = 3*time.Second, true
	c.add("i1", false)
	first := h.startOwner(true)
	waves := []instances.Wave{
		{Number: 1, Instances: []string{"i1"}, DeadlineS: 20, MaxConcurrent: 1},
		{Number: 2, Instances: []string{"i1"}, DeadlineS: 20, MaxConcurrent: 1},
	}
	h.putWave(waves[0])
	h.await("maintenance was ordered", func() bool { return len(c.ordered()) == 1 })
	first.stop()
	c.mu.Lock()
	c.dropResponses = false
	c.mu.Unlock()
	h.putWave(waves[1])
	h.startOwner(true)
	h.awaitWaves(c, waves...)
}

// An earlier owner's order for one wave is settled before another wave takes the instance.
func TestInheritedOrderKeepsOtherWavesOff(t *testing.T) {
	h := newHarness(t)
	c := h.withControl()
	c.add("i1", false)
	o := h.newOwner(true)
	inst := &instance{listed: true, info: instances.Instance{ID: "i1", State: instances.Up}}
	o.fleet.instances["i1"] = inst
	ordered := o.getOrCreateWave(1) // its operator's record has not been read yet
	ordered.progress.Ordered = []string{"i1"}
	other := o.getOrCreateWave(2)
	other.Wave, other.hasSpec = instances.Wave{Number: 2, Instances: []string{"i1"}, MaxConcurrent: 1}, true
	o.fleet.list.requestedAt = time.Now()
	o.tickFleet(time.Now())
	if len(other.progress.Ordered) > 0 {
		t.Error("another wave ordered the maintenance of an instance whose order is unsettled")
	}
	if other.progress.Completed || ordered.progress.Completed {
		t.Error("a wave was completed without its maintenance")
	}
}

// A wave does not take an instance whose move by an earlier owner is unsettled.
func TestInheritedMoveKeepsWavesOff(t *testing.T) {
	h := newHarness(t)
	h.withControl()
	o := h.newOwner(true)
	inst := &instance{listed: true, info: instances.Instance{ID: "i1", State: instances.Up}}
	o.fleet.instances["i1"] = inst
	o.fleet.inheritedMoves["i1"] = moveOrder{To: "standby"}
	w := o.getOrCreateWave(1)
	w.Wave, w.hasSpec = instances.Wave{Number: 1, Instances: []string{"i1"}, MaxConcurrent: 1}, true
	o.advanceWave(w, time.Now()) // as when the call budget holds the move back
	if len(w.progress.Ordered) > 0 || !inst.cordonedAt.IsZero() {
		t.Error("a wave took an instance whose move is unsettled")
	}
	if w.progress.Completed {
		t.Error("the wave was completed")
	}
}

// Guards the availability budget while an instance is due for two waves.
func TestOverlappingWavesKeepAvailability(t *testing.T) {
	h := newHarness(t)
	c := h.withControl()
	ids := []string{"i1", "i2", "i3", "i4", "i5"}
	for _, id := range ids {
		c.add(id, false)
	}
	o := h.startOwner(true)
	h.submit(o, longRunningJob("a", 2, 1))
	h.await("the tasks run", func() bool { return h.runningTasks("a", 2) == 2 })
	waves := []instances.Wave{
		{Number: 1, Instances: ids[:3], DeadlineS: 20, MaxConcurrent: 2},
		{Number: 2, Instances: ids[1:4], DeadlineS: 20, MaxConcurrent: 2},
	}
	h.putWave(waves[0])
	h.putWave(waves[1])
	least := 2
	h.await("the waves are completed", func() bool {
		least = min(least, h.runningTasks("a", 2))
		return h.waveStatus(1) == "true" && h.waveStatus(2) == "true"
	})
	if least < 1 {
		t.Errorf("only %d of 2 tasks were running, want at least 1", least)
	}
	h.awaitWaves(c, waves...)
}

// Guards waves that overlap in drawn ways, with lost responses and a change of owner: each is completed by its own
// maintenance, within its own limit.
func TestOverlappingWavesUnderLostResponsesAndTakeovers(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			playOverlappingWaves(t, rand.New(rand.NewPCG(seed, 0)))
		})
	}
}

func playOverlappingWaves(t *testing.T, random *rand.Rand) {
	const maxOffset = 1500 * time.Millisecond
	h := newHarness(t)
	c := h.withControl()
	c.downtime = time.Duration(100+random.IntN(600)) * time.Millisecond
	c.loseEvery = []int{0, 2, 3}[random.IntN(3)]
	var ids []string
	for i := range 5 {
		ids = append(ids, fmt.Sprint("i", i))
		c.add(ids[i], false)
	}
	waves := make([]instances.Wave, 2+random.IntN(2))
	start := time.Now()
	for i := range waves {
		members := make([]string, 2+random.IntN(4))
		for j, k := range random.Perm(len(ids))[:len(members)] {
			members[j] = ids[k]
		}
		waves[i] = instances.Wave{Number: int64(i + 1), Instances: members, DeadlineS: 20, MaxConcurrent: 2 + random.IntN(2)}
		offset := time.Duration(random.Int64N(int64(maxOffset)))
		time.AfterFunc(offset, func() { h.putWave(waves[i]) })
	}
	first := h.startOwner(true)
	if random.IntN(2) == 0 {
		time.Sleep(time.Until(start.Add(time.Duration(random.Int64N(int64(2 * maxOffset))))))
		first.stop()
		h.startOwner(true)
	}
	h.awaitWaves(c, waves...)
}
