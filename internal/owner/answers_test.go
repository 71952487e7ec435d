package owner

import (
	"context"
	"testing"
	"time"

	"github.com/juju/errors"

	"github.com/pollenford/pollenford/internal/jobs"
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
			// A job that is accepted later and runs shows that this one was not merely late.
			h.submit(o, newJob("b", 1))
			h.await("the other job runs", func() bool { return len(h.startsOf("b.0.0.0")) == 1 })
			if n := len(h.startsOf("a.0.0.0")); n != 0 {
				t.Errorf("%d runs of a cancelled job", n)
			}
		})
	}
}

// A cancel of an unknown job binds only its own organisation: the ID of another one's job can be guessed.
func TestCancelOfUnknownJobBindsOnlyItsOrganisation(t *testing.T) {
	h := newHarness(t)
	h.addWorker("w1", 20*time.Millisecond)
	o := h.startOwner(true)
	if err := o.Cancel(t.Context(), "a", "other"); !errors.Is(err, jobs.ErrNoSuchJob) {
		t.Fatalf("cancel of an unknown job: %v", err)
	}
	h.submit(o, newJob("a", 1))
	h.awaitState(o, "a", workload.Completed)
}

// Cancels of unknown jobs are bounded, and forgotten with the status of ended jobs.
func TestCancelsOfUnknownJobsAreBounded(t *testing.T) {
	h := newHarness(t)
	o := h.startOwner(true)
	inLoop := func(do func()) {
		done := make(chan bool)
		o.post(func() { do(); close(done) })
		<-done
	}
	if err := o.Cancel(t.Context(), "a", "org"); !errors.Is(err, jobs.ErrNoSuchJob) {
		t.Fatalf("cancel of an unknown job: %v", err)
	}
	inLoop(func() { o.unsubmitted += maxUnsubmitted - 1 })
	var rejection *jobs.Rejection
	if err := o.Cancel(t.Context(), "b", "org"); !errors.As(err, &rejection) || !rejection.Overloaded {
		t.Errorf("%v, want a rejection for overload", err)
	}
	inLoop(func() {
		o.expireJobs(time.Now().Add(o.cfg.Timing.StatusRetention + 2*statusRetentionMargin))
		if want := maxUnsubmitted - 1; o.unsubmitted != want || len(o.jobs) != 0 {
			t.Errorf("%d cancels counted and %d jobs kept, want %d and 0", o.unsubmitted, len(o.jobs), want)
		}
	})
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
			paused, resume := make(chan bool), make(chan bool)
			o.post(func() { close(paused); <-resume })
			<-paused
			h.startOwner(true)
			answered := make(chan error, 1)
			go func() { answered <- call(t.Context(), o) }()
			time.Sleep(2 * pauseLimit) // the length of the pause is under test
			close(resume)
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
	paused, resume := make(chan bool), make(chan bool)
	h.await("the other job waits for an append", func() bool {
		waits := make(chan bool, 1)
		o.post(func() { waits <- o.jobs["behind"] != nil })
		return <-waits
	})
	o.post(func() { close(paused); <-resume })
	<-paused
	silent.On.Store(false)
	time.Sleep(storeStallLimit + 100*time.Millisecond) // the length of the pause is under test
	successor := h.startOwner(true)
	h.submit(successor, newJob("behind", 1)) // its client tries again
	close(resume)
	var rejection *jobs.Rejection
	if err := <-behind; errors.As(err, &rejection) {
		t.Errorf("the paused owner rejected a job that its successor has accepted: %v", err)
	}
	<-first
}
