package dispatch

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/mimosawharf/mimosawharf/internal/request"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

const (
	// maxPeerLoadAge is how long the load that a peer reported is used.
	maxPeerLoadAge = 3 * time.Second
	// waitWindow is the length of a window of the wait histograms; percentiles cover the last one to two
	// windows.
	waitWindow = time.Minute
	// maxWait is the longest wait that the histograms distinguish, and waitDigits their precision in
	// significant digits. The histograms of one service use about 3 KiB.
	maxWait    = 10 * time.Minute
	waitDigits = 1
)

// FleetLoad is the load of the whole fleet as far as this entry knows it.
type FleetLoad struct {
	// Urgent is the share of the fleet's slots that urgent work uses or waits for.
	Urgent fleet.Percent
	// Queued is the expected run time of the queued work of each pool.
	Queued map[fleet.PoolID]time.Duration
}

// loads tracks the load of each service at this entry and the loads that peers reported.
type loads struct {
	services map[fleet.ServiceID]*serviceCount
	peers    map[fleet.EntryID]peerLoad
	// running and urgent count the attempts in flight at this entry, slots the slots of the serving VMs.
	running, urgent, slots fleet.Slots
}

type serviceCount struct {
	running fleet.Slots
	// current and previous hold the waits of short work in the current window and the one before.
	current, previous *hdrhistogram.Histogram
	since             time.Time
}

type peerLoad struct {
	at       time.Time
	services []ServiceLoad
}

func newLoads() loads {
	return loads{services: map[fleet.ServiceID]*serviceCount{}, peers: map[fleet.EntryID]peerLoad{}}
}

func newWaits() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxWait.Milliseconds(), waitDigits)
}

// started records an attempt, and the wait of a short request that starts for the first time.
func (l *loads) started(now time.Time, w *request.Work) {
	s := l.services[w.Request.Service]
	if s == nil {
		s = &serviceCount{current: newWaits(), previous: newWaits(), since: now}
		l.services[w.Request.Service] = s
	}
	s.running++
	l.running++
	if w.Request.Class == fleet.ClassUrgent {
		l.urgent++
	}
	if w.FirstStart.IsZero() && w.Request.Class.IsShort() {
		s.rotate(now)
		wait := min(max(now.Sub(w.Request.Received), 0), maxWait)
		// The wait is within the bounds of the histogram.
		_ = s.current.RecordValue(wait.Milliseconds())
	}
}

// rotate starts a new window when the current one is over.
func (s *serviceCount) rotate(now time.Time) {
	if now.Sub(s.since) >= waitWindow {
		s.current, s.previous, s.since = s.previous, s.current, now
		s.current.Reset()
	}
}

// shortWaitP99 returns the 99th percentile of the waits in the last one to two windows.
func (s *serviceCount) shortWaitP99() time.Duration {
	both := s.current
	if s.previous.TotalCount() > 0 {
		both = newWaits()
		both.Merge(s.current)
		both.Merge(s.previous)
	}
	return time.Duration(both.ValueAtQuantile(99)) * time.Millisecond
}

func (l *loads) ended(c *call) {
	l.services[c.work.Request.Service].running--
	l.running--
	if c.urgent {
		l.urgent--
	}
}

// ServiceLoads returns the load of the services that have queued or running requests.
func (e *Engine) ServiceLoads() []ServiceLoad {
	var list []ServiceLoad
	for _, id := range e.order {
		p := e.pools[id]
		queued := e.waiting[id] != nil
		if _, running := e.Router.Slots(id); running == 0 && !queued {
			continue
		}
		var wanted fleet.Slots
		if queued {
			wanted = e.wanted(p)
		}
		for _, service := range p.services {
			load := e.serviceLoad(service, queued)
			if load.QueuedUrgent+load.QueuedNormal > 0 {
				load.Wanted, wanted = wanted, 0
			}
			if load.Running > 0 || load.QueuedUrgent+load.QueuedNormal+load.QueuedLong > 0 {
				list = append(list, load)
			}
		}
	}
	return list
}

