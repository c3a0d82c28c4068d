// Package spare decides which VMs the spare pool lends to other pools and which it takes back.
package spare

import (
	"math"
	"time"
)

// Time constants of the forecast.
const (
	// levelTime averages over the peaks of the queues, which last seconds.
	levelTime = 8 * time.Minute
	// trendTime follows the rise of a day and ignores single storms.
	trendTime = 40 * time.Minute
	// errorTime is how long an error of the forecast widens the margin.
	errorTime = 2 * time.Hour
)

// VMs is an amount of capacity, as a fractional number of VMs.
type VMs float64

// forecast predicts the demand of one pool by double exponential smoothing (Holt's method) over
// samples at irregular times. It is learned from scratch after a change of the duty's holder.
type forecast struct {
	level VMs
	// trend is the change of the level per hour.
	trend float64
	// deviation is the mean absolute error of a sample, by which the level is uncertain.
	deviation float64
	begun     time.Time
	at        time.Time
}

// observe takes the demand at an instant. Samples that are not newer than the last one are ignored.
func (f *forecast) observe(at time.Time, demand VMs) {
	if f.at.IsZero() {
		f.level, f.at, f.begun = demand, at, at
		return
	}
	step := at.Sub(f.at)
	if step <= 0 {
		return
	}
	predicted := f.level + VMs(f.trend*step.Hours())
	err := float64(demand - predicted)
	// A young forecast averages all samples alike, so that the first one does not dominate.
	age := at.Sub(f.begun)
	previous := f.level
	f.level = predicted + VMs(smoothing(step, min(levelTime, age))*err)
	if age > levelTime {
		// The level of a young forecast jumps with each sample, which is no trend.
		f.trend += smoothing(step, trendTime) * (float64(f.level-previous)/step.Hours() - f.trend)
	}
	f.deviation += smoothing(step, min(errorTime, age)) * (math.Abs(err) - f.deviation)
	f.at = at
}

// smoothing returns the weight of a sample in an average with a time constant.
func smoothing(step, constant time.Duration) float64 {
	return 1 - math.Exp(-float64(step)/float64(max(constant, step)))
}

// deviations is how many deviations of the level the margin covers. The error of the level is close to
// a normal distribution, of which 1.6 mean absolute deviations cover 90% on one side.
const deviations = 1.6

// at returns the demand that is not exceeded a while ahead, with a safety margin.
func (f *forecast) ahead(ahead time.Duration, interval time.Duration) VMs {
	weight := smoothing(interval, levelTime)
	margin := deviations * f.deviation * math.Sqrt(weight/(2-weight))
	return max(0, f.level+VMs(f.trend*ahead.Hours()+margin))
}
