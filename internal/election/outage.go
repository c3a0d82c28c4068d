package election

import (
	"slices"
	"time"

	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// outage is what an entry knows of the store's rows of a duty without a holder. The store may refuse the rows of some
// duties while it gives out others, and only a call shows it.
type outage string

// States of outages. A duty without a state has not been probed since its holder was last seen.
const (
	outageNone  outage = "none"
	outageLasts outage = "lasts"
	outageOver  outage = "over"
)

// probeInterval is the time between probes for the rows of a duty that the store does not give out: no more than two
// ranks, so that the first entry claims before the second one.
const probeInterval = 2 * rankDelay

// Probes returns those of the given duties for which this entry should ask the store whether it gives out their rows, the
// one whose last probe is the longest ago first.
// The ranks of the entries pass in an outage, so that whichever entry asks first at its end would take the lease, and the
// smallest VM the largest duty. So an entry learns of the outage while it waits for its rank.
func (s *State) Probes(now time.Time, duties []fleet.DutyName) []fleet.DutyName {
	var probes []fleet.DutyName
	for _, d := range duties {
		_, hadHolder := s.Leases[d]
		if s.freeSince[d].IsZero() || now.Before(s.retryAt[d]) {
			continue
		}
		// An entry that has never seen a holder claims at once, and probes only after that has failed.
		if hadHolder && s.outages[d] == "" || s.outages[d] == outageLasts {
			probes = append(probes, d)
		}
	}
	slices.SortStableFunc(probes, func(a, b fleet.DutyName) int { return s.retryAt[a].Compare(s.retryAt[b]) })
	return probes
}

// SetUnavailable records that the store did not answer a claim or a probe, or refused it: the holder cannot renew either.
func (s *State) SetUnavailable(now time.Time, d fleet.DutyName) {
	s.outages[d], s.retryAt[d] = outageLasts, now.Add(probeInterval)
}

// SetAvailable records that a probe was answered. After an outage the last holder may renew first, and the ranks of the
// entries count from then.
func (s *State) SetAvailable(now time.Time, d fleet.DutyName) {
	if s.outages[d] != outageLasts {
		s.outages[d] = outageNone
		return
	}
	s.outages[d], s.freeSince[d], s.retryAt[d] = outageOver, now.Add(rankDelay), now
}
