package maintenance

import (
	"cmp"
	"slices"
	"time"

	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Times of the standing schedule.
const (
	// scheduleSlack is kept free at the end of the period for storms, halts and failed VMs.
	scheduleSlack = 7 * 24 * time.Hour
	// minimumAge keeps the schedule from maintaining fresh VMs.
	minimumAge = 7 * 24 * time.Hour
	day        = 24 * time.Hour
	// scheduleParts shortens the slack and the minimum age to a part of the period each when the period
	// is shorter than six weeks.
	scheduleParts = 6
)

// Standing returns what the standing schedule asks of today's wave. It takes from each pool the VMs
// maintained longest ago, as many as keep every VM within the period, and reports false when none is
// due or a wave of the schedule is still open. The daily share also spreads VMs that became due
// together. Pools that are not configured have no budget and are left out. A period of 0 turns the
// schedule off.
func Standing(pools map[fleet.PoolID]fleet.Pool, vms []fleet.VM, waves map[fleet.WaveID]fleet.Wave, period time.Duration, now time.Time) (fleet.WaveID, fleet.WaveSpec, bool) {
	if period == 0 || IsStandingDone(waves, now) {
		return "", fleet.WaveSpec{}, false
	}
	youngest := min(minimumAge, period/scheduleParts)
	sizes, due := map[fleet.PoolID]int{}, map[fleet.PoolID]int{}
	for _, vm := range vms {
		if _, ok := pools[vm.Pool]; !ok || vm.State == fleet.VMStateRemoved {
			continue
		}
		sizes[vm.Pool]++
		if now.Sub(maintainedAt(vm)) >= youngest {
			due[vm.Pool]++
		}
	}
	if len(due) == 0 {
		return "", fleet.WaveSpec{}, false
	}
	share := 0
	spec := fleet.WaveSpec{Action: fleet.WaveActionReboot, Filter: fleet.WaveFilter{MaintainedBefore: now.Add(-youngest)}}
	for pool := range due {
		spec.Pools = append(spec.Pools, pool)
		days := (period - min(scheduleSlack, period/scheduleParts) - youngest) / day
		share = max(share, ceilDiv(sizes[pool], max(1, int(days))))
	}
	slices.SortFunc(spec.Pools, func(a, b fleet.PoolID) int { return cmp.Compare(a, b) })
	spec.Limits.MaxVMsPerPool = fleet.VMCount(share)
	return standingID(now), spec, true
}

// IsStandingDone reports whether today's wave of the standing schedule exists or an earlier one is still open.
func IsStandingDone(waves map[fleet.WaveID]fleet.Wave, now time.Time) bool {
	id := standingID(now)
	for _, w := range waves {
		if w.ID == id || isStanding(w.ID) && !w.State.IsFinal() {
			return true
		}
	}
	return false
}

const standingPrefix = "standing-"

func standingID(now time.Time) fleet.WaveID {
	return fleet.WaveID(standingPrefix + now.UTC().Format("2006-01-02"))
}

func isStanding(id fleet.WaveID) bool {
	return len(id) > len(standingPrefix) && id[:len(standingPrefix)] == standingPrefix
}

func ceilDiv(a, b int) int { return (a + b - 1) / b }

// isLate reports whether the wave is expected to end after its deadline at the rate so far.
func isLate(w fleet.Wave, now time.Time) bool {
	if w.Spec.Deadline.IsZero() {
		return false
	}
	first, finished, open := now, 0, 0
	for _, v := range w.VMs {
		if !v.StartedAt.IsZero() && v.StartedAt.Before(first) {
			first = v.StartedAt
		}
		switch v.State {
		case fleet.WaveVMStateDone, fleet.WaveVMStateFailed:
			finished++
		case fleet.WaveVMStatePending, fleet.WaveVMStateStarted:
			open++
		}
	}
	remaining := time.Duration(0)
	if finished > 0 && w.Width > 0 {
		remaining = now.Sub(first) / time.Duration(finished) * time.Duration(open)
	}
	return open > 0 && now.Add(remaining).After(w.Spec.Deadline)
}
