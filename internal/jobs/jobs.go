// Package jobs defines the service through which entries submit, query, await and cancel jobs.
package jobs

import (
	"context"
	"fmt"
	"time"

	"github.com/juju/errors"

	"github.com/pollenford/pollenford/internal/workload"
)

// Errors of a Service, besides *Rejection.
const (
	// ErrNoSuchJob means that the job does not exist. Only an owner that has loaded all jobs returns it.
	ErrNoSuchJob = errors.ConstError("no such job")
	// ErrOutcomeUnknown means that the change may have been stored.
	ErrOutcomeUnknown = errors.ConstError("the outcome is not known")
	// ErrStaleConfig means that the call was not carried out because the caller's configuration is older than the
	// owner's. The caller has received the newer one by the time it gets this error.
	ErrStaleConfig = errors.ConstError("the owner has a newer configuration")
)

// Rejection is the error of a call that was not carried out and never will be.
type Rejection struct {
	Reason string
	// RetryAfter is the time after which another attempt may succeed.
	RetryAfter time.Duration
	// Permanent means that no attempt with the same content will succeed.
	Permanent bool
	// Overloaded means that the system works but has no capacity for the call.
	Overloaded bool
	// CutOwner is the fence of an owner that rejects the call because it cannot renew its own record; 0 otherwise.
	CutOwner int64 `cbor:",omitempty"`
}

func (r *Rejection) Error() string {
	return fmt.Sprintf("rejected: %s (retry after %v)", r.Reason, r.RetryAfter)
}

// Status is the state of a job as reported to clients.
type Status struct {
	State workload.State
	// Begun reports whether a task has been placed, so that a run may have started.
	Begun bool
	// StartUnconfirmed reports that no worker has shown yet that it started a task, although Begun is set. An owner of an
	// earlier version leaves it unset.
	StartUnconfirmed bool `cbor:",omitempty"`
	// Interrupted reports whether the job failed because an at-most-once run may have been interrupted.
	Interrupted bool `cbor:",omitempty"`
	// Fingerprint identifies the content of the job.
	Fingerprint string `cbor:",omitempty"`
	// Answer is the final checkpoint of the last run, if the job keeps its answer.
	Answer string `cbor:",omitempty"`
}

// Started reports whether a task of the job has started.
func (s Status) Started() bool { return s.Begun && !s.StartUnconfirmed }

// Fleet is the owner's view of workers and waves, for operators.
type Fleet struct {
	// Owner is the name of the entry process that is the owner, Fence its fencing token.
	Owner   string
	Fence   int64
	Workers []Worker // by ID
	Waves   []Wave   // by number
	// Evacuations holds the evacuated zones by name. An owner of an earlier version knows of none.
	Evacuations []Evacuation `cbor:",omitempty"`
}

// Evacuation is the evacuation of a zone, with the number of runs still placed there.
type Evacuation struct {
	Zone                       string
	ShortRuns, LongRunningRuns int
}

// Worker is the state of a worker.
type Worker struct {
	ID, Pool, Zone, Rack, Instance string
	Phase                          WorkerPhase
	// Runs is the number of runs placed on the worker. UsedCPU and CPU are in thousandths of a core.
	Runs         int
	UsedCPU, CPU int64
}

// WorkerPhase states whether a worker receives new runs.
type WorkerPhase string

// Phases of workers.
const (
	InService WorkerPhase = "in-service"
	Draining  WorkerPhase = "draining" // the worker or its instance leaves, moves or is due for maintenance
	Lost      WorkerPhase = "lost"     // the worker does not respond, or the directory does not describe it
)

// Wave is the progress of a maintenance wave.
type Wave struct {
	Number    int64
	Total     int // instances in the wave
	Begun     int // instances whose maintenance has started or finished
	Completed bool
}

// Service accepts jobs and reports their state.
type Service interface {
	// Submit stores a job. It is idempotent: it returns nil also for a job that is already stored.
	Submit(ctx context.Context, job *workload.Job) error
	Status(ctx context.Context, id, organisation string) (Status, error)
	Cancel(ctx context.Context, id, organisation string) error
	// Await returns the state of a job once it has ended.
	Await(ctx context.Context, id, organisation string) (Status, error)
	// Pending returns the number of active jobs of a queue of which no task has been placed.
	Pending(ctx context.Context, queue string) (int, error)
	// Fleet returns the state of all workers and waves.
	Fleet(ctx context.Context) (Fleet, error)
}
