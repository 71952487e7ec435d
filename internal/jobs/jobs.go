// Package jobs defines the service that entries use: handing in, asking for and cancelling jobs.
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
	// ErrNoSuchJob means that the job does not exist, by an owner that knows all jobs.
	ErrNoSuchJob = errors.ConstError("no such job")
	// ErrOutcomeUnknown means that the job may have been stored.
	ErrOutcomeUnknown = errors.ConstError("the outcome is not known")
	// ErrStaleConfig means that nothing was done because the caller decided by an older configuration than the owner's. It has
	// the newer one by then.
	ErrStaleConfig = errors.ConstError("the owner has a newer configuration")
)

// Rejection is a refusal of a call that was not carried out and never will be.
type Rejection struct {
	Reason string
	// RetryAfter is when another attempt may succeed.
	RetryAfter time.Duration
	// Permanent means that no attempt with the same content will succeed.
	Permanent bool
	// Overloaded tells that the system works but is full.
	Overloaded bool
}

func (r *Rejection) Error() string {
	return fmt.Sprintf("rejected: %s (retry after %v)", r.Reason, r.RetryAfter)
}

// Status is the state of a job as clients see it.
type Status struct {
	State workload.State
	// Begun tells whether a task has been placed.
	Begun bool
	// Interrupted tells that the job failed because a run that must not be repeated may have been cut off.
	Interrupted bool `cbor:",omitempty"`
	// Fingerprint is that of the job.
	Fingerprint string `cbor:",omitempty"`
	// Answer is what the last run left, if the job keeps it.
	Answer string `cbor:",omitempty"`
}

// Fleet is what the owner believes of workers and waves, for operators.
type Fleet struct {
	// Owner is the entry instance that decides, Fence its term.
	Owner   string
	Fence   int64
	Workers []Worker // by ID
	Waves   []Wave   // by number
}

// Worker is the state of a worker.
type Worker struct {
	ID, Pool, Zone, Rack, Instance string
	Phase                          WorkerPhase
	// Runs is the number of runs placed there, UsedCPU and CPU are in thousandths of a core.
	Runs         int
	UsedCPU, CPU int64
}

// WorkerPhase tells whether a worker gets new work.
type WorkerPhase string

// Phases of workers.
const (
	InService WorkerPhase = "in-service"
	Draining  WorkerPhase = "draining" // it or its instance is leaving, moving or due for upkeep
	Lost      WorkerPhase = "lost"     // it does not answer
)

// Wave is the progress of a wave.
type Wave struct {
	Number    int64
	Total     int // instances that it asks for
	Begun     int // instances whose upkeep has begun or is over
	Completed bool
}

// Service takes and answers for jobs.
type Service interface {
	// Submit stores a job. It returns nil once the job is stored, also if it was before.
	Submit(ctx context.Context, job *workload.Job) error
	Status(ctx context.Context, id, organisation string) (Status, error)
	Cancel(ctx context.Context, id, organisation string) error
	// Await returns the state of a job once it has ended.
	Await(ctx context.Context, id, organisation string) (Status, error)
	// Pending returns the number of jobs of a queue that have not begun.
	Pending(ctx context.Context, queue string) (int, error)
	// Fleet returns the state of workers and waves.
	Fleet(ctx context.Context) (Fleet, error)
}
