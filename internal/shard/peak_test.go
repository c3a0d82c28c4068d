package shard_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/mimosawharf/mimosawharf/internal/job"
	"github.com/mimosawharf/mimosawharf/internal/shard"
	"github.com/mimosawharf/mimosawharf/internal/wire"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Timing of the peak. The holder's intervals are those of package holder.
const (
	peakTransit    = time.Millisecond
	peakCommit     = 8 * time.Millisecond
	peakTick       = 100 * time.Millisecond
	peakBatchPause = 20 * time.Millisecond
	peakLoad       = 250 * time.Millisecond
	peakRegistry   = 500 * time.Millisecond
	peakRenewal    = 600 * time.Millisecond
	peakBounds     = 200 * time.Millisecond
	peakStartAge   = 400 * time.Millisecond
	peakRound      = 256
	// peakRunTime is the mean run time of a task.
	peakRunTime = 680 * time.Millisecond
	// peakTasks is the number of tasks of a step, peakDemand what each of them needs.
	peakTasks = 8
)

var peakDemand = fleet.Capacity{Millicores: 8900, Memory: 8000}

// peakStep is a part of the holder's work.
type peakStep string

// Parts of the holder's work.
const (
	stepAccept    peakStep = "accept"
	stepPlan      peakStep = "plan"
	stepBatch     peakStep = "batch"
	stepCommitted peakStep = "committed"
	stepAnswers   peakStep = "answers"
	stepLists     peakStep = "lists"
	stepTick      peakStep = "tick"
	stepLoad      peakStep = "load"
	stepBounds    peakStep = "bounds"
	stepRegistry  peakStep = "registry"
	stepExpired   peakStep = "expired"
	// stepWrite is the work of the writer, which is not part of the engine.
	stepWrite peakStep = "write"
)

// peak plays the holder of one service at a peak on a virtual clock: its scheduler, its senders and the endpoints. The
// sequence of the scheduler is that of holder.Scheduler.
type peak struct {
	now       time.Time
	random    *rand.Rand
	engine    *shard.Engine
	epoch     fleet.FencingToken
	endpoints []*peakEndpoint
	byID      map[fleet.EndpointID]*peakEndpoint
	infos     []shard.EndpointInfo
	outside   peakEvents
	inbox     []peakMessage
	counts    peakCounts
	// work does a part of the holder's work. A benchmark measures it, a test charges it to the clock.
	work func(step peakStep, do func())
	// senders runs what the senders of the holder have to do; nil does it at once.
	senders func(do func())
	// spend lets the time pass that a sender takes; nil takes none.
	spend func(time.Duration)

	// committed, if set, is called with each batch that is stored.
	committed func(*shard.Batch)
	// took, if set, is called with the run time of each task that starts.
	took func(id fleet.TaskID, d time.Duration)

	// lastingAt is when each task of the lasting job first started.
	lastingAt map[fleet.TaskID]time.Time

	started, accepted           int
	writing                     bool
	tickAt, loadAt, registryAt  time.Time
	batchedAt, expiredAt, dueAt time.Time
	renewedAt                   time.Time
}

// peakMessage is one message in the scheduler's ring.
type peakMessage struct {
	job    *fleet.Job
	result *shard.Result
	// committed is set when a write has taken effect, renewed when it was a renewal too.
	committed, renewed bool
}

func newPeak(seed uint64, endpoints int, capacity fleet.Capacity) *peak {
	p := &peak{now: fakeEpoch, random: rand.New(rand.NewPCG(seed, 1)), byID: map[fleet.EndpointID]*peakEndpoint{}, lastingAt: map[fleet.TaskID]time.Time{}}
	p.work = func(_ peakStep, do func()) { do() }
	for i := range endpoints {
		id := fleet.EndpointID(fmt.Sprintf("edge-becancour-est-1-endpoint-%03d", i))
		info := shard.EndpointInfo{
			Endpoint: id, Service: "service", Address: fleet.Address(fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250)),
			Rack: fleet.RackID(fmt.Sprintf("rack-%d", i/16)), Capacity: capacity, StartMillis: fakeStartMillis,
		}
		e := &peakEndpoint{info: info, running: map[fleet.TaskID]fleet.RunNumber{}, highest: map[fleet.TaskID]fleet.RunNumber{}}
		p.endpoints, p.byID[id], p.infos = append(p.endpoints, e), e, append(p.infos, info)
	}
	p.newEngine(shard.EpochStep, shard.Inheritance{})
	return p
}

