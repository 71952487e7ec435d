package owner

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"

	"github.com/pollenford/pollenford/internal/leader"
	"github.com/pollenford/pollenford/internal/topic"
	"github.com/pollenford/pollenford/internal/topic/topictest"
	"github.com/pollenford/pollenford/internal/workload"
)

// recoveryScale is how many times as fast as in operation recoveries are tested.
const recoveryScale = 5

// busyMachine is what other tests on the machine may add to the duration of a recovery.
const busyMachine = time.Second

// scaledRecoveryLimits returns the limits of a recovery at recoveryScale.
func scaledRecoveryLimits() recoveryLimits {
	l := defaultRecoveryLimits
	l.bytesPerSecond *= recoveryScale
	l.slowCall, l.patient = l.slowCall/recoveryScale, l.patient/recoveryScale
	l.probe, l.maxLag = l.probe/recoveryScale, l.maxLag/recoveryScale
	return l
}

// storeMB records jobs with specifications of the given total size and returns their number. Their pages have 1 MB.
func (h *harness) storeMB(mb float64) int {
	const megabyte = 1_000_000
	h.store.PageRecords = megabyte / workload.MaxSpecBytes
	n := int(mb * megabyte / workload.MaxSpecBytes)
	for i := range n {
		j := newJob(fmt.Sprintf("job-%06d", i), 1)
		j.Spec = string(make([]byte, workload.MaxSpecBytes))
		h.store.Put(jobsTopic, jobKeyPrefix+j.ID, (&Owner{}).encode(j))
	}
	return n
}

// pacedStore returns the harness's store behind a link of the given bandwidth, at recoveryScale.
func (h *harness) pacedStore(megabits float64, callTime time.Duration) *topictest.Paced {
	return &topictest.Paced{
		Store: h.store, BytesPerSecond: megabits * 1e6 / 8 * recoveryScale, CallTime: callTime / recoveryScale}
}

// recoverPaced recovers an owner that has yielded some terms before.
func (h *harness) recoverPaced(yields int) (o *runningOwner, took time.Duration, err error) {
	o = h.unrecoveredOwner(true)
	o.term.Yields = yields
	o.recoveryLimits = scaledRecoveryLimits()
	defer time.AfterFunc(awaitTimeout, o.cancelTerm).Stop()
	began := time.Now()
	err = o.Recover()
	return o, time.Since(began) * recoveryScale, err
}

// Guards the recovery on a thin link: its time limit was 0.8 s for the whole state, so that an owner with a link of 10 Mbit/s
// and 1.8 MB of records never recovered. Each state is recovered on each link that a machine may have, in one term; on a
// thinner one the owner yields to others, but recovers after some terms if there are none.
func TestRecoveryTakesAsLongAsTheLinkNeeds(t *testing.T) {
	for _, c := range []struct {
		megabits, mb float64
		maxYields    int
		limit        time.Duration
	}{
		{100, 0.1, 0, 1 * time.Second}, {100, 1, 0, 1 * time.Second}, {100, 4, 0, 2 * time.Second},
		{10, 0.1, 0, 1 * time.Second}, {10, 1, 0, 3 * time.Second}, {10, 4, 0, 10 * time.Second},
		{10, 16, 0, 40 * time.Second}, {100, 16, 0, 8 * time.Second},
		{2, 0.1, 0, 2 * time.Second}, {2, 1, 3, 16 * time.Second}, {2, 4, 4, 60 * time.Second},
	} {
		t.Run(fmt.Sprintf("%v Mbit/s, %v MB", c.megabits, c.mb), func(t *testing.T) {
			t.Parallel()
			h := newHarness(t)
			h.discardLogs = true
			n := h.storeMB(c.mb)
			h.ownerStore = h.pacedStore(c.megabits, 4*time.Millisecond)
			for yields := 0; ; yields++ {
				o, took, err := h.recoverPaced(yields)
				t.Logf("recovery after %d yields: %v, %v", yields, took.Round(10*time.Millisecond), err)
				if errors.Is(err, leader.ErrYield) && yields < c.maxYields {
					continue
				}
				if err != nil {
					t.Fatal(err)
				}
				if len(o.jobs) != n {
					t.Errorf("%d jobs, want %d", len(o.jobs), n)
				}
				if limit := c.limit + busyMachine*recoveryScale; took > limit {
					t.Errorf("took %v, want less than %v", took, limit)
				}
				return
			}
		})
	}
}

// Guards the recovery from a slow store, of many pages, on the thinnest link: no page is so late that the owner yields.
func TestRecoveryFromASlowStore(t *testing.T) {
	t.Parallel()
	h := newHarness(t)
	n := h.storeMB(6)
	h.ownerStore = h.pacedStore(10, slowStoreCall)
	o, took, err := h.recoverPaced(0)
	if err != nil || len(o.jobs) != n {
		t.Fatalf("%d jobs of %d after %v: %v", len(o.jobs), n, took, err)
	}
}

// flakyPages fails every other call for a page and counts the pages that arrived.
type flakyPages struct {
	topic.Store
	calls, arrived atomic.Int64
}

