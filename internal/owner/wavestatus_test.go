package owner

import (
	"context"
	"slices"
	"sync"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"github.com/pollenford/pollenford/internal/instances"
	"github.com/pollenford/pollenford/internal/topic"
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

// turnOff lets further appends pass.
func (s *lateStatuses) turnOff() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.on = false
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
