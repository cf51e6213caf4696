// Package advisor is the interface to the service that decides which workers may run a step. Queues whose policy allows
// only some workers need a ticket from it for each start.
package advisor

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Response names the workers that may run a step.
type Response struct {
	// Tickets holds the permission for each worker that may run the step.
	Tickets map[string]string
	// Validity is how long the tickets may be used.
	Validity time.Duration
}

// Advisor decides which workers may run a step. A call takes a fixed time plus a time for each worker in it.
type Advisor interface {
	Advise(ctx context.Context, step string, workers []string) (Response, error)
}

// ErrBusy means that the advisor rejected the call without a decision, since too many calls are pending.
var ErrBusy = errors.New("advisor has too many pending calls")
