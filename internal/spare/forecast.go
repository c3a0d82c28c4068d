// Package spare decides which VMs the spare pools lend to other pools and which they reclaim.
package spare

import (
	"math"
	"time"
)

// Time constants of the forecast.
const (
	// levelTime averages out the peaks of the queues, which last seconds.
	levelTime = 8 * time.Minute
	// trendTime follows the daily rise and fall of the load and ignores single bursts.
	trendTime = 40 * time.Minute
	// errorTime is how long a forecast error widens the safety margin.
	errorTime = 2 * time.Hour
)

// VMs is an amount of capacity, as a fractional number of VMs.
type VMs float64

// forecast predicts the demand of one pool by double exponential smoothing (Holt's method) over
// samples at irregular times. It starts empty when the lease of the duty changes hands.
type forecast struct {
	level VMs
	// trend is the change of the level per hour.
	trend float64
	// deviation is the mean absolute error of the samples.
	deviation float64
	startedAt time.Time
	sampledAt time.Time
}

// observe adds a sample of the demand. Samples that are not newer than the last one are ignored.
func (f *forecast) observe(at time.Time, demand VMs) {
	if f.sampledAt.IsZero() {
		f.level, f.sampledAt, f.startedAt = demand, at, at
		return
	}
	step := at.Sub(f.sampledAt)
	if step <= 0 {
		return
	}
	predicted := f.level + VMs(f.trend*step.Hours())
	err := float64(demand - predicted)
	// A new forecast weights all samples equally, so that the first one does not dominate.
	age := at.Sub(f.startedAt)
	previous := f.level
	f.level = predicted + VMs(smoothing(step, min(levelTime, age))*err)
	if age > levelTime {
		// The level of a new forecast jumps with each sample, which is not a trend.
		f.trend += smoothing(step, trendTime) * (float64(f.level-previous)/step.Hours() - f.trend)
	}
	f.deviation += smoothing(step, min(errorTime, age)) * (math.Abs(err) - f.deviation)
	f.sampledAt = at
}

// smoothing returns the weight of a sample in an exponential average with a time constant.
func smoothing(step, constant time.Duration) float64 {
	return 1 - math.Exp(-float64(step)/float64(max(constant, step)))
}

// deviations is the safety margin in mean absolute deviations of the level. The error of the level is
// close to a normal distribution, of which 1.6 mean absolute deviations cover 90% on one side.
const deviations = 1.6

// predict returns the forecast demand at the horizon plus a safety margin.
func (f *forecast) predict(horizon time.Duration, interval time.Duration) VMs {
	weight := smoothing(interval, levelTime)
	margin := deviations * f.deviation * math.Sqrt(weight/(2-weight))
	return max(0, f.level+VMs(f.trend*horizon.Hours()+margin))
}