// newEngine starts a holder that knows the endpoints only.
func (p *peak) newEngine(epoch fleet.FencingToken, inherited shard.Inheritance) {
	bounds := shard.Bounds{MaxLease: fakeMaxLease, StopTime: fakeStop, StatusRetention: time.Hour}
	p.epoch = epoch
	p.engine = shard.NewEngine("service", epoch, bounds, &p.counts, inherited, p.now.Add(24*time.Hour))
	p.engine.SetPolicies([]job.Policy{{Queue: "queue", Service: "service", MaxAttempts: 4, Stretch: 1.6, Target: 600 * time.Millisecond}})
	p.engine.SetEndpoints(p.now, p.infos)
}

// runTime draws the run time of a task.
func (p *peak) runTime() time.Duration {
	const sigma = 0.4
	return time.Duration(float64(peakRunTime) * math.Exp(sigma*p.random.NormFloat64()-sigma*sigma/2))
}

// newJob returns a job of 1.6 steps on average.
func (p *peak) newJob() *fleet.Job {
	p.accepted++
	j := &fleet.Job{ID: fleet.JobID(fmt.Sprintf("%016x", p.random.Uint64())), Queue: "queue", Service: "service", AcceptedAt: p.now, MaxAttempts: 4, Payload: `{"steps":[{"tasks":8}]}`}
	steps := 1
	if p.accepted%5 < 3 {
		steps = 2
	}
	for s := range steps {
		step := fleet.Step{Tasks: peakTasks, Demand: peakDemand, Estimate: peakRunTime, Image: "image"}
		if s > 0 {
			step.After = []fleet.StepIndex{fleet.StepIndex(s - 1)}
		}
		j.Steps = append(j.Steps, step)
	}
	return j
}

// submit has the announcement of a new job arrive.
func (p *peak) submit() { p.inbox = append(p.inbox, peakMessage{job: p.newJob()}) }

// peakLasting is a job of lasting tasks.
const peakLasting fleet.JobID = "lasting"

func (p *peak) submitLasting(tasks int) {
	j := &fleet.Job{ID: peakLasting, Queue: "queue", Service: "service", AcceptedAt: p.now, Steps: []fleet.Step{{Tasks: tasks, Demand: peakDemand, Lasting: true, Image: "lasting"}}}
	p.inbox = append(p.inbox, peakMessage{job: j})
}

// retain adds jobs that have ended and are kept for status.
func (p *peak) retain(jobs int) {
	for range jobs {
		o := job.New(p.newJob(), 0)
		for s := range o.Tasks {
			for t := range o.Tasks[s] {
				o.Tasks[s][t] = job.Task{Done: true, Run: 1, LastEnded: 1}
			}
		}
		o.State, o.EndedAt = fleet.JobStateCompleted, p.now
		o.Recount()
		p.engine.Accept(o.Job)
		p.engine.Restore(p.now, o)
	}
}

// Encode implements shard.Encoder.
func (*peak) Encode(o *job.Occurrence) ([][]byte, error) { return wire.EncodeProgress(o) }

// EncodeSchedule implements shard.Encoder.
func (*peak) EncodeSchedule(id fleet.JobID, s job.Schedule) ([]byte, error) {
	return wire.EncodeSchedule(id, s)
}

// after has something happen outside of the holder.
func (p *peak) after(d time.Duration, do func()) {
	p.outside.count++
	heap.Push(&p.outside, peakEvent{at: p.now.Add(d), number: p.outside.count, do: do})
}

// advance carries out what happens outside of the holder up to now.
func (p *peak) advance() {
	until := p.now
	for len(p.outside.events) > 0 && !p.outside.events[0].at.After(until) {
		event := heap.Pop(&p.outside).(peakEvent)
		p.now = event.at
		event.do()
	}
	p.now = until
}

