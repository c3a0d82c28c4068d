//go:build !linux

package clock

import "time"

// sinceBoot reports that there is no clock which counts suspensions.
func sinceBoot() (time.Duration, bool) { return 0, false }
