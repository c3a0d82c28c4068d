package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// sinceBoot returns the time since the machine was started, suspensions included.
func sinceBoot() (time.Duration, bool) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0, false
	}
	return time.Duration(t.Nano()), true
}
