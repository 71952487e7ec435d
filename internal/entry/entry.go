// Package entry is the edge of the job service: it authenticates and routes requests and hands them to the owner.
package entry

import (
	"context"
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
	// ownerRetry is the pause before the owner is looked for again, a fraction of a usual hand-over.
	ownerRetry = 20 * time.Millisecond
	// ownerWait is how long a call waits for an owner before it is rejected: a quarter of the shortest latency objective
	// in the users' deployments (600 ms), and longer than a hand-over takes.
	ownerWait = 150 * time.Millisecond
	// retryAfter is when a client should return while there is no owner: half of the time in which a silent owner is
	// replaced.
	retryAfter = time.Second
	// dialRetry is the pause before another attempt to reach the owner.
	dialRetry = 50 * time.Millisecond
)

// Entry routes requests of clients.
type Entry struct {
	Elector *leader.Elector
	// Local returns the service when this process is the owner, or nil.
	Local func() jobs.Service
	Log   hclog.Logger

	catalog   atomic.Pointer[catalog.Catalog]
	connected atomic.Pointer[link.Client] // to the present owner, nil without a connection
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
	return e.withOwner(ctx, changing, func(s jobs.Service) error { return s.Submit(ctx, job) })
}

// Status returns the state of a job.
func (e *Entry) Status(ctx context.Context, id, organisation string) (status jobs.Status, err error) {
	err = e.withOwner(ctx, reading, func(s jobs.Service) (err error) {
		status, err = s.Status(ctx, id, organisation)
		return err
	})
	return status, err
}

// Cancel cancels a job.
func (e *Entry) Cancel(ctx context.Context, id, organisation string) error {
	return e.withOwner(ctx, changing, func(s jobs.Service) error { return s.Cancel(ctx, id, organisation) })
}

// Pending returns the number of jobs of a queue that have not begun.
func (e *Entry) Pending(ctx context.Context, queue string) (n int, err error) {
	err = e.withOwner(ctx, reading, func(s jobs.Service) (err error) {
		n, err = s.Pending(ctx, queue)
		return err
	})
	return n, err
}

// effect tells whether a call changes anything at the owner.
type effect bool

const (
	reading  effect = false
	changing effect = true
)

// withOwner calls the owner. All calls are idempotent, so one whose connection broke is made again. Without an owner a
// call is rejected soon; one that may have changed something goes on until its outcome is known or its time is over,
// because only then a rejection would be true.
func (e *Entry) withOwner(ctx context.Context, kind effect, call func(jobs.Service) error) error {
	giveUp := time.Now().Add(ownerWait)
	uncertain := false
	var last error = errors.New("there is no owner")
	for {
		if service := e.owner(); service != nil {
			err := call(service)
			var rejection *jobs.Rejection
			switch {
			case errors.Is(err, jobs.ErrOutcomeUnknown):
				uncertain = uncertain || kind == changing
			case errors.As(err, &rejection) && !rejection.Permanent && !rejection.Overloaded:
				// That instance is not the owner, or no longer.
			case errors.As(err, &rejection) && uncertain:
				// An earlier attempt may have been stored, so this one's rejection tells nothing.
			default:
				return err
			}
			last = err
		}
		late := time.Now().After(giveUp) && !uncertain
		if late || !wait.For(ctx, ownerRetry) {
			if uncertain {
				return errors.Annotate(jobs.ErrOutcomeUnknown, last.Error())
			}
			return &jobs.Rejection{Reason: "no owner can be reached: " + last.Error(), RetryAfter: retryAfter}
		}
	}
}

// owner returns the owner as far as it can be reached, or nil.
func (e *Entry) owner() jobs.Service {
	if local := e.Local(); local != nil {
		return local
	}
	if client := e.connected.Load(); client != nil {
		return client
	}
	return nil
}

// Connect keeps a connection to the present owner until ctx ends.
func (e *Entry) Connect(ctx context.Context) {
	for ctx.Err() == nil {
		changed := e.Elector.Changed()
		owner, ok := e.Elector.Current()
		if !ok || owner.Incarnation == e.Elector.Self.Incarnation {
			select {
			case <-changed:
			case <-ctx.Done():
			}
			continue
		}
		if err := e.connectTo(ctx, owner, changed); err != nil {
			e.Log.Debug("the owner cannot be reached", "owner", owner.Name, "fence", owner.Fence, "err", err)
			switch {
			case errors.Is(err, link.ErrOtherProcess):
				e.Elector.Gone(owner.Fence)
			case errors.Is(err, syscall.ECONNREFUSED):
				// Nobody listens there, unless a cut refuses connections: the election may begin, which is safe either way.
				e.Elector.Suspect(owner.Fence)
			}
			wait.For(ctx, dialRetry)
		}
	}
}

// connectTo connects to an owner and returns when the connection or the term is over.
func (e *Entry) connectTo(ctx context.Context, owner leader.Owner, changed <-chan struct{}) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-changed:
			cancel()
		case <-ctx.Done():
		}
	}()
	lost := make(chan struct{})
	client, err := link.Dial(ctx, owner.Address, owner.Incarnation, func() { close(lost) })
	if err != nil {
		return err
	}
	e.Log.Debug("connected to the owner", "owner", owner.Name, "fence", owner.Fence)
	e.connected.Store(client)
	<-lost // also when ctx ends
	e.connected.Store(nil)
	e.Log.Info("connection to the owner ended", "owner", owner.Name, "fence", owner.Fence)
	return nil
}