func (s *flakyPages) SnapshotPage(ctx context.Context, name topic.Name, after string) ([]topic.Record, string, int64, error) {
	if s.calls.Add(1)%2 == 1 {
		return nil, "", 0, errors.New("no response")
	}
	s.arrived.Add(1)
	return s.Store.SnapshotPage(ctx, name, after)
}

// Guards the progress of a recovery: pages that arrived are not read again after a failed call. With one attempt for all
// pages, no attempt ended.
func TestRecoveryKeepsPagesThatArrived(t *testing.T) {
	t.Parallel()
	h := newHarness(t)
	n := h.storeMB(4)
	store := &flakyPages{Store: h.store}
	h.ownerStore = store
	o, took, err := h.recoverPaced(0)
	if err != nil || len(o.jobs) != n {
		t.Fatalf("%d jobs of %d after %v: %v", len(o.jobs), n, took, err)
	}
	if pages := int64((n + h.store.PageRecords - 1) / h.store.PageRecords); store.arrived.Load() != pages {
		t.Errorf("%d pages were read, want %d", store.arrived.Load(), pages)
	}
}

// stuckPages answers no call for a page of the jobs.
type stuckPages struct{ topic.Store }

func (s stuckPages) SnapshotPage(ctx context.Context, name topic.Name, after string) ([]topic.Record, string, int64, error) {
	if name != jobsTopic {
		return s.Store.SnapshotPage(ctx, name, after)
	}
	<-ctx.Done()
	return nil, "", 0, ctx.Err()
}

// Guards the service when the owner cannot recover although it can renew its record: it kept the ownership for ever. It
// yields, and the other instance recovers although it defers to stronger ones.
func TestOwnerThatCannotRecoverIsReplaced(t *testing.T) {
	t.Parallel()
	h := newHarness(t)
	n := h.storeMB(1)
	var recovered atomic.Int64 // jobs of the owner that recovered
	var stuckTerms atomic.Int64
	instance := func(name string, store topic.Store, delayFactor float64) *leader.Elector {
		cfg := h.config(hclog.NewNullLogger())
		cfg.Store, cfg.Name = store, name
		return &leader.Elector{
			Store: store, Self: leader.Owner{Name: name, Incarnation: name, Address: name}, Log: hclog.NewNullLogger(),
			Eligible: func() bool { return true }, CampaignDelayFactor: delayFactor,
			Serve: func(ctx context.Context, term *leader.Term) error {
				if name == "stuck" {
					stuckTerms.Add(1)
				}
				o := New(ctx, cfg, term)
				o.recoveryLimits = scaledRecoveryLimits()
				if err := o.Recover(); err != nil {
					return err
				}
				recovered.Store(int64(len(o.jobs)))
				<-ctx.Done()
				return ctx.Err()
			},
		}
	}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan bool)
	run := func(e *leader.Elector) {
		go func() { e.Run(ctx); done <- true }()
		t.Cleanup(func() { stop(); <-done })
	}
	run(instance("stuck", stuckPages{h.store}, 0))
	h.await("the stuck instance is the owner", func() bool { return stuckTerms.Load() > 0 })
	run(instance("good", h.store, 1))
	h.await("the other instance recovers", func() bool { return recovered.Load() == int64(n) })
	if terms := stuckTerms.Load(); terms > 2 {
		t.Errorf("the stuck instance was elected %d times", terms)
	}
}

// Guards an outage of the store for all: an owner that cannot renew its record either does not yield, and recovers as soon
// as the store answers.
func TestRecoveryWaitsForTheStore(t *testing.T) {
	t.Parallel()
	h := newHarness(t)
	o := h.unrecoveredOwner(true)
	o.recoveryLimits = scaledRecoveryLimits()
	o.term.SetRenewalFailing(true)
	h.store.SetFaults(topictest.Faults{Down: true})
	outage := 4 * o.recoveryLimits.maxLag
	time.AfterFunc(outage, func() { h.store.SetFaults(topictest.Faults{}) })
	began := time.Now()
	if err := o.Recover(); err != nil {
		t.Fatal(err)
	}
	if took := time.Since(began); took < outage || took > outage+time.Second {
		t.Errorf("recovered after %v, the outage took %v", took, outage)
	}
}

// Guards the answers of an owner whose process paused while it read the records: another owner may have taken over, so the
// term is to be confirmed.
func TestPauseDuringRecoveryIsNoticed(t *testing.T) {
	for _, callTime := range []time.Duration{0, 3 * tickInterval} {
		t.Run(callTime.String(), func(t *testing.T) {
			t.Parallel()
			h := newHarness(t)
			o := h.unrecoveredOwner(true)
			r := &recovery{o: o.Owner, limits: scaledRecoveryLimits()}
			o.lastTurn = leader.BootTime() - 2*pauseLimit
			if _, err := r.call("test", func(context.Context) (topic.Page, error) {
				time.Sleep(callTime)
				return topic.Page{}, nil
			}); err != nil {
				t.Fatal(err)
			}
			if !o.unconfirmed() {
				t.Error("the pause was not noticed")
			}
		})
	}
}
