// Package advice defines the service that knows which workers a queue's policy allows to run a step.
package advice

import (
	"context"
	"time"
)

// MaxWorkers is how many workers one call may name.
const MaxWorkers = 100

// Answer allows workers to run a step.
type Answer struct {
	// Tickets has the ticket of each allowed worker by its ID, for all tasks of the step during this life of the worker.
	Tickets map[string]string
	// ValidFor is how long the tickets are accepted from the answer on.
	ValidFor time.Duration
}

// Adviser answers one call of an instance at a time; each takes a while for every worker that it names. A refused call has
// done nothing and may be made again.
type Adviser interface {
	Advise(ctx context.Context, step string, workers []string) (Answer, error)
}
