// Package workers defines what the owner of a shard says to workers and hears from them.
package workers

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/pollenford/pollenford/internal/catalog"
)

// Errors of a Client. After any other error the order may have been carried out, or may still be.
const (
	// ErrFenced means that the worker has seen a higher fence.
	ErrFenced = errors.ConstError("the worker follows a newer owner")
	// ErrStaleRun means that an equal or higher run of the task has ended there.
	ErrStaleRun = errors.ConstError("the run is not newer than one that ended there")
	// ErrRequestExpired means that the order's time limit had passed on the worker's clock.
	ErrRequestExpired = errors.ConstError("the order arrived after its time limit")
	// ErrInsufficientCapacity means that the task does not fit.
	ErrInsufficientCapacity = errors.ConstError("the worker has no room")
	// ErrInvalidTicket means that the placement ticket is missing or no longer valid.
	ErrInvalidTicket = errors.ConstError("the placement ticket is not valid")
	// ErrInvalidRequest means that the worker does not accept the order as it is.
	ErrInvalidRequest = errors.ConstError("the worker rejected the order as invalid")
	// ErrUnhealthy means that the worker is unhealthy and did nothing.
	ErrUnhealthy = errors.ConstError("the worker is unhealthy")
	// ErrIncarnationMismatch means that another incarnation answered.
	ErrIncarnationMismatch = errors.ConstError("another incarnation of the worker answered")
)

// Info is what a worker says of itself in the platform's directory.
type Info struct {
	ID string
	// Incarnation is the Unix time in milliseconds at which this life of the worker began.
	Incarnation int64
	Address     string // IP:port
	Zone        string // availability zone
	Pool        string
	// Instance is the instance that the worker is a life of; it outlives the worker.
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

// Target addresses one incarnation of a worker.
type Target struct {
	ID      string
	Address string
	// Fence is the owner's fence; the worker refuses orders below the highest it has seen.
	Fence int64
}

// StartRequest starts one run of a task.
type StartRequest struct {
	Task string
	Run  int
	Spec string
	// LeaseUntilMS is on the worker's clock: when all that runs there ends unless it is held again, and when the order itself
	// becomes void.
	LeaseUntilMS int64
	Checkpoint   string
	Ticket       string
}

// HeartbeatRequest renews the lease of everything on a worker, acknowledges ends and asks for a report.
type HeartbeatRequest struct {
	// LeaseUntilMS as in StartOrder; 0 renews nothing.
	LeaseUntilMS int64
	// AcknowledgedEnds is the number of the last end that may be forgotten.
	AcknowledgedEnds int64
	// PollTimeout is how long the worker may wait for an end before it answers.
	PollTimeout time.Duration
}

// Run is a run at work on a worker.
type Run struct {
	Task       string
	Number     int
	Checkpoint string
	// SpeedPercent is the share of its speed that the run works at; 100 when it is at work.
	SpeedPercent int
}

// EndReason tells how a run ended.
type EndReason string

// The ways a run ends.
const (
	Done           EndReason = "done"
	Failed         EndReason = "failed"
	Stopped        EndReason = "stopped"
	LeaseExpired   EndReason = "lapsed" // its lease expired
	GangBroken     EndReason = "broken" // another member of its gang ended
	GangIncomplete EndReason = "alone"  // the other members of its gang did not come
)

// RunEnd is the end of a run. Sequence counts the ends of an incarnation from 1.
type RunEnd struct {
	Sequence   int64
	Task       string
	Run        int
	Reason     EndReason
	Checkpoint string
}

// HeartbeatResponse is a worker's answer to a hold.
type HeartbeatResponse struct {
	Incarnation int64
	ClockMS     int64
	Running     []Run
	Ended       []RunEnd
}

// Client gives orders to workers. Each method makes one call and is safe for concurrent use.
type Client interface {
	// Start returns the worker's clock where the worker told it, and 0 otherwise.
	Start(ctx context.Context, to Target, order StartRequest) (clockMS int64, err error)
	Stop(ctx context.Context, to Target, task string, run int) error
	Heartbeat(ctx context.Context, to Target, order HeartbeatRequest) (HeartbeatResponse, error)
}