// round does what the scheduler does each time that it wakes up.
func (p *peak) round() {
	for range min(len(p.inbox), peakRound) {
		message := p.inbox[0]
		p.inbox = p.inbox[1:]
		p.handle(message)
	}
	if !p.now.Before(p.tickAt) {
		p.work(stepTick, func() { p.engine.Tick(p.now) })
		p.tickAt = p.now.Add(peakTick)
	}
	if !p.now.Before(p.loadAt) {
		p.work(stepLoad, func() { p.engine.Load(p.now) })
		p.loadAt = p.now.Add(peakLoad)
	}
	if !p.now.Before(p.registryAt) {
		p.work(stepRegistry, func() { p.engine.SetEndpoints(p.now, p.infos) })
		p.registryAt = p.now.Add(peakRegistry)
	}
	if p.now.Sub(p.expiredAt) >= 5*time.Second {
		p.work(stepExpired, func() { p.engine.Expired(p.now) })
		p.expiredAt = p.now
	}
	p.work(stepPlan, func() { p.engine.Plan(p.now) })
	p.dueAt = p.engine.PlanDue()
	p.commit()
	for _, o := range p.engine.Orders() {
		p.send(o)
	}
}

func (p *peak) handle(m peakMessage) {
	switch {
	case m.result != nil && m.result.Order.Epoch != p.epoch:
		// It answers an order of an earlier holder.
	case m.job != nil:
		p.work(stepAccept, func() { p.engine.Accept(m.job) })
	case m.committed:
		p.writing = false
		if m.renewed {
			p.engine.BoundsStored(p.now)
		}
		p.work(stepCommitted, func() { p.engine.Committed(p.now) })
	case m.result.Order.Kind == shard.OrderHold:
		p.work(stepLists, func() { p.engine.Apply(p.now, *m.result) })
	default:
		p.work(stepAnswers, func() { p.engine.Apply(p.now, *m.result) })
	}
}

func (p *peak) commit() {
	if p.writing {
		return
	}
	if due := p.batchedAt.Add(peakBatchPause); p.now.Before(due) {
		if p.dueAt.IsZero() || due.Before(p.dueAt) {
			p.dueAt = due
		}
		return
	}
	var batch *shard.Batch
	p.work(stepBatch, func() { batch, _ = p.engine.NextBatch(p) })
	since := p.now.Sub(p.renewedAt)
	renews := since >= peakRenewal || since >= peakBounds && p.engine.BoundsDue(p.now)
	if batch == nil && !renews {
		return
	}
	if renews {
		p.work(stepBounds, func() { p.engine.PrepareBounds(p.now) })
		p.renewedAt = p.now
	}
	if batch == nil {
		batch = &shard.Batch{}
	}
	p.writing, p.batchedAt = true, p.now
	p.work(stepWrite, func() { p.counts.rows += len(batch.Rows) })
	p.after(peakCommit, func() {
		if p.committed != nil {
			p.committed(batch)
		}
		p.inbox = append(p.inbox, peakMessage{committed: true, renewed: renews})
	})
}

// peakEvent is something that happens outside of the holder.
type peakEvent struct {
	at     time.Time
	number int
	do     func()
}

// peakEvents implements heap.Interface by time.
type peakEvents struct {
	events []peakEvent
	count  int
}

func (q *peakEvents) Len() int { return len(q.events) }
func (q *peakEvents) Less(i, k int) bool {
	a, b := q.events[i], q.events[k]
	return a.at.Before(b.at) || a.at.Equal(b.at) && a.number < b.number
}
func (q *peakEvents) Swap(i, k int) { q.events[i], q.events[k] = q.events[k], q.events[i] }
func (q *peakEvents) Push(x any)    { q.events = append(q.events, x.(peakEvent)) }
func (q *peakEvents) Pop() any {
	last := q.events[len(q.events)-1]
	q.events = q.events[:len(q.events)-1]
	return last
}
