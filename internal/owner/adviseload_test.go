package owner

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pollenford/pollenford/internal/advice"
	"github.com/pollenford/pollenford/internal/catalog"
	"github.com/pollenford/pollenford/internal/workload"
)

// serialAdviser allows all workers. Like the advice service it works on one call at a time.
type serialAdviser struct {
	callTime time.Duration
	working  chan bool // holds an item while the service works on a call
	mu       sync.Mutex
	// The fields below are protected by mu.
	inFlight, most int
	silent         int // calls that get no answer
	steps          []string
}

func newSerialAdviser(callTime time.Duration) *serialAdviser {
	return &serialAdviser{callTime: callTime, working: make(chan bool, 1)}
}

// Advise implements advice.Adviser.
func (a *serialAdviser) Advise(ctx context.Context, step string, ids []string) (advice.Answer, error) {
	a.mu.Lock()
	a.inFlight++
	a.most = max(a.most, a.inFlight)
	silent := a.silent > 0
	if silent {
		a.silent--
	}
	a.mu.Unlock()
	defer func() { a.mu.Lock(); defer a.mu.Unlock(); a.inFlight-- }()
	if silent {
		<-ctx.Done()
		return advice.Answer{}, ctx.Err()
	}
	a.working <- true
	defer func() { <-a.working }()
	time.Sleep(a.callTime)
	answer := advice.Answer{Tickets: map[string]string{}, ValidFor: 3 * time.Second}
	for _, id := range ids {
		answer.Tickets[id] = "ticket-of-" + id
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.steps = append(a.steps, step)
	return answer, nil
}

func (a *serialAdviser) calls() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.steps)
}

// mostInFlight returns the highest number of calls in flight at a time.
func (a *serialAdviser) mostInFlight() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.most
}

// requireAdviceOfTwo installs a configuration whose queue requires advice, with a second organisation.
func (h *harness) requireAdviceOfTwo(limit catalog.Resources) {
	h.setLimit(limit)
	old := h.catalog.Load()
	q := *old.Queues["queue"]
	q.RequiresAdvice = true
	h.catalog.Store(catalog.New(2, []*catalog.Queue{&q}, []*catalog.Pool{old.Pools[testPool]},
		[]*catalog.Organisation{old.Organisations["org"], {Name: "other", Weight: 1}}, catalog.HTTPLimits{}))
}

// lateSchedule returns a job whose first occurrences are due, one a second.
func lateSchedule(id string, behind int) *workload.Job {
	j := newJob(id, 1)
	j.Repeats, j.PeriodMS = 100_000, 1000
	j.FirstDueMS = time.Now().Add(-time.Duration(behind) * time.Second).UnixMilli()
	j.Steps[0].Estimate = time.Second
	return j
}

// Guards against calls for advice in proportion to the waiting occurrences, and against a backlog of one organisation that
// holds up the jobs of another: a schedule that is behind made the owner exceed its memory, and the others' jobs missed
// their objective by seconds.
func TestAdviceBacklogDelaysNoOtherOrganisation(t *testing.T) {
	for name, limit := range map[string]catalog.Resources{"no limit": {}, "at its limit": {CPU: 4000}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t)
				h.requireAdviceOfTwo(limit)
				for i := range 9 {
					h.addWorker(fmt.Sprint("w", i), time.Second)
				}
				adviser := newSerialAdviser(70 * time.Millisecond)
				h.advice = adviser
				o := h.startOwner(true)
				h.submit(o, lateSchedule("late", 1000))
				time.Sleep(3 * time.Second)
				for i := range 20 {
					j := newJob(fmt.Sprint("other-", i), 1)
					j.Organisation = "other"
					began := time.Now()
					h.submit(o, j)
					h.await("the job is completed", func() bool {
						status, err := o.Status(t.Context(), j.ID, "other")
						return err == nil && status.State == workload.Completed
					})
					if took := time.Since(began); took > 3*time.Second {
						t.Errorf("%s is completed %v after its acceptance", j.ID, took)
					}
				}
				if most := adviser.mostInFlight(); most > maxAdviseCalls {
					t.Errorf("%d calls were in flight, want at most %d", most, maxAdviseCalls)
				}
				o.stop()
				time.Sleep(adviseTimeout)
			})
		})
	}
}

// Guards against answers of the advice service that are kept for steps without waiting tasks: a schedule took more memory with
// each occurrence.
func TestTicketsAreKeptOnlyWhileAStepWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.requireAdviceOfTwo(catalog.Resources{CPU: 4000})
		h.addWorker("w1", 100*time.Millisecond)
		adviser := newSerialAdviser(10 * time.Millisecond)
		h.advice = adviser
		o := h.startOwner(true)
		h.submit(o, lateSchedule("late", 500))
		h.await("the service was called for a hundred steps", func() bool { return adviser.calls() > 100 })
		kept := 0
		h.inLoop(o, func() { kept = len(o.advice.steps) })
		if kept > 20 {
			t.Errorf("the answers for %d steps are kept", kept)
		}
		if err := o.Cancel(t.Context(), "late", "org"); err != nil {
			t.Fatal(err)
		}
		h.await("none are kept", func() bool {
			h.inLoop(o, func() { kept = len(o.advice.steps) })
			return kept == 0
		})
		o.stop()
		time.Sleep(adviseTimeout)
	})
}

// Guards against calls without an answer that hold up all others until they time out.
func TestSilentAdviceCallHoldsUpNoOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.requireAdviceOfTwo(catalog.Resources{})
		h.addWorker("w1", 100*time.Millisecond)
		adviser := newSerialAdviser(10 * time.Millisecond)
		adviser.silent = maxAdviseCalls
		h.advice = adviser
		o := h.startOwner(true)
		began := time.Now()
		for i := range maxAdviseCalls + 1 {
			h.submit(o, newJob(fmt.Sprint("a", i), 1))
		}
		for i := range maxAdviseCalls + 1 {
			h.awaitState(o, fmt.Sprint("a", i), workload.Completed)
		}
		if took := time.Since(began); took > 3*time.Second {
			t.Errorf("the jobs are completed after %v", took)
		}
		o.stop()
		time.Sleep(adviseTimeout)
	})
}

// Guards against a task that waits for a worker that has a ticket and no room, while a free one was never asked for.
func TestAdviceIsRequestedForWorkersWithRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.requireAdviceOfTwo(catalog.Resources{})
		h.addWorker("w1", 0)
		adviser := newSerialAdviser(10 * time.Millisecond)
		h.advice = adviser
		o := h.startOwner(true)
		h.submit(o, newJob("a", 5)) // four tasks fill the worker
		h.await("the worker is full", func() bool { return len(h.fleet.Starts()) == 4 })
		second := h.addWorker("w2", 0)
		began := time.Now()
		h.await("the last task runs on the other worker", func() bool { return len(second.Running()) == 1 })
		if took := time.Since(began); took > 2*time.Second {
			t.Errorf("the task runs after %v: its ticket of the full worker had expired", took)
		}
		for _, step := range adviser.steps {
			if !strings.HasPrefix(step, "a.0.0") {
				t.Errorf("advice was requested for %s", step)
			}
		}
		o.stop()
		time.Sleep(adviseTimeout)
	})
}
