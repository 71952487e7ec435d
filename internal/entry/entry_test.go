package entry

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"

	"github.com/pollenford/pollenford/internal/catalog"
	"github.com/pollenford/pollenford/internal/jobs"
	"github.com/pollenford/pollenford/internal/leader"
	"github.com/pollenford/pollenford/internal/topic/topictest"
	"github.com/pollenford/pollenford/internal/workload"
)

// service answers calls in a test.
type service struct{ submit func() error }

func (s *service) Submit(context.Context, *workload.Job) error { return s.submit() }
func (s *service) Status(context.Context, string, string) (jobs.Status, error) {
	return jobs.Status{}, s.submit()
}
func (s *service) Cancel(context.Context, string, string) error { return s.submit() }
func (s *service) Pending(context.Context, string) (int, error) { return 0, s.submit() }

func newEntry(local func() jobs.Service) *Entry {
	return &Entry{
		Log: hclog.NewNullLogger(), Local: local,
		Elector: &leader.Elector{Store: &topictest.Store{}, Log: hclog.NewNullLogger(), Eligible: func() bool { return false }},
	}
}

func oneTask(id string) *workload.Job {
	return &workload.Job{ID: id, Steps: []workload.Step{{Count: 1}}}
}

// Guards against requests that queue behind dials to a dead owner: each is rejected soon, however many there are. (40
// requests took 16 s to drain, long after the new owner was known.)
func TestDeadOwnerDoesNotHoldRequests(t *testing.T) {
	// A listener whose queue nobody accepts from looks like an instance without power: connections do not finish.
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	store := &topictest.Store{}
	dead, err := cbor.Marshal(leader.Owner{Name: "dead", Incarnation: "x", Address: l.Addr().String(), Fence: 1})
	if err != nil {
		t.Fatal(err)
	}
	e := newEntry(func() jobs.Service { return nil })
	e.Elector.Store = store
	store.Put("keyed.owner", "owner", dead)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	go e.Elector.Run(ctx)
	go e.Connect(ctx)
	const calls = 40
	var all sync.WaitGroup
	began := time.Now()
	for range calls {
		all.Go(func() {
			var rejection *jobs.Rejection
			if err := e.Submit(ctx, oneTask("a")); !errors.As(err, &rejection) || rejection.RetryAfter <= 0 {
				t.Errorf("%v, want a rejection with a time to return", err)
			}
		})
	}
	all.Wait()
	if took := time.Since(began); took > 2*time.Second { // one after the other they would take 16 s
		t.Errorf("%d calls took %v", calls, took)
	}
}

// Guards the truth of "not stored": after an attempt whose outcome is not known, a rejection by the next owner must not
// reach the client, and an acceptance must.
func TestUnknownOutcomeIsNeverTurnedIntoARejection(t *testing.T) {
	answers := []error{jobs.ErrOutcomeUnknown, &jobs.Rejection{Reason: "full", Overloaded: true}, &jobs.Rejection{Reason: "full", Overloaded: true}}
	next := 0
	s := &service{submit: func() error {
		next++
		if next <= len(answers) {
			return answers[next-1]
		}
		return nil
	}}
	e := newEntry(func() jobs.Service { return s })
	if err := e.Submit(t.Context(), oneTask("a")); err != nil {
		t.Errorf("%v, want success", err)
	}
	next = 0
	answers = []error{jobs.ErrOutcomeUnknown}
	for range 1000 {
		answers = append(answers, &jobs.Rejection{Reason: "full", Overloaded: true})
	}
	ctx, stop := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer stop()
	if err := e.Submit(ctx, oneTask("a")); !errors.Is(err, jobs.ErrOutcomeUnknown) {
		t.Errorf("%v, want that the outcome is not known", err)
	}
}

// Guards against an entry that goes back to an older configuration.
func TestOlderConfigurationIsIgnored(t *testing.T) {
	e := newEntry(func() jobs.Service { return nil })
	if _, err := e.Admit("h", "/", ""); !errors.Is(err, ErrNotReady) {
		t.Errorf("without a configuration: %v", err)
	}
	version := func(v int64) *catalog.Catalog {
		return catalog.New(v, []*catalog.Queue{{Name: "q", Host: "h", Prefix: "/q/"}}, nil, []*catalog.Organisation{{Name: "o", Keys: []string{"k"}}}, catalog.HTTPLimits{})
	}
	e.SetCatalog(version(7))
	e.SetCatalog(version(4))
	if a, err := e.Admit("h", "/q/1", "k"); err != nil || a.Version != 7 || a.Organisation != "o" || a.Rest != "1" {
		t.Errorf("%+v %v", a, err)
	}
	if _, err := e.Admit("h", "/q/1", "other"); !errors.Is(err, ErrUnknownKey) {
		t.Errorf("unknown key: %v", err)
	}
	if _, err := e.Admit("h", "/x/1", "k"); !errors.Is(err, ErrNoQueue) {
		t.Errorf("unknown queue: %v", err)
	}
}
