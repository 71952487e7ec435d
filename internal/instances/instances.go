// Package instances defines the control over the instances that workers live on: which pool each belongs to, moves
// between pools and upkeep.
package instances

import (
	"context"

	"github.com/juju/errors"

	"github.com/pollenford/pollenford/internal/catalog"
)

// Errors of a Control. After any other error the call may have been carried out.
const (
	ErrFenced        = errors.ConstError("a newer owner has ordered this instance")
	ErrBusy          = errors.ConstError("the instance is not up or is leaving")
	ErrNotInWave     = errors.ConstError("the instance is not part of the wave")
	ErrInvalidTarget = errors.ConstError("no such instance, or not a pool for it")
	// ErrNotApplied means that the call was refused for its rate or because the service is unavailable.
	ErrNotApplied = errors.ConstError("the instance service did nothing")
)

// State of an instance.
type State string

// States of instances.
const (
	Up            State = "up"
	Moving        State = "moving"
	InMaintenance State = "upkeep"
	Down          State = "down"
)

// Instance is one instance as the platform lists it.
type Instance struct {
	ID       string
	Pool     string
	State    State
	Zone     string
	Labels   []string
	Capacity catalog.Resources
	// Worker is the ID of the worker that lives there.
	Worker string
}

// OwnerID identifies the owner towards the instance service.
type OwnerID struct {
	Name  string
	Fence int64
}

// Control moves instances and starts their upkeep. Each method makes one call.
type Control interface {
	// List returns a page of instances and the token of the next page, "" at the end.
	List(ctx context.Context, page string) ([]Instance, string, error)
	// Move ends everything on the instance and brings it up again in the pool.
	Move(ctx context.Context, by OwnerID, instance, pool string) error
	// StartMaintenance ends everything on the instance and brings it up again after its maintenance.
	StartMaintenance(ctx context.Context, by OwnerID, instance string, wave int64) error
}

// Wave asks for the upkeep of instances.
type Wave struct {
	Number    int64
	Instances []string
	// DeadlineS is the time that the wave may take, in seconds from its record.
	DeadlineS float64
	// MaxConcurrent is how many of its instances may be down for it at a time.
	MaxConcurrent int
}
