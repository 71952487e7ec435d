package leader

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/pollenford/pollenford/internal/topic/topictest"
)

const patience = 20 * time.Second

// candidate is an instance that takes part in an election.
type candidate struct {
	elector *Elector
	stop    context.CancelFunc
	serving atomic.Int64 // the fence of the term, 0 without one
	gone    atomic.Bool
}

func join(t *testing.T, store *topictest.Store, name string) *candidate {
	return joinAs(t, store, name, 0)
}

func joinAs(t *testing.T, store *topictest.Store, name string, weakness float64) *candidate {
	ctx, stop := context.WithCancel(context.Background())
	c := &candidate{stop: stop}
	c.elector = &Elector{
		Store: store, Log: hclog.NewNullLogger(), Eligible: func() bool { return true },
		Self: Owner{Name: name, Incarnation: name + "-1", Address: name}, CampaignDelayFactor: weakness,
		Serve: func(ctx context.Context, term *Term) error {
			c.gone.Store(term.PredecessorEnded)
			c.serving.Store(term.Fence)
			<-ctx.Done()
			c.serving.Store(0)
			return ctx.Err()
		},
	}
	done := make(chan struct{})
	go func() { defer close(done); c.elector.Run(ctx) }()
	t.Cleanup(func() { stop(); <-done })
	return c
}

