// Package jobqueue is the interface between callers of job queues and the product: the queues that the operators'
// configuration declares, and the operations for callers.
package jobqueue

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/pkg/errors"

	"waxwingslip.example/core/account"
	"waxwingslip.example/core/jobs"
)

// Queue accepts jobs under a host and path prefix.
type Queue struct {
	Name       string
	Host       string
	PathPrefix string
	// Service names the workers that run the queue's tasks.
	Service string
	// Timeout limits the handling of one request.
	Timeout time.Duration
	// Target and Stretch define a job's objective.
	Target  time.Duration
	Stretch float64
	// Priority 0 is the most urgent.
	Priority    int
	MaxAttempts int
	// Regions limits where tasks may run; empty allows all.
	Regions []string
	// Public queues take requests without a key of a client account.
	Public bool
	// Advice is set if only some workers may run the queue's steps.
	Advice *Advice
}

// Advice describes the advisor that decides which workers may run a queue's steps.
type Advice struct {
	// A call takes PerCall, and PerWorker in addition for each worker in it.
	PerCall, PerWorker time.Duration
	// Validity is how long a ticket may be used.
	Validity time.Duration
}

// Service is a pool of workers.
type Service struct {
	Name string
}

// Limits bound callers' requests.
type Limits struct {
	MaxBodyBytes int64
}

// Config is one version of the operators' configuration.
type Config struct {
	Version  int64
	Queues   []Queue
	Services map[string]Service
	Limits   Limits
	// Accounts are the client accounts, nil if the configuration knows none.
	Accounts *account.Set
}

// Match returns the queue with the request's host and the longest matching prefix of its path, or nil.
func (c *Config) Match(host, path string) *Queue {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	var best *Queue
	for i := range c.Queues {
		q := &c.Queues[i]
		if strings.EqualFold(q.Host, host) && strings.HasPrefix(path, q.PathPrefix) &&
			(best == nil || len(q.PathPrefix) > len(best.PathPrefix)) {
			best = q
		}
	}
	return best
}

// Queue returns a queue by name, or nil.
func (c *Config) Queue(name string) *Queue {
	for i := range c.Queues {
		if c.Queues[i].Name == name {
			return &c.Queues[i]
		}
	}
	return nil
}

// JobAPI is the interface that the product offers to callers.
type JobAPI interface {
	// Config returns the newest configuration, or nil before the first one.
	Config() *Config
	// ConfigCurrent reports whether Config is known to be the operators' newest one. Otherwise, what is missing from it may
	// exist.
	ConfigCurrent() bool
	// Submit stores a job. After any error but RefusedError, the job may or may not be accepted.
	Submit(ctx context.Context, spec *jobs.Spec) error
	// State and Cancel return ErrUnknownJob for jobs that are not in the caller's scope.
	State(ctx context.Context, id string, scope account.Scope) (jobs.State, error)
	Cancel(ctx context.Context, id string, scope account.Scope) error
	// Waiting returns the number of accepted jobs of a queue of which no task has started.
	Waiting(ctx context.Context, queue string) (int, error)
	// CountUnauthorized counts a request that was refused because its key is missing or unknown.
	CountUnauthorized()
}

// ErrUnknownJob means that no such job exists.
var ErrUnknownJob = errors.New("no such job")

// ErrTooLarge means that the command cannot be stored, also later.
var ErrTooLarge = errors.New("the job is too large to be stored")

// ErrUncertain means that it is not known whether a command took effect.
var ErrUncertain = errors.New("it is not known whether the command took effect")

// RefusedError means that the request had and will have no effect.
type RefusedError struct {
	Reason string
	// RetryAfter is the delay after which the caller should retry.
	RetryAfter time.Duration
	// Overload is true if the queue is too long, and false if something is unavailable.
	Overload bool
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("refused, retry after %v: %s", e.RetryAfter, e.Reason)
}
