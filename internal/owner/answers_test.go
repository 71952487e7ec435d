package owner

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/juju/errors"

	"github.com/pollenford/pollenford/internal/jobs"
	"github.com/pollenford/pollenford/internal/topic"
	"github.com/pollenford/pollenford/internal/topic/topictest"
	"github.com/pollenford/pollenford/internal/workload"
)

// jobCalls are the calls of jobs.Service that name a job.
var jobCalls = map[string]func(ctx context.Context, s jobs.Service, id string) error{
	"cancel": func(ctx context.Context, s jobs.Service, id string) error { return s.Cancel(ctx, id, "org") },
	"status": func(ctx context.Context, s jobs.Service, id string) error {
		_, err := s.Status(ctx, id, "org")
		return err
	},
	"await": func(ctx context.Context, s jobs.Service, id string) error {
		_, err := s.Await(ctx, id, "org")
		return err
	},
}

// Guards against cancelled work that runs on: an owner that had been replaced, and did not know it yet, answered "no such
// job" for a job that its successor had accepted.
func TestReplacedOwnerDeniesNoJob(t *testing.T) {
	for name, call := range jobCalls {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t)
			replaced := h.startOwner(true)
			successor := h.startOwner(true)
			h.submit(successor, newJob("a", 1))
			ctx, stop := context.WithTimeout(t.Context(), awaitTimeout)
			defer stop()
			if err := call(ctx, replaced, "a"); err == nil || errors.Is(err, jobs.ErrNoSuchJob) {
				t.Errorf("the replaced owner answered: %v", err)
			}
		})
	}
}

// Guards against cancelled work that runs on: a submission that arrived after its cancel had been answered was accepted
// and run, because nothing remembered the cancel.
func TestSubmissionAfterItsCancelDoesNotRun(t *testing.T) {
	for name, restart := range map[string]bool{"same owner": false, "next owner": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t)
			h.addWorker("w1", 0)
			o := h.startOwner(true)
			if err := o.Cancel(t.Context(), "a", "org"); !errors.Is(err, jobs.ErrNoSuchJob) {
				t.Fatalf("cancel of an unknown job: %v", err)
			}
			if restart {
				o = h.startOwner(true)
			}
			if _, err := o.Status(t.Context(), "a", "org"); !errors.Is(err, jobs.ErrNoSuchJob) {
				t.Errorf("status of a job that nobody submitted: %v", err)
			}
			h.submit(o, newJob("a", 1))
			if status := h.status(o, "a"); status.State != workload.Cancelled {
				t.Errorf("the job is %v after its submission, want cancelled", status.State)
			}
			if restart {
				o = h.startOwner(true)
				if status := h.status(o, "a"); status.State != workload.Cancelled {
					t.Errorf("the job is %v under a successor, want cancelled", status.State)
				}
			}
			// A job that is accepted later and runs shows that this one was not merely late.
			h.submit(o, newJob("b", 1))
			h.await("the other job runs", func() bool { return len(h.startsOf("b.0.0.0")) == 1 })
			if n := len(h.startsOf("a.0.0.0")); n != 0 {
				t.Errorf("%d runs of a cancelled job", n)
			}
		})
	}
}

// A cancel that comes before its job binds the submission if its organisation could cancel the job afterwards, and only then:
// the ID of another one's job can be guessed.
func TestCancelBindsOnlyJobsOfItsOrganisation(t *testing.T) {
	for name, c := range map[string]struct {
		cancelledBy []string
		submittedBy string
		state       workload.State
	}{
		"its own":                  {[]string{"org"}, "org", workload.Cancelled},
		"another one's":            {[]string{"other"}, "org", workload.Completed},
		"its own, also another":    {[]string{"other", "org"}, "org", workload.Cancelled},
		"anonymous":                {[]string{"org"}, "", workload.Cancelled},
		"anonymous, without a key": {[]string{""}, "", workload.Cancelled},
		"without a key":            {[]string{""}, "org", workload.Completed},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t)
			h.addWorker("w1", 20*time.Millisecond)
			o := h.startOwner(true)
			for _, organisation := range c.cancelledBy {
				if err := o.Cancel(t.Context(), "a", organisation); !errors.Is(err, jobs.ErrNoSuchJob) {
					t.Fatalf("cancel of an unknown job: %v", err)
				}
			}
			j := newJob("a", 1)
			j.Organisation = c.submittedBy
			h.submit(o, j)
			h.awaitState(o, "a", c.state)
		})
	}
}

