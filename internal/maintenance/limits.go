package maintenance

import (
	"cmp"
	"time"

	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Defaults for the limits of a wave.
const (
	defaultCanaryVMs = 1
	// defaultSoak covers the first requests to a returned VM and its health probes.
	defaultSoak = 2 * time.Minute
	// defaultStepTimeout leaves time for a drain that waits for a slow request, plus a replacement.
	defaultStepTimeout = time.Hour
	// defaultMaxFailures only matters for a wave that lasts weeks; the failure rate halts others earlier.
	defaultMaxFailures = 50
)

// maxWidth bounds how many VMs of a pool are disrupted together; the budget is usually the tighter bound.
const maxWidth fleet.VMCount = 64

// WithDefaults returns the limits with zero values replaced by the defaults.
func WithDefaults(l fleet.WaveLimits) fleet.WaveLimits {
	l.CanaryVMs = cmp.Or(l.CanaryVMs, defaultCanaryVMs)
	l.MaxFailures = cmp.Or(l.MaxFailures, defaultMaxFailures)
	l.Soak = cmp.Or(l.Soak, defaultSoak)
	l.StepTimeout = cmp.Or(l.StepTimeout, defaultStepTimeout)
	return l
}
