package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mimosawharf/mimosawharf/internal/admission"
	"github.com/mimosawharf/mimosawharf/internal/dispatch"
	"github.com/mimosawharf/mimosawharf/internal/request"
	"github.com/mimosawharf/mimosawharf/internal/routing"
	"github.com/mimosawharf/mimosawharf/internal/ticket"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

const (
	scheduleEntries = 4
	scheduleSteps   = 250
	scheduleAccount = fleet.ClientAccountID("newsroom")
)

// scheduleEntry is one entry of a schedule. Messages to it wait while it is paused.
type scheduleEntry struct {
	engine               *dispatch.Engine
	incarnation          fleet.Incarnation
	directory            ticket.Directory
	paused               bool
	stopping, handedOver bool
	clockOffset          time.Duration
	waiting              map[request.ReplyID]func(request.Outcome)
}

// schedule runs entries, links and endpoints in random order.
type schedule struct {
	is      *is.I
	random  *rand.Rand
	now     time.Time
	entries []*scheduleEntry
	// pending holds the messages in transit. Any of them may be delivered next, and some may be lost.
	pending  []func()
	tickets  [][]byte
	runs     map[string]int
	refused  map[string]bool
	answered int
	count    int
}

func (s *schedule) start(e *scheduleEntry, id int) {
	s.count++
	e.incarnation = fleet.Incarnation(fmt.Sprintf("incarnation-%d", s.count))
	book := &ticket.Book{
		Issuer: entryName(id), Incarnation: e.incarnation, Key: fmt.Appendf(nil, "key %d", s.count),
		Lifetime: time.Minute, MaxBytes: fleet.Bytes(500 + s.random.IntN(4000)),
	}
	queues := &admission.Queues{Capacity: 4, MaxBytes: 1 << 20}
	e.engine = dispatch.NewEngine(queues, &routing.Router{Zone: "a"}, book, 3)
	e.engine.SetView(s.now, scheduleView(), 1)
	e.paused, e.stopping, e.handedOver = false, false, false
	e.directory = ticket.Directory{Live: map[fleet.Incarnation]fleet.EntryID{}, AdoptedBy: map[fleet.Incarnation]fleet.EntryID{}}
	e.waiting = map[request.ReplyID]func(request.Outcome){}
	for i, peer := range s.entries {
		incarnation := e.incarnation
		s.pending = append(s.pending, func() { peer.directory.Live[incarnation] = entryName(id) })
		e.directory.Live[peer.incarnation] = entryName(i)
	}
}

func entryName(i int) fleet.EntryID { return fleet.EntryID(fmt.Sprint(i)) }

func scheduleView() *fleet.View {
	v := fleet.NewView()
	v.Configuration.Accounts[scheduleAccount] = fleet.ClientAccount{ID: scheduleAccount}
	v.Configuration.Services["shifts"] = fleet.Service{ID: "shifts", Pool: "desk", RequestTypes: map[fleet.RequestType]fleet.RequestTypeRule{
		"swap": {Name: "swap", Class: fleet.ClassNormal},
	}}
	for _, id := range []fleet.VMID{"vm-1", "vm-2"} {
		v.VMs[id] = fleet.VM{ID: id, Zone: "a", Pool: "desk", State: fleet.VMStateServing, Slots: 2}
	}
	return v
}

// submit presents a ticket at an entry, which runs or forwards it.
func (s *schedule) submit(e *scheduleEntry, data []byte, forwarded bool, done func(request.Outcome)) {
	holder, known := e.directory.Holder(data)
	if !forwarded && known && holder != entryName(slices.Index(s.entries, e)) {
		s.forward(s.entries[int(holder[0]-'0')], data, done)
		return
	}
	s.count++
	reply := request.ReplyID(s.count)
	e.waiting[reply] = done
	now := s.now.Add(e.clockOffset)
	e.engine.Submit(now, &request.Request{
		ID: fleet.RequestID(fmt.Sprint(s.count)), Account: scheduleAccount, Service: "shifts", Type: "swap",
		Ticket: data, Body: []byte("swap"), Deadline: now.Add(10 * time.Second),
	}, reply)
	s.execute(e)
}

// forward sends a ticket to another entry over a link that may break. A paused entry receives it later.
func (s *schedule) forward(to *scheduleEntry, data []byte, done func(request.Outcome)) {
	s.pending = append(s.pending, func() {
		switch {
		case s.random.IntN(5) == 0:
			done(request.Unknown(request.ReasonIssuerUnreachable))
		case to.paused:
			s.forward(to, data, done)
		default:
			s.submit(to, data, true, done)
		}
	})
}

