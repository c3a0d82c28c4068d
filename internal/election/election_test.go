package election_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mimosawharf/mimosawharf/internal/election"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// states returns the state of one entry per capacity. Each state lists all of the entries as live.
func states(capacities ...fleet.Millicores) []*election.State {
	var list []*election.State
	for i, c := range capacities {
		s := election.NewState(fleet.EntryID(fmt.Sprintf("entry-%d", i)), "life")
		s.Millicores = c
		list = append(list, s)
	}
	for _, s := range list {
		for _, other := range list {
			s.SetNode(start, election.Node{Entry: other.Self, Incarnation: "life", Millicores: other.Millicores})
		}
	}
	return list
}

func lease(d fleet.DutyName, by fleet.EntryID) election.Lease {
	return election.Lease{Duty: d, Entry: by, Incarnation: "life", Epoch: 1, Renewals: 1}
}

// claimants returns the entries that claim a duty some time after all of them have seen it free.
func claimants(list []*election.State, d fleet.DutyName, after time.Duration) []fleet.EntryID {
	var ids []fleet.EntryID
	for _, s := range list {
		s.Claims(start, []fleet.DutyName{d})
		if len(s.Claims(start.Add(after), []fleet.DutyName{d})) > 0 {
			ids = append(ids, s.Self)
		}
	}
	return ids
}

func TestClaims(t *testing.T) {
	t.Run("one entry claims at first", func(t *testing.T) {
		is := is.New(t)
		is.Equal(len(claimants(states(400, 400, 400, 400), "duty", 0)), 1)
	})
	t.Run("the others follow by rank", func(t *testing.T) {
		is := is.New(t)
		is.Equal(len(claimants(states(400, 400, 400, 400), "duty", time.Second)), 4)
	})
	t.Run("the largest VM ranks first", func(t *testing.T) {
		is := is.New(t)
		is.Equal(claimants(states(192, 800, 192, 192), "duty", 0), []fleet.EntryID{"entry-1"})
	})
	t.Run("an entry with a lease ranks after its equals", func(t *testing.T) {
		is := is.New(t)
		list := states(400, 400)
		for _, s := range list {
			s.SetLease(start, lease("other", "entry-0"))
		}
		is.Equal(claimants(list, "duty", 0), []fleet.EntryID{"entry-1"})
	})
}

func TestHolder(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*election.State)
		after  time.Duration
		want   bool
	}{
		{"a renewed lease is held", func(s *election.State) { s.SetLease(start.Add(time.Second), lease("duty", "entry-1")) }, time.Second, true},
		{"a lease that is not renewed expires", func(*election.State) {}, election.LeaseTimeout, false},
		{"a released lease is free", func(s *election.State) {
			l := lease("duty", "entry-1")
			l.Released = true
			s.SetLease(start.Add(time.Second), l)
		}, time.Second, false},
		{"a holder that restarted holds nothing", func(s *election.State) {
			s.SetNode(start.Add(time.Second), election.Node{Entry: "entry-1", Incarnation: "next life"})
		}, time.Second, false},
		{"an outage of the store does not expire a lease", func(s *election.State) { s.ExcludeOutage(election.LeaseTimeout) }, election.LeaseTimeout, true},
		{"an older epoch is ignored", func(s *election.State) {
			l := lease("duty", "entry-0")
			l.Epoch = 0
			s.SetLease(start, l)
		}, time.Second, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := states(400, 400)[0]
			s.SetLease(start, lease("duty", "entry-1"))
			c.change(s)
			l, ok := s.Holder(start.Add(c.after), "duty")
			is.Equal(ok, c.want)
			is.Equal(l.Entry, fleet.EntryID("entry-1"))
		})
	}
}

// Guards against a lease that is taken from a working holder: the store refused the duty's rows for a while,
// and the other entries retried more often than the holder renewed. Also guards against entries that retry
// until they have read the winner's lease; on large sites eleven of them retried ten times a second.
func TestFailedClaimIsRetriedAfterBackoff(t *testing.T) {
	is := is.New(t)
	s := states(400, 400)[0]
	s.SetLease(start, lease("duty", "entry-1"))
	free := start.Add(election.LeaseTimeout)
	s.Claims(free, []fleet.DutyName{"duty"})
	free = free.Add(time.Second) // longer than the delay of any rank
	is.Equal(len(s.Claims(free, []fleet.DutyName{"duty"})), 1)
	s.BackOff(free, "duty")
	is.Equal(len(s.Claims(free.Add(time.Millisecond), []fleet.DutyName{"duty"})), 0)
	is.Equal(len(s.Claims(free.Add(election.LeaseTimeout), []fleet.DutyName{"duty"})), 1)
}

// Guards against the smallest VM taking the lease after an outage of the store because it asked first.
func TestRanksCountFromTheEndOfAnOutage(t *testing.T) {
	is := is.New(t)
	list, duties := states(192, 800, 192), []fleet.DutyName{"duty"}
	for _, s := range list {
		s.SetLease(start, lease("duty", "gone"))
		s.Claims(start.Add(election.LeaseTimeout), duties)
		s.SetUnavailable(start.Add(2*election.LeaseTimeout), "duty")
	}
	// The small VMs probe the store first once it answers.
	probedAt := start.Add(3 * election.LeaseTimeout)
	for n, after := range []time.Duration{0, 400 * time.Millisecond, 100 * time.Millisecond} {
		is.Equal(list[n].Probes(probedAt, duties), duties)
		list[n].SetNode(probedAt, election.Node{Entry: "entry-1", Incarnation: "life", Millicores: 800, Heartbeats: 2})
		list[n].SetAvailable(probedAt.Add(after), "duty")
	}
	var first fleet.EntryID
	for after := time.Duration(0); first == ""; after += 100 * time.Millisecond {
		for _, s := range list {
			if first == "" && len(s.Claims(probedAt.Add(after), duties)) > 0 {
				first = s.Self
			}
		}
		is.True(after >= 200*time.Millisecond || first == "") // the last holder may renew first
	}
	is.Equal(first, fleet.EntryID("entry-1"))
}

// Guards against a duty that nobody ever holds because the store refused each entry's first claim.
func TestFirstHolderIsFoundAfterRefusedClaims(t *testing.T) {
	is := is.New(t)
	s, duties := states(400)[0], []fleet.DutyName{"new"}
	is.Equal(s.Claims(start, duties), duties)
	is.Equal(len(s.Probes(start, duties)), 0) // a claim shows as much
	s.SetUnavailable(start, "new")
	later := start.Add(time.Second)
	is.Equal(len(s.Claims(later, duties)), 0)
	is.Equal(s.Probes(later, duties), duties)
	s.SetAvailable(later, "new")
	is.Equal(s.Claims(later.Add(time.Second), duties), duties)
}

// Guards against rows that stay unknown because others, which the store still keeps back, are always probed first.
func TestProbesTakeTurns(t *testing.T) {
	is := is.New(t)
	s, duties := states(192)[0], []fleet.DutyName{"a", "b", "c", "d"}
	for _, d := range duties {
		s.SetLease(start, lease(d, "gone"))
	}
	now := start.Add(election.LeaseTimeout)
	s.Claims(now, duties)
	probed := map[fleet.DutyName]int{}
	for range 12 { // one probe at a time, each without an answer
		if probes := s.Probes(now, duties); len(probes) > 0 {
			probed[probes[0]]++
			now = now.Add(400 * time.Millisecond)
			s.SetUnavailable(now, probes[0])
		}
	}
	is.Equal(probed, map[fleet.DutyName]int{"a": 3, "b": 3, "c": 3, "d": 3})
}
