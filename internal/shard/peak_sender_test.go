package shard_test

import (
	"time"

	"github.com/mimosawharf/mimosawharf/internal/shard"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// peakSender sends the orders to one endpoint one by one, as the sender of package holder does.
type peakSender struct {
	queue []peakOrder
	busy  bool
}

type peakOrder struct {
	order shard.Order
	at    time.Time
}

// Processor time of a sender on a whole core.
const (
	costSend    = 150 * time.Microsecond
	costReceive = 100 * time.Microsecond
	costStale   = 10 * time.Microsecond
)

// peakCounts counts what the engine reports.
type peakCounts struct {
	fakeObserver
	assigned, ended, jobs, stale int
	// inTime counts the jobs that ended within three seconds.
	inTime, rows int
	lost         map[shard.LossReason]int
	// jobEnded, if set, is called with each job that ended and the time since it was due.
	jobEnded func(id fleet.JobID, after time.Duration)
}

func (c *peakCounts) Assigned(fleet.TaskID, fleet.RunNumber, fleet.EndpointProcess, time.Duration) {
	c.assigned++
}

func (c *peakCounts) RunEnded(_ fleet.TaskID, _ fleet.RunNumber, _ fleet.EndpointProcess, how fleet.RunEnd, _ time.Duration) {
	if how == fleet.RunEndDone {
		c.ended++
	}
}

func (c *peakCounts) JobEnded(id fleet.JobID, _ fleet.JobState, after time.Duration) {
	c.jobs++
	if c.jobEnded != nil {
		c.jobEnded(id, after)
	}
	if after < 3*time.Second {
		c.inTime++
	}
}

func (*peakCounts) Rejected(shard.Order, shard.Answer, time.Duration) {}

func (c *peakCounts) RunLost(loss shard.Loss) {
	if c.lost == nil {
		c.lost = map[shard.LossReason]int{}
	}
	c.lost[loss.Reason]++
}

// send queues an order for its endpoint.
func (p *peak) send(o shard.Order) {
	e := p.byID[o.Process.Endpoint]
	s := &e.orders
	if o.Kind == shard.OrderHold {
		s = &e.holds
	}
	s.queue = append(s.queue, peakOrder{o, p.now})
	if !s.busy {
		s.busy = true
		p.callNext(e, s)
	}
}

// callNext has a sender send its next order.
func (p *peak) callNext(e *peakEndpoint, s *peakSender) {
	if len(s.queue) == 0 {
		s.busy = false
		return
	}
	next := s.queue[0]
	s.queue = s.queue[1:]
	p.schedule(func() {
		if next.order.Kind == shard.OrderStart && p.now.Sub(next.at) > peakStartAge {
			p.take(costStale)
			p.counts.stale++
			p.report(shard.Result{Order: next.order, Answer: shard.AnswerUnsent, SentAt: p.now, Stale: true})
			p.callNext(e, s)
			return
		}
		p.take(costSend)
		p.after(peakTransit, func() { p.receive(e, next.order) })
	})
}

// reply has an answer arrive at the sender that waits for it.
func (p *peak) reply(e *peakEndpoint, r shard.Result) {
	r.SentAt = p.now.Add(-peakTransit)
	s := &e.orders
	if r.Order.Kind == shard.OrderHold {
		s = &e.holds
	}
	p.after(peakTransit, func() {
		p.schedule(func() {
			p.take(costReceive)
			p.report(r)
			p.callNext(e, s)
		})
	})
}

func (p *peak) report(r shard.Result) { p.inbox = append(p.inbox, peakMessage{result: &r}) }

func (p *peak) schedule(do func()) {
	if p.senders == nil {
		do()
		return
	}
	p.senders(do)
}

func (p *peak) take(d time.Duration) {
	if p.spend != nil {
		p.spend(d)
	}
}
