package maintenance

import (
	"cmp"
	"time"

	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Defaults of the limits of a wave.
const (
	defaultCanaryVMs = 1
	// defaultSoak covers the first requests and the health probes of a VM that is back.
	defaultSoak = 2 * time.Minute
	// defaultStepTimeout is longer than a drain that waits for a straggler plus a replacement.
	defaultStepTimeout = time.Hour
	// defaultMaxFailures only stops a wave that lasts for weeks; the rate rule halts much earlier.
	defaultMaxFailures = 50
)

// maxWidth bounds the width of a pool's step; the budget is usually the tighter bound.
const maxWidth fleet.VMCount = 64

// WithDefaults returns the limits with defaults in place of zero values.
func WithDefaults(l fleet.WaveLimits) fleet.WaveLimits {
	l.CanaryVMs = cmp.Or(l.CanaryVMs, defaultCanaryVMs)
	l.MaxFailures = cmp.Or(l.MaxFailures, defaultMaxFailures)
	l.Soak = cmp.Or(l.Soak, defaultSoak)
	l.StepTimeout = cmp.Or(l.StepTimeout, defaultStepTimeout)
	return l
}
