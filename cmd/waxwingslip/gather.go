package main

import (
	"context"
	"sync"
	"time"

	"waxwingslip.example/node/operator/api"
)

// gatherTimeout limits one round of questions to all daemons, so that one that hangs does not hold up the rest.
const gatherTimeout = 5 * time.Second

// gather asks all named daemons at the same time. It returns the answers in the order of -daemon. Only if no
// daemon answered it returns an error: "not found" if all of them say so, else the first other one.
func gather[T any](ctx context.Context, a *app, call func(context.Context, *api.Client) (T, error)) ([]T, error) {
	pool, err := a.pool()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, min(a.callTimeout, gatherTimeout))
	defer cancel()
	clients := pool.Clients()
	answers, errs := make([]T, len(clients)), make([]error, len(clients))
	var wg sync.WaitGroup
	for i, c := range clients {
		wg.Go(func() { answers[i], errs[i] = call(ctx, c) })
	}
	wg.Wait()
	var good []T
	var first error
	for i, err := range errs {
		if err == nil {
			good = append(good, answers[i])
		} else if first == nil || codeOf(first) == exitNotFound {
			first = err
		}
	}
	if len(good) == 0 {
		return nil, first
	}
	return good, nil
}

// inForce asks all named daemons, because a daemon knows its own zone at first hand and others from summaries
// that lag.
func inForce(ctx context.Context, a *app) (api.ConfigInForce, error) {
	answers, err := gather(ctx, a, func(ctx context.Context, c *api.Client) (api.ConfigInForce, error) {
		return c.ConfigInForce(ctx)
	})
	merged := api.ConfigInForce{Zones: []api.ZoneConfig{}}
	place := map[string]int{}
	for _, in := range answers {
		merged.Version = max(merged.Version, in.Version)
		for _, z := range in.Zones {
			i, known := place[z.Zone]
			if !known {
				place[z.Zone] = len(merged.Zones)
				merged.Zones = append(merged.Zones, z)
			} else if old := merged.Zones[i]; better(z.Heard, z.AgeMs, old.Heard, old.AgeMs) {
				merged.Zones[i] = z
			}
		}
	}
	return merged, err
}

// zones asks all named daemons, as inForce does.
func zones(ctx context.Context, a *app) (api.Zones, error) {
	answers, err := gather(ctx, a, func(ctx context.Context, c *api.Client) (api.Zones, error) { return c.Zones(ctx) })
	merged := api.Zones{Zones: []api.Zone{}}
	place := map[string]int{}
	for _, answer := range answers {
		for _, z := range answer.Zones {
			i, known := place[z.Name]
			if !known {
				place[z.Name] = len(merged.Zones)
				merged.Zones = append(merged.Zones, z)
			} else if old := merged.Zones[i]; better(z.Heard, z.AgeMs, old.Heard, old.AgeMs) {
				merged.Zones[i] = z
			}
		}
	}
	return merged, err
}

// better reports whether information about a zone is preferable to old information.
func better(heard bool, ageMs int64, oldHeard bool, oldAgeMs int64) bool {
	if heard != oldHeard {
		return heard
	}
	return ageMs >= 0 && (oldAgeMs < 0 || ageMs < oldAgeMs)
}