// execute delivers outcomes and passes attempts to an endpoint, which runs some of them.
func (s *schedule) execute(e *scheduleEntry) {
	actions, engine := e.engine.Take(), e.engine
	for _, r := range actions.Replies {
		if done := e.waiting[r.ID]; done != nil {
			done(r.Outcome)
		}
	}
	for _, send := range actions.Sends {
		s.pending = append(s.pending, func() {
			result := s.run(string(send.Request.Ticket), send.Request.Body)
			s.pending = append(s.pending, func() {
				if e.engine == engine { // a killed entry gets no result
					engine.AttemptEnded(s.now.Add(e.clockOffset), send.Call, result)
					s.execute(e)
				}
			})
		})
	}
}

func (s *schedule) run(key string, body []byte) request.Result {
	switch s.random.IntN(6) {
	case 0:
		return request.Result{Kind: request.ResultNotRun, Refusal: request.RefusalBusy}
	case 1:
		return request.Result{Kind: request.ResultNotRun, Refusal: request.RefusalUnreachable}
	}
	s.runs[key]++
	s.check(key)
	if s.random.IntN(4) == 0 {
		return request.Result{Kind: request.ResultLost, Reason: request.ReasonConnectionLost}
	}
	return request.Result{Kind: request.ResultAnswered, Body: append([]byte("done "), body...)}
}

func (s *schedule) check(key string) {
	s.is.True(s.runs[key] <= 1)                    // at most one run per ticket
	s.is.True(!s.refused[key] || s.runs[key] == 0) // a refused ticket never runs
}

// handOver passes the tickets of an entry that has nothing in flight to a peer. The entry still gets
// requests until it is replaced.
func (s *schedule) handOver(e *scheduleEntry, id int) {
	incarnations := e.engine.HandOver()
	to := s.random.IntN(scheduleEntries)
	receiver := s.entries[to]
	if to != id && s.random.IntN(4) > 0 {
		s.pending = append(s.pending, func() {
			for _, state := range incarnations {
				if !receiver.engine.Adopt(state) {
					continue
				}
				for _, peer := range s.entries {
					s.pending = append(s.pending, func() { peer.directory.AdoptedBy[state.Incarnation] = entryName(to) })
				}
			}
		})
	}
}

func (s *schedule) step() {
	id := s.random.IntN(scheduleEntries)
	e := s.entries[id]
	switch n := s.random.IntN(100); {
	case n < 12:
		s.tickets = append(s.tickets, e.engine.IssueTickets(s.now.Add(e.clockOffset), scheduleAccount, 1)...)
	case n < 40 && len(s.tickets) > 0 && !e.paused:
		data := s.tickets[max(0, len(s.tickets)-1-s.random.IntN(12))]
		s.submit(e, data, false, func(o request.Outcome) { s.recordOutcome(string(data), o) })
	case n < 80 && len(s.pending) > 0:
		i := s.random.IntN(len(s.pending))
		deliver := s.pending[i]
		s.pending = append(s.pending[:i], s.pending[i+1:]...)
		deliver()
	case n < 84:
		s.now = s.now.Add(time.Duration(s.random.IntN(8000)) * time.Millisecond)
	case n < 86:
		e.clockOffset = time.Duration(s.random.IntN(240)-120) * time.Second // a clock step
	case n < 88:
		s.start(e, id) // killed and replaced
	case n < 90:
		e.paused = !e.paused
	case n < 93:
		e.stopping = true
		e.engine.Stop()
	case !e.paused:
		e.engine.Tick(s.now.Add(e.clockOffset))
		s.execute(e)
		if e.stopping && !e.handedOver && e.engine.InFlight() == 0 {
			e.handedOver = true
			s.handOver(e, id)
		}
	}
}

func (s *schedule) recordOutcome(key string, o request.Outcome) {
	switch o.Kind {
	case request.OutcomeNotRun:
		s.is.True(len(o.FreshTicket) > 0) // a refusal carries a fresh ticket
		s.refused[key] = true
		s.check(key)
	case request.OutcomeAnswer:
		s.answered++
		s.is.Equal(string(o.Body), "done swap") // the answer is complete
		s.is.Equal(s.runs[key], 1)
	}
}

// Guards against a ticket that runs twice, and against one that runs although it was refused, under
// kills, pauses, graceful stops, clock steps, duplicates and broken links.
func TestTicketsRunAtMostOnceOverRandomSchedules(t *testing.T) {
	answered := 0
	for seed := range *schedules {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			s := &schedule{
				is: is.New(t), random: rand.New(rand.NewPCG(uint64(seed), 1)), now: time.Unix(1e9, 0),
				runs: map[string]int{}, refused: map[string]bool{},
			}
			for i := range scheduleEntries {
				s.entries = append(s.entries, &scheduleEntry{})
				s.start(s.entries[i], i)
			}
			for range scheduleSteps {
				s.step()
			}
			answered += s.answered
		})
	}
	is.New(t).True(answered > *schedules) // the schedules reach the path that runs requests
}
