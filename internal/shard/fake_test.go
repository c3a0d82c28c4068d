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

// Timing of the fake.
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
	shard.Runner
	began    time.Time
	token    fleet.FencingToken
	deadline time.Time
	running  map[fleet.TaskID]*fakeRun
	highest  map[fleet.TaskID]fleet.RunNumber
	ends     []shard.ListedEnd
	ended    fleet.EndCursor
	held     []shard.Order
	heldAt   []time.Time

	cut     bool
	dead    bool
	failAll bool
	stall   bool
}

// fakeStore keeps what was committed.
type fakeStore struct {
	rows map[job.Key]*job.Occurrence
}

// fakeWorld plays a service: a holder's engine, its endpoints and the store, on one virtual clock.
type fakeWorld struct {
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

	commitAt   time.Time
	committing map[job.Key]*job.Occurrence
	storeDown  bool
	delayed    []delayedOrder
	lateShare  float64
	latest     map[job.Key]*job.Occurrence
	doneNoted  map[fleet.TaskID]bool
	failedRuns map[fleet.TaskID]int
	violations []string
	observer   *fakeObserver
	frozen     bool
	// listAt is when the registry is read next.
	listAt time.Time

	advicePending []pendingAdvice
	adviceCount   int

	statusLife time.Duration

	// Mechanisms that a test leaves out.
	ignoreLeases, ignoreFences, loseCommits bool
}

// pendingAdvice is a request that the advice service works on.
type pendingAdvice struct {
	at      time.Time
	request shard.AdviceRequest
}

type delayedOrder struct {
	at    time.Time
	order shard.Order
}

type fakeObserver struct{ aside map[fleet.EndpointID]int }

func (*fakeObserver) Assigned(fleet.TaskID, fleet.RunNumber, fleet.EndpointID, time.Duration) {}
func (*fakeObserver) RunEnded(fleet.TaskID, fleet.RunNumber, fleet.EndpointID, fleet.RunEnd, time.Duration) {
}
func (*fakeObserver) JobEnded(fleet.JobID, fleet.JobState, time.Duration) {}
func (*fakeObserver) Cancelled(fleet.JobID)                               {}
func (*fakeObserver) Rejected(shard.Order, shard.Answer)                  {}
func (o *fakeObserver) SetAside(at fleet.EndpointID, _ int, _ time.Duration) {
	o.aside[at]++
}
func (*fakeObserver) Reached(fleet.EndpointID)               {}
func (*fakeObserver) Replaced(fleet.EndpointID, int, string) {}

var fakeEpoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newWorld(seed uint64, endpoints int, capacity fleet.Capacity) *fakeWorld {
	w := &fakeWorld{
		now: fakeEpoch, random: rand.New(rand.NewPCG(seed, 1)), endpoints: map[fleet.EndpointID]*fakeEndpoint{},
		store: fakeStore{rows: map[job.Key]*job.Occurrence{}}, cancelled: map[fleet.JobID]time.Time{},
		duration:   func(fleet.TaskID) time.Duration { return time.Second },
		policy:     job.Policy{Queue: "queue", Service: "service", MaxAttempts: 3, Stretch: 1.6, Target: 600 * time.Millisecond},
		committing: map[job.Key]*job.Occurrence{}, latest: map[job.Key]*job.Occurrence{}, doneNoted: map[fleet.TaskID]bool{},
		failedRuns: map[fleet.TaskID]int{},
		statusLife: time.Hour,
		observer:   &fakeObserver{aside: map[fleet.EndpointID]int{}},
	}
	for i := range endpoints {
		id := fleet.EndpointID(fmt.Sprintf("endpoint-%02d", i))
		w.endpoints[id] = &fakeEndpoint{
			Runner: shard.Runner{Endpoint: id, Service: "service", Address: fleet.Address(id), Rack: fleet.RackID(fmt.Sprintf("rack-%d", i/4)), Capacity: capacity, Born: 1},
			began:  w.now, running: map[fleet.TaskID]*fakeRun{}, highest: map[fleet.TaskID]fleet.RunNumber{},
		}
	}
	w.takeOver(time.Time{})
	return w
}

