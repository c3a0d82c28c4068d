package dispatch_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/mimosawharf/mimosawharf/internal/admission"
	"github.com/mimosawharf/mimosawharf/internal/dispatch"
	"github.com/mimosawharf/mimosawharf/internal/heap"
	"github.com/mimosawharf/mimosawharf/internal/request"
	"github.com/mimosawharf/mimosawharf/internal/routing"
	"github.com/mimosawharf/mimosawharf/internal/ticket"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

const (
	services = 5
	slots    = 8
	peak     = 4 * time.Second
	horizon  = 40 * time.Second
	// shortMean is the mean run time of short requests in seconds: 2% run 30 times as long.
	shortMean      = 0.050 * (0.98 + 0.02*30)
	checkpointCost = 5 * time.Millisecond
	loanDuration   = 500 * time.Millisecond
	// reportEvery and reportGap are those of internal/peer.
	reportEvery = 100 * time.Millisecond
	reportGap   = 5 * time.Millisecond
	// reportBytes, loadBytes and loanBytes are sizes on the wire, with 50 bytes for the packet, as internal/peer measures them.
	reportBytes = 80
	loadBytes   = 18
	loanBytes   = 90
	slotsBytes  = 16
)

var epoch = time.Unix(1_000_000, 0)

// deployment is one of the two organisations of docs/design.md section 1.
type deployment struct {
	name      string
	latency   time.Duration
	endpoints int
	seed      uint64
	// mixed makes every other request type one that endpoints cannot checkpoint.
	mixed bool
	// load is the demand of short work at its peak as a multiple of the pool, stragglers included.
	load float64
}

// job is one request of a trace and its outcome.
type job struct {
	request request.Request
	long    bool
	// checkpointed is set when the next start resumes the run.
	checkpointed  bool
	run, left     time.Duration
	at            time.Time
	started, done time.Time
	runs          int
	attempts      fleet.Attempt
	outcomes      int
	outcome       request.Outcome
}

// loop is a discrete-event simulation.
type loop struct {
	now    time.Time
	order  uint64
	events heap.Heap[*event]
}

type event struct {
	at    time.Time
	order uint64
	do    func()
	index int
}

func newLoop() *loop {
	l := &loop{now: epoch}
	l.events.Less = func(a, b *event) bool { return a.at.Before(b.at) || a.at.Equal(b.at) && a.order < b.order }
	l.events.Index = func(e *event) *int { return &e.index }
	return l
}

func (l *loop) after(d time.Duration, do func()) *event {
	l.order++
	e := &event{at: l.now.Add(d), order: l.order, do: do}
	l.events.Push(e)
	return e
}

func (l *loop) run(until time.Time) {
	for l.events.Len() > 0 && !l.events.First().at.After(until) {
		e := l.events.First()
		l.events.Remove(e)
		l.now = e.at
		e.do()
	}
}

// configuration returns the fleet of a deployment: a pool for each service, four short request types
// and two long ones. Declared run times are off by up to 10 times either way.
func (d deployment) configuration(random *rand.Rand) (*fleet.View, map[fleet.RequestType]time.Duration) {
	v, means := fleet.NewView(), map[fleet.RequestType]time.Duration{}
	for s := range services {
		id := fmt.Sprintf("service-%d", s)
		service := fleet.Service{ID: fleet.ServiceID(id), Pool: fleet.PoolID(id), RequestTypes: map[fleet.RequestType]fleet.RequestTypeRule{}}
		for t, ms := range []int{20, 40, 60, 80, 2000, 4000} {
			rule := fleet.RequestTypeRule{
				Name: fleet.RequestType(fmt.Sprintf("%s-type-%d", id, t)), Class: fleet.ClassNormal,
				Repeatable: true, Checkpointable: !d.mixed || t%2 == 0,
			}
			if ms >= 2000 {
				rule.Class = fleet.ClassLong
			}
			means[rule.Name] = time.Duration(ms) * time.Millisecond
			rule.DeclaredRunTime = time.Duration(float64(means[rule.Name]) * math.Pow(10, 2*random.Float64()-1))
			service.RequestTypes[rule.Name] = rule
		}
		v.Configuration.Services[service.ID] = service
		for i := range d.endpoints {
			vm := fleet.VM{ID: fleet.VMID(fmt.Sprintf("%s-vm-%d", id, i)), Zone: "a", Slots: slots, Pool: service.Pool, State: fleet.VMStateServing}
			v.VMs[vm.ID] = vm
		}
	}
	for a := range 10 {
		account := fleet.ClientAccount{ID: fleet.ClientAccountID(fmt.Sprintf("account-%d", a))}
		if a == 0 {
			for name := range means {
				if means[name] < time.Second {
					account.PriorityGrants = append(account.PriorityGrants, fleet.PriorityGrant{Service: fleet.ServiceID(name[:9]), RequestType: name, Class: fleet.ClassUrgent})
				}
			}
		}
		v.Configuration.Accounts[account.ID] = account
	}
	return v, means
}