func await(t *testing.T, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(patience)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("not within %v: %s", patience, what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func owners(all ...*candidate) int {
	n := 0
	for _, c := range all {
		if c.serving.Load() > 0 {
			n++
		}
	}
	return n
}

// Guards against two owners at a time, and against one that changes without cause.
func TestOneOwnerThatStays(t *testing.T) {
	store := &topictest.Store{}
	var all []*candidate
	for i := range 5 {
		all = append(all, join(t, store, fmt.Sprint("n", i)))
	}
	await(t, "an owner serves", func() bool { return owners(all...) == 1 })
	fence := servingFence(all...)
	for deadline := time.Now().Add(2 * expireAfter); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if n := owners(all...); n != 1 {
			t.Fatalf("%d owners", n)
		}
	}
	if now := servingFence(all...); now != fence {
		t.Errorf("the owner changed from fence %d to %d", fence, now)
	}
	for _, c := range all {
		if owner, ok := c.elector.Current(); !ok || owner.Fence != fence {
			t.Errorf("%s knows %+v, want fence %d", c.elector.Self.Name, owner, fence)
		}
	}
}

// servingFence returns the fence of the one that serves.
func servingFence(all ...*candidate) int64 {
	for _, c := range all {
		if fence := c.serving.Load(); fence > 0 {
			return fence
		}
	}
	return 0
}

// Guards the hand-over: a stopping owner is replaced without waiting for its record to expire, with a higher fence.
func TestStoppingOwnerHandsOver(t *testing.T) {
	store := &topictest.Store{}
	a := join(t, store, "a")
	await(t, "a serves", func() bool { return a.serving.Load() > 0 })
	fence := a.serving.Load()
	b := join(t, store, "b")
	await(t, "b knows the owner", func() bool { _, ok := b.elector.Current(); return ok })
	a.stop()
	await(t, "b serves", func() bool { return b.serving.Load() > fence })
	if !b.gone.Load() {
		t.Error("the term does not know that it was handed over")
	}
}

// Guards requests in the hands of a stopping owner: it goes on following the election, so that it can forward them, and
// becomes the owner no more.
func TestLeavingOwnerFollowsTheNextOne(t *testing.T) {
	store := &topictest.Store{}
	a := join(t, store, "a")
	await(t, "a serves", func() bool { return a.serving.Load() > 0 })
	fence := a.serving.Load()
	a.elector.Resign()
	await(t, "a has released its record", func() bool { _, ok := a.elector.Current(); return !ok })
	time.Sleep(2 * followWait) // a could come back
	b := join(t, store, "b")
	await(t, "b serves", func() bool { return b.serving.Load() > fence })
	await(t, "a knows b", func() bool { owner, ok := a.elector.Current(); return ok && owner.Name == "b" })
	if a.serving.Load() > fence {
		t.Error("a became the owner again")
	}
}

// Guards against a weak instance as the owner, whose orders come late: at a start and after a loss the strongest instance
// wins, and a weak one serves if it is alone.
func TestStrongestInstanceBecomesTheOwner(t *testing.T) {
	store := &topictest.Store{}
	weak := joinAs(t, store, "weak", 1)
	middle := joinAs(t, store, "middle", 0.5)
	strong := joinAs(t, store, "strong", 0)
	await(t, "the strong one serves", func() bool { return strong.serving.Load() > 0 })
	strong.stop()
	await(t, "the middle one serves", func() bool { return middle.serving.Load() > 0 })
	if weak.serving.Load() > 0 {
		t.Error("the weak one serves")
	}
	middle.stop()
	await(t, "the weak one serves", func() bool { return weak.serving.Load() > 0 })
}

// Guards the expiry: an owner that goes silent is replaced, and the term knows that nobody handed it over.
func TestSilentOwnerIsReplaced(t *testing.T) {
	store := &topictest.Store{}
	dead := Owner{Name: "dead", Incarnation: "x", Address: "x", Fence: 1}
	e := &Elector{Store: store, Log: hclog.NewNullLogger()}
	if err := e.write(t.Context(), dead); err != nil {
		t.Fatal(err)
	}
	b := join(t, store, "b")
	await(t, "b serves", func() bool { return b.serving.Load() > 0 })
	if b.gone.Load() {
		t.Error("the term takes an expired record for a hand-over")
	}
}

// Guards against an election in an outage: while no owner can renew, its silence does not count.
func TestOutageOfTheStoreKeepsTheOwner(t *testing.T) {
	store := &topictest.Store{}
	a, b := join(t, store, "a"), join(t, store, "b")
	await(t, "an owner serves", func() bool { return owners(a, b) == 1 })
	fence := a.serving.Load() + b.serving.Load()
	store.SetFaults(topictest.Faults{Down: true})
	time.Sleep(expireAfter + renewEvery)
	store.SetFaults(topictest.Faults{})
	time.Sleep(expireAfter)
	if now := a.serving.Load() + b.serving.Load(); now != fence {
		t.Errorf("fence %d after the outage, want %d", now, fence)
	}
}

// Guards against an owner that steps down, or two that serve, when the answers of appends are lost.
func TestLostAnswersKeepTheOwner(t *testing.T) {
	store := &topictest.Store{}
	store.SetFaults(topictest.Faults{LoseAnswers: 3}) // of the campaign and of renewals
	a := join(t, store, "a")
	await(t, "a serves", func() bool { return a.serving.Load() > 0 })
	fence := a.serving.Load()
	time.Sleep(2 * renewEvery)
	if a.serving.Load() > fence {
		t.Errorf("fence %d, want %d", a.serving.Load(), fence)
	}
}

// Guards against a wait for the expiry when the owner's process is known to be gone.
func TestSuspectedOwnerIsReplacedAtOnce(t *testing.T) {
	store := &topictest.Store{}
	e := &Elector{Store: store, Log: hclog.NewNullLogger()}
	if err := e.write(t.Context(), Owner{Name: "dead", Incarnation: "x", Address: "x", Fence: 1}); err != nil {
		t.Fatal(err)
	}
	b := join(t, store, "b")
	await(t, "b knows the owner", func() bool { _, ok := b.elector.Current(); return ok })
	b.elector.Suspect(7) // another term: no reason to hurry
	if b.elector.hurry.Load() {
		t.Error("a suspicion about another term counts")
	}
	b.elector.Suspect(1)
	await(t, "b serves", func() bool { return b.serving.Load() > 0 })
}

// Guards the restart of all instances at once: the owner's instance, and whoever hears that another process answers at
// its address, need not wait for the record to expire. (After a kill of all the service was away for 2 s longer.)
func TestRestartedOwnerIsReplacedAtOnce(t *testing.T) {
	store := &topictest.Store{}
	e := &Elector{Store: store, Log: hclog.NewNullLogger()}
	if err := e.write(t.Context(), Owner{Name: "a", Incarnation: "a-0", Address: "x", Fence: 1}); err != nil {
		t.Fatal(err)
	}
	began := time.Now()
	a := join(t, store, "a")
	await(t, "a serves", func() bool { return a.serving.Load() > 0 })
	if took := time.Since(began); took > expireAfter/2 {
		t.Errorf("the restarted instance waited %v", took)
	}
	if !a.gone.Load() {
		t.Error("the term does not know that its predecessor is gone")
	}
	a.elector.ConfirmEnded(a.serving.Load() + 1)
	b := join(t, store, "b")
	await(t, "b knows the owner", func() bool { _, ok := b.elector.Current(); return ok })
	b.elector.ConfirmEnded(a.serving.Load())
	await(t, "b serves", func() bool { return b.serving.Load() > 0 })
	if !b.gone.Load() {
		t.Error("the term does not know that its predecessor is gone")
	}
}
