package shard_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
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
	// fakeStartMillis is the start time of the first process of an endpoint.
	fakeStartMillis = 1
	// fakeSlowLimit is the exclusive upper bound of the percentage by which an endpoint's clock is slow.
	fakeSlowLimit = 3
)

// fakeStore holds the committed rows.
type fakeStore struct {
	rows      map[job.Key]*job.Occurrence
	schedules map[fleet.JobID]job.Schedule
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

	commitAt       time.Time
	committing     []shard.RowKey
	removing       map[shard.RowKey]bool
	storeDown      bool
	delayedOrders  []delayedOrder
	delayedAnswers []delayedAnswer
	networkFaults
	// clocks chooses the clocks of endpoint processes.
	clocks         *rand.Rand
	latest         map[job.Key]*job.Occurrence
	latestSchedule map[fleet.JobID]job.Schedule
	doneRecorded   map[fleet.TaskID]bool
	// doneAcknowledged holds the tasks of which a holder has taken note that they are done, startedAt when each
	// task last started.
	doneAcknowledged map[fleet.TaskID]bool
	startedAt        map[fleet.TaskID]time.Time
	failedRuns       map[fleet.TaskID]int
	violations       []string
	// trace, if set, is passed what happens.
	trace    func(string)
	observer *fakeObserver
	frozen   bool
	// intercept, if set, returns whether it takes an order over before it is sent.
	intercept func(shard.Order) bool
	// loading is set while the holder does not know the jobs and their progress yet.
	loading bool

	advicePending []pendingAdvice
	adviceCount   int

	// batched, if set, is passed each batch, and encode replaces the placeholders that rows are encoded as.
	batched func(*shard.Batch)
	encode  func(*job.Occurrence) ([][]byte, error)

	statusRetention time.Duration
	// farFactor is how many times as long a task runs away from its data.
	farFactor float64

	// stored is what the next holder learns of leases, renewing what a renewal of the service's lease stores at renewalAt.
	stored, renewing     shard.Inheritance
	renewedAt, renewalAt time.Time

	// Mechanisms that a test disables.
	ignoreLeases, ignoreFencing, loseCommits bool
}

// pendingAdvice is a request that the advice service has not answered yet.
type pendingAdvice struct {
	at      time.Time
	request shard.AdviceRequest
}

var fakeEpoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newSimulation(seed uint64, endpoints int, capacity fleet.Capacity) *simulation {
	sim := &simulation{
		now: fakeEpoch, random: rand.New(rand.NewPCG(seed, 1)), endpoints: map[fleet.EndpointID]*fakeEndpoint{},
		store: fakeStore{rows: map[job.Key]*job.Occurrence{}, schedules: map[fleet.JobID]job.Schedule{}}, cancelled: map[fleet.JobID]time.Time{},
		duration: func(fleet.TaskID) time.Duration { return time.Second },
		policy:   job.Policy{Queue: "queue", Service: "service", MaxAttempts: 3, Stretch: 1.6, Target: 600 * time.Millisecond},
		latest:   map[job.Key]*job.Occurrence{}, latestSchedule: map[fleet.JobID]job.Schedule{}, doneRecorded: map[fleet.TaskID]bool{},
		failedRuns:       map[fleet.TaskID]int{},
		doneAcknowledged: map[fleet.TaskID]bool{}, startedAt: map[fleet.TaskID]time.Time{},
		clocks:          rand.New(rand.NewPCG(seed, 3)),
		statusRetention: time.Hour,
		observer:        &fakeObserver{ejections: map[fleet.EndpointID]int{}},
	}
	for i := range endpoints {
		id := fleet.EndpointID(fmt.Sprintf("endpoint-%02d", i))
		sim.endpoints[id] = &fakeEndpoint{
			EndpointInfo: shard.EndpointInfo{Endpoint: id, Service: "service", Address: fleet.Address(id), Rack: fleet.RackID(fmt.Sprintf("rack-%d", i/4)), Capacity: capacity, StartMillis: fakeStartMillis},
			clockStart:   time.Second + time.Duration(sim.clocks.Int64N(int64(fakeClockRange))), slow: sim.clocks.IntN(fakeSlowLimit),
			began: sim.now, running: map[fleet.TaskID]*fakeRun{}, highest: map[fleet.TaskID]fleet.RunNumber{},
		}
	}
	sim.takeOver(shard.Inheritance{})
	return sim
}

