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
}

// Service takes and answers for jobs.
type Service interface {
	// Submit stores a job. It returns nil once the job is stored, also if it was before.
	Submit(ctx context.Context, job *workload.Job) error
	Status(ctx context.Context, id, organisation string) (Status, error)
	Cancel(ctx context.Context, id, organisation string) error
	// Pending returns the number of jobs of a queue that have not begun.
	Pending(ctx context.Context, queue string) (int, error)
}
