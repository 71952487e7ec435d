package owner

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/pollenford/pollenford/internal/topic"
	"github.com/pollenford/pollenford/internal/workload"
)

// slowStore answers appends late, as a busy store does.
type slowStore struct{ topic.Store }

const slowAppend = 40 * time.Millisecond

func (s slowStore) Append(ctx context.Context, name topic.Name, batch topic.Batch) (int64, int64, error) {
	time.Sleep(slowAppend)
	return s.Store.Append(ctx, name, batch)
}

// Guards the owner's processor in a turn, when events come faster than the store takes appends: work is placed once for
// each append and not once for each event. (350 workers and 1,300 starts a second took a whole core before, and orders came
// late.)
func TestPlacementFollowsTheStoreInATurn(t *testing.T) {
	w := newHarness(t)
	scope := tally.NewTestScope("", nil)
	w.scope, w.open = scope, slowStore{w.store}
	w.addWorker("w1", 5*time.Millisecond)
	o := w.startOwner(true)
	began := time.Now()
	const jobs = 200
	done := make(chan error, jobs)
	for i := range jobs { // some 2 ms apart
		time.Sleep(2 * time.Millisecond)
		go func() { done <- o.Submit(t.Context(), newJob(fmt.Sprint("job", i), 1)) }()
	}
	for range jobs {
		if err := <-done; err != nil {
			t.Fatal(err)
		}
	}
	w.awaitState(o, fmt.Sprint("job", jobs-1), workload.Completed)
	took := time.Since(began)
	rounds := scope.Snapshot().Counters()["placement_rounds+"].Value()
	if most := int64(took/slowAppend) + int64(took/placementRetryInterval) + 5; rounds > most {
		t.Errorf("%d rounds of placement in %v, want at most %d", rounds, took, most)
	}
}
