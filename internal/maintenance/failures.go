package maintenance

import (
	"math"
	"slices"
	"time"

	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Rates of failures per VM and hour.
const (
	// backgroundRate is 72 failures a day among 7,400 VMs.
	backgroundRate = 72.0 / 7400 / 24
	// badChangeRate is the rate that the test is designed to detect: 5% of the VMs within 15 minutes.
	badChangeRate = 0.2
	// falseHaltRate bounds the probability that a wave is ever halted by background failures alone.
	falseHaltRate = 0.01
)

// watchTime is how long after its soak a VM still counts towards the failure rate of the wave.
const watchTime = time.Hour

// isExcessive reports whether the failure rate of the wave exceeds the background rate.
//
// The rule is a sequential test on the log-likelihood ratio of two Poisson rates of failures,
// badChangeRate against backgroundRate. Each VM adds its failures times the logarithm of the ratio of
// rates (6.2), and subtracts its hours under observation times the difference of rates (0.2). The
// observation of a VM begins with its drain and ends with its failure or watchTime after its soak.
// The rule takes the largest sum over the last k started VMs for any k, so that a long healthy history
// does not hide a fault that begins late, and halts when it exceeds ln(N / falseHaltRate) for N VMs.
//
// Under the background rate each sum is the logarithm of a martingale that starts at 1. Ville's
// inequality bounds the probability that one of the N sums ever exceeds its limit, however often
// the rule is applied, by falseHaltRate / N, and all of them together by falseHaltRate. The bound
// assumes independent background failures: the loss of a whole rack may halt a wave, which an operator
// then resumes. TestHaltRuleErrorRates runs waves of 176 VMs, one day of the standing schedule, with
// consecutive steps of 15 minutes: at the background rate 0 of 2,000 waves halted; with 10% of the VMs
// failing all of 2,000 halted, after 25 VMs on average. After the canary, a single failure never halts a
// wave of more than 4 VMs.
func isExcessive(w fleet.Wave, now time.Time) bool {
	if newFailures(w) == 0 {
		return false
	}
	vms := slices.Clone(w.VMs)
	slices.SortStableFunc(vms, func(a, b fleet.WaveVM) int { return b.StartedAt.Compare(a.StartedAt) })
	sum, largest := 0.0, 0.0
	for _, v := range vms {
		if v.StartedAt.IsZero() {
			continue
		}
		hours, failed := observe(v, w.FailuresSince, now)
		if failed {
			sum += math.Log(badChangeRate / backgroundRate)
		}
		sum -= (badChangeRate - backgroundRate) * hours
		largest = max(largest, sum)
	}
	return largest > math.Log(float64(len(w.VMs))/falseHaltRate)
}

// observe returns how many hours a VM was under observation, and whether it failed during them.
func observe(v fleet.WaveVM, failuresSince, now time.Time) (float64, bool) {
	start, end := v.StartedAt, now
	if start.Before(failuresSince) {
		start = failuresSince
	}
	switch v.State {
	case fleet.WaveVMStateFailed:
		end = v.ChangedAt
	case fleet.WaveVMStateDone:
		if watched := v.ChangedAt.Add(watchTime); watched.Before(now) {
			end = watched
		}
	case fleet.WaveVMStateSkipped, fleet.WaveVMStatePending:
		return 0, false
	}
	failed := v.State == fleet.WaveVMStateFailed && v.ChangedAt.After(failuresSince)
	return max(0, end.Sub(start).Hours()), failed
}
