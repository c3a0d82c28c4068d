package shard_test

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/mimosawharf/mimosawharf/internal/job"
	"github.com/mimosawharf/mimosawharf/internal/shard"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Timing of the simulation.
const (
	fakeTick    = 10 * time.Millisecond
	fakeCommit  = 10 * time.Millisecond
	fakeStartup = 500 * time.Millisecond
	fakeStop    = 100 * time.Millisecond
	// fakeMaxLease is the longest lease that a fake endpoint grants.
	fakeMaxLease = 10 * time.Second
)

// fakeRun is a run that a fake endpoint executes.
type fakeRun struct {
	run      fleet.RunNumber
	began    time.Time
	duration time.Duration
	lasting  bool
	stopAt   time.Time
	demand   fleet.Capacity
	stalled  bool
}

// fakeEndpoint is an endpoint process that follows the platform's rules for orders.
type fakeEndpoint struct {
	shard.EndpointInfo
	began    time.Time
	token    fleet.FencingToken
	deadline time.Time
	running  map[fleet.TaskID]*fakeRun
	highest  map[fleet.TaskID]fleet.RunNumber
	ends     []shard.ListedEnd
	ended    fleet.EndCursor
	held     []shard.Order
	heldAt   []time.Time

	unreachable bool
	dead        bool
	failAll     bool
	stall       bool
}

// fakeStore holds the committed rows.
type fakeStore struct {
	rows map[job.Key]*job.Occurrence
}

// simulation runs one service on a virtual clock: a holder's engine, its endpoints and the store.
type simulation struct {
	now       time.Time
	random    *rand.Rand
	engine    *shard.Engine
	endpoints map[fleet.EndpointID]*fakeEndpoint
	store     fakeStore
	jobs      []*fleet.Job
	cancelled map[fleet.JobID]time.Time
	duration  func(fleet.TaskID) time.Duration
	policy    job.Policy
	epoch     fleet.FencingToken

	commitAt     time.Time
	committing   map[job.Key]*job.Occurrence
	storeDown    bool
	delayed      []delayedOrder
	delayShare   float64
	latest       map[job.Key]*job.Occurrence
	doneRecorded map[fleet.TaskID]bool
	failedRuns   map[fleet.TaskID]int
	violations   []string
	observer     *fakeObserver
	frozen       bool
	// listAt is when the registry is read next.
	listAt time.Time

	advicePending []pendingAdvice
	adviceCount   int

	statusRetention time.Duration

	// Mechanisms that a test disables.
	ignoreLeases, ignoreFencing, loseCommits bool
}

// pendingAdvice is a request that the advice service has not answered yet.
type pendingAdvice struct {
	at      time.Time
	request shard.AdviceRequest
}

type delayedOrder struct {
	at    time.Time
	order shard.Order
}

type fakeObserver struct {
	ejections map[fleet.EndpointID]int
	losses    []shard.Loss
	restarts  []shard.Restart
	foreign   []shard.ForeignRun
	steps     []shard.ClockStep
	rejected  []shard.Order
}

func (*fakeObserver) Assigned(fleet.TaskID, fleet.RunNumber, fleet.EndpointProcess, time.Duration) {}

func (*fakeObserver) RunEnded(fleet.TaskID, fleet.RunNumber, fleet.EndpointProcess, fleet.RunEnd, time.Duration) {
}

func (*fakeObserver) LateEnd(fleet.TaskID, fleet.RunNumber, fleet.EndpointProcess, fleet.RunEnd) {}
func (*fakeObserver) JobEnded(fleet.JobID, fleet.JobState, time.Duration)                        {}
func (*fakeObserver) Cancelled(fleet.JobID)                                                      {}
func (o *fakeObserver) Rejected(order shard.Order, _ shard.Answer, _ time.Duration) {
	o.rejected = append(o.rejected, order)
}

func (o *fakeObserver) Ejected(at fleet.EndpointID, _ int, _ time.Duration) {
	o.ejections[at]++
}
func (*fakeObserver) Reconnected(fleet.EndpointID)                     {}
func (o *fakeObserver) RunLost(loss shard.Loss)                        { o.losses = append(o.losses, loss) }
func (*fakeObserver) RunsLost(fleet.EndpointID, int, shard.LossReason) {}
func (o *fakeObserver) Restarted(r shard.Restart)                      { o.restarts = append(o.restarts, r) }

