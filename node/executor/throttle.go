package executor

import (
	"context"

	"waxwingslip.example/external/worker"
)

// maxPendingThrottles limits the queued throttle commands of a worker. The guard repeats dropped ones in its next step.
const maxPendingThrottles = 16

type throttle struct {
	key     worker.RunKey
	percent int64
}

// Throttle queues a command to limit the processor share of a run to percent; 100 removes the limit.
func (p *Pool) Throttle(id string, key worker.RunKey, percent int64) {
	p.mu.Lock()
	a := p.agents[id]
	p.mu.Unlock()
	if a == nil {
		return
	}
	select {
	case a.throttles <- throttle{key: key, percent: percent}:
		a.wake()
	default:
	}
}

// applyThrottles sends the queued throttle commands.
func (a *agent) applyThrottles(ctx context.Context) {
	for a.cfg.Now() < a.nextRenewal {
		select {
		case t := <-a.throttles:
			a.throttle(ctx, t)
		default:
			return
		}
	}
}

func (a *agent) throttle(ctx context.Context, t throttle) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req := worker.ThrottleRequest{Fence: a.fence(a.cfg.Now()), RunKey: t.key, Percent: t.percent}
	if err := a.cfg.Client.Throttle(ctx, a.addr(), req); err != nil {
		a.cfg.Metrics.Count("executor_throttle_errors")
		return
	}
	a.cfg.Metrics.Count("executor_throttles")
}