// Early cancels are bounded for each organisation and kept as long as the status of an ended job, from the latest one on.
func TestEarlyCancelsAreBounded(t *testing.T) {
	h := newHarness(t)
	o := h.startOwner(true)
	for _, organisation := range []string{"org", "other"} {
		if err := o.Cancel(t.Context(), "a", organisation); !errors.Is(err, jobs.ErrNoSuchJob) {
			t.Fatalf("cancel of an unknown job: %v", err)
		}
	}
	h.inLoop(o, func() { o.earlyCancels.byOrganisation["org"] += maxEarlyCancels })
	var rejection *jobs.Rejection
	if err := o.Cancel(t.Context(), "b", "org"); !errors.As(err, &rejection) || !rejection.Overloaded {
		t.Errorf("%v, want a rejection for overload", err)
	}
	if err := o.Cancel(t.Context(), "b", "other"); !errors.Is(err, jobs.ErrNoSuchJob) {
		t.Errorf("cancel of an organisation with few of them: %v", err)
	}
	o = h.startOwner(true)
	h.inLoop(o, func() {
		e := &o.earlyCancels
		if e.byOrganisation["org"] != 1 || e.byOrganisation["other"] != 2 {
			t.Errorf("a successor counts %v", e.byOrganisation)
		}
		now := time.Now()
		e.add("a", "org", now.Add(time.Second).UnixMilli())
		o.expireEarlyCancels(now.Add(o.statusRetention() + 500*time.Millisecond))
		if len(e.byJob) != 1 || len(e.queue) != 1 || e.byOrganisation["org"] != 1 || e.byOrganisation["other"] != 1 {
			t.Errorf("%v kept of %v, want the job that was cancelled again", e.byJob, e.byOrganisation)
		}
		o.expireEarlyCancels(now.Add(o.statusRetention() + 2*time.Second))
		if len(e.byJob)+len(e.queue)+len(e.byOrganisation) != 0 {
			t.Errorf("%v kept, want none", e.byJob)
		}
	})
}

// An ID that no key of the store can hold is denied, and stops nothing.
func TestCancelOfAnIDTooLongForTheStore(t *testing.T) {
	h := newHarness(t)
	h.addWorker("w1", 10*time.Millisecond)
	o := h.startOwner(true)
	long := strings.Repeat("5", workload.MaxIDBytes+1)
	for name, call := range jobCalls {
		if err := call(t.Context(), o, long); !errors.Is(err, jobs.ErrNoSuchJob) {
			t.Errorf("%s: %v", name, err)
		}
	}
	if err := o.Cancel(t.Context(), long[1:], "org"); !errors.Is(err, jobs.ErrNoSuchJob) {
		t.Errorf("cancel with the longest ID: %v", err)
	}
	h.submit(o, newJob("a", 1))
	h.awaitState(o, "a", workload.Completed)
}

// Denials share the appends that confirm the term, and an owner that is not asked appends nothing.
func TestDenialsShareConfirmations(t *testing.T) {
	h := newHarness(t)
	store := &lateAnswers{Store: h.store}
	h.ownerStore = store
	o := h.startOwner(true)
	before := store.appends.Load()
	began := time.Now()
	var calls sync.WaitGroup
	for i := range 10 {
		calls.Go(func() {
			for range 10 {
				if _, err := o.Status(t.Context(), fmt.Sprint("unknown-", i), "org"); !errors.Is(err, jobs.ErrNoSuchJob) {
					t.Errorf("status of an unknown job: %v", err)
				}
			}
		})
	}
	calls.Wait()
	if n, most := store.appends.Load()-before, 2+int64(time.Since(began)/confirmInterval); n > most {
		t.Errorf("%d appends for 100 denials, want at most %d", n, most)
	}
	h.submit(o, newJob("a", 1))
	before = store.appends.Load()
	time.Sleep(2 * pauseLimit) // longer than a pause: ticks show that there was none
	h.status(o, "a")
	if n := store.appends.Load() - before; n != 0 {
		t.Errorf("%d appends for the status of a known job", n)
	}
}