func (o *fakeObserver) ClockStepped(s shard.ClockStep)   { o.steps = append(o.steps, s) }
func (o *fakeObserver) ForeignListed(f shard.ForeignRun) { o.foreign = append(o.foreign, f) }

var fakeEpoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newSimulation(seed uint64, endpoints int, capacity fleet.Capacity) *simulation {
	sim := &simulation{
		now: fakeEpoch, random: rand.New(rand.NewPCG(seed, 1)), endpoints: map[fleet.EndpointID]*fakeEndpoint{},
		store: fakeStore{rows: map[job.Key]*job.Occurrence{}}, cancelled: map[fleet.JobID]time.Time{},
		duration:   func(fleet.TaskID) time.Duration { return time.Second },
		policy:     job.Policy{Queue: "queue", Service: "service", MaxAttempts: 3, Stretch: 1.6, Target: 600 * time.Millisecond},
		committing: map[job.Key]*job.Occurrence{}, latest: map[job.Key]*job.Occurrence{}, doneRecorded: map[fleet.TaskID]bool{},
		failedRuns:      map[fleet.TaskID]int{},
		statusRetention: time.Hour,
		observer:        &fakeObserver{ejections: map[fleet.EndpointID]int{}},
	}
	for i := range endpoints {
		id := fleet.EndpointID(fmt.Sprintf("endpoint-%02d", i))
		sim.endpoints[id] = &fakeEndpoint{
			EndpointInfo: shard.EndpointInfo{Endpoint: id, Service: "service", Address: fleet.Address(id), Rack: fleet.RackID(fmt.Sprintf("rack-%d", i/4)), Capacity: capacity, StartMillis: 1},
			began:        sim.now, running: map[fleet.TaskID]*fakeRun{}, highest: map[fleet.TaskID]fleet.RunNumber{},
		}
	}
	sim.takeOver(time.Time{})
	return sim
}

// takeOver starts a new holder that knows only what is stored.
func (sim *simulation) takeOver(previousEnd time.Time) {
	sim.epoch++
	sim.committing, sim.commitAt = map[job.Key]*job.Occurrence{}, time.Time{}
	bounds := shard.Bounds{MaxLease: fakeMaxLease, StopTime: fakeStop, StatusRetention: sim.statusRetention}
	sim.engine = shard.NewEngine("service", sim.epoch, bounds, sim.observer, previousEnd)
	sim.engine.SetPolicies([]job.Policy{sim.policy})
	sim.list()
	for _, j := range sim.jobs {
		sim.engine.Accept(j)
	}
	for _, o := range sim.store.rows {
		sim.engine.Restore(sim.now, clone(o))
	}
	for id := range sim.cancelled {
		sim.engine.Cancel(sim.now, id)
	}
}

func clone(o *job.Occurrence) *job.Occurrence {
	c := job.New(o.Job, o.Number)
	c.State, c.EndedAt = o.State, o.EndedAt
	for s := range o.Tasks {
		copy(c.Tasks[s], o.Tasks[s])
	}
	c.Recount()
	return c
}

// Encode implements shard.Encoder. The value is a placeholder; the state is kept in latest.
func (sim *simulation) Encode(o *job.Occurrence) ([]byte, error) {
	sim.latest[o.Key()] = clone(o)
	return []byte{1}, nil
}

func (sim *simulation) list() {
	sim.listAt = time.Time{}
	var list []shard.EndpointInfo
	for _, e := range sim.endpoints {
		if !e.dead {
			list = append(list, e.EndpointInfo)
		}
	}
	sort.Slice(list, func(i, k int) bool { return list[i].Endpoint < list[k].Endpoint })
	sim.engine.SetEndpoints(sim.now, list)
}

func (sim *simulation) submit(j *fleet.Job) {
	j.Queue, j.Service, j.AcceptedAt = sim.policy.Queue, sim.policy.Service, sim.now
	sim.jobs = append(sim.jobs, j)
	sim.engine.Accept(j)
}

