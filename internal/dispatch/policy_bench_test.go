package dispatch_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/mimosawharf/mimosawharf/internal/heap"
	"github.com/mimosawharf/mimosawharf/internal/request"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// metrics are the results of one run.
type metrics struct {
	shortP50, shortP99, longP99 time.Duration
	// longDone is the run time of long work that was finished or checkpointed by the end.
	longDone                                 time.Duration
	refused, falseNotRuns, doubleRuns, count int
	// peerBytes is what each engine sent to its peers per second.
	peerBytes float64
}

func measure(trace []*job) metrics {
	var m metrics
	var short, long []time.Duration
	for _, j := range trace {
		m.count++
		if j.outcome.Kind == request.OutcomeNotRun {
			m.refused++
			if j.runs > 0 {
				m.falseNotRuns++
			}
		}
		if j.runs > 1 {
			m.doubleRuns++
		}
		if j.long {
			m.longDone += j.run - j.left
			if !j.done.IsZero() {
				long = append(long, j.done.Sub(j.at)-j.run)
			}
			continue
		}
		wait := epoch.Add(horizon).Sub(j.at)
		if !j.started.IsZero() {
			wait = j.started.Sub(j.at)
		}
		if j.outcome.Kind != request.OutcomeNotRun {
			short = append(short, wait)
		}
	}
	m.shortP50, m.shortP99, m.longP99 = quantile(short, 50), quantile(short, 99), quantile(long, 99)
	return m
}

func quantile(list []time.Duration, percent int) time.Duration {
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return list[len(list)*percent/100]
}

// server runs the jobs of a pool or an endpoint without an engine, for the baselines. It starts the
// queued job of the lowest rank and order whenever it has a free slot.
type server struct {
	*loop
	free    int
	queue   heap.Heap[*queued]
	order   uint64
	running []*queued
	// preempt lets a job of rank 0 preempt one of a higher rank at no cost.
	preempt bool
}

type queued struct {
	job   *job
	rank  int
	order uint64
	index int
	since time.Time
	end   *event
	ended func()
}

func newServer(l *loop, free int, preempt bool) *server {
	s := &server{loop: l, free: free, preempt: preempt}
	s.queue.Less = func(a, b *queued) bool { return a.rank < b.rank || a.rank == b.rank && a.order < b.order }
	s.queue.Index = func(q *queued) *int { return &q.index }
	return s
}

func (s *server) submit(j *job, rank int, ended func()) {
	s.order++
	s.queue.Push(&queued{job: j, rank: rank, order: s.order, ended: ended})
	s.serve()
}

func (s *server) serve() {
	for s.queue.Len() > 0 {
		next := s.queue.First()
		if s.free == 0 && !(s.preempt && next.rank == 0 && s.makeRoom()) {
			return
		}
		s.queue.Remove(next)
		s.free--
		next.since = s.now
		if next.job.started.IsZero() {
			next.job.started = s.now
		}
		s.running = append(s.running, next)
		if s.preempt && next.rank == 0 && next.job.left > stragglerBound {
			next.end = s.after(stragglerBound, func() {
				next.rank = 1
				next.job.left -= stragglerBound
				s.release(next)
				s.queue.Push(next)
				s.serve()
			})
			continue
		}
		next.end = s.after(next.job.left, func() {
			next.job.left, next.job.done = 0, s.now
			s.release(next)
			next.ended()
			s.serve()
		})
	}
}

func (s *server) release(q *queued) {
	s.free++
	s.running = slices.DeleteFunc(s.running, func(other *queued) bool { return other == q })
}

// makeRoom preempts a job of a higher rank, which keeps its progress.
func (s *server) makeRoom() bool {
	for _, q := range s.running {
		if q.rank > 0 {
			s.events.Remove(q.end)
			q.job.left -= s.now.Sub(q.since)
			s.release(q)
			s.queue.Push(q)
			return true
		}
	}
	return false
}

// stragglerBound is the run time from which the ideal counts a request as long: 4 times the mean of short
// requests.
const stragglerBound = 200 * time.Millisecond

// runCentral runs a trace with one queue for each pool and all counts known: the FIFO baseline, or
// the ideal, which preempts long work at no cost and without latency.
func runCentral(d deployment, trace []*job, ideal bool) {
	l, pools := newLoop(), map[fleet.ServiceID]*server{}
	for _, j := range trace {
		s := pools[j.request.Service]
		if s == nil {
			s = newServer(l, d.endpoints*slots, ideal)
			pools[j.request.Service] = s
		}
		rank := 0
		if ideal && j.long {
			rank = 1
		}
		l.after(j.at.Sub(epoch), func() { s.submit(j, rank, func() {}) })
	}
	l.run(epoch.Add(horizon))
}

