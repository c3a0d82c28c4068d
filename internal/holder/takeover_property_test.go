package holder_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

var (
	takeoverSchedules = flag.Int("takeover-schedules", 16, "how many random schedules of takeovers are run")
	takeoverFirst     = flag.Uint64("takeover-first", 1, "the seed of the first random schedule of takeovers")
	takeoverTrace     = flag.Bool("takeover-trace", false, "print the trace of schedules of takeovers with violations")
)

// Guards against lasting tasks that wait, or run twice, after schedules of faults around takeovers.
func TestTakeoverSchedules(t *testing.T) {
	for n := range *takeoverSchedules {
		seed := *takeoverFirst + uint64(n)
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { runTakeovers(t, seed) })
		})
	}
}

// calmPhase is the time between two phases of trouble: calmTime and enough to see what follows.
const calmPhase = 12 * time.Second

// runTakeovers runs one schedule: phases of trouble, each followed by a calm one.
func runTakeovers(t *testing.T, seed uint64) {
	c := newFakeCluster(t, seed, 10)
	s := &takeoverSchedule{c, rand.New(rand.NewPCG(seed, 35))}
	defer c.close()
	c.submit("lasting-a", 2, true)
	c.submit("lasting-b", 1, true)
	c.addEntries(5)
	c.run(3 * time.Second)
	for range 3 {
		for end := time.Now().Add(s.between(2*time.Second, 10*time.Second)); time.Now().Before(end); {
			s.event()
			c.run(s.between(50*time.Millisecond, 1500*time.Millisecond))
		}
		s.heal()
		c.run(calmPhase)
	}
	c.checkRuns()
	for _, v := range c.violations {
		t.Error(v)
	}
	if t.Failed() && *takeoverTrace {
		t.Log(strings.Join(c.trace, "\n"))
	}
}

// takeoverSchedule applies random faults to a cluster.
type takeoverSchedule struct {
	*fakeCluster
	random *rand.Rand
}

func (s *takeoverSchedule) between(from, to time.Duration) time.Duration {
	return from + time.Duration(s.random.Int64N(int64(to-from)))
}

// entry returns the holder or any entry.
func (s *takeoverSchedule) entry() *fakeEntry {
	if e := s.holder(); e != nil && s.random.IntN(3) > 0 {
		return e
	}
	return s.entries[s.random.IntN(len(s.entries))]
}

// endpoint returns the endpoint of a lasting task or any one, or nil while there are few sound ones.
func (s *takeoverSchedule) endpoint() *fakeEndpoint {
	sound := 0
	for _, e := range s.endpoints {
		if e.process != nil && !e.isCut && !e.isMute && len(e.cutFrom) == 0 {
			sound++
		}
	}
	if sound <= 5 {
		return nil
	}
	if e := s.endpointOf(fleet.TaskID{Job: "lasting-a", Task: fleet.TaskIndex(s.random.IntN(2))}); e != nil && s.random.IntN(3) > 0 {
		return e
	}
	return s.endpoints[s.random.IntN(len(s.endpoints))]
}

// event applies one random event.
func (s *takeoverSchedule) event() {
	e, endpoint := s.entry(), s.endpoint()
	kind := s.random.IntN(15)
	switch {
	case kind < 4:
		s.replace(e, kind)
	case kind == 4 && e.life != nil:
		e.life.pause(s.between(300*time.Millisecond, 9*time.Second))
	case kind < 7:
		s.setStore(e, kind == 5)
	case kind == 7:
		s.submit(fleet.JobID(fmt.Sprintf("batch-%d", len(s.jobs))), 1+s.random.IntN(3), false)
	case endpoint == nil || endpoint.process == nil:
	case kind < 10:
		s.end(endpoint, false)
		if s.random.IntN(2) == 0 {
			s.after(s.between(0, 3*time.Second), func() { s.restart(endpoint) })
		}
	case kind < 12:
		s.cut(endpoint, nil, false)
	case kind < 14:
		s.cut(endpoint, e, false)
	default:
		s.cut(endpoint, nil, true)
	}
}

// replace ends an entry, as planned with or without a release or at once, and starts it again after a while.
func (s *takeoverSchedule) replace(e *fakeEntry, kind int) {
	life, end := e.life, time.Duration(0)
	switch kind {
	case 0, 1:
		s.stop(e)
		end = s.between(0, 2600*time.Millisecond)
	case 2:
		s.change(func() { e.storeMode = storeRefuses })
		s.stop(e)
		end = s.between(0, 2600*time.Millisecond)
	}
	s.after(end, func() {
		if e.life == life {
			s.kill(e)
			s.change(func() { e.storeMode = storeAnswers })
		}
	})
	s.after(end+s.between(10*time.Millisecond, 4*time.Second), func() { s.start(e) })
}

// setStore has the store fail for all or for one entry for a while.
func (s *takeoverSchedule) setStore(e *fakeEntry, all bool) {
	mode := []storeMode{storeRefuses, storeSilent, storeLossy, storeSlow}[s.random.IntN(4)]
	d := s.between(200*time.Millisecond, 8*time.Second)
	set := func(mode storeMode) {
		s.mu.Lock()
		defer s.mu.Unlock()
		if all {
			s.storeMode = mode
		} else {
			e.storeMode = mode
		}
	}
	s.disrupt("store %s, all %v, else %s, for %v", mode, all, e.id, d)
	set(mode)
	s.after(d, func() { set(storeAnswers); s.disrupt("store answers, all %v, else %s", all, e.id) })
}

// cut cuts an endpoint from all, or from a single entry, or loses its answers.
func (s *takeoverSchedule) cut(endpoint *fakeEndpoint, from *fakeEntry, mute bool) {
	s.mu.Lock()
	switch {
	case mute:
		endpoint.isMute = true
	case from == nil:
		endpoint.isCut, endpoint.silent = true, time.Now()
	default:
		endpoint.cutFrom[from.id] = true
	}
	s.mu.Unlock()
	s.disrupt("%s is cut from all %v, mute %v, else from %v", endpoint.id, endpoint.isCut, endpoint.isMute, endpoint.cutFrom)
	if s.random.IntN(2) == 0 {
		s.after(s.between(100*time.Millisecond, 6*time.Second), func() { s.join(endpoint) })
	}
}

// heal waits for the ends of pauses, carries out what else is pending, and ends all faults but cuts of endpoints, of which
// some stay.
func (s *takeoverSchedule) heal() {
	for _, e := range s.entries {
		if e.life != nil {
			s.run(e.life.left())
		}
	}
	for _, p := range s.pending {
		p.do()
	}
	s.pending = nil
	for _, endpoint := range s.endpoints {
		if s.random.IntN(2) == 0 {
			s.join(endpoint)
		}
	}
	s.disrupt("calm begins")
}
