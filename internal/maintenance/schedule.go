package maintenance

import (
	"cmp"
	"slices"
	"time"

	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Durations of the standing schedule.
const (
	// scheduleSlack is reserved at the end of the period for urgent load, halts and failed VMs.
	scheduleSlack = 7 * 24 * time.Hour
	// minMaintenanceAge keeps the schedule from maintaining fresh VMs.
	minMaintenanceAge = 7 * 24 * time.Hour
	day               = 24 * time.Hour
	// scheduleParts limits the slack and the minimum age to a sixth of the period each, which takes effect
	// when the period is shorter than six weeks.
	scheduleParts = 6
)

// StandingWave returns today's wave of the standing schedule. It selects from each pool the VMs that were
// maintained longest ago, as many as a day needs to maintain every VM once per period; the daily limit
// also spreads VMs that became due together. It reports false if no VM is due or a wave of the schedule is
// still open. Pools that are not configured have no budget and are left out. A period of 0 turns the
// schedule off.
func StandingWave(pools map[fleet.PoolID]fleet.Pool, vms []fleet.VM, waves map[fleet.WaveID]fleet.Wave, period time.Duration, now time.Time) (fleet.WaveID, fleet.WaveSpec, bool) {
	if period == 0 || HasStandingWave(waves, now) {
		return "", fleet.WaveSpec{}, false
	}
	minAge := min(minMaintenanceAge, period/scheduleParts)
	sizes, due := map[fleet.PoolID]int{}, map[fleet.PoolID]int{}
	for _, vm := range vms {
		if _, ok := pools[vm.Pool]; !ok || vm.State == fleet.VMStateRemoved {
			continue
		}
		sizes[vm.Pool]++
		if now.Sub(maintainedAt(vm)) >= minAge {
			due[vm.Pool]++
		}
	}
	if len(due) == 0 {
		return "", fleet.WaveSpec{}, false
	}
	dailyVMs := 0
	spec := fleet.WaveSpec{Action: fleet.WaveActionReboot, Filter: fleet.WaveFilter{MaintainedBefore: now.Add(-minAge)}}
	for pool := range due {
		spec.Pools = append(spec.Pools, pool)
		days := (period - min(scheduleSlack, period/scheduleParts) - minAge) / day
		dailyVMs = max(dailyVMs, ceilDiv(sizes[pool], max(1, int(days))))
	}
	slices.SortFunc(spec.Pools, func(a, b fleet.PoolID) int { return cmp.Compare(a, b) })
	spec.Limits.MaxVMsPerPool = fleet.VMCount(dailyVMs)
	return standingID(now), spec, true
}

// HasStandingWave reports whether today's wave of the standing schedule exists or an earlier one is open.
func HasStandingWave(waves map[fleet.WaveID]fleet.Wave, now time.Time) bool {
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

// isLate reports whether the wave will miss its deadline if it continues at its average rate so far.
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
