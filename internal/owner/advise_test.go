package owner

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/juju/errors"

	"github.com/pollenford/pollenford/internal/advice"
	"github.com/pollenford/pollenford/internal/catalog"
	"github.com/pollenford/pollenford/internal/workers"
	"github.com/pollenford/pollenford/internal/workers/workertest"
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

// Guards against a gang that never works again because its members resume from different checkpoints: they are on two
// workers, which report at different moments, and one member ends without a checkpoint.
func TestGangResumesFromOneCheckpoint(t *testing.T) {
	for _, sameOwner := range []bool{true, false} {
		t.Run(fmt.Sprintf("same owner %v", sameOwner), func(t *testing.T) {
			t.Parallel()
			h := newHarness(t)
			list := []*workertest.Worker{h.addWorker("w1", 0), h.addWorker("w2", 0)}
			o := h.startOwner(true)
			gang := newJob("a", 6) // four fit on one worker
			gang.Steps[0].Gang, gang.Steps[0].SavesProgress = true, true
			h.submit(o, gang)
			h.await("all members run", func() bool { return len(list[0].Running())+len(list[1].Running()) == 6 })
			for i, worker := range list {
				for task := range worker.Running() {
					worker.SaveCheckpoint(task, fmt.Sprint("saved on worker ", i))
				}
			}
			h.await("both have reported", func() (reported bool) {
				h.inLoop(o, func() {
					reported = true
					for _, w := range o.workers {
						reported = reported && w.sessionEstablished
					}
					for tasks, i := &o.jobs["a"].progress.Current[0].Tasks[0], 0; i < tasks.Len(); i++ {
						reported = reported && tasks.At(i).Checkpoint != ""
					}
				})
				return reported
			})
			time.Sleep(heartbeatPollTimeout + 200*time.Millisecond) // the later report
			if !sameOwner {
				h.inLoop(o, func() { o.markDirty(o.jobs["a"]) })
				h.await("the checkpoints are recorded", func() (recorded bool) {
					h.inLoop(o, func() { recorded = o.jobs["a"].unrecordedChanges == 0 })
					return recorded
				})
				o.stop()
				o = h.startOwner(true)
			}
			for _, worker := range list {
				for task := range worker.Running() {
					worker.EndRun(task, workers.GangBroken)
				}
			}
			h.await("all members run again", func() bool { return len(h.fleet.Starts()) >= 12 })
			values := map[string]int{}
			for _, s := range h.fleet.Starts() {
				if s.Run == 2 {
					values[s.Checkpoint]++
				}
			}
			if len(values) != 1 || values[""] > 0 {
				t.Errorf("the members resume from %v, want one checkpoint", values)
			}
		})
	}
}
