// Package entry is the edge of the job service: it authenticates and routes requests and hands them to the owner.
package entry

import (
	"context"
	"math"
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
	// DefaultOwnerTimeout is how long a call waits for an owner before it is rejected: a quarter of the shortest latency objective
	// in the users' deployments (600 ms), and longer than a hand-over takes.
	DefaultOwnerTimeout = 150 * time.Millisecond
	// UnlimitedOwnerTimeout makes a call wait for an owner until its context ends.
	UnlimitedOwnerTimeout time.Duration = math.MaxInt64
	// retryAfter is when a client should return while there is no owner: half of the time in which a silent owner is
	// replaced.
	retryAfter = time.Second
	// dialRetry is the pause before another attempt to reach the owner.
	dialRetry = 50 * time.Millisecond
)

// Entry routes requests of clients.
type Entry struct {
	Elector *leader.Elector
	// LocalOwner returns the service when this process is the owner, or nil.
	LocalOwner func() jobs.Service
	// DecodeCatalog reads a document that the owner sends because its configuration is newer.
	DecodeCatalog func(document []byte) (*catalog.Catalog, error)
	Log           hclog.Logger

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
	// PathSuffix is the path behind the queue's prefix.
	PathSuffix    string
	ConfigVersion int64

	route func(c *catalog.Catalog) (q *catalog.Queue, rest string)
	key   string
}

// Admit routes and authenticates a request by one version of the configuration.
func (e *Entry) Admit(host, path, key string) (Admission, error) {
	a := Admission{key: key, route: func(c *catalog.Catalog) (*catalog.Queue, string) { return c.Route(host, path) }}
	return a, e.admit(&a)
}

// AdmitQueue authenticates a request for a queue that it names.
func (e *Entry) AdmitQueue(name, key string) (Admission, error) {
	a := Admission{key: key, route: func(c *catalog.Catalog) (*catalog.Queue, string) { return c.Queues[name], "" }}
	return a, e.admit(&a)
}

// admit decides by the configuration in force now.
func (e *Entry) admit(a *Admission) error {
	c := e.catalog.Load()
	if c == nil {
		return ErrNotReady
	}
	a.ConfigVersion, a.Organisation = c.Version, ""
	if a.Queue, a.PathSuffix = a.route(c); a.Queue == nil {
		return ErrNoQueue
	}
	if o := c.OrganisationByKey(a.key); o != nil {
		a.Organisation = o.Name
	} else if !a.Queue.AllowAnonymous {
		return ErrUnknownKey
	}
	return nil
}

// Submit hands a job in for the queue and the organisation of an admission. patience is how long it waits for an owner.
func (e *Entry) Submit(ctx context.Context, a *Admission, job *workload.Job, patience time.Duration) error {
	if err := job.Validate(); err != nil {
		return &jobs.Rejection{Reason: err.Error(), Permanent: true}
	}
	return e.withOwner(ctx, a, changing, patience, func(s jobs.Service) error {
		job.Queue, job.Organisation = a.Queue.Name, a.Organisation
		return s.Submit(ctx, job)
	})
}

// Status returns the state of a job.
func (e *Entry) Status(ctx context.Context, a *Admission, id string) (status jobs.Status, err error) {
	err = e.withOwner(ctx, a, reading, DefaultOwnerTimeout, func(s jobs.Service) (err error) {
		status, err = s.Status(ctx, id, a.Organisation)
		return err
	})
	return status, err
}

// Cancel cancels a job.
func (e *Entry) Cancel(ctx context.Context, a *Admission, id string) error {
	return e.withOwner(ctx, a, changing, DefaultOwnerTimeout, func(s jobs.Service) error { return s.Cancel(ctx, id, a.Organisation) })
}

// Pending returns the number of jobs of the admission's queue that have not begun.
func (e *Entry) Pending(ctx context.Context, a *Admission) (n int, err error) {
	err = e.withOwner(ctx, a, reading, DefaultOwnerTimeout, func(s jobs.Service) (err error) {
		n, err = s.Pending(ctx, a.Queue.Name)
		return err
	})
	return n, err
}

