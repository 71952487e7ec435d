// Package entry authenticates and routes the requests of clients and forwards them to the owner.
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
	"github.com/pollenford/pollenford/internal/guard"
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
	// ownerRetryInterval is the pause between attempts to call an owner, a fraction of the usual hand-over time.
	ownerRetryInterval = 20 * time.Millisecond
	// DefaultOwnerTimeout is how long a call waits for an owner before it is rejected: a quarter of the shortest latency
	// objective in known deployments (600 ms), and longer than a hand-over takes.
	DefaultOwnerTimeout = 150 * time.Millisecond
	// UnlimitedOwnerTimeout makes a call wait for an owner until its context ends.
	UnlimitedOwnerTimeout time.Duration = math.MaxInt64
	// retryAfter is the retry delay for clients while there is no owner: half of the time in which an unresponsive owner
	// is replaced.
	retryAfter = time.Second
	// dialRetryInterval is the pause between attempts to connect to the owner.
	dialRetryInterval = 50 * time.Millisecond
)

// Entry admits the requests of clients and calls the owner for them.
type Entry struct {
	// MemoryMB is the memory of this instance in megabytes, 0 without a limit. The owner holds no more than the smallest could.
	MemoryMB int
	Elector  *leader.Elector
	// LocalOwner returns the service if this process is the owner, or nil.
	LocalOwner func() jobs.Service
	// DecodeCatalog decodes a configuration document received from the owner.
	DecodeCatalog func(document []byte) (*catalog.Catalog, error)
	Log           hclog.Logger

	catalog     atomic.Pointer[catalog.Catalog]
	ownerClient atomic.Pointer[link.Client] // nil without a connection to the owner
}

// SetCatalog activates a configuration unless the active one has the same or a newer version.
func (e *Entry) SetCatalog(c *catalog.Catalog) {
	for {
		old := e.catalog.Load()
		if old != nil && old.Version >= c.Version {
			return
		}
		if e.catalog.CompareAndSwap(old, c) {
			e.Log.Info("configuration activated", "version", c.Version,
				"queues", len(c.Queues), "organisations", len(c.Organisations))
			return
		}
	}
}

// Catalog returns the active configuration, or nil.
func (e *Entry) Catalog() *catalog.Catalog { return e.catalog.Load() }

// Admission is the result of routing and authenticating a request.
type Admission struct {
	Queue *catalog.Queue
	// Organisation is the holder of the key, or "" for an anonymous request to a queue that allows it.
	Organisation string
	// PathSuffix is the path after the queue's prefix.
	PathSuffix    string
	ConfigVersion int64

	route func(c *catalog.Catalog) (q *catalog.Queue, pathSuffix string)
	key   string
}

// callContext returns the context for calls about a job, which names the queue of an anonymous request.
func (a *Admission) callContext(ctx context.Context) context.Context {
	if a.Organisation != "" {
		return ctx
	}
	return jobs.WithAnonymousQueue(ctx, a.Queue.Name)
}

// Admit routes a request by host and path and authenticates it, both by the same version of the configuration.
func (e *Entry) Admit(host, path, key string) (Admission, error) {
	a := Admission{key: key, route: func(c *catalog.Catalog) (*catalog.Queue, string) { return c.Route(host, path) }}
	return a, e.admit(&a)
}

// AdmitQueue authenticates a request for a named queue.
func (e *Entry) AdmitQueue(name, key string) (Admission, error) {
	a := Admission{key: key, route: func(c *catalog.Catalog) (*catalog.Queue, string) { return c.Queues[name], "" }}
	return a, e.admit(&a)
}

// admit routes and authenticates a request by the active configuration.
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

// Submit submits a job to the queue and for the organisation of an admission. It waits for an owner up to ownerTimeout.
func (e *Entry) Submit(ctx context.Context, a *Admission, job *workload.Job, ownerTimeout time.Duration) error {
	if err := job.Validate(); err != nil {
		return &jobs.Rejection{Reason: err.Error(), Permanent: true}
	}
	return e.callOwner(ctx, a, mutating, ownerTimeout, func(s jobs.Service) error {
		job.Queue, job.Organisation = a.Queue.Name, a.Organisation
		return s.Submit(ctx, job)
	})
}

// Status returns the status of a job.
func (e *Entry) Status(ctx context.Context, a *Admission, id string) (status jobs.Status, err error) {
	err = e.callOwner(ctx, a, readOnly, DefaultOwnerTimeout, func(s jobs.Service) (err error) {
		status, err = s.Status(a.callContext(ctx), id, a.Organisation)
		return err
	})
	return status, err
}

// Cancel cancels a job.
func (e *Entry) Cancel(ctx context.Context, a *Admission, id string) error {
	return e.callOwner(ctx, a, mutating, DefaultOwnerTimeout,
		func(s jobs.Service) error { return s.Cancel(a.callContext(ctx), id, a.Organisation) })
}

// Pending returns the number of jobs in the admission's queue that have not started.
func (e *Entry) Pending(ctx context.Context, a *Admission) (n int, err error) {
	err = e.callOwner(ctx, a, readOnly, DefaultOwnerTimeout, func(s jobs.Service) (err error) {
		n, err = s.Pending(ctx, a.Queue.Name)
		return err
	})
	return n, err
}

// Await returns the status of a job once it has ended. It keeps waiting across changes of the owner until ctx ends.
func (e *Entry) Await(ctx context.Context, a *Admission, id string) (status jobs.Status, err error) {
	err = e.callOwner(ctx, a, readOnly, UnlimitedOwnerTimeout, func(s jobs.Service) (err error) {
		status, err = s.Await(a.callContext(ctx), id, a.Organisation)
		return err
	})
	return status, err
}

