// Package advice declares the interface to the advice service, which knows which
// workers the policy of a queue allows to run its tasks.
package advice

import (
	"context"
	"time"

	"poplarvalve/internal/version/cell"
)

// Service is a client of the deployment's advice service. Its methods may be
// called concurrently.
type Service interface {
	// AllowedWorkers returns which of the given workers may run a step. After an
	// error nothing is known about any of them.
	AllowedWorkers(ctx context.Context, step cell.StepID, workers []cell.WorkerID) (Answer, error)
}

// Answer is the service's answer about one step. Tickets has an entry for each
// worker that may run the step; a worker without one may not.
type Answer struct {
	Tickets map[cell.WorkerID]string
	// ValidFor is how long the tickets are valid, counted from when the service
	// issued them.
	ValidFor time.Duration
}