// trace returns the requests of a run. Each service in turn peaks at five times its mean, which is
// more than its pool holds, and falls to a twentieth of the mean in between. Long work demands
// half of the pool all the time.
func (d deployment) trace(random *rand.Rand, means map[fleet.RequestType]time.Duration) []*job {
	var list []*job
	capacity := float64(d.endpoints * slots)
	for s := range services {
		for at := time.Duration(0); at < horizon; {
			rate := d.load / 100 * capacity / shortMean
			if int(at/peak)%services == s {
				rate = d.load * capacity / shortMean
			}
			at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
			list = append(list, d.job(random, means, s, random.IntN(4), at, len(list)))
		}
		for at := time.Duration(0); at < horizon; {
			at += time.Duration(random.ExpFloat64() / (0.5 * capacity / 3) * float64(time.Second))
			list = append(list, d.job(random, means, s, 4+random.IntN(2), at, len(list)))
		}
	}
	slices.SortStableFunc(list, func(a, b *job) int { return a.at.Compare(b.at) })
	return list
}

func (d deployment) job(random *rand.Rand, means map[fleet.RequestType]time.Duration, s, t int, at time.Duration, number int) *job {
	id := fmt.Sprintf("service-%d", s)
	name := fleet.RequestType(fmt.Sprintf("%s-type-%d", id, t))
	run := time.Duration(float64(means[name]) * (0.5 + random.Float64()))
	timeout := 10 * time.Second
	if t >= 4 {
		timeout = 10 * time.Minute
	} else if random.IntN(50) == 0 {
		run = 30 * means[name]
	}
	return &job{long: t >= 4, run: run, left: run, at: epoch.Add(at), request: request.Request{
		ID: fleet.RequestID(fmt.Sprint(number)), Account: fleet.ClientAccountID(fmt.Sprintf("account-%d", random.IntN(10))),
		Service: fleet.ServiceID(id), Type: name, Deadline: epoch.Add(at + timeout), Received: epoch.Add(at),
	}}
}

// runningJob is a job that runs on an endpoint.
type runningJob struct {
	job   *job
	since time.Time
	end   *event
	ended func(request.Result)
}

// fleetLoop simulates the endpoints and the engines of one run.
type fleetLoop struct {
	*loop
	deployment
	engines []*dispatch.Engine
	byID    map[fleet.EntryID]*dispatch.Engine
	links   map[*dispatch.Engine]*link
	// bytes counts what the engines sent to each other.
	bytes   int
	jobs    map[fleet.RequestID]*job
	running map[fleet.EndpointID]map[fleet.RequestID]*runningJob
	// delay decides how long a message to a peer takes and whether it is lost; nil means the latency.
	delay func() (time.Duration, bool)
	// fault decides the result of an attempt instead of the endpoint; nil never does.
	fault func(fleet.EndpointID) (request.Result, bool)
	// leaving is when an endpoint first reported that it is leaving; lateAttempts counts attempts at it
	// more than 3 s later.
	leaving      map[fleet.EndpointID]time.Time
	lateAttempts int
}

func (f *fleetLoop) start(id fleet.EndpointID, j *job, ended func(request.Result)) {
	if at := f.leaving[id]; !at.IsZero() {
		if f.now.Sub(at) > 3*time.Second {
			f.lateAttempts++
		}
		ended(request.Result{Kind: request.ResultNotRun, Refusal: request.RefusalLeaving})
		return
	}
	if f.fault != nil {
		if result, ok := f.fault(id); ok {
			if result.Kind != request.ResultNotRun && !j.checkpointed {
				j.runs++
			}
			ended(result)
			return
		}
	}
	if f.running[id] == nil {
		f.running[id] = map[fleet.RequestID]*runningJob{}
	}
	if len(f.running[id]) >= slots {
		ended(request.Result{Kind: request.ResultNotRun, Refusal: request.RefusalBusy, Load: f.load(id)})
		return
	}
	if j.started.IsZero() {
		j.started = f.now
	}
	if !j.checkpointed {
		j.runs++
	}
	run := &runningJob{job: j, since: f.now, ended: ended}
	run.end = f.after(j.left, func() {
		delete(f.running[id], j.request.ID)
		j.left, j.done = 0, f.now
		ended(request.Result{Kind: request.ResultAnswered, Load: f.load(id)})
	})
	f.running[id][j.request.ID] = run
}

