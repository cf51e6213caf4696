// Package jobqueue is the interface between callers of job queues and the product: the queues that the operators'
// configuration declares, and what callers may ask.
package jobqueue

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/pkg/errors"

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
	// Target and Stretch make a job's objective.
	Target  time.Duration
	Stretch float64
	// Priority 0 is the most urgent.
	Priority    int
	MaxAttempts int
	// Regions limits where tasks may run; empty allows all.
	Regions []string
	// Advice is set if only some workers may run a step.
	Advice *Advice
}

// Advice describes the service that names the workers which may run a queue's steps.
type Advice struct {
	// Decision and Each are the time that a call takes: once, and for each worker asked about.
	Decision, Each time.Duration
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
}

// Match returns the queue for a request: the one with the request's host and the longest prefix of its path.
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

// Intake is what callers may ask of the product.
type Intake interface {
	// Config returns the newest configuration, or nil before the first one.
	Config() *Config
	// Submit stores a job. Every error but RefusedError leaves open whether the job was accepted.
	Submit(ctx context.Context, spec *jobs.Spec) error
	State(ctx context.Context, id string) (jobs.State, error)
	Cancel(ctx context.Context, id string) error
	// Waiting counts the accepted jobs of a queue of which no task has started.
	Waiting(ctx context.Context, queue string) (int, error)
}

// ErrUnknownJob means that no such job exists.
var ErrUnknownJob = errors.New("no such job")

// ErrUncertain means that it is not known whether a command took effect.
var ErrUncertain = errors.New("it is not known whether the command took effect")

// RefusedError means that the request had and will have no effect.
type RefusedError struct {
	Reason string
	// RetryAfter is when the caller may succeed.
	RetryAfter time.Duration
	// Overload tells that the queue is too long, not that something is out of order.
	Overload bool
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("refused for %v: %s", e.RetryAfter, e.Reason)
}