// serviceLoad returns the load of a service. queued is false when no requests are queued in its pool; the
// queue depths are not looked up then.
func (e *Engine) serviceLoad(id fleet.ServiceID, queued bool) ServiceLoad {
	load := ServiceLoad{Service: id}
	if queued {
		load.QueuedUrgent, load.QueuedNormal = e.Queues.Depth(id, fleet.ClassUrgent), e.Queues.Depth(id, fleet.ClassNormal)
		load.QueuedLong = e.Queues.Depth(id, fleet.ClassLong)
	}
	if s := e.loads.services[id]; s != nil {
		load.Running = s.running
	}
	return load
}

// ServiceStatuses returns the load of all services for the status page.
func (e *Engine) ServiceStatuses() []ServiceStatus {
	var list []ServiceStatus
	for _, id := range e.order {
		for _, service := range e.pools[id].services {
			status := ServiceStatus{ServiceLoad: e.serviceLoad(service, e.waiting[id] != nil), Ejected: e.Router.Ejected(id)}
			if s := e.loads.services[service]; s != nil {
				status.ShortWaitP99 = s.shortWaitP99()
			}
			list = append(list, status)
		}
	}
	return list
}

func (e *Engine) recordPeerLoad(now time.Time, r PeerReported) {
	e.loads.peers[r.Peer] = peerLoad{at: now, services: r.Services}
}

// FleetLoad returns the load of the fleet. Peers do not report how much of their running work is urgent;
// the load balancer spreads requests evenly, so the urgent share at this entry is assumed for them.
func (e *Engine) FleetLoad(now time.Time) FleetLoad {
	out := FleetLoad{Queued: map[fleet.PoolID]time.Duration{}}
	urgent := float64(e.loads.urgent)
	share := urgent / float64(max(e.loads.running, 1))
	add := func(s ServiceLoad) {
		urgent += float64(s.QueuedUrgent)
		if pool := e.view.Configuration.Services[s.Service].Pool; pool != "" {
			out.Queued[pool] += e.expectedRunTime(s)
		}
	}
	for _, s := range e.ServiceLoads() {
		add(s)
	}
	for id, p := range e.loads.peers {
		if now.Sub(p.at) > maxPeerLoadAge {
			delete(e.loads.peers, id)
			continue
		}
		for _, s := range p.services {
			urgent += share * float64(s.Running)
			add(s)
		}
	}
	out.Urgent = fleet.Percent(min(100*urgent/float64(max(e.loads.slots, 1)), 100))
	return out
}

// expectedRunTime returns the expected run time of the queued requests of a service, from the mean run
// times of its short and of its long request types. Declared run times are used only while no type of
// that kind was observed.
func (e *Engine) expectedRunTime(s ServiceLoad) time.Duration {
	var sum, count [2]time.Duration
	observed := [2]bool{}
	for name, rule := range e.view.Configuration.Services[s.Service].RequestTypes {
		rule.Name = name
		kind := 0
		if !rule.Class.IsShort() {
			kind = 1
		}
		known := e.Estimates.IsObserved(s.Service, name)
		if known && !observed[kind] {
			observed[kind], sum[kind], count[kind] = true, 0, 0
		}
		if known == observed[kind] {
			sum[kind] += e.Estimates.Expected(s.Service, rule)
			count[kind]++
		}
	}
	short := time.Duration(s.QueuedUrgent+s.QueuedNormal) * sum[0] / max(count[0], 1)
	return short + time.Duration(s.QueuedLong)*sum[1]/max(count[1], 1)
}

// WithoutWanted returns a copy of the loads in which no slots are wanted.
func WithoutWanted(list []ServiceLoad) []ServiceLoad {
	out := slices.Clone(list)
	for i := range out {
		out[i].Wanted = 0
	}
	return out
}