func (f *fleetLoop) load(id fleet.EndpointID) *request.Load {
	return &request.Load{Running: fleet.Slots(len(f.running[id])), Slots: slots}
}

// checkpoint stops a job. It holds its slot while the checkpoint is written.
func (f *fleetLoop) checkpoint(id fleet.EndpointID, requestID fleet.RequestID) {
	run := f.running[id][requestID]
	if run == nil || run.job.left <= f.now.Sub(run.since)+checkpointCost {
		return
	}
	f.events.Remove(run.end)
	run.job.left -= f.now.Sub(run.since)
	run.job.checkpointed = true
	f.after(checkpointCost, func() {
		delete(f.running[id], requestID)
		run.ended(request.Result{Kind: request.ResultCheckpointed, Checkpoint: []byte{1}, Elapsed: f.now.Sub(run.since), Load: f.load(id)})
	})
}

// execute carries out the decisions of an engine.
func (f *fleetLoop) execute(e *dispatch.Engine) {
	out := e.Take()
	f.lend(e, out)
	for _, r := range out.Replies {
		j := f.jobs[fleet.RequestID(fmt.Sprint(uint64(r.ID)))]
		j.outcome = r.Outcome
		j.outcomes++
	}
	for _, s := range out.Sends {
		f.jobs[s.Request.ID].attempts = s.Attempt
		f.after(f.latency, func() {
			f.start(s.Target.Endpoint, f.jobs[s.Request.ID], func(result request.Result) {
				f.after(f.latency, func() {
					e.AttemptEnded(f.now, s.Call, result)
					f.execute(e)
				})
			})
		})
	}
	for _, c := range out.Controls {
		if c.Action == dispatch.ControlCheckpoint {
			f.after(f.latency, func() { f.checkpoint(c.Target.Endpoint, c.Request) })
		}
	}
}

// tick repeats a step of an engine.
func (f *fleetLoop) tick(every time.Duration, e *dispatch.Engine, step func()) {
	f.after(every, func() {
		step()
		f.execute(e)
		f.tick(every, e, step)
	})
}

// newFleetLoop returns a loop of n engines that decide independently.
func newFleetLoop(d deployment, v *fleet.View, n int) *fleetLoop {
	f := &fleetLoop{
		byID: map[fleet.EntryID]*dispatch.Engine{}, links: map[*dispatch.Engine]*link{},
		loop: newLoop(), deployment: d, jobs: map[fleet.RequestID]*job{},
		running: map[fleet.EndpointID]map[fleet.RequestID]*runningJob{}, leaving: map[fleet.EndpointID]time.Time{},
	}
	var ids []fleet.EntryID
	for i := range n {
		ids = append(ids, fleet.EntryID(fmt.Sprintf("entry-%d", i)))
	}
	for i, id := range ids {
		e := dispatch.NewEngine(&admission.Queues{Capacity: 8192, MaxBytes: 1 << 30, NormalPercent: 10},
			&routing.Router{Zone: "a", Entry: id, Reserved: 1, EjectPercent: 30, LoanDuration: loanDuration}, &ticket.Book{Issuer: id, Incarnation: "1", Lifetime: horizon}, math.MaxInt)
		e.SetView(f.now, v, n)
		e.SetEntries(f.now, ids, n)
		f.engines = append(f.engines, e)
		f.byID[id], f.links[e] = e, &link{peers: slices.DeleteFunc(slices.Clone(ids), func(other fleet.EntryID) bool { return other == id })}
		f.tick(20*time.Millisecond, e, func() { e.Tick(f.now) })
		if n > 1 {
			f.after(time.Duration(i)*reportEvery/time.Duration(n), func() {
				f.tick(reportEvery, e, func() { f.sendReport(e, true) })
			})
		}
	}
	return f
}

// submit hands a job to an engine when its time comes.
func (f *fleetLoop) submit(e *dispatch.Engine, j *job) {
	f.jobs[j.request.ID] = j
	var reply request.ReplyID
	_, _ = fmt.Sscan(string(j.request.ID), &reply)
	f.after(j.at.Sub(epoch), func() {
		e.Submit(f.now, &j.request, reply)
		f.execute(e)
	})
}

// runEngines runs a trace through n engines that decide independently and returns the bytes that each
// sent to its peers per second.
func runEngines(d deployment, v *fleet.View, trace []*job, n int) float64 {
	f, random := newFleetLoop(d, v, n), rand.New(rand.NewPCG(d.seed, 7))
	for _, j := range trace {
		f.submit(f.engines[random.IntN(n)], j)
	}
	f.run(epoch.Add(horizon))
	return float64(f.bytes) / float64(n) / horizon.Seconds()
}