// Fleet returns the state of all workers and waves.
func (e *Entry) Fleet(ctx context.Context) (fleet jobs.Fleet, err error) {
	err = e.callOwner(ctx, nil, readOnly, DefaultOwnerTimeout, func(s jobs.Service) (err error) {
		fleet, err = s.Fleet(ctx)
		return err
	})
	return fleet, err
}

// callKind distinguishes the calls that change state at the owner.
type callKind bool

const (
	readOnly callKind = false
	mutating callKind = true
)

// callOwner calls the owner and retries after a lost connection, as all calls are idempotent. Without an owner it
// rejects the call after ownerTimeout. A mutating call with an unknown outcome must not be rejected: it is retried
// until the outcome is known or ctx ends. A request admitted by an older configuration is admitted again.
func (e *Entry) callOwner(ctx context.Context, a *Admission, kind callKind, ownerTimeout time.Duration,
	call func(jobs.Service) error) error {
	start := time.Now()
	outcomeUnknown := false
	var lastErr error = errors.New("there is no owner")
	for {
		if admitErr := e.readmitIfStale(a); admitErr != nil {
			if outcomeUnknown {
				return errors.Annotate(jobs.ErrOutcomeUnknown, admitErr.Error())
			}
			return admitErr
		}
		if service := e.owner(a); service != nil {
			err := call(service)
			var rejection *jobs.Rejection
			if errors.As(err, &rejection) && rejection.CutOwner != 0 {
				e.Elector.SuspectCut(rejection.CutOwner)
			}
			switch {
			case errors.Is(err, jobs.ErrStaleConfig):
				// The call has activated the owner's newer configuration here.
			case errors.Is(err, jobs.ErrOutcomeUnknown):
				outcomeUnknown = outcomeUnknown || kind == mutating
			case rejection != nil && !rejection.Permanent && !rejection.Overloaded:
				// The called instance is not, or no longer, the owner.
			case rejection != nil && outcomeUnknown:
				// An earlier attempt may have been recorded, so this rejection is not conclusive.
			default:
				return err
			}
			lastErr = err
		}
		timedOut := time.Since(start) > ownerTimeout && !outcomeUnknown
		if timedOut || !wait.For(ctx, ownerRetryInterval) {
			if outcomeUnknown {
				return errors.Annotate(jobs.ErrOutcomeUnknown, lastErr.Error())
			}
			return &jobs.Rejection{Reason: "no owner can be reached: " + lastErr.Error(), RetryAfter: retryAfter}
		}
	}
}

// readmitIfStale admits a request again if it was admitted by an older configuration than the active one. Calls of
// operators (nil) need no admission.
func (e *Entry) readmitIfStale(a *Admission) error {
	if a == nil || a.ConfigVersion >= e.configVersion() {
		return nil
	}
	oldVersion := a.ConfigVersion
	err := e.admit(a)
	e.Log.Info("request admission repeated with a newer configuration",
		"by", a.ConfigVersion, "before", oldVersion, "err", err)
	return err
}

// configVersion returns the version of the active configuration, or 0 without one.
func (e *Entry) configVersion() int64 {
	if c := e.catalog.Load(); c != nil {
		return c.Version
	}
	return 0
}

// applyOwnerConfig activates a configuration from the owner unless the active one has the same or a newer version.
func (e *Entry) applyOwnerConfig(document []byte) {
	c, err := e.decodeOwnerConfig(document)
	if err != nil {
		e.Log.Error("configuration from the owner rejected: decoding failed", "err", err)
		return
	}
	e.SetCatalog(c)
}

// decodeOwnerConfig decodes a configuration. A panic is an error: it would end the process, outside of an HTTP handler.
func (e *Entry) decodeOwnerConfig(document []byte) (c *catalog.Catalog, err error) {
	defer guard.Recover(e.Log, "configuration from the owner", &err)
	return e.DecodeCatalog(document)
}

// owner returns the owner's service for a request, or nil if there is no connection to the owner.
func (e *Entry) owner(a *Admission) jobs.Service {
	if local := e.LocalOwner(); local != nil {
		return local
	}
	if client := e.ownerClient.Load(); client != nil {
		if a == nil {
			return client.AtVersion(e.configVersion())
		}
		return client.AtVersion(a.ConfigVersion)
	}
	return nil
}

// Connect maintains a connection to the current owner until ctx ends.
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
			e.Log.Debug("no connection to the owner", "owner", owner.Name, "fence", owner.Fence, "err", err)
			switch {
			case errors.Is(err, link.ErrProcessMismatch):
				e.Elector.ConfirmEnded(owner.Fence)
			case errors.Is(err, syscall.ECONNREFUSED):
				// Either nothing listens there or the network rejects connections. An election is safe in both cases.
				e.Elector.Suspect(owner.Fence)
			case errors.Is(err, link.ErrSilent):
				e.Elector.SuspectSilent(owner.Fence)
			}
			wait.For(ctx, dialRetryInterval)
		}
	}
}

// connectTo connects to an owner and returns when the connection is lost or the owner changes; link.ErrSilent if the owner
// stopped answering.
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
	client, err := link.Dial(ctx, owner.Address, owner.Incarnation, e.MemoryMB, e.applyOwnerConfig, func() { close(lost) })
	if err != nil {
		return err
	}
	e.Log.Debug("connected to the owner", "owner", owner.Name, "fence", owner.Fence)
	e.Elector.Responds(owner.Fence)
	e.ownerClient.Store(client)
	<-lost // also when ctx ends
	e.ownerClient.Store(nil)
	e.Log.Info("connection to the owner ended", "owner", owner.Name, "fence", owner.Fence, "silent", client.Silent())
	if client.Silent() {
		return link.ErrSilent
	}
	return nil
}
