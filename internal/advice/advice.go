// Package advice defines the placement advice service, which decides which workers a queue's policy allows for a step.
package advice

import (
	"context"
	"time"
)

// MaxWorkers bounds the workers named in one call.
const MaxWorkers = 100

// Answer lists the workers that are allowed to run a step.
type Answer struct {
	// Tickets holds a ticket by worker ID. It covers all tasks of the step on the worker's current incarnation.
	Tickets map[string]string
	// ValidFor is how long the tickets are valid after the answer.
	ValidFor time.Duration
}

// Adviser calls the placement advice service. The service handles one call of a process at a time, and a call takes
// time for each worker that it names. A rejected call has no effect and may be repeated.
type Adviser interface {
	Advise(ctx context.Context, step string, workers []string) (Answer, error)
}
