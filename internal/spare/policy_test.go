package spare_test

import (
	"math"
	"slices"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/mimosawharf/mimosawharf/internal/spare"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

const (
	pools     = 5
	homeVMs   = 6
	spareVMs  = 60
	spareNeed = 10 // VMs that the lender needs for its own work, including the buffer
)

// resize is a change of a pool's size in progress.
type resize struct {
	pool, by int
	done     time.Duration
}

// simulation runs the queues of all pools under one policy.
type simulation struct {
	queues  []*queue
	traffic []*traffic
	pending []resize
	results results
	waits   *hdrhistogram.Histogram
}

func newSimulation(seed uint64, sizes []int) *simulation {
	s := &simulation{waits: hdrhistogram.New(1, maxWait, 3)}
	for p := range pools {
		s.traffic = append(s.traffic, newTraffic(p, seed))
		s.queues = append(s.queues, &queue{size: sizes[p]})
	}
	return s
}

// run calls decide, which returns the changes of size to start, every 30 s.
func (s *simulation) run(decide func(at time.Duration) []resize) results {
	for at := time.Duration(0); at < simulated; at += time.Second {
		if at%(30*time.Second) == 0 {
			s.resize(at, decide(at))
		}
		lent := 0
		for p, q := range s.queues {
			demand := s.traffic[p].demand(at)
			wait := q.advance(demand)
			if at < warmUp {
				continue
			}
			_ = s.waits.RecordValues(min(int64(1000*wait), maxWait), int64(100*demand)) // weighted by work
			s.results.buffer += (float64(q.size) - mean(p, s.traffic[p].bursts, at)) / 3600
			lent += q.size - homeVMs
		}
		if spareVMs-lent < spareNeed && s.results.moves > 0 {
			s.results.violations++
		}
	}
	s.results.waitP99 = float64(s.waits.ValueAtQuantile(99))
	return s.results
}

// resize starts changes of size. A VM that leaves stops serving at once; one that arrives serves after
// moveTime.
func (s *simulation) resize(at time.Duration, list []resize) {
	for _, r := range list {
		if at >= warmUp {
			s.results.moves += max(r.by, -r.by)
		}
		if r.by < 0 {
			s.queues[r.pool].size += r.by
			continue
		}
		r.done = at + moveTime
		s.pending = append(s.pending, r)
	}
	s.pending = slices.DeleteFunc(s.pending, func(r resize) bool {
		if at >= r.done {
			s.queues[r.pool].size += r.by
		}
		return at >= r.done
	})
}

func (s *simulation) arriving(pool int) int {
	n := 0
	for _, r := range s.pending {
		if r.pool == pool {
			n += r.by
		}
	}
	return n
}

// needs returns the size that the true mean demand requires in each slot of time.
func needs(t *traffic) []int {
	var list []int
	for at := time.Duration(0); at < simulated; at += planSlot {
		list = append(list, int(math.Ceil(max(mean(t.pool, t.bursts, at), mean(t.pool, t.bursts, at+planSlot))/targetUtilisation)))
	}
	return list
}

// perfect returns the sizes that a planner with perfect information chooses: the cheapest sequence that
// never falls below the need, computed backwards by dynamic programming.
func perfect(need []int) []int {
	const largest = 32
	cost := make([][largest]float64, len(need)+1)
	next := make([][largest]int, len(need))
	for i := len(need) - 1; i >= 0; i-- {
		for from := range largest {
			cost[i][from] = math.Inf(1)
			for to := need[i]; to < largest; to++ {
				c := float64(to-need[i])*planSlot.Hours() + moveCost*math.Abs(float64(to-from)) + cost[i+1][to]
				if c < cost[i][from] {
					cost[i][from], next[i][from] = c, to
				}
			}
		}
	}
	sizes, size := make([]int, len(need)), need[0]
	for i := range need {
		size = next[i][size]
		sizes[i] = size
	}
	return sizes
}

func runPerfect(seed uint64) results {
	var paths [][]int
	var first []int
	for p := range pools {
		path := perfect(needs(newTraffic(p, seed)))
		paths, first = append(paths, path), append(first, path[0])
	}
	s := newSimulation(seed, first)
	return s.run(func(at time.Duration) []resize {
		var list []resize
		for p, path := range paths {
			// Growth starts early enough for the VM to serve in time.
			ahead := path[min(len(path)-1, int((at+moveTime)/planSlot))]
			if by := max(path[int(at/planSlot)], ahead) - s.queues[p].size - s.arriving(p); by != 0 {
				list = append(list, resize{pool: p, by: by})
			}
		}
		return list
	})
}

// runFixed sizes every pool 30% above its largest possible mean demand, which is 11.5 VMs.
func runFixed(seed uint64) results {
	return newSimulation(seed, []int{15, 15, 15, 15, 15}).run(func(time.Duration) []resize { return nil })
}

func runReactive(seed uint64) results {
	s := newSimulation(seed, []int{9, 9, 9, 9, 9})
	return s.run(func(time.Duration) []resize {
		var list []resize
		for p, q := range s.queues {
			if by := max(1, int(math.Ceil((q.usage()+q.backlog/300)/targetUtilisation))) - q.size - s.arriving(p); by != 0 {
				list = append(list, resize{pool: p, by: by})
			}
		}
		return list
	})
}

func runPlanner(seed uint64) results {
	s := newSimulation(seed, []int{9, 9, 9, 9, 9})
	p := newPlanner()
	names := map[fleet.PoolID]int{"a": 0, "b": 1, "c": 2, "d": 3, "e": 4}
	return s.run(func(at time.Duration) []resize {
		now := start.Add(at)
		lent := 0
		var list []spare.Pool
		for id, i := range names {
			q := s.queues[i]
			lent += q.size - homeVMs + s.arriving(i)
			list = append(list, spare.Pool{
				ID: id, Home: vms(string(id), min(q.size, homeVMs)), Borrowed: borrowed(string(id), max(0, q.size-homeVMs)),
				Arriving: fleet.VMCount(s.arriving(i)), Busy: spare.VMs(q.usage()), BusyAt: now.Add(-usageLag),
				Queued: time.Duration(q.backlog * 8 * float64(time.Second)), SlotsPerVM: 8,
			})
		}
		list = append(list, spare.Pool{
			ID: "spare", Lender: true, Home: vms("spare", spareVMs-lent), Busy: spareNeed * targetUtilisation, BusyAt: now.Add(-usageLag),
		})
		var changes []resize
		for _, m := range p.Decide(now, list) {
			if i, ok := names[m.To]; ok {
				changes = append(changes, resize{pool: i, by: 1})
			} else {
				changes = append(changes, resize{pool: names[m.From], by: -1})
			}
		}
		return changes
	})
}

// BenchmarkPolicySpare compares the planner with the baselines on the same traffic, with seeds 1 to 3.
func BenchmarkPolicySpare(b *testing.B) {
	for range b.N {
		ideal := sum(runPerfect)
		report(b, "perfect", ideal, ideal)
		for name, run := range map[string]func(uint64) results{"planner": runPlanner, "fixed-30pct": runFixed, "following": runReactive} {
			report(b, name, sum(run), ideal)
		}
	}
}

func sum(run func(seed uint64) results) results {
	var total results
	for seed := range uint64(3) {
		r := run(seed + 1)
		total.buffer += r.buffer
		total.moves += r.moves
		total.violations += r.violations
		total.waitP99 = max(total.waitP99, r.waitP99)
	}
	return total
}

func report(b *testing.B, name string, r, ideal results) {
	b.ReportMetric(r.buffer, name+":buffer-cost-vm-hours")
	b.ReportMetric(float64(r.moves), name+":vm-moves")
	b.ReportMetric(r.waitP99, name+":short-wait-p99-ms")
	b.ReportMetric(float64(r.violations), name+":budget-violations")
	b.ReportMetric(r.buffer/ideal.buffer, name+":buffer-ratio")
	b.ReportMetric(float64(r.moves)/float64(ideal.moves), name+":moves-ratio")
}
