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

// service is a jobs.Service in which submit returns the result of every call.
type service struct{ submit func() error }

func (s *service) Submit(context.Context, *workload.Job) error { return s.submit() }
func (s *service) Status(context.Context, string, string) (jobs.Status, error) {
	return jobs.Status{}, s.submit()
}
func (s *service) Cancel(context.Context, string, string) error { return s.submit() }
func (s *service) Pending(context.Context, string) (int, error) { return 0, s.submit() }
func (s *service) Await(context.Context, string, string) (jobs.Status, error) {
	return jobs.Status{}, s.submit()
}
func (s *service) Fleet(context.Context) (jobs.Fleet, error) { return jobs.Fleet{}, s.submit() }

func newEntry(local func() jobs.Service) *Entry {
	return &Entry{
		Log: hclog.NewNullLogger(), LocalOwner: local,
		Elector: &leader.Elector{Store: &topictest.Store{}, Log: hclog.NewNullLogger(), Eligible: func() bool { return false }},
	}
}

func admitted() *Admission { return &Admission{Queue: &catalog.Queue{Name: "q"}, Organisation: "org"} }

func oneTask(id string) *workload.Job {
	return &workload.Job{ID: id, Steps: []workload.Step{{Count: 1}}}
}

// Guards against requests that queue behind dials to an unreachable owner: each is rejected soon, however many there
// are. Serialised dials took 16 s for 40 requests, long after the new owner was known.
func TestUnreachableOwnerDoesNotBlockRequests(t *testing.T) {
	// A listener that never accepts behaves like an instance without power: no handshake completes.
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
			if err := e.Submit(ctx, admitted(), oneTask("a"), DefaultOwnerTimeout); !errors.As(err, &rejection) || rejection.RetryAfter <= 0 {
				t.Errorf("%v, want a rejection with RetryAfter", err)
			}
		})
	}
	all.Wait()
	if took := time.Since(began); took > 2*time.Second { // serialised they would take 16 s
		t.Errorf("%d calls took %v", calls, took)
	}
}

// Guards the time without an owner after its instance lost power: an entry that cannot reach it tells the election.
func TestUnreachableOwnerIsReplacedEarly(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0") // accepts no connection
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	dead, err := cbor.Marshal(leader.Owner{Name: "dead", Incarnation: "x", Address: l.Addr().String(), Fence: 1})
	if err != nil {
		t.Fatal(err)
	}
	store := &topictest.Store{}
	store.Put("keyed.owner", "owner", dead)
	e := newEntry(func() jobs.Service { return nil })
	elected := make(chan time.Time, 1)
	e.Elector.Store, e.Elector.Eligible = store, func() bool { return true }
	e.Elector.Serve = func(ctx context.Context, _ *leader.Term) error {
		elected <- time.Now()
		<-ctx.Done()
		return ctx.Err()
	}
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	began := time.Now()
	go e.Elector.Run(ctx)
	go e.Connect(ctx)
	if took := (<-elected).Sub(began); took > (leader.SilentRecordTTL+leader.RecordTTL)/2 {
		t.Errorf("replaced after %v, want about %v", took, leader.SilentRecordTTL)
	}
}

// Guards against a false rejection: after an attempt with an unknown outcome, a rejection by the next owner must not
// reach the client, but an acceptance must.
func TestUnknownOutcomeIsNeverTurnedIntoARejection(t *testing.T) {
	results := []error{jobs.ErrOutcomeUnknown, &jobs.Rejection{Reason: "full", Overloaded: true},
		&jobs.Rejection{Reason: "full", Overloaded: true}}
	next := 0
	s := &service{submit: func() error {
		next++
		if next <= len(results) {
			return results[next-1]
		}
		return nil
	}}
	e := newEntry(func() jobs.Service { return s })
	if err := e.Submit(t.Context(), admitted(), oneTask("a"), DefaultOwnerTimeout); err != nil {
		t.Errorf("%v, want success", err)
	}
	next = 0
	results = []error{jobs.ErrOutcomeUnknown}
	for range 1000 {
		results = append(results, &jobs.Rejection{Reason: "full", Overloaded: true})
	}
	ctx, stop := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer stop()
	if err := e.Submit(ctx, admitted(), oneTask("a"), DefaultOwnerTimeout); !errors.Is(err, jobs.ErrOutcomeUnknown) {
		t.Errorf("%v, want ErrOutcomeUnknown", err)
	}
}

