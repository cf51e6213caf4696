package main

import (
	"context"
	"fmt"
	"strings"
	"time"

	"waxwingslip.example/node/operator/api"
)

// wait polls until step reports done. step returns a line on what is missing, which is shown when it changes.
// Failed queries do not end the wait, because the daemon asked may be restarting.
func (a *app) wait(ctx context.Context, timeout time.Duration, step func(context.Context) (done bool, missing string, err error)) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	ticker := time.NewTicker(a.poll)
	defer ticker.Stop()
	shown, missing := "", "no daemon answered"
	for {
		done, text, err := step(ctx)
		if done {
			return nil
		}
		if ctx.Err() == nil {
			missing = text
			if err != nil {
				missing = err.Error()
			}
			if missing != shown {
				a.progress("%s", missing)
				shown = missing
			}
		}
		select {
		case <-ctx.Done():
			return exitf(exitTimeout, "the command was accepted, but the wait ended after %s: %s", timeout, missing)
		case <-ticker.C:
		}
	}
}

// waitInForce waits until a version or a newer one is in force in every zone.
func waitInForce(ctx context.Context, a *app, version int64, timeout time.Duration) error {
	err := a.wait(ctx, timeout, func(ctx context.Context) (bool, string, error) {
		in, err := inForce(ctx, a)
		if err != nil {
			return false, "", err
		}
		missing := behind(in, version)
		return len(missing) == 0 && len(in.Zones) > 0, fmt.Sprintf("in force in %d of %d zones, waiting for %s",
			len(in.Zones)-len(missing), len(in.Zones), strings.Join(missing, ", ")), nil
	})
	if err == nil {
		a.say("version %d is in force in every zone", version)
	}
	return err
}

func behind(in api.ConfigInForce, version int64) []string {
	var missing []string
	for _, z := range in.Zones {
		switch {
		case !z.Heard:
			missing = append(missing, z.Zone+" (not heard)")
		case z.Version < version:
			missing = append(missing, fmt.Sprintf("%s (version %d)", z.Zone, z.Version))
		}
	}
	return missing
}

// waitDrained waits until a zone that follows version holds no batch task.
func waitDrained(ctx context.Context, a *app, zone string, version int64, timeout time.Duration) error {
	err := a.wait(ctx, timeout, func(ctx context.Context) (bool, string, error) {
		all, err := zones(ctx, a)
		if err != nil {
			return false, "", err
		}
		for _, z := range all.Zones {
			if z.Name != zone {
				continue
			}
			if !z.Heard {
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
		a.say("zone %s is out of service and drained", zone)
	}
	return err
}
