package shard_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// threadTime returns the processor time of the calling thread, which has to be locked.
func threadTime(b *testing.B) time.Duration {
	b.Helper()
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &t); err != nil {
		b.Fatal(err)
	}
	return time.Duration(t.Nano())
}

// BenchmarkPeak prints the processor time of the engine for each task that ends, by part of the holder's work, while the
// endpoints are full and a queue of the given number of tasks is kept. The endpoints together have room for 1,000 tasks.
func BenchmarkPeak(b *testing.B) {
	const slots = 1000
	for _, c := range []struct{ endpoints, queue, ended int }{
		{250, 500, 0}, {500, 500, 0}, {250, 5000, 0}, {250, 500, 5000}, {500, 5000, 5000}, {250, 50000, 0},
	} {
		b.Run(fmt.Sprintf("endpoints=%d/queue=%d/ended=%d", c.endpoints, c.queue, c.ended), func(b *testing.B) {
			runtime.LockOSThread()
			defer runtime.UnlockOSThread()
			m := peakMeter{spent: map[peakStep]time.Duration{}, calls: map[peakStep]int{}}
			for n := range b.N {
				capacity := fleet.Capacity{Millicores: fleet.Millicores(slots/c.endpoints)*peakDemand.Millicores + 1000, Memory: 256000}
				m.play(b, newPeak(uint64(n+1), c.endpoints, capacity), c.queue, c.ended)
			}
			m.report(b)
		})
	}
}

// peakMeter sums what was measured over several plays.
type peakMeter struct {
	spent map[peakStep]time.Duration
	calls map[peakStep]int
	sum   peakCounts
	// measuring is set once the endpoints are full.
	measuring bool
}

// play plays two seconds in which the endpoints are filled and five that count.
func (m *peakMeter) play(b *testing.B, p *peak, queue, ended int) {
	b.Helper()
	p.retain(ended)
	preloaded := p.accepted
	m.measuring = false
	p.work = func(step peakStep, do func()) {
		before := threadTime(b)
		do()
		if m.measuring {
			m.spent[step] += threadTime(b) - before
			m.calls[step]++
		}
	}
	playFor := func(d time.Duration) {
		for end := p.now.Add(d); p.now.Before(end); p.now = p.now.Add(time.Millisecond) {
			p.advance()
			for (p.accepted-preloaded)*peakTasks*8/5 < p.counts.ended+queue+1000 {
				p.submit()
			}
			for p.round(); len(p.inbox) > 0; {
				p.round()
			}
		}
	}
	playFor(2 * time.Second)
	before := p.counts
	m.measuring = true
	playFor(5 * time.Second)
	m.sum.ended += p.counts.ended - before.ended
	m.sum.rows += p.counts.rows - before.rows
	m.sum.assigned += p.counts.assigned - before.assigned
}

func (m *peakMeter) report(b *testing.B) {
	b.Helper()
	tasks := float64(m.sum.ended)
	var sum time.Duration
	for step, t := range m.spent {
		sum += t
		b.ReportMetric(float64(t.Nanoseconds())/1000/tasks, string(step)+"-us/task")
	}
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(float64(sum.Nanoseconds())/1000/tasks, "us/task")
	b.ReportMetric(float64(m.sum.rows)/tasks, "rows/task")
	b.ReportMetric(float64(m.sum.assigned)/tasks, "starts/task")
	b.ReportMetric(float64(m.calls[stepLists])/tasks, "lists/task")
}