// takeOver makes a new holder that knows only what the store keeps.
func (w *fakeWorld) takeOver(previousEnd time.Time) {
	w.epoch++
	w.committing, w.commitAt = map[job.Key]*job.Occurrence{}, time.Time{}
	bounds := shard.Bounds{MaxLease: fakeMaxLease, StopTime: fakeStop, StatusLife: w.statusLife}
	w.engine = shard.NewEngine("service", w.epoch, bounds, w.observer, previousEnd)
	w.engine.SetPolicies([]job.Policy{w.policy})
	w.list()
	for _, j := range w.jobs {
		w.engine.Accept(j)
	}
	for _, o := range w.store.rows {
		w.engine.Restore(w.now, clone(o))
	}
	for id := range w.cancelled {
		w.engine.Cancel(w.now, id)
	}
}

func clone(o *job.Occurrence) *job.Occurrence {
	c := job.New(o.Job, o.Number)
	c.State, c.EndedAt = o.State, o.EndedAt
	for s := range o.Tasks {
		copy(c.Tasks[s], o.Tasks[s])
	}
	c.Restored()
	return c
}

// Encode implements shard.Encoder: the value is a name, the state is kept beside it.
func (w *fakeWorld) Encode(o *job.Occurrence) ([]byte, error) {
	w.latest[o.Key()] = clone(o)
	return []byte{1}, nil
}

func (w *fakeWorld) list() {
	w.listAt = time.Time{}
	var list []shard.Runner
	for _, e := range w.endpoints {
		if !e.dead {
			list = append(list, e.Runner)
		}
	}
	sort.Slice(list, func(i, k int) bool { return list[i].Endpoint < list[k].Endpoint })
	w.engine.SetRunners(w.now, list)
}

func (w *fakeWorld) submit(j *fleet.Job) {
	j.Queue, j.Service, j.AcceptedAt = w.policy.Queue, w.policy.Service, w.now
	w.jobs = append(w.jobs, j)
	w.engine.Accept(j)
}

func (w *fakeWorld) cancel(id fleet.JobID) {
	w.cancelled[id] = w.now
	w.engine.Cancel(w.now, id)
}

// play runs the world for a while.
func (w *fakeWorld) play(d time.Duration) {
	end := w.now.Add(d)
	for w.now.Before(end) {
		w.step()
	}
}

func (w *fakeWorld) step() {
	w.now = w.now.Add(fakeTick)
	for _, e := range w.sorted() {
		w.advance(e)
	}
	w.deliverLate()
	if w.frozen {
		return
	}
	if !w.listAt.IsZero() && !w.now.Before(w.listAt) {
		w.list()
	}
	w.engine.Tick(w.now)
	w.commit()
	w.engine.Plan(w.now)
	w.commit()
	for _, o := range w.engine.Orders() {
		w.send(o)
	}
}

func (w *fakeWorld) commit() {
	if !w.commitAt.IsZero() && !w.storeDown && !w.now.Before(w.commitAt) {
		w.commitNow()
		w.commitAt = time.Time{}
		w.engine.Committed(w.now)
	}
	if !w.commitAt.IsZero() {
		return
	}
	batch, err := w.engine.NextBatch(w)
	if err != nil || batch == nil {
		return
	}
	w.committing = map[job.Key]*job.Occurrence{}
	for _, row := range batch.Rows {
		w.committing[row.Key] = nil
		if row.Value != nil {
			w.committing[row.Key] = w.latest[row.Key]
		}
	}
	w.commitAt = w.now.Add(fakeCommit)
}

// commitNow completes the transaction under way without telling the holder.
func (w *fakeWorld) commitNow() {
	for key, o := range w.committing {
		if o == nil {
			delete(w.store.rows, key)
			continue
		}
		w.noteDone(o)
		if !w.loseCommits {
			w.store.rows[key] = o
		}
	}
}

func (w *fakeWorld) noteDone(o *job.Occurrence) {
	for s := range o.Tasks {
		for t := range o.Tasks[s] {
			if o.Tasks[s][t].Done {
				w.doneNoted[o.ID(fleet.StepIndex(s), fleet.TaskIndex(t))] = true
			}
		}
	}
}

func (w *fakeWorld) sorted() []*fakeEndpoint {
	var list []*fakeEndpoint
	for _, e := range w.endpoints {
		list = append(list, e)
	}
	sort.Slice(list, func(i, k int) bool { return list[i].Endpoint < list[k].Endpoint })
	return list
}

func (w *fakeWorld) fail(format string, arguments ...any) {
	w.violations = append(w.violations, fmt.Sprintf("%v: ", w.now.Sub(fakeEpoch))+fmt.Sprintf(format, arguments...))
}

