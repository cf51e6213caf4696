package main

import (
	"context"
	"sync"
	"time"

	"waxwingslip.example/node/operator/api"
)

// queryAllTimeout limits a query to all daemons, so that a hanging daemon does not delay the others' responses.
const queryAllTimeout = 5 * time.Second

// queryAll queries all daemons of -daemon concurrently and returns the responses in their order. It returns an error
// only if every query failed: "not found" if all of them failed with it, else the first other error.
func queryAll[T any](ctx context.Context, a *app, call func(context.Context, *api.Client) (T, error)) ([]T, error) {
	pool, err := a.clientPool()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, min(a.callTimeout, queryAllTimeout))
	defer cancel()
	clients := pool.Clients()
	responses, errs := make([]T, len(clients)), make([]error, len(clients))
	var wg sync.WaitGroup
	for i, c := range clients {
		wg.Go(func() { responses[i], errs[i] = call(ctx, c) })
	}
	wg.Wait()
	var results []T
	var firstErr error
	for i, err := range errs {
		if err == nil {
			results = append(results, responses[i])
		} else if firstErr == nil || exitCode(firstErr) == exitNotFound {
			firstErr = err
		}
	}
	if len(results) == 0 {
		return nil, firstErr
	}
	return results, nil
}

// fetchConfigInForce merges the responses of all daemons, because a daemon has the current state of its own zone only;
// it sees other zones through summaries that lag.
func fetchConfigInForce(ctx context.Context, a *app) (api.ConfigInForce, error) {
	responses, err := queryAll(ctx, a, func(ctx context.Context, c *api.Client) (api.ConfigInForce, error) {
		return c.ConfigInForce(ctx)
	})
	merged := api.ConfigInForce{Zones: []api.ZoneConfig{}}
	position := map[string]int{}
	for _, response := range responses {
		merged.Version = max(merged.Version, response.Version)
		for _, z := range response.Zones {
			i, known := position[z.Zone]
			if !known {
				position[z.Zone] = len(merged.Zones)
				merged.Zones = append(merged.Zones, z)
			} else if old := merged.Zones[i]; preferZoneInfo(z.Reachable, z.AgeMs, old.Reachable, old.AgeMs) {
				merged.Zones[i] = z
			}
		}
	}
	return merged, err
}

// fetchZones merges the responses of all daemons, for the same reason as fetchConfigInForce.
func fetchZones(ctx context.Context, a *app) (api.Zones, error) {
	responses, err := queryAll(ctx, a, func(ctx context.Context, c *api.Client) (api.Zones, error) { return c.Zones(ctx) })
	merged := api.Zones{Zones: []api.Zone{}}
	position := map[string]int{}
	for _, response := range responses {
		for _, z := range response.Zones {
			i, known := position[z.Name]
			if !known {
				position[z.Name] = len(merged.Zones)
				merged.Zones = append(merged.Zones, z)
			} else if old := merged.Zones[i]; preferZoneInfo(z.Reachable, z.AgeMs, old.Reachable, old.AgeMs) {
				merged.Zones[i] = z
			}
		}
	}
	return merged, err
}

// preferZoneInfo reports whether information about a zone is preferable to the old information. A negative age is
// unknown.
func preferZoneInfo(reachable bool, ageMs int64, oldReachable bool, oldAgeMs int64) bool {
	if reachable != oldReachable {
		return reachable
	}
	return ageMs >= 0 && (oldAgeMs < 0 || ageMs < oldAgeMs)
}
