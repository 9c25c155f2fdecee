package site

import (
	"time"

	"golang.org/x/sys/unix"
)

// bootClock returns the time since boot, including the time for which the instance was suspended.
func bootClock() time.Duration {
	var now unix.Timespec
	err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now)
	if err != nil {
		// Every Linux kernel since 2.6.39 has the clock; without it a lease could expire unnoticed during a suspension.
		panic("CLOCK_BOOTTIME unavailable: " + err.Error())
	}
	return time.Duration(now.Nano())
}

// wallClock returns the time since the Unix epoch.
func wallClock() time.Duration { return time.Duration(time.Now().UnixNano()) }