// takeOver starts a new holder that knows only what is stored.
func (sim *simulation) takeOver(inherited shard.Inheritance) {
	sim.epoch += shard.EpochStep
	sim.committing, sim.commitAt = nil, time.Time{}
	bounds := shard.Bounds{MaxLease: fakeMaxLease, StopTime: fakeStop, StatusRetention: sim.statusRetention, FarFactor: sim.farFactor}
	sim.engine = shard.NewEngine("service", sim.epoch, bounds, sim.observer, inherited, sim.now.Add(fakeValidity))
	sim.stored, sim.renewedAt, sim.renewalAt = inherited, sim.now, time.Time{}
	sim.engine.SetPolicies([]job.Policy{sim.policy})
	sim.list()
	if !sim.loading {
		sim.load()
	}
}

// load passes the holder what is stored.
func (sim *simulation) load() {
	for _, j := range sim.jobs {
		sim.engine.Accept(j)
	}
	for _, j := range sim.jobs {
		if s, ok := sim.store.schedules[j.ID]; ok {
			s.Ended = slices.Clone(s.Ended)
			sim.engine.RestoreSchedule(j.ID, s)
		}
		for k := range j.OccurrenceCount() {
			if o := sim.store.rows[job.Key{Job: j.ID, Occurrence: fleet.Occurrence(k)}]; o != nil {
				sim.engine.Restore(sim.now, clone(o))
			}
		}
	}
	for _, j := range sim.jobs {
		if _, ok := sim.cancelled[j.ID]; ok {
			sim.engine.Cancel(sim.now, j.ID)
		}
	}
	sim.engine.Loaded(sim.now)
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

// Encode implements shard.Encoder. The values are placeholders; the state is kept in latest.
func (sim *simulation) Encode(o *job.Occurrence) ([][]byte, error) {
	sim.latest[o.Key()] = clone(o)
	if sim.encode != nil {
		return sim.encode(o)
	}
	values := [][]byte{{1}}
	for range o.Parts() {
		values = append(values, []byte{1})
	}
	return values, nil
}

// EncodeSchedule implements shard.Encoder.
func (sim *simulation) EncodeSchedule(id fleet.JobID, s job.Schedule) ([]byte, error) {
	s.Ended = slices.Clone(s.Ended)
	sim.latestSchedule[id] = s
	return []byte{1}, nil
}

func (sim *simulation) submit(j *fleet.Job) {
	sim.policy.Admit(j, sim.now)
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
	sim.advanceRegistry()
	if sim.frozen {
		return
	}
	sim.renew()
	if sim.loading {
		sim.engine.Renew(sim.now)
	} else {
		sim.engine.Tick(sim.now)
		sim.commit()
		sim.engine.Plan(sim.now)
		sim.commit()
	}
	orders := sim.engine.Orders()
	// Orders for different tasks may be sent in any order; sorted, they make a schedule repeatable.
	slices.SortStableFunc(orders, func(a, b shard.Order) int {
		return cmp.Or(cmp.Compare(a.Process.Endpoint, b.Process.Endpoint), cmp.Compare(a.Task.String(), b.Task.String()))
	})
	for _, o := range orders {
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
	if sim.batched != nil {
		sim.batched(batch)
	}
	sim.committing, sim.removing = nil, map[shard.RowKey]bool{}
	for _, row := range batch.Rows {
		sim.committing = append(sim.committing, row.Key)
		sim.removing[row.Key] = row.Value == nil
	}
	sim.commitAt = sim.now.Add(fakeCommit)
}

// commitNow completes the pending transaction without notifying the holder.
func (sim *simulation) commitNow() {
	for _, row := range sim.committing {
		key := job.Key{Job: row.Job, Occurrence: row.Occurrence}
		switch {
		case row.Part > 0: // The state is kept with the occurrence.
		case row.IsSchedule && sim.removing[row]:
			delete(sim.store.schedules, row.Job)
		case row.IsSchedule:
			sim.store.schedules[row.Job] = sim.latestSchedule[row.Job]
		case sim.removing[row]:
			delete(sim.store.rows, key)
		default:
			sim.recordDone(sim.latest[key])
			if !sim.loseCommits {
				sim.store.rows[key] = sim.latest[key]
			}
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