func (sim *simulation) cancel(id fleet.JobID) {
	sim.cancelled[id] = sim.now
	sim.engine.Cancel(sim.now, id)
}

// run advances the simulation by d.
func (sim *simulation) run(d time.Duration) {
	end := sim.now.Add(d)
	for sim.now.Before(end) {
		sim.step()
	}
}

func (sim *simulation) step() {
	sim.now = sim.now.Add(fakeTick)
	for _, e := range sim.sorted() {
		sim.advance(e)
	}
	sim.deliverDelayed()
	if sim.frozen {
		return
	}
	if !sim.listAt.IsZero() && !sim.now.Before(sim.listAt) {
		sim.list()
	}
	sim.engine.Tick(sim.now)
	sim.commit()
	sim.engine.Plan(sim.now)
	sim.commit()
	for _, o := range sim.engine.Orders() {
		sim.send(o)
	}
}

func (sim *simulation) commit() {
	if !sim.commitAt.IsZero() && !sim.storeDown && !sim.now.Before(sim.commitAt) {
		sim.commitNow()
		sim.commitAt = time.Time{}
		sim.engine.Committed(sim.now)
	}
	if !sim.commitAt.IsZero() {
		return
	}
	batch, err := sim.engine.NextBatch(sim)
	if err != nil || batch == nil {
		return
	}
	sim.committing = map[job.Key]*job.Occurrence{}
	for _, row := range batch.Rows {
		sim.committing[row.Key] = nil
		if row.Value != nil {
			sim.committing[row.Key] = sim.latest[row.Key]
		}
	}
	sim.commitAt = sim.now.Add(fakeCommit)
}

// commitNow completes the pending transaction without notifying the holder.
func (sim *simulation) commitNow() {
	for key, o := range sim.committing {
		if o == nil {
			delete(sim.store.rows, key)
			continue
		}
		sim.recordDone(o)
		if !sim.loseCommits {
			sim.store.rows[key] = o
		}
	}
}

func (sim *simulation) recordDone(o *job.Occurrence) {
	for s := range o.Tasks {
		for t := range o.Tasks[s] {
			if o.Tasks[s][t].Done {
				sim.doneRecorded[o.ID(fleet.StepIndex(s), fleet.TaskIndex(t))] = true
			}
		}
	}
}

func (sim *simulation) sorted() []*fakeEndpoint {
	var list []*fakeEndpoint
	for _, e := range sim.endpoints {
		list = append(list, e)
	}
	sort.Slice(list, func(i, k int) bool { return list[i].Endpoint < list[k].Endpoint })
	return list
}

func (sim *simulation) violation(format string, arguments ...any) {
	sim.violations = append(sim.violations, fmt.Sprintf("%v: ", sim.now.Sub(fakeEpoch))+fmt.Sprintf(format, arguments...))
}

// advance ends the runs of an endpoint that are due to end, and answers its renewals.
func (sim *simulation) advance(e *fakeEndpoint) {
	if e.dead {
		return
	}
	if !sim.ignoreLeases && !e.deadline.IsZero() && sim.now.After(e.deadline) {
		for id := range e.running {
			sim.end(e, id, fleet.RunEndLapsed)
		}
	}
	for _, id := range e.tasks() {
		r := e.running[id]
		switch {
		case !r.stopAt.IsZero() && !sim.now.Before(r.stopAt):
			sim.end(e, id, fleet.RunEndStopped)
		case e.failAll && sim.now.Sub(r.began) >= 50*time.Millisecond && !r.lasting:
			sim.end(e, id, fleet.RunEndFailed)
		case !r.lasting && !r.stalled && sim.now.Sub(r.began) >= r.duration:
			sim.end(e, id, fleet.RunEndDone)
		}
	}
	sim.answerHolds(e)
}

func (e *fakeEndpoint) tasks() []fleet.TaskID {
	var list []fleet.TaskID
	for id := range e.running {
		list = append(list, id)
	}
	sort.Slice(list, func(i, k int) bool { return list[i].String() < list[k].String() })
	return list
}

