package owner

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"github.com/pollenford/pollenford/internal/instances"
	"github.com/pollenford/pollenford/internal/topic"
	"github.com/pollenford/pollenford/internal/topic/topictest"
)

// lateStatuses keeps the appends to the status topic while it is on: they get no response, and are carried out only when
// they are released, like calls whose packets arrive late.
type lateStatuses struct {
	topic.Store
	mu   sync.Mutex
	on   bool          // protected by mu
	kept []topic.Batch // protected by mu
}

func (h *harness) withLateStatuses() *lateStatuses {
	s := &lateStatuses{Store: h.store, on: true}
	h.ownerStore = s
	return s
}

// Append implements topic.Store.
func (s *lateStatuses) Append(ctx context.Context, name topic.Name, batch topic.Batch) (int64, int64, error) {
	if name == (codec{}).StatusTopic() && s.keep(batch) {
		<-ctx.Done()
		return 0, 0, ctx.Err()
	}
	return s.Store.Append(ctx, name, batch)
}

func (s *lateStatuses) keep(batch topic.Batch) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.on {
		s.kept = append(s.kept, batch)
	}
	return s.on
}

func (s *lateStatuses) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.kept)
}

// turnOff lets further appends pass.
func (s *lateStatuses) turnOff() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.on = false
}

// release carries out the first of the kept appends, whose caller no longer waits for a response.
func (s *lateStatuses) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _, _ = s.Store.Append(context.Background(), codec{}.StatusTopic(), s.kept[0])
}

// recordedWave returns the recorded progress of a wave.
func (h *harness) recordedWave(key string) (progress waveProgress) {
	h.t.Helper()
	records, _, err := topic.ReadSnapshot(h.t.Context(), h.store, jobsTopic)
	if err != nil {
		h.t.Fatal(err)
	}
	i := slices.IndexFunc(records, func(r topic.Record) bool { return r.Key == key })
	if i < 0 {
		return progress
	}
	if err := cbor.Unmarshal(records[i].Value, &progress); err != nil {
		h.t.Fatal(err)
	}
	return progress
}

// singleWave is a wave of one instance.
func singleWave() instances.Wave {
	return instances.Wave{Number: 1, Instances: []string{"i1"}, DeadlineS: 20, MaxConcurrent: 1}
}

// A successor publishes the end of a wave that its predecessor recorded but did not publish.
func TestSuccessorPublishesRecordedCompletion(t *testing.T) {
	h := newHarness(t)
	h.withControl().add("i1", false)
	statuses := h.withLateStatuses()
	first := h.startOwner(true)
	h.putWave(singleWave())
	h.await("the end of the wave is recorded", func() bool { return h.recordedWave("w/1").Completed })
	first.stop()
	statuses.turnOff()
	h.startOwner(true)
	h.await("the wave is reported completed", func() bool { return h.waveStatus(1) == "true" })
}

// An append of `active` that is carried out late does not replace `completed`, neither within a term...
func TestLateStatusKeepsCompletion(t *testing.T) {
	h := newHarness(t)
	h.withControl().add("i1", false)
	statuses := h.withLateStatuses()
	h.startOwner(true)
	h.putWave(singleWave())
	h.await("a status is on its way", func() bool { return statuses.count() > 0 })
	h.await("the end of the wave is recorded", func() bool { return h.recordedWave("w/1").Completed })
	statuses.turnOff()
	h.awaitCompletionStays(statuses)
}

// ... nor across a change of owner.
func TestLateStatusOfPredecessorKeepsCompletion(t *testing.T) {
	h := newHarness(t)
	h.withControl().add("i1", false)
	statuses := h.withLateStatuses()
	first := h.startOwner(true)
	h.putWave(singleWave())
	h.await("a status is on its way", func() bool { return statuses.count() > 0 })
	first.stop()
	statuses.turnOff()
	h.startOwner(true)
	h.awaitCompletionStays(statuses)
}

// awaitCompletionStays waits until wave 1 is reported completed and checks that the first kept append does not change that.
func (h *harness) awaitCompletionStays(statuses *lateStatuses) {
	h.t.Helper()
	h.await("the wave is reported completed", func() bool { return h.waveStatus(1) == "true" })
	statuses.release()
	if status := h.waveStatus(1); status != "true" {
		h.t.Errorf("the wave is reported as completed %s after an earlier status arrived late", status)
	}
}

// A newer owner that has published statuses ends the term of this one.
func TestOwnerFencedOnStatusTopicStepsDown(t *testing.T) {
	h := newHarness(t)
	h.withControl().add("i1", false)
	o := h.startOwner(true)
	newer := &topic.Producer{Name: o.producer().Name, Epoch: o.term.Fence + 1}
	if _, _, err := h.store.Append(t.Context(), codec{}.StatusTopic(), topic.Batch{Producer: newer}); err != nil {
		t.Fatal(err)
	}
	h.putWave(singleWave())
	select {
	case err := <-o.done:
		if !errors.Is(err, errReplaced) {
			t.Errorf("the term ended with %v, want %v", err, errReplaced)
		}
	case <-time.After(awaitTimeout):
		t.Error("the replaced owner goes on")
	}
	if status := h.waveStatus(1); status != "" {
		t.Errorf("the replaced owner published %q", status)
	}
}

// Operators see a wave as completed only once that is recorded.
func TestFleetShowsRecordedCompletion(t *testing.T) {
	h := newHarness(t)
	c := h.withControl()
	c.add("i1", false)
	o := h.startOwner(true)
	h.await("the instances are listed", func() bool { return c.count(&c.listings) >= 2 })
	h.store.SetFaults(topictest.Faults{Down: true})
	removed := instances.Wave{Number: 1, Instances: []string{"removed"}, DeadlineS: 20, MaxConcurrent: 1}
	h.inLoop(o, func() {
		o.handleOperatorRecords([]topic.Record{{Key: "wave/1", Value: encodeJSON(t, removed)}})
	})
	h.await("the owner takes the wave for completed", func() bool {
		completed := false
		h.inLoop(o, func() { completed = o.fleet.waves[1].progress.Completed })
		return completed
	})
	if h.showsCompleted(o) {
		t.Error("the wave is shown as completed although the store has not acknowledged that")
	}
	h.store.SetFaults(topictest.Faults{})
	h.await("the wave is shown as completed", func() bool { return h.showsCompleted(o) })
}

// showsCompleted reports whether operators see the only wave as completed.
func (h *harness) showsCompleted(o *runningOwner) bool {
	h.t.Helper()
	f, err := o.Fleet(h.t.Context())
	if err != nil {
		h.t.Fatal(err)
	}
	return len(f.Waves) == 1 && f.Waves[0].Completed
}
