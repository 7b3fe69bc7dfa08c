//go:build !linux

package cottonlanding

import "time"

// sinceBoot reports that the time since boot, including suspensions, isn't known.
func sinceBoot() (time.Duration, bool) { return 0, false }