func (sim *simulation) end(e *fakeEndpoint, id fleet.TaskID, how fleet.RunEnd) {
	r := e.running[id]
	delete(e.running, id)
	if how == fleet.RunEndFailed {
		sim.failedRuns[id]++
	}
	e.ended++
	e.ends = append(e.ends, shard.ListedEnd{Number: e.ended, Task: id, Run: r.run, How: how})
	if e.highest[id] < r.run {
		e.highest[id] = r.run
	}
}

// answerHolds answers the renewals that the endpoint holds open.
func (sim *simulation) answerHolds(e *fakeEndpoint) {
	held, at := e.held, e.heldAt
	e.held, e.heldAt = nil, nil
	for i, o := range held {
		if len(e.ends) == 0 && sim.now.Sub(at[i]) < o.Wait {
			e.held, e.heldAt = append(e.held, o), append(e.heldAt, at[i])
			continue
		}
		sim.reply(e, o, shard.AnswerDone)
	}
}

func (sim *simulation) reply(e *fakeEndpoint, o shard.Order, answer shard.Answer) {
	r := shard.Result{Order: o, Answer: answer, Clock: sim.now.Sub(e.began), StartMillis: e.StartMillis, SentAt: sim.now}
	if e.unreachable {
		r = shard.Result{Order: o, Answer: shard.AnswerUnknown, SentAt: sim.now}
	}
	if o.Kind == shard.OrderHold && answer == shard.AnswerDone && !e.unreachable {
		for _, id := range e.tasks() {
			run := e.running[id]
			progress := 100
			if !run.lasting {
				progress = int(min(100, 100*sim.now.Sub(run.began)/max(1, run.duration)))
				if run.stalled {
					progress = 0
				}
			} else if sim.now.Sub(run.began) < fakeStartup {
				progress = int(100 * sim.now.Sub(run.began) / fakeStartup)
			}
			r.Running = append(r.Running, shard.ListedRun{Task: id, Run: run.run, Progress: progress})
		}
		r.Ends = append(r.Ends, e.ends...)
	}
	if o.Token == sim.epoch && !sim.frozen {
		sim.engine.Apply(sim.now, r)
	}
}

// send delivers an order, or delays it and reports that there was no answer.
func (sim *simulation) send(o shard.Order) {
	e := sim.endpoints[o.Process.Endpoint]
	if e == nil || e.dead || e.unreachable {
		sim.engine.Apply(sim.now, shard.Result{Order: o, Answer: shard.AnswerUnknown, SentAt: sim.now})
		return
	}
	if o.Kind != shard.OrderHold && sim.random.Float64() < sim.delayShare {
		sim.delayed = append(sim.delayed, delayedOrder{sim.now.Add(2*time.Second + time.Duration(sim.random.IntN(8000))*time.Millisecond), o})
		sim.engine.Apply(sim.now, shard.Result{Order: o, Answer: shard.AnswerUnknown, SentAt: sim.now})
		return
	}
	answer := sim.execute(e, o)
	if o.Kind == shard.OrderHold && answer == shard.AnswerDone {
		e.held, e.heldAt = append(e.held, o), append(e.heldAt, sim.now)
		return
	}
	sim.reply(e, o, answer)
}

func (sim *simulation) deliverDelayed() {
	var rest []delayedOrder
	for _, d := range sim.delayed {
		if sim.now.Before(d.at) {
			rest = append(rest, d)
			continue
		}
		if e := sim.endpoints[d.order.Process.Endpoint]; e != nil && !e.dead && e.Process() == d.order.Process {
			sim.execute(e, d.order)
		}
	}
	sim.delayed = rest
}