// lateAnswers counts appends and, while it is on, holds their answers back after they were applied.
type lateAnswers struct {
	topic.Store
	appends atomic.Int64
	on      atomic.Bool
	release chan struct{}
}

// Append implements topic.Store.
func (s *lateAnswers) Append(ctx context.Context, name topic.Name, batch topic.Batch) (offset, end int64, err error) {
	s.appends.Add(1)
	offset, end, err = s.Store.Append(ctx, name, batch)
	if s.on.Load() {
		<-s.release
	}
	return offset, end, err
}

// A denial that was confirmed before a pause is confirmed again after it: a successor may have accepted the job meanwhile.
func TestConfirmationBeforeAPauseIsRepeated(t *testing.T) {
	h := newHarness(t)
	store := &lateAnswers{Store: h.store, release: make(chan struct{})}
	h.ownerStore = store
	o := h.startOwner(true)
	store.on.Store(true)
	before := store.appends.Load()
	answered := make(chan error, 1)
	go func() {
		_, err := o.Status(t.Context(), "a", "org")
		answered <- err
	}()
	h.await("the term is confirmed", func() bool { return store.appends.Load() > before })
	resume := o.pause()
	store.on.Store(false)
	// The length of the pause is under test. It ends before the append would be repeated.
	time.Sleep(pauseLimit + tickInterval)
	h.submit(h.startOwner(true), newJob("a", 1))
	resume()
	ticked := make(chan bool)
	time.AfterFunc(2*tickInterval, func() { close(ticked) })
	<-ticked
	close(store.release)
	if err := <-answered; err == nil || errors.Is(err, jobs.ErrNoSuchJob) {
		t.Errorf("the paused owner answered: %v", err)
	}
}

// A query of an unknown job behind a store that does not answer is rejected soon, not held until its caller's deadline.
func TestDenialBehindAStalledAppendIsRejected(t *testing.T) {
	h := newHarness(t)
	silent := &topictest.SilentAppends{Store: h.store}
	h.ownerStore = silent
	o := h.startOwner(true)
	silent.On.Store(true)
	answered := make(chan error, 2)
	query := func() {
		_, err := o.Status(t.Context(), "a", "org")
		answered <- err
	}
	go query()
	h.await("an append is in flight", func() bool { return silent.Unanswered.Load() > 0 })
	go query()
	for range 2 {
		select {
		case err := <-answered:
			var rejection *jobs.Rejection
			if !errors.As(err, &rejection) || rejection.Permanent || rejection.RetryAfter == 0 {
				t.Errorf("%v, want a rejection with a time to return", err)
			}
		case <-time.After(awaitTimeout):
			t.Fatal("the query is held")
		}
	}
}

// A slow store answers a held call, and a slow recovery is not a pause.
func TestSlowStoreAnswersDenials(t *testing.T) {
	h := newHarness(t)
	h.ownerStore = &slowStore{Store: h.store, delay: longAppend}
	o := h.startOwner(true)
	if _, err := o.Status(t.Context(), "a", "org"); !errors.Is(err, jobs.ErrNoSuchJob) {
		t.Errorf("status of an unknown job: %v", err)
	}
	h.inLoop(o, func() {
		if o.pauses > 0 {
			t.Errorf("%d pauses of the event loop", o.pauses)
		}
	})
}

