package owner

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"

	"github.com/pollenford/pollenford/internal/catalog"
	"github.com/pollenford/pollenford/internal/jobs"
	"github.com/pollenford/pollenford/internal/topic"
	"github.com/pollenford/pollenford/internal/workers"
	"github.com/pollenford/pollenford/internal/workload"
)

// longID returns a worker's ID of the greatest length.
func longID(i int) string { return fmt.Sprintf("w%0252d", i) }

// Guards against a job whose progress does not fit into a record: its append was repeated for ever, and nothing else was
// recorded (4,000 tasks on workers with IDs of 64 characters).
func TestLargeJobOnWorkersWithLongIDs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.discardLogs = true
		h.store.MaxRecordBytes = 64 << 10
		for i := range 12 {
			h.addWorker(longID(i), 20*time.Millisecond)
		}
		o := h.startOwner(true)
		large := newJob("large", workload.MaxTasks)
		large.Steps[0].Resources = catalog.Resources{CPU: 10, MemoryMB: 1}
		h.submit(o, large)
		h.submit(o, newJob("usual", 1))
		h.awaitState(o, "usual", workload.Completed)
		h.awaitState(o, "large", workload.Completed)
		h.checkNothingRanTwice(t)
		records, _, _, err := h.store.SnapshotPage(t.Context(), jobsTopic, "")
		if err != nil || len(records) == 0 {
			t.Errorf("%d records: %v", len(records), err)
		}
	})
}

// Guards against accepting a job that never runs as a whole: the placements of its tasks, which run at the same time, do not
// fit into a record if the workers' IDs are long.
func TestJobWhosePlacementsDoNotFitIsRejected(t *testing.T) {
	for name, change := range map[string]func(s *workload.Step){
		"gang": func(s *workload.Step) { s.Gang = true }, "long-running": func(s *workload.Step) { s.LongRunning = true },
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			o := h.startOwner(true)
			j := newJob("a", 300)
			change(&j.Steps[0])
			var rejection *jobs.Rejection
			if err := o.Submit(t.Context(), j); !errors.As(err, &rejection) || !rejection.Permanent {
				t.Errorf("%v, want a permanent rejection", err)
			}
			j.Steps[0].Count = 200
			h.submit(o, j)
		})
	}
}

// Guards against one record that the store refuses for good and that holds up the others of its append.
func TestRefusedRecordFailsAlone(t *testing.T) {
	for name, configured := range map[string]int{"larger than the limit": 1 << 10, "refused by the store": 64 << 10} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.store.MaxRecordBytes = 1 << 10
			o := h.newOwner(true)
			o.cfg.MaxRecordBytes = configured
			var records []topic.Record
			for i := range 9 {
				records = append(records, topic.Record{Key: fmt.Sprint("w/", i), Value: make([]byte, 10)})
			}
			records[3].Value, records[8].Value = make([]byte, 2<<10), make([]byte, 3<<10)
			done := make(chan error, 1)
			go func() { done <- o.append(records) }()
			select {
			case err := <-done:
				if err != nil {
					t.Fatal(err)
				}
			case <-time.After(awaitTimeout):
				t.Fatalf("the append has not ended after %v", awaitTimeout)
			}
			for i := range records {
				if stored, want := h.hasRecord(fmt.Sprint("w/", i)), i != 3 && i != 8; stored != want {
					t.Errorf("record %d is stored: %v", i, stored)
				}
			}
			if n := len(o.commit.refused); n != 2 {
				t.Errorf("%d records count as refused, want 2", n)
			}
		})
	}
}

// Guards against acting on decisions that are not recorded, when the store refuses the record of a job: a new job is rejected,
// an accepted one fails, and nothing of either is started on the decisions that were refused.
func TestJobOfARefusedRecordIsGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.store.MaxRecordBytes = 600 // less than the owner knows
		h.addWorker(strings.Repeat("w", 200), 20*time.Millisecond)
		o := h.startOwner(true)
		var rejection *jobs.Rejection
		large := newJob("large", 300)
		large.Spec = strings.Repeat("s", 600)
		if err := o.Submit(t.Context(), large); !errors.As(err, &rejection) || !rejection.Permanent {
			t.Errorf("%v, want a permanent rejection", err)
		}
		h.await("nothing of the rejected job is stored", func() bool {
			return !h.hasRecord(jobKeyPrefix+"large") && !h.hasRecord(progressKeyPrefix+"large")
		})
		h.fleet.At("address-of-" + strings.Repeat("w", 200)).RefuseStarts(workers.ErrInsufficientCapacity)
		h.submit(o, newJob("a", 1))
		h.await("the worker gets no work for a while", func() (refused bool) {
			h.inLoop(o, func() {
				w := o.workers[strings.Repeat("w", 200)]
				refused = w != nil && !w.backoffUntil.IsZero()
			})
			return refused
		})
		h.submit(o, newJob("growing", 3)) // three placements are too large for a record
		h.fleet.At("address-of-" + strings.Repeat("w", 200)).RefuseStarts(nil)
		h.awaitState(o, "a", workload.Completed)
		h.awaitState(o, "growing", workload.Failed)
		if err := o.Submit(t.Context(), newJob("many", 300)); !errors.As(err, &rejection) || !rejection.Permanent {
			t.Errorf("%v, want a permanent rejection: the progress is recorded with the first placement", err)
		}
		time.Sleep(settle)
		if n := len(h.fleet.Starts()); n != 1 {
			t.Errorf("%d starts, want that of the usual job", n)
		}
		o.stop()
		o = h.startOwner(true)
		h.awaitState(o, "growing", workload.Failed)
	})
}
