package shard_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mimosawharf/mimosawharf/internal/job"
	"github.com/mimosawharf/mimosawharf/internal/shard"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// addressedEndpoint is an endpoint process that answers orders at its own address only.
type addressedEndpoint struct {
	shard.EndpointInfo
	clock    time.Duration
	deadline time.Duration
	running  map[fleet.TaskID]fleet.RunNumber
}

// addressed runs an engine whose endpoints are reached by their addresses, as on the platform.
type addressed struct {
	now       time.Time
	engine    *shard.Engine
	endpoints []*addressedEndpoint
	twice     bool
}

func (addressed) Encode(*job.Occurrence) ([][]byte, error) { return [][]byte{{1}}, nil }

// EncodeSchedule implements shard.Encoder.
func (addressed) EncodeSchedule(fleet.JobID, job.Schedule) ([]byte, error) { return []byte{1}, nil }

func newAddressed(clocks ...time.Duration) *addressed {
	a := &addressed{now: fakeEpoch}
	a.engine = shard.NewEngine("service", 1, shard.Bounds{MaxLease: fakeMaxLease, StopTime: fakeStop, StatusRetention: time.Hour}, &fakeObserver{}, shard.Inheritance{}, fakeEpoch.Add(time.Hour))
	for i, clock := range clocks {
		id := fleet.EndpointID("i-" + string(rune('1'+i)))
		a.endpoints = append(a.endpoints, &addressedEndpoint{
			EndpointInfo: shard.EndpointInfo{Endpoint: id, Service: "service", Address: fleet.Address("at-" + id), Capacity: worker64, StartMillis: 1},
			clock:        clock, running: map[fleet.TaskID]fleet.RunNumber{},
		})
	}
	return a
}

func (a *addressed) step() {
	a.now = a.now.Add(fakeTick)
	places := map[fleet.TaskID]int{}
	for _, e := range a.endpoints {
		if e.clock += fakeTick; e.clock > e.deadline {
			clear(e.running)
		}
		for id := range e.running {
			places[id]++
			a.twice = a.twice || places[id] > 1
		}
	}
	a.engine.Tick(a.now)
	a.engine.Plan(a.now)
	if batch, _ := a.engine.NextBatch(a); batch != nil {
		a.engine.Committed(a.now)
	}
	for _, o := range a.engine.Orders() {
		a.engine.Apply(a.now, a.execute(o))
	}
}

func (a *addressed) execute(o shard.Order) shard.Result {
	r := shard.Result{Order: o, Answer: shard.AnswerUnknown, SentAt: a.now}
	for _, e := range a.endpoints {
		if e.Address != o.Address {
			continue
		}
		r.Clock, r.Answer = e.clock, shard.AnswerGone
		if e.Endpoint != o.Process.Endpoint {
			return r
		}
		r.Answer, r.StartMillis = shard.AnswerDone, e.StartMillis
		e.deadline = max(e.deadline, min(o.Deadline, e.clock+fakeMaxLease))
		switch o.Kind {
		case shard.OrderStart:
			e.running[o.Task] = o.Run
		case shard.OrderStop:
			delete(e.running, o.Task)
		case shard.OrderHold:
			for id, run := range e.running {
				r.Running = append(r.Running, shard.ListedRun{Task: id, Run: run})
			}
		}
	}
	return r
}

// startTask runs a task that lasts on the first endpoint.
func (a *addressed) startTask(is *is.I) {
	is.Helper()
	var list []shard.EndpointInfo
	for _, e := range a.endpoints {
		list = append(list, e.EndpointInfo)
	}
	a.engine.SetEndpoints(a.now, list)
	j := batchJob("job", 1, 4000)
	j.Queue, j.Service, j.AcceptedAt = "queue", "service", a.now
	j.Steps[0].Estimate = time.Hour
	a.engine.Accept(j)
	for range 100 {
		a.step()
	}
	is.Equal(len(a.endpoints[0].running), 1)
}

// Guards against a task that runs twice because the entry of its live endpoint names the address of another one: an
// answer from there doesn't say that the endpoint is gone.
func TestEntryWithWrongAddressLosesNoRun(t *testing.T) {
	for _, c := range []struct {
		name   string
		clocks []time.Duration
	}{
		{"other clock behind", []time.Duration{100 * time.Second, 5 * time.Second}},
		{"other clock ahead", []time.Duration{5 * time.Second, 100 * time.Second}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			a := newAddressed(c.clocks...)
			first, second := a.endpoints[0], a.endpoints[1]
			a.startTask(is)
			odd := first.EndpointInfo
			odd.Address = second.Address
			a.engine.SetEndpoints(a.now, []shard.EndpointInfo{odd, second.EndpointInfo})
			for range 2000 {
				a.step()
			}
			is.True(!a.twice)
			is.True(len(first.running)+len(second.running) == 1) // it has moved once the lease had expired
		})
	}
}

// Guards against a lease that is measured on the clock of another process, which answered at the endpoint's former
// address.
func TestMisdirectedAnswerLeavesClock(t *testing.T) {
	is := is.New(t)
	a := newAddressed(5*time.Second, 100*time.Second)
	first, second := a.endpoints[0], a.endpoints[1]
	a.engine.SetEndpoints(a.now, []shard.EndpointInfo{first.EndpointInfo, second.EndpointInfo})
	for range 50 {
		a.step()
	}
	late := shard.Order{Kind: shard.OrderStop, Service: "service", Process: first.Process(), Address: second.Address, Token: 1}
	a.engine.Apply(a.now, a.execute(late))
	for range 500 {
		a.now = a.now.Add(fakeTick)
		first.clock += fakeTick
		second.clock += fakeTick
		a.engine.Tick(a.now)
		for _, o := range a.engine.Orders() {
			if o.Process.Endpoint == first.Endpoint && o.Deadline > 0 {
				is.True(o.Deadline-first.clock <= shard.LeaseLength) // longer than the holder counts
			}
			a.engine.Apply(a.now, a.execute(o))
		}
	}
}

// Guards against a run that is lost or doubled because the entry of its live endpoint is malformed for a while, or
// names an earlier start or another capacity.
func TestOddEntryOfLiveEndpointKeepsItsRun(t *testing.T) {
	for _, c := range []struct {
		name string
		odd  func(*shard.EndpointInfo)
	}{
		{"malformed", nil},
		{"no start", func(i *shard.EndpointInfo) { i.StartMillis = 0 }},
		{"earlier start", func(i *shard.EndpointInfo) { i.StartMillis-- }},
		{"less capacity than in use", func(i *shard.EndpointInfo) { i.Capacity = fleet.Capacity{Millicores: 1, Memory: 1} }},
		{"other rack", func(i *shard.EndpointInfo) { i.Rack = "other" }},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			a := newAddressed(100*time.Second, 5*time.Second)
			first, second := a.endpoints[0], a.endpoints[1]
			first.StartMillis = 7
			a.startTask(is)
			list := []shard.EndpointInfo{second.EndpointInfo}
			if c.odd != nil {
				odd := first.EndpointInfo
				c.odd(&odd)
				list = append(list, odd)
			}
			for _, registry := range [][]shard.EndpointInfo{list, {first.EndpointInfo, second.EndpointInfo}, list} {
				a.engine.SetEndpoints(a.now, registry)
				for range 1000 {
					a.step()
					is.Equal(len(first.running), 1)
				}
			}
			is.True(!a.twice)
			is.Equal(len(second.running), 0)
		})
	}
}