// execute applies an order as the platform specifies.
func (sim *simulation) execute(e *fakeEndpoint, o shard.Order) shard.Answer {
	if o.Token < e.token && !sim.ignoreFencing {
		return shard.AnswerFenced
	}
	e.token = o.Token
	if o.Deadline > 0 {
		at := e.began.Add(o.Deadline)
		if latest := sim.now.Add(fakeMaxLease); at.After(latest) {
			at = latest
		}
		if at.After(e.deadline) {
			e.deadline = at
		}
	}
	switch o.Kind {
	case shard.OrderHold:
		for len(e.ends) > 0 && e.ends[0].Number <= o.Acknowledged {
			sim.checkAcknowledged(e.ends[0])
			e.ends = e.ends[1:]
		}
	case shard.OrderStart:
		return sim.start(e, o)
	case shard.OrderStop:
		if r := e.running[o.Task]; r != nil && r.run <= o.Run && r.stopAt.IsZero() {
			r.stopAt = sim.now.Add(fakeStop)
		}
		if e.highest[o.Task] < o.Run && e.running[o.Task] == nil {
			e.highest[o.Task] = o.Run
		}
	}
	return shard.AnswerDone
}

// checkAcknowledged verifies that an acknowledged end is stored.
func (sim *simulation) checkAcknowledged(end shard.ListedEnd) {
	key := job.Key{Job: end.Task.Job, Occurrence: end.Task.Occurrence}
	o := sim.store.rows[key]
	if end.How == fleet.RunEndDone && (o == nil || !o.State.IsFinal() && !o.Tasks[end.Task.Step][end.Task.Task].Done && o.Tasks[end.Task.Step][end.Task.Task].Run == end.Run) {
		sim.violation("end of %s run %d is acknowledged and not stored", end.Task, end.Run)
	}
}

func (sim *simulation) start(e *fakeEndpoint, o shard.Order) shard.Answer {
	r := e.running[o.Task]
	switch {
	case sim.now.After(e.began.Add(o.Deadline)):
		return shard.AnswerLate
	case r != nil && r.run == o.Run:
		return shard.AnswerDone
	case r != nil || o.Run <= e.highest[o.Task]:
		return shard.AnswerOld
	}
	j := sim.job(o.Task.Job)
	step := j.Steps[o.Task.Step]
	used := step.CountedDemand()
	for _, other := range e.running {
		used = used.Plus(other.demand)
	}
	if !used.Fits(e.Capacity) {
		sim.violation("start of %s on %s exceeds its capacity", o.Task, e.Endpoint)
		return shard.AnswerNoRoom
	}
	sim.checkStart(e, o, step)
	e.running[o.Task] = &fakeRun{run: o.Run, began: sim.now, duration: sim.duration(o.Task), lasting: step.Lasting, demand: step.CountedDemand(), stalled: e.stall}
	return shard.AnswerDone
}

// checkStart verifies the invariants that a start could violate.
func (sim *simulation) checkStart(e *fakeEndpoint, o shard.Order, step fleet.Step) {
	for _, other := range sim.endpoints {
		if other != e && !other.dead && other.running[o.Task] != nil {
			sim.violation("%s runs on %s and %s", o.Task, other.Endpoint, e.Endpoint)
		}
	}
	if sim.doneRecorded[o.Task] {
		sim.violation("%s starts after its end was recorded", o.Task)
	}
	for _, before := range step.After {
		for t := range sim.job(o.Task.Job).Steps[before].Tasks {
			if !sim.doneRecorded[fleet.TaskID{Job: o.Task.Job, Occurrence: o.Task.Occurrence, Step: before, Task: fleet.TaskIndex(t)}] {
				sim.violation("%s starts before step %d is done", o.Task, before)
				return
			}
		}
	}
	if at, ok := sim.cancelled[o.Task.Job]; ok && sim.now.Sub(at) > 3*time.Second && sim.delayShare == 0 {
		sim.violation("%s starts long after its job was cancelled", o.Task)
	}
}

func (sim *simulation) job(id fleet.JobID) *fleet.Job {
	for _, j := range sim.jobs {
		if j.ID == id {
			return j
		}
	}
	return nil
}

func (sim *simulation) state(id fleet.JobID) fleet.JobState {
	s, _ := sim.engine.State(id)
	return s
}

// available counts the available tasks of a lasting job.
func (sim *simulation) available(id fleet.JobID) int {
	n := 0
	for _, e := range sim.endpoints {
		for task, r := range e.running {
			if !e.dead && task.Job == id && sim.now.Sub(r.began) >= fakeStartup && r.stopAt.IsZero() {
				n++
			}
		}
	}
	return n
}
