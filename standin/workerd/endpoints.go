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

// frozenPollInterval is the interval at which a request at a frozen worker checks whether the worker has been thawed.
const frozenPollInterval = 10 * time.Millisecond

// endpoints runs the endpoints of one worker. It implements fake.Endpoints.
type endpoints struct {
	worker string
	fake   *fake.Worker

	mu      sync.Mutex
	running map[worker.RunKey]*endpoint
	closed  []*endpointd.Endpoint // kept for their journals
	// leaving and refusing apply to all running and future endpoints.
	leaving    bool
	refusing   bool
	closeCalls sync.WaitGroup
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
		Wait:  e.waitWhileFrozen,
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

// Close implements fake.Endpoints. It aborts requests in flight, as the end of a process does.
func (e *endpoints) Close(key worker.RunKey) {
	e.mu.Lock()
	defer e.mu.Unlock()
	ep := e.running[key]
	if ep == nil {
		return
	}
	delete(e.running, key)
	e.closed = append(e.closed, ep.echo)
	e.closeCalls.Go(ep.server.Close)
}

func (e *endpoints) waitForClose() { e.closeCalls.Wait() }

// delay returns the processing time of a request: plan.Delay plus the time for which the run stalls meanwhile.
func (e *endpoints) delay(key worker.RunKey, plan fake.Plan) time.Duration {
	if plan.Delay == 0 {
		return 0
	}
	stall, _ := e.fake.Stall(key)
	return plan.Delay * 1000 / time.Duration(1000-stall)
}

// waitWhileFrozen blocks while the worker is frozen.
func (e *endpoints) waitWhileFrozen(ctx context.Context) error {
	for e.fake.Frozen() {
		select {
		case <-time.After(frozenPollInterval):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return ctx.Err()
}

func (e *endpoints) setCondition(leaving, refusing bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving, e.refusing = leaving, refusing
	for _, ep := range e.running {
		ep.echo.SetLeaving(leaving)
		ep.echo.SetRefusing(refusing)
	}
}

func (e *endpoints) journal() []endpointd.Execution {
	e.mu.Lock()
	defer e.mu.Unlock()
	var all []endpointd.Execution
	for _, echo := range e.closed {
		all = append(all, echo.Journal()...)
	}
	for _, ep := range e.running {
		all = append(all, ep.echo.Journal()...)
	}
	return all
}
