// Package workers defines the protocol between the owner of a shard and its workers.
package workers

import (
	"context"
	"fmt"
	"time"

	"github.com/juju/errors"

	"github.com/pollenford/pollenford/internal/catalog"
)

// Errors of a Client. After any other error the request may have been applied, or may still be.
const (
	// ErrFenced means that the worker has seen a higher fence.
	ErrFenced = errors.ConstError("fenced: the worker has seen a newer owner")
	// ErrStaleRun means that a run of the task with an equal or higher number has ended on the worker.
	ErrStaleRun = errors.ConstError("stale run: an equal or newer run of the task has ended on the worker")
	// ErrRequestExpired means that the request's deadline had passed on the worker's clock.
	ErrRequestExpired = errors.ConstError("the request arrived after its deadline")
	// ErrInsufficientCapacity means that the task does not fit into the worker's free capacity.
	ErrInsufficientCapacity = errors.ConstError("the worker has insufficient free capacity")
	// ErrInvalidTicket means that the placement ticket is missing or no longer valid.
	ErrInvalidTicket = errors.ConstError("the placement ticket is missing or no longer valid")
	// ErrInvalidRequest means that the worker rejected the request as malformed.
	ErrInvalidRequest = errors.ConstError("the worker rejected the request as invalid")
	// ErrUnhealthy means that the worker is unhealthy and rejected the request without effect.
	ErrUnhealthy = errors.ConstError("the worker is unhealthy")
	// ErrIncarnationMismatch means that a different incarnation of the worker responded.
	ErrIncarnationMismatch = errors.ConstError("a different incarnation of the worker responded")
)

// IncarnationError means that another incarnation than the addressed one is up. The request was not sent to it.
type IncarnationError struct {
	// Found is the incarnation that is up.
	Found int64
}

func (e *IncarnationError) Error() string {
	return fmt.Sprintf("%v: %d", ErrIncarnationMismatch, e.Found)
}

// Is reports whether target is ErrIncarnationMismatch.
func (e *IncarnationError) Is(target error) bool { return target == ErrIncarnationMismatch }

// Info is a worker's registration in the platform's directory.
type Info struct {
	ID string
	// Incarnation is the start time of the worker process in Unix milliseconds.
	Incarnation int64
	Address     string // IP:port
	Zone        string // availability zone
	Pool        string
	// Instance is the instance that hosts the worker; it outlives the worker.
	Instance string
	Draining bool
	Capacity catalog.Resources
	Labels   []string // kind and rack
	Rack     string
}

// HasLabel reports whether the worker carries a label.
func (i *Info) HasLabel(label string) bool {
	for _, l := range i.Labels {
		if l == label {
			return true
		}
	}
	return false
}

// Target addresses an incarnation of a worker.
type Target struct {
	ID      string
	Address string
	// Incarnation is the only one that may carry out the request; 0 means the one that is up when it arrives.
	Incarnation int64
	// Fence is the owner's fence; the worker rejects requests below the highest it has seen.
	Fence int64
}

// StartRequest starts one run of a task.
type StartRequest struct {
	Task string
	Run  int
	Spec string
	// LeaseUntilMS is on the worker's clock: the end of the lease of all its runs unless it is renewed, and the deadline
	// of this request.
	LeaseUntilMS int64
	Checkpoint   string
	Ticket       string
}

// HeartbeatRequest renews the lease of all runs on a worker, acknowledges run ends and requests the worker's state.
type HeartbeatRequest struct {
	// LeaseUntilMS is as in StartRequest; 0 renews nothing.
	LeaseUntilMS int64
	// AcknowledgedEnds is the sequence number of the last run end that the worker may discard.
	AcknowledgedEnds int64
	// PollTimeout is how long the worker may wait for a run end before it responds.
	PollTimeout time.Duration
	// AnswerTimeout is how long beyond PollTimeout the response may take to begin; 0 means the client's limit. The lists in
	// the response take as long as they need on a thin link.
	AnswerTimeout time.Duration
}

// Run is an active run on a worker.
type Run struct {
	Task       string
	Number     int
	Checkpoint string
	// SpeedPercent is the run's current speed as a percentage of its full speed; 100 means that the run is at work.
	SpeedPercent int
}

// EndReason is why a run ended.
type EndReason string

// Reasons for the end of a run.
const (
	Done           EndReason = "done"
	Failed         EndReason = "failed"
	Stopped        EndReason = "stopped"
	LeaseExpired   EndReason = "lapsed" // its lease expired
	GangBroken     EndReason = "broken" // another member of its gang ended
	GangIncomplete EndReason = "alone"  // the other members of its gang did not start
)

// RunEnd describes an ended run. Sequence numbers the ended runs of an incarnation from 1.
type RunEnd struct {
	Sequence   int64
	Task       string
	Run        int
	Reason     EndReason
	Checkpoint string
}

// Reply is what a worker says of itself in response to a start or a stop. Fields that the response lacks are 0.
type Reply struct {
	Incarnation int64
	ClockMS     int64
}

// HeartbeatResponse is the state of a worker, in response to a heartbeat.
type HeartbeatResponse struct {
	Incarnation int64
	ClockMS     int64
	Running     []Run
	Ended       []RunEnd
}

// Client sends requests to workers. Each method makes one call and is safe for concurrent use. A request reaches no
// incarnation but that of its target (IncarnationError), however long it is on its way.
type Client interface {
	// Start starts a run.
	Start(ctx context.Context, to Target, request StartRequest) (Reply, error)
	// Stop stops a run; one that has not started yet cannot start afterwards on that incarnation.
	Stop(ctx context.Context, to Target, task string, run int) (Reply, error)
	// Heartbeat returns the state of the worker.
	Heartbeat(ctx context.Context, to Target, request HeartbeatRequest) (HeartbeatResponse, error)
}
