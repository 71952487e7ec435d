package owner

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/pollenford/pollenford/internal/topic"
	"github.com/pollenford/pollenford/internal/topic/topictest"
	"github.com/pollenford/pollenford/internal/workload"
)

// slowStore delays appends like a busy store, and counts them.
type slowStore struct {
	topic.Store
	delay   time.Duration
	appends atomic.Int64
}

const slowAppend = 40 * time.Millisecond

func (s *slowStore) Append(ctx context.Context, name topic.Name, batch topic.Batch) (int64, int64, error) {
	s.appends.Add(1)
	time.Sleep(s.delay)
	return s.Store.Append(ctx, name, batch)
}

// When events arrive faster than the store accepts appends, there is one placement round per append, not per event.
// With a round per event, 350 workers and 1,300 starts a second used a whole core and start requests were late.
func TestOnePlacementRoundPerAppend(t *testing.T) {
	h := newHarness(t)
	scope := tally.NewTestScope("", nil)
	h.scope, h.ownerStore = scope, &slowStore{Store: h.store, delay: slowAppend}
	h.addWorker("w1", 5*time.Millisecond)
	o := h.startOwner(true)
	began := time.Now()
	const jobs = 200
	done := make(chan error, jobs)
	for i := range jobs { // about 2 ms apart
		time.Sleep(2 * time.Millisecond)
		go func() { done <- o.Submit(t.Context(), newJob(fmt.Sprint("job", i), 1)) }()
	}
	for range jobs {
		if err := <-done; err != nil {
			t.Fatal(err)
		}
	}
	h.awaitState(o, fmt.Sprint("job", jobs-1), workload.Completed)
	took := time.Since(began)
	rounds := scope.Snapshot().Counters()["placement_rounds+"].Value()
	if maxRounds := int64(took/slowAppend) + int64(took/placementRetryInterval) + 5; rounds > maxRounds {
		t.Errorf("%d placement rounds in %v, want at most %d", rounds, took, maxRounds)
	}
}

// At the end of an outage of the store work goes on without waiting for the time limit of an append that was sent during it.
// On ligeira-nordeste (trouble-1, 35.6 s) everything was rejected for another 0.4 s.
func TestAppendsResumeSoonAfterAnOutage(t *testing.T) {
	h := newHarness(t)
	store := &topictest.SilentAppends{Store: h.store}
	h.ownerStore = store
	h.addWorker("w1", 0)
	o := h.startOwner(true)
	store.On.Store(true)
	done := make(chan time.Time, 1)
	go func() {
		if err := o.Submit(t.Context(), newJob("a", 1)); err != nil {
			t.Error(err)
		}
		done <- time.Now()
	}()
	h.await("the append is in flight", func() bool {
		inFlight := make(chan bool, 1)
		o.post(func() { inFlight <- o.commit.inFlight })
		return <-inFlight
	})
	select {
	case <-o.term.RenewalRequested():
	case <-time.After(awaitTimeout):
		t.Fatal("a stalled append does not make the owner check whether the store answers it")
	}
	h.await("the append is repeated", func() bool { return store.Unanswered.Load() > 1 })
	healed := time.Now()
	store.On.Store(false)
	if took := (<-done).Sub(healed); took > (appendRetryInterval+storeTimeout)/2 {
		t.Errorf("recorded %v after the store's return, want about %v", took, appendRetryInterval)
	}
	if n := len(h.startsOf("a.0.0.0")); n > 1 {
		t.Errorf("the task started %d times", n)
	}
}

// longAppend is how long the slowest known store takes for an append.
const longAppend = 440 * time.Millisecond

// A slow store gets each append once: repeated ones delayed those that followed beyond the limit for stalled appends, and
// new jobs were rejected (ligeira-nordeste, trouble-2, 11.5 s).
func TestSlowStoreGetsEachAppendOnce(t *testing.T) {
	h := newHarness(t)
	store := &slowStore{Store: h.store, delay: longAppend}
	h.ownerStore = store
	o := h.startOwner(true)
	before := store.appends.Load()
	h.submit(o, newJob("a", 1))
	if n := store.appends.Load() - before; n != 1 {
		t.Errorf("%d appends for one decision", n)
	}
}
