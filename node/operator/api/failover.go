package api

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"

	"waxwingslip.example/node/ctxtime"
)

// Delays between rounds over all daemons.
const (
	firstRetryDelay = 200 * time.Millisecond
	maxRetryDelay   = 2 * time.Second
)

// Pool calls the daemons of a list in order until one answers. Commands keep their id, so a retry at another
// daemon after a lost answer has no second effect.
type Pool struct {
	clients []*Client
	// rounds is the number of times that the whole list is tried.
	rounds int
}

// NewPool returns a pool over clients, which must not be empty. Each call tries the list up to rounds times.
func NewPool(clients []*Client, rounds int) *Pool {
	return &Pool{clients: clients, rounds: max(rounds, 1)}
}

// Clients returns the clients of the pool.
func (p *Pool) Clients() []*Client { return p.clients }

// Command runs call against one daemon after the other until one returns the command's result. If none does
// and a daemon may have received the command, the answer's result is Unknown. An error means that the command
// was not carried out.
func (p *Pool) Command(ctx context.Context, call func(context.Context, *Client) (Answer, error)) (Answer, error) {
	var unknown *Answer
	answer, err := callUntilAnswered(ctx, p, func(ctx context.Context, c *Client) (Answer, error) {
		a, err := call(ctx, c)
		var e *Error
		if errors.As(err, &e) && e.OutcomeUnknown {
			unknown = &Answer{Command: a.Command, Result: Unknown, Reason: err.Error(), Step: e.Step, Peer: c.base}
		}
		if err == nil && a.Result == Unknown {
			unknown = &a
			return a, &Error{Step: a.Step, Peer: c.base, Status: http.StatusGatewayTimeout, OutcomeUnknown: true,
				Err: errors.Errorf("result is unknown: %s", a.Reason)}
		}
		return a, err
	})
	if err != nil && unknown != nil {
		return *unknown, nil
	}
	return answer, err
}

// Query runs call against one daemon after the other until one answers.
func Query[T any](ctx context.Context, p *Pool, call func(context.Context, *Client) (T, error)) (T, error) {
	return callUntilAnswered(ctx, p, call)
}

func callUntilAnswered[T any](ctx context.Context, p *Pool, call func(context.Context, *Client) (T, error)) (T, error) {
	var lastErr error
	delay := backoff.NewExponentialBackOff()
	delay.InitialInterval, delay.MaxInterval = firstRetryDelay, maxRetryDelay
	for round := range p.rounds {
		if round > 0 && !ctxtime.Sleep(ctx, delay.NextBackOff()) {
			break
		}
		for _, c := range p.clients {
			out, err := call(ctx, c)
			if err == nil || !retryable(err) {
				return out, err
			}
			lastErr = err
			if ctx.Err() != nil {
				break
			}
		}
	}
	var zero T
	return zero, lastErr
}

// retryable reports whether another daemon may answer a call that failed with err.
func retryable(err error) bool {
	var e *Error
	if !errors.As(err, &e) {
		return false
	}
	switch e.Status {
	case http.StatusBadRequest, http.StatusUnauthorized, http.StatusNotFound, http.StatusMethodNotAllowed,
		http.StatusRequestEntityTooLarge:
		return false
	}
	return true
}

// dialFailed reports whether the connection was never established.
func dialFailed(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