// Guards against the use of withdrawn keys at an instance that was suspended or disconnected: a request admitted by an
// older configuration is admitted again, and one with an unknown outcome is never rejected.
func TestStaleAdmissionIsRepeated(t *testing.T) {
	version := func(v int64, key string) *catalog.Catalog {
		return catalog.New(v, []*catalog.Queue{{Name: "q"}}, nil,
			[]*catalog.Organisation{{Name: "org", Keys: []string{key}}}, catalog.HTTPLimits{})
	}
	for name, c := range map[string]struct {
		newKey  string
		first   error
		want    error
		arrives bool // the configuration arrives independently during the first attempt
	}{
		"withdrawn":                          {"new", nil, ErrUnknownKey, false},
		"still valid":                        {"old", nil, nil, false},
		"withdrawn, first attempt unknown":   {"new", jobs.ErrOutcomeUnknown, jobs.ErrOutcomeUnknown, false},
		"withdrawn during the first attempt": {"new", &jobs.Rejection{Reason: "not the owner"}, ErrUnknownKey, true},
	} {
		t.Run(name, func(t *testing.T) {
			var e *Entry
			results := []error{jobs.ErrStaleConfig, nil}
			switch {
			case c.arrives:
				results = []error{c.first, nil}
			case c.first != nil:
				results = append([]error{c.first}, results...)
			}
			s := &service{submit: func() error {
				result := results[0]
				results = results[1:]
				if errors.Is(result, jobs.ErrStaleConfig) || c.arrives {
					e.SetCatalog(version(2, c.newKey))
				}
				return result
			}}
			e = newEntry(func() jobs.Service { return s })
			e.SetCatalog(version(1, "old"))
			a, err := e.AdmitQueue("q", "old")
			if err != nil {
				t.Fatal(err)
			}
			if err := e.Submit(t.Context(), &a, oneTask("a"), DefaultOwnerTimeout); !errors.Is(err, c.want) {
				t.Errorf("%v, want %v", err, c.want)
			}
		})
	}
}

// Guards clients that wait for a job across a change of the owner: Await continues until the next owner responds.
func TestAwaitSurvivesAChangeOfTheOwner(t *testing.T) {
	results := []error{jobs.ErrOutcomeUnknown, &jobs.Rejection{Reason: "not the owner"},
		&jobs.Rejection{Reason: "not the owner"}, nil}
	outageEnd := time.Now().Add(2 * DefaultOwnerTimeout)
	s := &service{submit: func() error {
		if time.Now().Before(outageEnd) || len(results) == 1 {
			return results[0]
		}
		results = results[1:]
		return results[0]
	}}
	e := newEntry(func() jobs.Service { return s })
	if _, err := e.Await(t.Context(), admitted(), "a"); err != nil {
		t.Errorf("%v, want the state of the job", err)
	}
}

// Guards against an entry that reverts to an older configuration.
func TestOlderConfigurationIsIgnored(t *testing.T) {
	e := newEntry(func() jobs.Service { return nil })
	if _, err := e.Admit("h", "/", ""); !errors.Is(err, ErrNotReady) {
		t.Errorf("without a configuration: %v", err)
	}
	version := func(v int64) *catalog.Catalog {
		return catalog.New(v, []*catalog.Queue{{Name: "q", Host: "h", Prefix: "/q/"}}, nil,
			[]*catalog.Organisation{{Name: "o", Keys: []string{"k"}}}, catalog.HTTPLimits{})
	}
	e.SetCatalog(version(7))
	e.SetCatalog(version(4))
	if a, err := e.Admit("h", "/q/1", "k"); err != nil || a.ConfigVersion != 7 || a.Organisation != "o" || a.PathSuffix != "1" {
		t.Errorf("%+v %v", a, err)
	}
	if _, err := e.Admit("h", "/q/1", "other"); !errors.Is(err, ErrUnknownKey) {
		t.Errorf("unknown key: %v", err)
	}
	if _, err := e.Admit("h", "/x/1", "k"); !errors.Is(err, ErrNoQueue) {
		t.Errorf("unknown queue: %v", err)
	}
}