// Await returns the state of a job once it has ended. It goes on across changes of the owner until ctx ends.
func (e *Entry) Await(ctx context.Context, a *Admission, id string) (status jobs.Status, err error) {
	err = e.withOwner(ctx, a, reading, UnlimitedOwnerTimeout, func(s jobs.Service) (err error) {
		status, err = s.Await(ctx, id, a.Organisation)
		return err
	})
	return status, err
}

// Fleet returns the state of workers and waves.
func (e *Entry) Fleet(ctx context.Context) (fleet jobs.Fleet, err error) {
	err = e.withOwner(ctx, nil, reading, DefaultOwnerTimeout, func(s jobs.Service) (err error) {
		fleet, err = s.Fleet(ctx)
		return err
	})
	return fleet, err
}

// effect tells whether a call changes anything at the owner.
type effect bool

const (
	reading  effect = false
	changing effect = true
)

// withOwner calls the owner. All calls are idempotent, so one whose connection broke is made again. Without an owner a
// call is rejected when its patience is over; one that may have changed something goes on until its outcome is known or its time is over,
// because only then a rejection would be true. A request that was admitted by an older configuration than the owner's is
// admitted again.
func (e *Entry) withOwner(ctx context.Context, a *Admission, kind effect, patience time.Duration, call func(jobs.Service) error) error {
	began := time.Now()
	uncertain := false
	var last error = errors.New("there is no owner")
	for {
		if refusal := e.readmitIfOlder(a); refusal != nil {
			if uncertain {
				return errors.Annotate(jobs.ErrOutcomeUnknown, refusal.Error())
			}
			return refusal
		}
		if service := e.owner(a); service != nil {
			err := call(service)
			var rejection *jobs.Rejection
			switch {
			case errors.Is(err, jobs.ErrStaleConfig):
				// The newer configuration is in force here by now.
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
		late := time.Since(began) > patience && !uncertain
		if late || !wait.For(ctx, ownerRetry) {
			if uncertain {
				return errors.Annotate(jobs.ErrOutcomeUnknown, last.Error())
			}
			return &jobs.Rejection{Reason: "no owner can be reached: " + last.Error(), RetryAfter: retryAfter}
		}
	}
}

// readmitIfOlder decides anew on a request that was admitted by an older configuration than the one in force. Calls of
// operators need no admission.
func (e *Entry) readmitIfOlder(a *Admission) error {
	if a == nil || a.ConfigVersion >= e.version() {
		return nil
	}
	older := a.ConfigVersion
	err := e.admit(a)
	e.Log.Info("request admitted again", "by", a.ConfigVersion, "before", older, "err", err)
	return err
}

// version returns the version of the configuration in force, 0 without one.
func (e *Entry) version() int64 {
	if c := e.catalog.Load(); c != nil {
		return c.Version
	}
	return 0
}

// learn puts a configuration of the owner in force unless a newer one is.
func (e *Entry) learn(document []byte) {
	c, err := e.DecodeCatalog(document)
	if err != nil {
		e.Log.Error("the owner's configuration is not readable", "err", err)
		return
	}
	e.SetCatalog(c)
}

// owner returns the service of the owner for a request, or nil if it cannot be reached.
func (e *Entry) owner(a *Admission) jobs.Service {
	if local := e.LocalOwner(); local != nil {
		return local
	}
	if client := e.connected.Load(); client != nil {
		if a == nil {
			return client.AtVersion(e.version())
		}
		return client.AtVersion(a.ConfigVersion)
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
			case errors.Is(err, link.ErrProcessMismatch):
				e.Elector.ConfirmEnded(owner.Fence)
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
	client, err := link.Dial(ctx, owner.Address, owner.Incarnation, e.learn, func() { close(lost) })
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
