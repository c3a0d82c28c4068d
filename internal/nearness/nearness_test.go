package nearness_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mimosawharf/mimosawharf/internal/nearness"
)

// decider is what the cluster asks.
type decider interface {
	Decide(q nearness.Question) nearness.Answer
}

type always struct{}

func (always) Decide(q nearness.Question) nearness.Answer {
	return nearness.Answer{Wait: len(q.Near) > 0}
}

type never struct{}

func (never) Decide(nearness.Question) nearness.Answer { return nearness.Answer{} }

// task is a task with data on a rack. since is when it first had room elsewhere only.
type task struct {
	at, run, since time.Duration
	rack           int
}

// load is what arrives at racks of equal size.
type load struct {
	name string
	// share is the work that arrives for each rack as a share of its places.
	share []float64
	// bias multiplies what the decision takes for the run time.
	bias float64
	// darkAt is when the first rack stops for good; 0 is never.
	darkAt time.Duration
}

const (
	places  = 6
	arrive  = 60 * time.Second
	meanRun = time.Second
	spread  = 0.4
	tick    = 20 * time.Millisecond
)

// run is a run that occupies a place of a rack.
type run struct {
	rack       int
	began, end time.Duration
	expected   time.Duration
}

// play serves a load first come, first served and returns the mean time to completion and the longest wait of a task
// that had room elsewhere.
func (l load) play(seed uint64, factor float64, d decider) (completion, longest time.Duration) {
	random := rand.New(rand.NewPCG(seed, 1))
	var tasks []task
	for rack, share := range l.share {
		gap := float64(meanRun) / (share * places)
		for at := 0.0; at < float64(arrive); at += random.ExpFloat64() * gap {
			takes := float64(meanRun) * math.Exp(spread*random.NormFloat64()-spread*spread/2)
			tasks = append(tasks, task{at: time.Duration(at), run: time.Duration(takes), rack: rack, since: -1})
		}
	}
	slices.SortFunc(tasks, func(a, b task) int { return int(a.at - b.at) })
	var (
		running []run
		queue   []*task
		sum     time.Duration
		next    int
		present = make([]float64, len(l.share))
		mean    = make([]float64, len(l.share))
	)
	for now := time.Duration(0); next < len(tasks) || len(queue) > 0; now += tick {
		for ; next < len(tasks) && tasks[next].at <= now; next++ {
			queue = append(queue, &tasks[next])
		}
		running = slices.DeleteFunc(running, func(r run) bool { return r.end <= now })
		free := make([]int, len(l.share))
		for rack := range free {
			free[rack] = places
		}
		if l.darkAt > 0 && now >= l.darkAt {
			free[0] = 0
		}
		for _, r := range running {
			free[r.rack]--
		}
		for rack := range mean {
			present[rack] = 1 - float64(free[rack])/places
			mean[rack] += (present[rack] - mean[rack]) / 250
		}
		ahead := make([]int, len(l.share))
		near := l.near(now, running)
		queue = slices.DeleteFunc(queue, func(t *task) bool {
			at, takes := t.rack, t.run
			if free[at] <= 0 {
				best := slices.Index(free, slices.Max(free))
				if free[best] <= 0 {
					ahead[t.rack]++
					return false
				}
				if t.since < 0 {
					t.since = now
				}
				if d.Decide(l.question(now, t, ahead[t.rack], factor, near[t.rack], max(elsewhere(mean, t.rack), elsewhere(present, t.rack)))).Wait {
					ahead[t.rack]++
					return false
				}
				longest = max(longest, now-t.since)
				at, takes = best, time.Duration(float64(t.run)*factor)
			}
			if t.since >= 0 {
				longest = max(longest, now-t.since)
			}
			free[at]--
			expected := time.Duration(float64(meanRun) * l.bias)
			if at != t.rack {
				expected = time.Duration(float64(expected) * factor)
			}
			running = append(running, run{at, now, now + takes, expected})
			sum += now + takes - t.at
			return true
		})
		if now > 2*arrive {
			break // A queue without end.
		}
	}
	for _, t := range queue {
		sum += 2*arrive - t.at
	}
	return sum / time.Duration(len(tasks)), longest
}

// elsewhere returns the mean over the racks but one.
func elsewhere(shares []float64, but int) float64 {
	sum := 0.0
	for rack, share := range shares {
		if rack != but {
			sum += share
		}
	}
	return sum / float64(len(shares)-1)
}

