package main

import (
	"context"
	"fmt"
	"strings"
	"time"

	"waxwingslip.example/node/operator/api"
)

// waitUntil polls until step reports done. step returns a progress line, which is printed when it changes. Failed
// queries do not end the wait, because the queried daemon may be restarting.
func (a *app) waitUntil(ctx context.Context, timeout time.Duration,
	step func(context.Context) (done bool, progress string, err error)) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	ticker := time.NewTicker(a.pollInterval)
	defer ticker.Stop()
	lastPrinted, progress := "", "no daemon answered"
	for {
		done, pending, err := step(ctx)
		if done {
			return nil
		}
		if ctx.Err() == nil {
			progress = pending
			if err != nil {
				progress = err.Error()
			}
			if progress != lastPrinted {
				a.printProgress("%s", progress)
				lastPrinted = progress
			}
		}
		select {
		case <-ctx.Done():
			return exitf(exitTimeout, "the command was accepted, but the wait ended after %s: %s", timeout, progress)
		case <-ticker.C:
		}
	}
}

// waitInForce waits until a version or a newer one is in force in every zone.
func waitInForce(ctx context.Context, a *app, version int64, timeout time.Duration) error {
	err := a.waitUntil(ctx, timeout, func(ctx context.Context) (bool, string, error) {
		inForce, err := fetchConfigInForce(ctx, a)
		if err != nil {
			return false, "", err
		}
		missing := zonesBehind(inForce, version)
		return len(missing) == 0 && len(inForce.Zones) > 0, fmt.Sprintf("in force in %d of %d zones, waiting for %s",
			len(inForce.Zones)-len(missing), len(inForce.Zones), strings.Join(missing, ", ")), nil
	})
	if err == nil {
		a.printMessage("version %d is in force in every zone", version)
	}
	return err
}

// zonesBehind describes the zones that do not have version or a newer one in force.
func zonesBehind(inForce api.ConfigInForce, version int64) []string {
	var missing []string
	for _, z := range inForce.Zones {
		switch {
		case !z.Reachable:
			missing = append(missing, z.Zone+" (not heard)")
		case z.Version < version:
			missing = append(missing, fmt.Sprintf("%s (version %d)", z.Zone, z.Version))
		}
	}
	return missing
}

// waitDrained waits until a zone has version in force, is out of service and runs no batch task.
func waitDrained(ctx context.Context, a *app, zone string, version int64, timeout time.Duration) error {
	err := a.waitUntil(ctx, timeout, func(ctx context.Context) (bool, string, error) {
		all, err := fetchZones(ctx, a)
		if err != nil {
			return false, "", err
		}
		for _, z := range all.Zones {
			if z.Name != zone {
				continue
			}
			if !z.Reachable {
				return false, fmt.Sprintf("zone %s is not heard", zone), nil
			}
			if z.ConfigVersion < version {
				return false, fmt.Sprintf("zone %s follows version %d, waiting for %d", zone, z.ConfigVersion, version), nil
			}
			return z.Drained && !z.InService, fmt.Sprintf("zone %s: %d batch tasks running, %d tasks pending", zone,
				z.BatchTasks, z.PendingTasks), nil
		}
		return false, fmt.Sprintf("zone %s is not in the answer", zone), nil
	})
	if err == nil {
		a.printMessage("zone %s is out of service and drained", zone)
	}
	return err
}