// advance ends what is due on an endpoint.
func (w *fakeWorld) advance(e *fakeEndpoint) {
	if e.dead {
		return
	}
	if !w.ignoreLeases && !e.deadline.IsZero() && w.now.After(e.deadline) {
		for id := range e.running {
			w.end(e, id, fleet.RunEndLapsed)
		}
	}
	for _, id := range e.tasks() {
		r := e.running[id]
		switch {
		case !r.stopAt.IsZero() && !w.now.Before(r.stopAt):
			w.end(e, id, fleet.RunEndStopped)
		case e.failAll && w.now.Sub(r.began) >= 50*time.Millisecond && !r.lasting:
			w.end(e, id, fleet.RunEndFailed)
		case !r.lasting && !r.stalled && w.now.Sub(r.began) >= r.duration:
			w.end(e, id, fleet.RunEndDone)
		}
	}
	w.answerHolds(e)
}

func (e *fakeEndpoint) tasks() []fleet.TaskID {
	var list []fleet.TaskID
	for id := range e.running {
		list = append(list, id)
	}
	sort.Slice(list, func(i, k int) bool { return list[i].String() < list[k].String() })
	return list
}

func (w *fakeWorld) end(e *fakeEndpoint, id fleet.TaskID, how fleet.RunEnd) {
	r := e.running[id]
	delete(e.running, id)
	if how == fleet.RunEndFailed {
		w.failedRuns[id]++
	}
	e.ended++
	e.ends = append(e.ends, shard.ListedEnd{Number: e.ended, Task: id, Run: r.run, How: how})
	if e.highest[id] < r.run {
		e.highest[id] = r.run
	}
}

// answerHolds answers the renewals that the endpoint keeps open.
func (w *fakeWorld) answerHolds(e *fakeEndpoint) {
	held, at := e.held, e.heldAt
	e.held, e.heldAt = nil, nil
	for i, o := range held {
		if len(e.ends) == 0 && w.now.Sub(at[i]) < o.Wait {
			e.held, e.heldAt = append(e.held, o), append(e.heldAt, at[i])
			continue
		}
		w.reply(e, o, shard.AnswerDone)
	}
}

func (w *fakeWorld) reply(e *fakeEndpoint, o shard.Order, answer shard.Answer) {
	r := shard.Result{Order: o, Answer: answer, Clock: w.now.Sub(e.began), Born: e.Born, SentAt: w.now}
	if e.cut {
		r = shard.Result{Order: o, Answer: shard.AnswerUnknown, SentAt: w.now}
	}
	if o.Kind == shard.OrderHold && answer == shard.AnswerDone && !e.cut {
		for _, id := range e.tasks() {
			run := e.running[id]
			progress := 100
			if !run.lasting {
				progress = int(min(100, 100*w.now.Sub(run.began)/max(1, run.duration)))
				if run.stalled {
					progress = 0
				}
			} else if w.now.Sub(run.began) < fakeStartup {
				progress = int(100 * w.now.Sub(run.began) / fakeStartup)
			}
			r.Running = append(r.Running, shard.ListedRun{Task: id, Run: run.run, Progress: progress})
		}
		r.Ends = append(r.Ends, e.ends...)
	}
	if o.Token == w.epoch && !w.frozen {
		w.engine.Apply(w.now, r)
	}
}

// send delivers an order, or lets it arrive late without an answer.
func (w *fakeWorld) send(o shard.Order) {
	e := w.endpoints[o.Process.Endpoint]
	if e == nil || e.dead || e.cut {
		w.engine.Apply(w.now, shard.Result{Order: o, Answer: shard.AnswerUnknown, SentAt: w.now})
		return
	}
	if o.Kind != shard.OrderHold && w.random.Float64() < w.lateShare {
		w.delayed = append(w.delayed, delayedOrder{w.now.Add(2*time.Second + time.Duration(w.random.IntN(8000))*time.Millisecond), o})
		w.engine.Apply(w.now, shard.Result{Order: o, Answer: shard.AnswerUnknown, SentAt: w.now})
		return
	}
	answer := w.carryOut(e, o)
	if o.Kind == shard.OrderHold && answer == shard.AnswerDone {
		e.held, e.heldAt = append(e.held, o), append(e.heldAt, w.now)
		return
	}
	w.reply(e, o, answer)
}

func (w *fakeWorld) deliverLate() {
	var rest []delayedOrder
	for _, d := range w.delayed {
		if w.now.Before(d.at) {
			rest = append(rest, d)
			continue
		}
		if e := w.endpoints[d.order.Process.Endpoint]; e != nil && !e.dead && e.Process() == d.order.Process {
			w.carryOut(e, d.order)
		}
	}
	w.delayed = rest
}

