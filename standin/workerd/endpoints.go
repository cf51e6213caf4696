package workerd

import (
	"context"
	"fmt"
	"sync"
	"time"

	"waxwingslip.example/external/worker"
	"waxwingslip.example/external/worker/fake"
	"waxwingslip.example/standin/endpointd"
	"waxwingslip.example/standin/internal/listen"
)

// frozenPoll is how often a request at a frozen worker checks whether the worker woke up.
const frozenPoll = 10 * time.Millisecond

// endpoints runs the endpoints of one worker. It implements fake.Endpoints.
type endpoints struct {
	worker string
	fake   *fake.Worker

	mu      sync.Mutex
	running map[worker.RunKey]*endpoint
	closed  []*endpointd.Endpoint // kept for their journals
	// leaving and refusing apply to all running and future endpoints.
	leaving  bool
	refusing bool
	closing  sync.WaitGroup
}

type endpoint struct {
	echo   *endpointd.Endpoint
	server *listen.Server
}

// Open implements fake.Endpoints.
func (e *endpoints) Open(key worker.RunKey, service string, plan fake.Plan) (string, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	echo := endpointd.New(endpointd.Options{
		Name:  fmt.Sprintf("%s/%d/%d@%s", service, key.Index, key.Epoch, e.worker),
		Delay: func() time.Duration { return e.delay(key, plan) },
		Wait:  e.awake,
	})
	echo.SetLeaving(e.leaving)
	echo.SetRefusing(e.refusing)
	server, err := listen.Serve("127.0.0.1:0", echo)
	if err != nil {
		return "", err
	}
	e.running[key] = &endpoint{echo: echo, server: server}
	return server.Address, nil
}

// Close implements fake.Endpoints. The requests in flight are cut, as by the end of a process.
func (e *endpoints) Close(key worker.RunKey) {
	e.mu.Lock()
	defer e.mu.Unlock()
	end := e.running[key]
	if end == nil {
		return
	}
	delete(e.running, key)
	e.closed = append(e.closed, end.echo)
	e.closing.Go(end.server.Close)
}

func (e *endpoints) wait() { e.closing.Wait() }

// delay is the time of a request: a run that stalls for a part of the time takes longer by that part.
func (e *endpoints) delay(key worker.RunKey, plan fake.Plan) time.Duration {
	if plan.Delay == 0 {
		return 0
	}
	stall, _ := e.fake.Stall(key)
	return plan.Delay * 1000 / time.Duration(1000-stall)
}

// awake waits while the worker is frozen.
func (e *endpoints) awake(ctx context.Context) error {
	for e.fake.Frozen() {
		select {
		case <-time.After(frozenPoll):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return ctx.Err()
}

func (e *endpoints) set(leaving, refusing bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving, e.refusing = leaving, refusing
	for _, end := range e.running {
		end.echo.SetLeaving(leaving)
		end.echo.SetRefusing(refusing)
	}
}

func (e *endpoints) journal() []endpointd.Execution {
	e.mu.Lock()
	defer e.mu.Unlock()
	var all []endpointd.Execution
	for _, echo := range e.closed {
		all = append(all, echo.Journal()...)
	}
	for _, end := range e.running {
		all = append(all, end.echo.Journal()...)
	}
	return all
}
