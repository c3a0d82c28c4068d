package shard_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mimosawharf/mimosawharf/internal/job"
	"github.com/mimosawharf/mimosawharf/internal/shard"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

var kindSchedules = flag.Int("kind-schedules", 300, "how many random schedules of an endpoint of changing kinds are run")

// kindEvent is one thing that happens between a holder and an endpoint whose processes are of changing kinds.
type kindEvent string

const (
	kindRestarts     kindEvent = "endpoint restarts with another kind"
	kindRow          kindEvent = "row"
	kindOldRow       kindEvent = "row of the process before"
	kindNamelessRow  kindEvent = "row without a start time"
	kindNoRow        kindEvent = "row removed"
	kindRenewal      kindEvent = "renewal"
	kindList         kindEvent = "list"
	kindNamelessList kindEvent = "list without a start time"
	kindDecision     kindEvent = "decision"
	kindCommit       kindEvent = "commit"
	kindSend         kindEvent = "send"
	kindAnswer       kindEvent = "answer"
	kindNoAnswer     kindEvent = "no answer"
	kindTakeover     kindEvent = "takeover"
)

// kindSite is a holder and one endpoint. All that happens are its events: there is no network and no time of day.
type kindSite struct {
	now       time.Time
	epoch     fleet.FencingToken
	engine    *shard.Engine
	processes []shard.EndpointInfo // the last one is at work
	row       *shard.EndpointInfo
	jobs      []*fleet.Job
	renewals  []shard.Order
	starts    []shard.Order
	delivered []shard.Order
	started   int
	// hasNameless is set once the holder has read a row without a start time, by which it may take the labels of the next
	// process for those of one that is no more.
	hasNameless bool
	// isNamed is set once a list or a row has named a process to the holder. Until then nothing tells whose row one
	// without a start time is, so there is none.
	isNamed bool
	broken  string
}

func newKindSite() *kindSite {
	s := &kindSite{now: fakeEpoch}
	s.processes = []shard.EndpointInfo{{Endpoint: "e", Service: "service", Address: "e", Rack: "r", Labels: []fleet.Label{specialLabel}, Capacity: worker64, StartMillis: 1000}}
	s.takeOver()
	return s
}

func (s *kindSite) process() shard.EndpointInfo { return s.processes[len(s.processes)-1] }

// takeOver starts a holder that knows the registry's row and the jobs, but no runs.
func (s *kindSite) takeOver() {
	s.epoch += shard.EpochStep
	s.renewals, s.starts, s.delivered, s.hasNameless, s.isNamed = nil, nil, nil, false, false
	observer := &fakeObserver{ejections: map[fleet.EndpointID]int{}}
	s.engine = shard.NewEngine("service", s.epoch, shard.Bounds{MaxLease: shard.LeaseLength, StopTime: fakeStop}, observer, shard.Inheritance{}, s.now.Add(time.Hour))
	s.engine.SetPolicies([]job.Policy{{Queue: "queue", Service: "service", MaxAttempts: 9, Stretch: 2}})
	s.setRow(s.row)
	s.engine.Loaded(s.now)
}

func (s *kindSite) setRow(row *shard.EndpointInfo) {
	s.row = row
	var list []shard.EndpointInfo
	if row != nil {
		list = append(list, *row)
		s.hasNameless = s.hasNameless || row.StartMillis == 0
		s.isNamed = s.isNamed || row.StartMillis != 0
	}
	s.engine.SetEndpoints(s.now, list)
}

// Encode implements shard.Encoder.
func (*kindSite) Encode(*job.Occurrence) ([][]byte, error) { return [][]byte{{1}}, nil }

// EncodeSchedule implements shard.Encoder.
func (*kindSite) EncodeSchedule(fleet.JobID, job.Schedule) ([]byte, error) { return []byte{1}, nil }

// apply brings one event about. A start reaches the endpoint only if it names the process at work.
func (s *kindSite) apply(event kindEvent) {
	s.now = s.now.Add(30 * time.Millisecond)
	p := s.process()
	switch event {
	case kindRestarts:
		next := p
		next.StartMillis = 1000 - next.StartMillis%7 + int64(len(s.processes)%2)*500 // also lower than before
		for slices.ContainsFunc(s.processes, func(old shard.EndpointInfo) bool { return old.StartMillis == next.StartMillis }) {
			next.StartMillis++
		}
		next.Labels = []fleet.Label{specialLabel}
		if p.Labels[0] == specialLabel {
			next.Labels = []fleet.Label{"other"}
		}
		s.processes = append(s.processes, next)
		for _, o := range s.renewals {
			s.engine.Apply(s.now, shard.Result{Order: o, Answer: shard.AnswerUnknown, SentAt: s.now})
		}
		s.renewals, s.delivered = nil, nil
	case kindRow:
		s.setRow(&p)
	case kindOldRow:
		s.setRow(&s.processes[max(0, len(s.processes)-2)])
	case kindNamelessRow:
		if s.isNamed {
			p.StartMillis = 0
			s.setRow(&p)
		}
	case kindNoRow:
		s.setRow(nil)
	case kindRenewal:
		s.engine.Tick(s.now)
	case kindList, kindNamelessList:
		s.list(event == kindList)
	case kindDecision:
		j := specialJob(fleet.JobID(fmt.Sprint(len(s.jobs))), 1, 100)
		job.Policy{Queue: "queue", Service: "service", MaxAttempts: 9}.Admit(j, s.now)
		s.jobs = append(s.jobs, j)
		s.engine.Accept(j)
		s.engine.Plan(s.now)
	case kindCommit:
		if _, err := s.engine.NextBatch(s); err == nil {
			s.engine.Committed(s.now)
		}
	case kindSend:
		s.send()
	case kindAnswer, kindNoAnswer:
		s.answer(event == kindAnswer)
	case kindTakeover:
		if s.row == nil || s.row.StartMillis != 0 {
			s.takeOver()
		}
	}
	for _, o := range s.engine.Orders() {
		switch o.Kind {
		case shard.OrderHold:
			s.renewals = append(s.renewals, o)
		case shard.OrderStart:
			s.starts = append(s.starts, o)
			if !s.hasNameless {
				s.check(o)
			}
		}
	}
}

