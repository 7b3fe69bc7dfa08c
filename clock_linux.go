package cottonlanding

import (
	"time"

	"golang.org/x/sys/unix"
)

// sinceBoot returns the time since boot, including the time in which the system was suspended, and
// whether it is known.
func sinceBoot() (time.Duration, bool) {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return 0, false
	}
	return time.Duration(now.Nano()), true
}