// carryOut applies an order as the platform describes it.
func (w *fakeWorld) carryOut(e *fakeEndpoint, o shard.Order) shard.Answer {
	if o.Token < e.token && !w.ignoreFences {
		return shard.AnswerFenced
	}
	e.token = o.Token
	if o.Deadline > 0 {
		at := e.began.Add(o.Deadline)
		if latest := w.now.Add(fakeMaxLease); at.After(latest) {
			at = latest
		}
		if at.After(e.deadline) {
			e.deadline = at
		}
	}
	switch o.Kind {
	case shard.OrderHold:
		for len(e.ends) > 0 && e.ends[0].Number <= o.Acknowledged {
			w.checkNoted(e.ends[0])
			e.ends = e.ends[1:]
		}
	case shard.OrderStart:
		return w.start(e, o)
	case shard.OrderStop:
		if r := e.running[o.Task]; r != nil && r.run <= o.Run && r.stopAt.IsZero() {
			r.stopAt = w.now.Add(fakeStop)
		}
		if e.highest[o.Task] < o.Run && e.running[o.Task] == nil {
			e.highest[o.Task] = o.Run
		}
	}
	return shard.AnswerDone
}

// checkNoted verifies that an acknowledged end is in the store.
func (w *fakeWorld) checkNoted(end shard.ListedEnd) {
	key := job.Key{Job: end.Task.Job, Occurrence: end.Task.Occurrence}
	o := w.store.rows[key]
	if end.How == fleet.RunEndDone && (o == nil || !o.State.Ended() && !o.Tasks[end.Task.Step][end.Task.Task].Done && o.Tasks[end.Task.Step][end.Task.Task].Run == end.Run) {
		w.fail("end of %s run %d is acknowledged and not stored", end.Task, end.Run)
	}
}

func (w *fakeWorld) start(e *fakeEndpoint, o shard.Order) shard.Answer {
	r := e.running[o.Task]
	switch {
	case w.now.After(e.began.Add(o.Deadline)):
		return shard.AnswerLate
	case r != nil && r.run == o.Run:
		return shard.AnswerDone
	case r != nil || o.Run <= e.highest[o.Task]:
		return shard.AnswerOld
	}
	j := w.job(o.Task.Job)
	step := j.Steps[o.Task.Step]
	used := step.Counted()
	for _, other := range e.running {
		used = used.Plus(other.demand)
	}
	if !used.Fits(e.Capacity) {
		w.fail("start of %s on %s exceeds its capacity", o.Task, e.Endpoint)
		return shard.AnswerNoRoom
	}
	w.checkStart(e, o, step)
	e.running[o.Task] = &fakeRun{run: o.Run, began: w.now, duration: w.duration(o.Task), lasting: step.Lasting, demand: step.Counted(), stalled: e.stall}
	return shard.AnswerDone
}

// checkStart verifies the promises that a start could break.
func (w *fakeWorld) checkStart(e *fakeEndpoint, o shard.Order, step fleet.Step) {
	for _, other := range w.endpoints {
		if other != e && !other.dead && other.running[o.Task] != nil {
			w.fail("%s runs on %s and %s", o.Task, other.Endpoint, e.Endpoint)
		}
	}
	if w.doneNoted[o.Task] {
		w.fail("%s starts after its end was noted", o.Task)
	}
	for _, before := range step.After {
		for t := range w.job(o.Task.Job).Steps[before].Tasks {
			if !w.doneNoted[fleet.TaskID{Job: o.Task.Job, Occurrence: o.Task.Occurrence, Step: before, Task: fleet.TaskIndex(t)}] {
				w.fail("%s starts before step %d is done", o.Task, before)
				return
			}
		}
	}
	if at, ok := w.cancelled[o.Task.Job]; ok && w.now.Sub(at) > 3*time.Second && w.lateShare == 0 {
		w.fail("%s starts long after its job was cancelled", o.Task)
	}
}

func (w *fakeWorld) job(id fleet.JobID) *fleet.Job {
	for _, j := range w.jobs {
		if j.ID == id {
			return j
		}
	}
	return nil
}

func (w *fakeWorld) state(id fleet.JobID) fleet.JobState {
	s, _ := w.engine.State(id)
	return s
}

// atWork counts the tasks of a lasting job that are at work.
func (w *fakeWorld) atWork(id fleet.JobID) int {
	n := 0
	for _, e := range w.endpoints {
		for task, r := range e.running {
			if !e.dead && task.Job == id && w.now.Sub(r.began) >= fakeStartup && r.stopAt.IsZero() {
				n++
			}
		}
	}
	return n
}
