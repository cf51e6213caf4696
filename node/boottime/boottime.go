// Package boottime reads the boot-time clock, which includes the time the machine was suspended. Leases are checked
// against it, since the monotonic clock of the runtime stops during suspension.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine booted, including suspension.
func Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // every Linux that Go supports has this clock
	}
	return time.Duration(t.Nano())
}
