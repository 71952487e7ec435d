// Package entry is the edge of the job service: it authenticates and routes requests and hands them to the owner.
package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"

	"github.com/pollenford/pollenford/internal/catalog"
	"github.com/pollenford/pollenford/internal/jobs"
	"github.com/pollenford/pollenford/internal/leader"
	"github.com/pollenford/pollenford/internal/link"
	"github.com/pollenford/pollenford/internal/wait"
	"github.com/pollenford/pollenford/internal/workload"
)

// Errors of Admit.
const (
	ErrNotReady   = errors.ConstError("no configuration has arrived yet")
	ErrNoQueue    = errors.ConstError("no queue has this address")
	ErrUnknownKey = errors.ConstError("the key belongs to no organisation")
)

const (
	// ownerRetry is the pause before another attempt to reach an owner, a fraction of a usual take-over.
	ownerRetry = 20 * time.Millisecond
	// ownerWait is how long a call waits for an owner to be reached before it is rejected: a take-over after a released
	// or killed owner fits, an expiry does not.
	ownerWait = 700 * time.Millisecond
	// retryAfter is when a client should return while there is no owner: the time in which a record expires is 2.5 s, and
	// the platform's clients wait 3 s in all.
	retryAfter = time.Second
)

// Entry routes requests of clients.
type Entry struct {
	Elector *leader.Elector
	// Local returns the service when this process is the owner, or nil.
	Local func() jobs.Service
	Log   hclog.Logger
	// Lifetime bounds the connections to owners.
	Lifetime context.Context

	catalog atomic.Pointer[catalog.Catalog]

	mu        sync.Mutex
	client    *link.Client // protected by mu
	clientFor int64        // fence of the owner that client is connected to; protected by mu
}

// SetCatalog puts a configuration in force unless a newer one is.
func (e *Entry) SetCatalog(c *catalog.Catalog) {
	for {
		old := e.catalog.Load()
		if old != nil && old.Version >= c.Version {
			return
		}
		if e.catalog.CompareAndSwap(old, c) {
			e.Log.Info("configuration in force", "version", c.Version, "queues", len(c.Queues), "organisations", len(c.Organisations))
			return
		}
	}
}

// Catalog returns the configuration in force, or nil.
func (e *Entry) Catalog() *catalog.Catalog { return e.catalog.Load() }

// Admission is a request that the configuration allows.
type Admission struct {
	Queue *catalog.Queue
	// Organisation is the holder of the key, "" on an open queue without one.
	Organisation string
	// Rest is the path behind the queue's prefix.
	Rest    string
	Version int64
}

// Admit routes and authenticates a request by one version of the configuration.
func (e *Entry) Admit(host, path, key string) (Admission, error) {
	c := e.catalog.Load()
	if c == nil {
		return Admission{}, ErrNotReady
	}
	q, rest := c.Route(host, path)
	if q == nil {
		return Admission{Version: c.Version}, ErrNoQueue
	}
	a := Admission{Queue: q, Rest: rest, Version: c.Version}
	if o := c.KeyOwner(key); o != nil {
		a.Organisation = o.Name
	} else if !q.Open {
		return a, ErrUnknownKey
	}
	return a, nil
}

// Submit hands a job in.
func (e *Entry) Submit(ctx context.Context, job *workload.Job) error {
	if err := job.Check(); err != nil {
		return &jobs.Rejection{Reason: err.Error(), Permanent: true}
	}
	return e.withOwner(ctx, func(s jobs.Service) error { return s.Submit(ctx, job) })
}

// Status returns the state of a job.
func (e *Entry) Status(ctx context.Context, id, organisation string) (status jobs.Status, err error) {
	err = e.withOwner(ctx, func(s jobs.Service) (err error) {
		status, err = s.Status(ctx, id, organisation)
		return err
	})
	return status, err
}

// Cancel cancels a job.
func (e *Entry) Cancel(ctx context.Context, id, organisation string) error {
	return e.withOwner(ctx, func(s jobs.Service) error { return s.Cancel(ctx, id, organisation) })
}

// Pending returns the number of jobs of a queue that have not begun.
func (e *Entry) Pending(ctx context.Context, queue string) (n int, err error) {
	err = e.withOwner(ctx, func(s jobs.Service) (err error) {
		n, err = s.Pending(ctx, queue)
		return err
	})
	return n, err
}

// withOwner calls the owner. All calls are idempotent, so one whose connection broke is made again while time is left.
func (e *Entry) withOwner(ctx context.Context, call func(jobs.Service) error) error {
	giveUp := time.Now().Add(ownerWait)
	uncertain := false
	for {
		service, err := e.owner()
		if err == nil {
			err = call(service)
			var rejection *jobs.Rejection
			switch {
			case errors.Is(err, jobs.ErrOutcomeUnknown):
				uncertain = true
			case errors.As(err, &rejection) && !rejection.Permanent && !rejection.Overloaded:
				// This instance is not the owner, or no longer.
			default:
				return err
			}
		}
		if time.Now().After(giveUp) || !wait.For(ctx, ownerRetry) {
			if uncertain {
				return errors.Annotate(jobs.ErrOutcomeUnknown, "the owner was lost")
			}
			return &jobs.Rejection{Reason: "no owner can be reached: " + err.Error(), RetryAfter: retryAfter}
		}
	}
}

func (e *Entry) owner() (jobs.Service, error) {
	if local := e.Local(); local != nil {
		return local, nil
	}
	owner, ok := e.Elector.Current()
	if !ok || owner.Incarnation == e.Elector.Self.Incarnation {
		return nil, errors.New("there is no owner")
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.client != nil && e.clientFor == owner.Fence {
		return e.client, nil
	}
	if e.client != nil {
		e.client.Close()
		e.client = nil
	}
	client, err := link.Dial(e.Lifetime, owner.Address, func() { e.lost(owner.Fence) })
	if err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) {
			// Nobody listens there: the owner's process has ended.
			e.Elector.Suspect(owner.Fence)
		}
		return nil, err
	}
	e.Log.Debug("connected to the owner", "owner", owner.Name, "fence", owner.Fence)
	e.client, e.clientFor = client, owner.Fence
	return client, nil
}

// lost forgets a broken connection and looks at once whether the owner still listens.
func (e *Entry) lost(fence int64) {
	e.mu.Lock()
	current := e.client != nil && e.clientFor == fence
	if current {
		e.client = nil
	}
	e.mu.Unlock()
	if current && e.Lifetime.Err() == nil {
		e.Log.Warn("lost the connection to the owner")
		if _, err := e.owner(); err != nil {
			e.Log.Debug("the owner cannot be reached", "err", err)
		}
	}
}
