// Package advisor is the interface to the service that knows which workers may run a step. Queues whose policy allows
// only some workers need a ticket of it for each start.
package advisor

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Answer names the workers that may run a step.
type Answer struct {
	// Tickets holds the permission for each worker that may run the step.
	Tickets map[string]string
	// Validity is how long the tickets may be used.
	Validity time.Duration
}

// Advisor decides about workers. It takes a time for each call and for each worker asked about.
type Advisor interface {
	Advise(ctx context.Context, step string, workers []string) (Answer, error)
}

// ErrBusy means that too many calls wait; nothing was decided.
var ErrBusy = errors.New("too many calls wait at the advisor")
