// Package advice is what the product needs of the service that knows which
// workers the policy of a queue allows.
package advice

import (
	"context"
	"time"

	"poplarvalve/internal/version/cell"
)

// Service is the advice service of a deployment. It may be used by several
// threads.
type Service interface {
	// Ask asks which workers may run a step. An error says nothing about any of
	// them.
	Ask(ctx context.Context, step cell.StepID, workers []cell.WorkerID) (Answer, error)
}

// Answer holds a ticket for each of the workers that may run the step.
type Answer struct {
	Tickets map[cell.WorkerID]string
	// Valid is how long the tickets hold from when they were given.
	Valid time.Duration
}