func (l load) question(now time.Duration, t *task, ahead int, factor float64, near []time.Duration, away float64) nearness.Question {
	return nearness.Question{
		Run: time.Duration(float64(meanRun) * l.bias), Factor: factor, Near: near, Ahead: ahead, Error: spread, Waited: now - t.since, Spare: time.Hour,
		Home: l.share[t.rack], Away: away, Places: places * (len(l.share) - 1),
	}
}

// near returns for each rack when its places are expected to become free.
func (l load) near(now time.Duration, running []run) [][]time.Duration {
	list := make([][]time.Duration, len(l.share))
	for _, r := range running {
		if r.rack > 0 || l.darkAt == 0 || now < l.darkAt {
			list[r.rack] = append(list[r.rack], nearness.Remaining(r.expected, now-r.began, spread))
		}
	}
	return list
}

func loads() []load {
	return []load{
		{name: "much room", share: []float64{0.4, 0.4, 0.4, 0.4}, bias: 1},
		{name: "full", share: []float64{0.92, 0.92, 0.92, 0.92}, bias: 1},
		{name: "one hot rack", share: []float64{1.6, 0.15, 0.15, 0.15}, bias: 1},
	}
}

// means returns the mean times to completion where the policy decides, where tasks always wait and where they never do.
func (l load) means(factor float64) (decided, waits, goes time.Duration) {
	const seeds = 4
	for seed := range uint64(seeds) {
		d, _ := l.play(seed, factor, nearness.Policy{})
		w, _ := l.play(seed, factor, always{})
		g, _ := l.play(seed, factor, never{})
		decided, waits, goes = decided+d/seeds, waits+w/seeds, goes+g/seeds
	}
	return decided, waits, goes
}

// Guards against a decision that costs more than waiting always or never does, at each load and price of a far place.
func TestDecisionIsNearTheBest(t *testing.T) {
	for _, l := range loads() {
		for _, factor := range []float64{1.2, 1.5, 3} {
			t.Run(fmt.Sprintf("%s, factor %v", l.name, factor), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				decided, waits, goes := l.means(factor)
				t.Logf("mean time to completion: decided %v, always waits %v, never waits %v", decided, waits, goes)
				is.True(decided <= min(waits, goes)*105/100)
			})
		}
	}
}

// Guards against a wait beyond the bound, or a decision that costs more, on expected run times that are far off.
func TestWrongRunTimesBoundWaits(t *testing.T) {
	for _, l := range loads() {
		for _, bias := range []float64{0.1, 0.5, 2, 10} {
			t.Run(fmt.Sprintf("%s, run times times %v", l.name, bias), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				l := l
				l.bias = bias
				decided, waits, goes := l.means(1.5)
				_, longest := l.play(0, 1.5, nearness.Policy{})
				t.Logf("decided %v, always waits %v, never waits %v; longest wait %v", decided, waits, goes, longest)
				is.True(longest <= nearness.MaxWait+tick)
				is.True(decided <= min(waits, goes)*105/100)
			})
		}
	}
}

// Guards against tasks that wait for a rack which has stopped, also when they waited for it before.
func TestDarkRackIsNotWaitedFor(t *testing.T) {
	is := is.New(t)
	for _, l := range loads() {
		l.darkAt = arrive / 2
		_, longest := l.play(0, 3, nearness.Policy{})
		is.True(longest <= nearness.MaxWait+tick)
	}
	a := nearness.Policy{}.Decide(nearness.Question{Run: time.Minute, Factor: 3, Spare: time.Hour, Waited: time.Second})
	is.Equal(a.Wait, false)
	is.Equal(a.Reason, nearness.ReasonNoPlace)
}

// Guards against a wait by which a task misses an objective that it meets elsewhere, while others lack no room.
func TestWaitKeepsObjective(t *testing.T) {
	is := is.New(t)
	q := nearness.Question{Run: 2 * time.Second, Factor: 1.5, Near: []time.Duration{900 * time.Millisecond}, Spare: time.Second, Error: 0.4, Places: 8}
	is.Equal(nearness.Policy{}.Decide(q).Reason, nearness.ReasonObjective)
	q.Spare = 2 * time.Second
	is.True(nearness.Policy{}.Decide(q).Wait)
	q.Spare = -time.Second // late in any case
	is.True(nearness.Policy{}.Decide(q).Wait)
}
