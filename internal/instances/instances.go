// Package instances defines control over the instances that workers run on: their pools, moves between pools and
// maintenance.
package instances

import (
	"context"

	"github.com/juju/errors"

	"github.com/pollenford/pollenford/internal/catalog"
)

// Errors of a Control. After any other error the call may have been carried out.
const (
	ErrFenced        = errors.ConstError("the instance has accepted a call of a newer owner")
	ErrBusy          = errors.ConstError("the instance is not up or is leaving")
	ErrNotInWave     = errors.ConstError("the instance is not part of the wave")
	ErrInvalidTarget = errors.ConstError("unknown instance, or a pool that rejects it")
	// ErrNotApplied means that the call was rate limited or that the service is unavailable.
	ErrNotApplied = errors.ConstError("the instance service did not carry out the call")
)

// State is the state of an instance.
type State string

// States of instances.
const (
	Up            State = "up"
	Moving        State = "moving"
	InMaintenance State = "upkeep"
	Down          State = "down"
	// Unknown is the state of an instance whose listing cannot be used.
	Unknown State = "unknown"
)

// Instance is an instance as listed by the platform.
type Instance struct {
	ID       string
	Pool     string
	State    State
	Zone     string
	Labels   []string
	Capacity catalog.Resources
	// Worker is the ID of the worker that runs on the instance.
	Worker string
	// Err is why the listing cannot be used; nil if it can. Otherwise the state is Unknown, the ID may be missing and the
	// other fields are empty.
	Err error
}

// OwnerID identifies the owner to the instance service.
type OwnerID struct {
	Name  string
	Fence int64
}

// Control moves instances and starts their maintenance. Each method makes a single call without retries.
type Control interface {
	// List returns a page of instances and the token of the next page, "" for the last one.
	List(ctx context.Context, page string) ([]Instance, string, error)
	// Move stops everything on the instance and starts it again in the pool.
	Move(ctx context.Context, owner OwnerID, instance, pool string) error
	// StartMaintenance stops everything on the instance, which starts again after its maintenance.
	StartMaintenance(ctx context.Context, owner OwnerID, instance string, wave int64) error
}

// Wave is a request for the maintenance of instances.
type Wave struct {
	Number    int64
	Instances []string
	// DeadlineS is the time allowed for the wave, in seconds from its record.
	DeadlineS float64
	// MaxConcurrent bounds the instances of the wave that are in maintenance at a time.
	MaxConcurrent int
}