// runLocalCounts runs a trace with six entries that each send to the endpoint with the fewest
// outstanding requests of their own; the endpoint queues what it cannot run.
func runLocalCounts(d deployment, trace []*job) {
	const entries = 6
	l, random := newLoop(), rand.New(rand.NewPCG(d.seed, 7))
	pools := map[fleet.ServiceID][]*server{}
	var outstanding [entries]map[*server]int
	for i := range outstanding {
		outstanding[i] = map[*server]int{}
	}
	for _, j := range trace {
		id, own := j.request.Service, outstanding[random.IntN(entries)]
		for len(pools[id]) < d.endpoints {
			pools[id] = append(pools[id], newServer(l, slots, false))
		}
		l.after(j.at.Sub(epoch), func() {
			best := slices.MinFunc(pools[id], func(a, b *server) int { return own[a] - own[b] })
			own[best]++
			best.submit(j, 0, func() { own[best]-- })
		})
	}
	l.run(epoch.Add(horizon))
}

// BenchmarkPolicy compares the engine with its baselines on the workload of docs/design.md section
// 10. The ratios are reported with the engine's variants.
func BenchmarkPolicy(b *testing.B) {
	for _, d := range []deployment{
		{name: "newsroom", latency: 500 * time.Microsecond, endpoints: 10, seed: 1, load: 1.3},
		{name: "ikirere", latency: 1500 * time.Microsecond, endpoints: 10, seed: 2, load: 1.3},
		{name: "newsroom-half-checkpointable", latency: 500 * time.Microsecond, endpoints: 10, seed: 1, load: 1.3, mixed: true},
		{name: "newsroom-overload", latency: 500 * time.Microsecond, endpoints: 10, seed: 1, load: 1.8},
	} {
		results := map[string]metrics{}
		var peerBytes float64
		engines := func(n int) func(*fleet.View, []*job) {
			return func(v *fleet.View, trace []*job) { peerBytes = runEngines(d, v, trace, n) }
		}
		for _, variant := range []struct {
			name   string
			noLong bool
			run    func(*fleet.View, []*job)
		}{
			{"fifo", false, func(_ *fleet.View, trace []*job) { runCentral(d, trace, false) }},
			{"local-counts", false, func(_ *fleet.View, trace []*job) { runLocalCounts(d, trace) }},
			{"ideal", false, func(_ *fleet.View, trace []*job) { runCentral(d, trace, true) }},
			{"no-long", true, engines(1)},
			{"no-long-six", true, engines(6)},
			{"one-engine", false, engines(1)},
			{"six-engines", false, engines(6)},
		} {
			b.Run(d.name+"/"+variant.name, func(b *testing.B) {
				for range b.N {
					random := rand.New(rand.NewPCG(d.seed, 0))
					v, means := d.configuration(random)
					trace := d.trace(random, means)
					if variant.noLong {
						trace = slices.DeleteFunc(trace, func(j *job) bool { return j.long })
					}
					peerBytes = 0
					variant.run(v, trace)
					m := measure(trace)
					m.peerBytes = peerBytes
					results[variant.name] = m
				}
				report(b, results, variant.name)
			})
		}
	}
}

func report(b *testing.B, results map[string]metrics, name string) {
	m := results[name]
	ms := func(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
	b.ReportMetric(ms(m.shortP50), "short-wait-p50-ms")
	b.ReportMetric(ms(m.shortP99), "short-wait-p99-ms")
	b.ReportMetric(ms(m.longP99), "long-wait-p99-ms")
	b.ReportMetric(100*float64(m.refused)/float64(m.count), "refused-pct")
	b.ReportMetric(float64(m.falseNotRuns), "not-run-lies")
	b.ReportMetric(float64(m.doubleRuns), "double-runs")
	if m.peerBytes > 0 {
		b.ReportMetric(m.peerBytes, "peer-bytes/s")
	}
	if ideal, ok := results["ideal"]; ok {
		b.ReportMetric(m.longDone.Seconds()/ideal.longDone.Seconds(), "long-of-ideal")
	}
	if base, ok := map[string]string{"one-engine": "no-long", "six-engines": "no-long-six"}[name]; ok {
		b.ReportMetric(float64(m.shortP99)/float64(results[base].shortP99), "p99-of-no-long")
		b.ReportMetric(float64(results["fifo"].shortP99)/float64(m.shortP99), "fifo-p99-of-engine")
		b.ReportMetric(float64(m.shortP99)/float64(results["one-engine"].shortP99), "p99-of-shared-counts")
		b.ReportMetric(float64(m.shortP99)/float64(results["ideal"].shortP99), "p99-of-ideal")
	}
}