// check reports a start that names a process without the label that the task needs.
func (s *kindSite) check(o shard.Order) {
	for _, p := range s.processes {
		if p.Process() == o.Process && !slices.Contains(p.Labels, specialLabel) {
			s.broken = fmt.Sprintf("%s is to start on the process of %d, whose label is %s", o.Task, p.StartMillis, p.Labels[0])
		}
	}
}

func (s *kindSite) list(isNamed bool) {
	if len(s.renewals) == 0 {
		return
	}
	o := s.renewals[0]
	s.renewals = s.renewals[1:]
	r := shard.Result{Order: o, Answer: shard.AnswerDone, Clock: time.Minute + s.now.Sub(fakeEpoch), SentAt: s.now}
	if isNamed {
		r.StartMillis, s.isNamed = s.process().StartMillis, true
	}
	for _, d := range s.delivered {
		r.Running = append(r.Running, shard.ListedRun{Task: d.Task, Run: d.Run})
	}
	s.engine.Apply(s.now, r)
}

func (s *kindSite) send() {
	starts := s.starts
	s.starts = nil
	for _, o := range starts {
		if o.Process != s.process().Process() {
			s.engine.Apply(s.now, shard.Result{Order: o, Answer: shard.AnswerUnsent, SentAt: s.now})
			continue
		}
		s.check(o)
		s.delivered = append(s.delivered, o)
		s.started++
	}
}

func (s *kindSite) answer(arrives bool) {
	if len(s.delivered) == 0 {
		return
	}
	r := shard.Result{Order: s.delivered[len(s.delivered)-1], Answer: shard.AnswerUnknown, SentAt: s.now}
	if arrives {
		r.Answer, r.Clock = shard.AnswerDone, time.Minute+s.now.Sub(fakeEpoch)
	}
	s.engine.Apply(s.now, r)
}

// kindRound is what happens again and again to an endpoint without a fault.
var kindRound = []kindEvent{kindRow, kindRenewal, kindList, kindDecision, kindCommit, kindSend, kindAnswer}

// settle restarts the endpoint until it has specialLabel and returns whether a task starts on it then.
func (s *kindSite) settle() bool {
	if s.process().Labels[0] != specialLabel {
		s.apply(kindRestarts)
	}
	before := s.started
	for range 40 {
		for _, event := range kindRound {
			s.apply(event)
		}
	}
	return s.started > before
}

// Guards against a start that names a process without the label that its task needs, in each order in which the
// endpoint's row, renewal and list and the task's decision, commit, start and answer follow a restart.
func TestNoOrderOfEventsMisplacesStart(t *testing.T) {
	is := is.New(t)
	var play func(first []kindEvent, taken, rest []kindEvent)
	play = func(first []kindEvent, taken, rest []kindEvent) {
		if len(rest) == 0 {
			s := newKindSite()
			for _, event := range slices.Concat(first, taken, []kindEvent{kindDecision, kindCommit, kindSend}) {
				s.apply(event)
			}
			if s.broken != "" {
				t.Fatalf("%v, then %v: %s", first, taken, s.broken)
			}
			return
		}
		for n := range rest {
			play(first, append(slices.Clip(taken), rest[n]), append(slices.Clone(rest[:n]), rest[n+1:]...))
		}
	}
	known := []kindEvent{kindRow, kindRenewal, kindList, kindDecision, kindCommit}
	nameless := append(slices.Clone(known), kindNamelessRow)
	for _, first := range [][]kindEvent{known, nameless} {
		play(append(slices.Clone(first), kindRestarts), nil, append(slices.Clone(kindRound), kindList))
		play(append(slices.Clone(first), kindRestarts), nil, []kindEvent{kindOldRow, kindRenewal, kindList, kindList, kindDecision, kindCommit, kindTakeover})
	}
	s := newKindSite()
	is.True(s.settle())
}

// Guards against the same over random events, and against an endpoint that is left out once the events are over.
func TestNoRandomEventsMisplaceStarts(t *testing.T) {
	events := append([]kindEvent{kindRestarts, kindOldRow, kindNamelessRow, kindNoRow, kindNamelessList, kindNoAnswer, kindTakeover, kindList, kindRenewal, kindDecision, kindCommit}, kindRound...)
	for seed := range uint64(*kindSchedules) {
		is := is.New(t)
		random := rand.New(rand.NewPCG(seed, 11))
		s, played := newKindSite(), []kindEvent{}
		for range 80 {
			played = append(played, events[random.IntN(len(events))])
			s.apply(played[len(played)-1])
			if s.broken != "" {
				t.Fatalf("seed %d: %s, after %v", seed, s.broken, played)
			}
		}
		is.True(s.settle()) // the endpoint is used again
		is.Equal(s.broken, "")
	}
}