// A job that was withdrawn is denied like any other unknown one: its client may have submitted it to a successor.
func TestWithdrawnJobIsDeniedOnlyWhenConfirmed(t *testing.T) {
	h := newHarness(t)
	store := &lateAnswers{Store: h.store, release: make(chan struct{})}
	h.ownerStore = store
	o := h.startOwner(true)
	store.on.Store(true)
	before := store.appends.Load()
	go func() { _ = o.Submit(t.Context(), newJob("first", 1)) }() // its outcome is not under test
	h.await("an append is in flight", func() bool { return store.appends.Load() > before })
	rejected, answered := make(chan error, 1), make(chan error, 1)
	go func() { rejected <- o.Submit(t.Context(), newJob("a", 1)) }()
	h.await("the job waits for an append", func() (waits bool) {
		h.inLoop(o, func() { waits = o.jobs["a"] != nil })
		return waits
	})
	go func() {
		_, err := o.Status(t.Context(), "a", "org")
		answered <- err
	}()
	h.await("the query waits for the job", func() (waits bool) {
		h.inLoop(o, func() { waits = len(o.commit.effects) > 1 })
		return waits
	})
	<-rejected
	store.on.Store(false)
	h.submit(h.startOwner(true), newJob("a", 1))
	close(store.release)
	if err := <-answered; err == nil || errors.Is(err, jobs.ErrNoSuchJob) {
		t.Errorf("the replaced owner answered: %v", err)
	}
}

// A pause during the recovery, or before the first turn of the event loop, leaves the term unconfirmed as well.
func TestPauseBeforeTheFirstTurnIsNoticed(t *testing.T) {
	h := newHarness(t)
	o := h.newOwner(true)
	time.Sleep(2 * pauseLimit) // the length of the pause is under test
	successor := h.startOwner(true)
	h.submit(successor, newJob("a", 1))
	o.start()
	if n, err := o.Pending(t.Context(), "queue"); err == nil {
		t.Errorf("the paused owner answered: %d pending", n)
	}
}

// Guards against answers from a term that was over: after a pause, in which a successor may have taken over, an owner
// answers nothing from memory until the store has confirmed its term.
func TestPausedOwnerAnswersNothingUnconfirmed(t *testing.T) {
	calls := map[string]func(ctx context.Context, s jobs.Service) error{
		"submit": func(ctx context.Context, s jobs.Service) error { return s.Submit(ctx, newJob("known", 1)) },
		"pending": func(ctx context.Context, s jobs.Service) error {
			_, err := s.Pending(ctx, "queue")
			return err
		},
		"fleet": func(ctx context.Context, s jobs.Service) error {
			_, err := s.Fleet(ctx)
			return err
		},
	}
	for name, call := range jobCalls {
		calls[name] = func(ctx context.Context, s jobs.Service) error { return call(ctx, s, "known") }
	}
	for name, call := range calls {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t)
			o := h.startOwner(true)
			h.submit(o, newJob("known", 1))
			if err := o.Cancel(t.Context(), "known", "org"); err != nil {
				t.Fatal(err)
			}
			resume := o.pause()
			h.startOwner(true)
			answered := make(chan error, 1)
			go func() { answered <- call(t.Context(), o) }()
			time.Sleep(2 * pauseLimit) // the length of the pause is under test
			resume()
			if err := <-answered; err == nil || errors.Is(err, jobs.ErrNoSuchJob) {
				t.Errorf("the paused owner answered: %v", err)
			}
		})
	}
}

// Guards against a rejection of a job that its successor runs: after a pause an owner took its own standstill for silence of
// the store and withdrew the jobs that no append contained.
func TestPausedOwnerWithdrawsNoJob(t *testing.T) {
	h := newHarness(t)
	silent := &topictest.SilentAppends{Store: h.store}
	h.ownerStore = silent
	o := h.startOwner(true)
	silent.On.Store(true)
	first, behind := make(chan error, 1), make(chan error, 1)
	go func() { first <- o.Submit(t.Context(), newJob("first", 1)) }()
	h.await("an append is in flight", func() bool { return silent.Unanswered.Load() > 0 })
	go func() { behind <- o.Submit(t.Context(), newJob("behind", 1)) }()
	h.await("the other job waits for an append", func() bool {
		waits := make(chan bool, 1)
		o.post(func() { waits <- o.jobs["behind"] != nil })
		return <-waits
	})
	resume := o.pause()
	silent.On.Store(false)
	time.Sleep(storeStallLimit + 100*time.Millisecond) // the length of the pause is under test
	successor := h.startOwner(true)
	h.submit(successor, newJob("behind", 1)) // its client tries again
	resume()
	var rejection *jobs.Rejection
	if err := <-behind; errors.As(err, &rejection) {
		t.Errorf("the paused owner rejected a job that its successor has accepted: %v", err)
	}
	<-first
}
