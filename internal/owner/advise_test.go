package owner

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/juju/errors"

	"github.com/pollenford/pollenford/internal/advice"
	"github.com/pollenford/pollenford/internal/catalog"
	"github.com/pollenford/pollenford/internal/workers"
	"github.com/pollenford/pollenford/internal/workload"
)

// fakeAdviser fails a number of calls, then issues tickets for one worker only.
type fakeAdviser struct {
	allowed  string
	mu       sync.Mutex
	failures int // protected by mu
	calls    int // protected by mu
}

func (a *fakeAdviser) Advise(_ context.Context, _ string, ids []string) (advice.Answer, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.calls++
	if a.failures > 0 {
		a.failures--
		return advice.Answer{}, errors.New("32 calls are waiting")
	}
	answer := advice.Answer{Tickets: map[string]string{}, ValidFor: 2 * time.Second}
	for _, id := range ids {
		if id == a.allowed {
			answer.Tickets[id] = "ticket-of-" + id
		}
	}
	return answer, nil
}

// requireAdvice installs a configuration whose queue requires advice tickets.
func (h *harness) requireAdvice() {
	old := h.catalog.Load()
	q := *old.Queues["queue"]
	q.RequiresAdvice = true
	h.catalog.Store(catalog.New(2, []*catalog.Queue{&q}, []*catalog.Pool{old.Pools[testPool]},
		[]*catalog.Organisation{old.Organisations["org"]}, catalog.HTTPLimits{}))
}

// Guards queues with RequiresAdvice: tasks start only with a ticket, and a failed advice call is repeated.
func TestAdviceQueueStartsOnlyOnAllowedWorkers(t *testing.T) {
	h := newHarness(t)
	h.requireAdvice()
	for _, id := range []string{"w1", "w2", "w3"} {
		h.addWorker(id, 20*time.Millisecond)
	}
	h.advice = &fakeAdviser{allowed: "w2", failures: 2}
	o := h.startOwner(true)
	h.submit(o, newJob("a", 6, 2))
	h.awaitState(o, "a", workload.Completed)
	for _, s := range h.fleet.Starts() {
		if s.Worker != "w2" || s.Ticket != "ticket-of-w2" {
			t.Errorf("%s started on %s with ticket %q", s.Task, s.Worker, s.Ticket)
		}
	}
}

// Guards against reuse of a ticket that a worker has rejected: a new one is requested.
func TestRejectedTicketIsRequestedAgain(t *testing.T) {
	h := newHarness(t)
	h.requireAdvice()
	worker := h.addWorker("w1", 20*time.Millisecond)
	a := &fakeAdviser{allowed: "w1"}
	h.advice = a
	worker.RefuseStarts(workers.ErrInvalidTicket)
	o := h.startOwner(true)
	h.submit(o, newJob("a", 1))
	h.await("advice is requested again", func() bool { a.mu.Lock(); defer a.mu.Unlock(); return a.calls > 1 })
	worker.RefuseStarts(nil)
	h.awaitState(o, "a", workload.Completed)
}

// Guards gangs: all members start together with one run number, or none does, and one end counts for all.
func TestGangStartsTogether(t *testing.T) {
	h := newHarness(t)
	first := h.addWorker("w1", 0)
	o := h.startOwner(true)
	gang := newJob("a", 6) // four fit on one worker
	gang.Steps[0].Gang = true
	h.submit(o, gang)
	h.await("the worker session is established", func() bool { return first.Fence() == 1 })
	time.Sleep(2 * placementRetryInterval)
	if n := len(h.fleet.Starts()); n != 0 {
		t.Fatalf("%d members started without the others", n)
	}
	second := h.addWorker("w2", 0)
	h.await("all members run", func() bool { return len(first.Running())+len(second.Running()) == 6 })
	for _, s := range h.fleet.Starts() {
		if s.Run != 1 {
			t.Errorf("%s started as run %d", s.Task, s.Run)
		}
	}
	for _, worker := range []interface {
		Running() map[string]int
		EndRun(string, workers.EndReason)
	}{first, second} {
		for task := range worker.Running() {
			worker.EndRun(task, workers.Done)
		}
	}
	h.awaitState(o, "a", workload.Completed)
}
