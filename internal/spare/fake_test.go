package spare_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/mimosawharf/mimosawharf/internal/spare"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

var start = time.Date(2026, 3, 2, 0, 0, 0, 0, time.UTC)

const (
	simulated         = 72 * time.Hour
	warmUp            = time.Hour // excluded from the results of every policy
	planSlot          = 5 * time.Minute
	usageLag          = time.Minute
	moveTime          = 5 * time.Minute
	targetUtilisation = 0.75
	maxWait           = 120_000 // largest recorded wait, in milliseconds
	moveCost          = 1.0     // cost of one move, in VM-hours of buffer
)

// mean returns the mean demand of a pool: a daily rise and fall, and unannounced bursts of two hours.
func mean(pool int, bursts []time.Duration, at time.Duration) float64 {
	day := math.Sin(2 * math.Pi * (at.Hours()/24 + float64(pool)/5))
	m := 7 + 2.5*day
	for _, s := range bursts {
		if at >= s && at < s+2*time.Hour {
			m += 2
		}
	}
	return m
}

// traffic generates the demand of one pool for every second, in VMs: peaks of five times the mean that
// last some seconds, and a twentieth of the mean between them.
type traffic struct {
	pool      int
	bursts    []time.Duration
	random    *rand.Rand
	peakUntil time.Duration
	nextPeak  time.Duration
}

func newTraffic(pool int, seed uint64) *traffic {
	t := &traffic{pool: pool, random: rand.New(rand.NewPCG(seed, uint64(pool)))}
	for day := range 3 {
		at := time.Duration(day)*24*time.Hour + time.Duration(t.random.Int64N(int64(20*time.Hour)))
		t.bursts = append(t.bursts, at+2*time.Hour)
	}
	return t
}

func (t *traffic) demand(at time.Duration) float64 {
	m := mean(t.pool, t.bursts, at)
	if at >= t.nextPeak {
		length := time.Duration(2+t.random.IntN(3)) * time.Second
		t.peakUntil = at + length
		// Peaks take 19.2% of the time, so that the overall mean is m.
		t.nextPeak += time.Duration(float64(length) / 0.192)
	}
	if at < t.peakUntil {
		return 5 * m
	}
	return m / 20
}

// results are the figures of one policy: buffer is in VM-hours, waitP99 in milliseconds.
type results struct {
	buffer     float64
	moves      int
	waitP99    float64
	violations int
}

// queue is the fluid queue of one pool.
type queue struct {
	size    int
	backlog float64
	// used holds the capacity in use in each second so far.
	used []float64
}

func (q *queue) advance(demand float64) float64 {
	done := min(float64(q.size), q.backlog+demand)
	q.backlog += demand - done
	q.used = append(q.used, done)
	return q.backlog / float64(max(1, q.size))
}

// usage returns the mean use of a minute, with a lag of usageLag. Until a full minute is known, it returns
// the target utilisation of the present size.
func (q *queue) usage() float64 {
	end := max(0, len(q.used)-int(usageLag.Seconds()))
	begin := max(0, end-60)
	if end-begin < 60 {
		return targetUtilisation * float64(q.size)
	}
	sum := 0.0
	for _, u := range q.used[begin:end] {
		sum += u
	}
	return sum / float64(end-begin)
}

func vms(pool string, n int) []fleet.VM {
	var list []fleet.VM
	for i := range n {
		id := fleet.VMID(fmt.Sprintf("%s-%02d", pool, i))
		list = append(list, fleet.VM{ID: id, Pool: fleet.PoolID(pool), State: fleet.VMStateServing, Zone: fleet.ZoneID(fmt.Sprint("zone-", i%4)), Slots: 8})
	}
	return list
}

func borrowed(pool string, n int) []fleet.VM {
	list := vms("spare", n)
	for i := range list {
		list[i].Pool, list[i].HomePool = fleet.PoolID(pool), "spare"
	}
	return list
}

func newPlanner() *spare.Planner {
	return &spare.Planner{Options: spare.DefaultOptions()}
}
