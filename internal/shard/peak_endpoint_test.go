package shard_test

import (
	"time"

	"github.com/mimosawharf/mimosawharf/internal/shard"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// peakEndpoint is an endpoint without faults. Its clock starts at peakClockStart.
type peakEndpoint struct {
	info     shard.EndpointInfo
	running  map[fleet.TaskID]fleet.RunNumber
	highest  map[fleet.TaskID]fleet.RunNumber
	deadline time.Duration
	ends     []shard.ListedEnd
	ended    fleet.EndCursor
	// held is the renewal that waits for an end; nil when none does.
	held *shard.Order
	// lapsed counts runs that ended because their lease expired.
	lapsed int
	orders peakSender
	holds  peakSender
}

const peakClockStart = time.Minute

func (e *peakEndpoint) clock(now time.Time) time.Duration { return peakClockStart + now.Sub(fakeEpoch) }

// receive carries out an order that arrives at an endpoint.
func (p *peak) receive(e *peakEndpoint, o shard.Order) {
	p.lapse(e)
	if o.Deadline > 0 {
		e.deadline = max(e.deadline, o.Deadline)
	}
	switch o.Kind {
	case shard.OrderHold:
		for len(e.ends) > 0 && e.ends[0].Number <= o.Acknowledged {
			e.ends = e.ends[1:]
		}
		if len(e.ends) > 0 || o.Wait == 0 {
			p.list(e, o)
			return
		}
		e.held = &o
		p.after(o.Wait, func() {
			if e.held == &o {
				p.list(e, o)
			}
		})
	case shard.OrderStart:
		p.reply(e, shard.Result{Order: o, Answer: p.start(e, o), Clock: e.clock(p.now)})
	case shard.OrderStop:
		if run, ok := e.running[o.Task]; ok && run <= o.Run {
			p.after(fakeStop, func() { p.endRun(e, o.Task, run, fleet.RunEndStopped) })
		}
		e.highest[o.Task] = max(e.highest[o.Task], o.Run)
		p.reply(e, shard.Result{Order: o, Answer: shard.AnswerDone, Clock: e.clock(p.now)})
	}
}

func (p *peak) start(e *peakEndpoint, o shard.Order) shard.Answer {
	_, running := e.running[o.Task]
	switch {
	case e.clock(p.now) > o.Deadline:
		return shard.AnswerLate
	case running || o.Run <= e.highest[o.Task]:
		return shard.AnswerOld
	}
	e.running[o.Task], e.highest[o.Task] = o.Run, o.Run
	p.started++
	if o.Task.Job == peakLasting {
		if _, known := p.lastingAt[o.Task]; !known {
			p.lastingAt[o.Task] = p.now
		}
		return shard.AnswerDone
	}
	run, took := o.Run, p.runTime()
	if p.took != nil {
		p.took(o.Task, took)
	}
	p.after(took, func() {
		p.lapse(e)
		p.endRun(e, o.Task, run, fleet.RunEndDone)
	})
	return shard.AnswerDone
}

// lapse ends the runs of an endpoint whose lease has expired.
func (p *peak) lapse(e *peakEndpoint) {
	if len(e.running) == 0 || e.clock(p.now) <= e.deadline {
		return
	}
	for id, run := range e.running {
		e.lapsed++
		p.endRun(e, id, run, fleet.RunEndLapsed)
	}
}

func (p *peak) endRun(e *peakEndpoint, id fleet.TaskID, run fleet.RunNumber, how fleet.RunEnd) {
	if e.running[id] != run {
		return
	}
	delete(e.running, id)
	e.ended++
	e.ends = append(e.ends, shard.ListedEnd{Number: e.ended, Task: id, Run: run, How: how})
	if e.held != nil {
		p.list(e, *e.held)
	}
}

// list answers a renewal.
func (p *peak) list(e *peakEndpoint, o shard.Order) {
	e.held = nil
	r := shard.Result{Order: o, Answer: shard.AnswerDone, Clock: e.clock(p.now), StartMillis: e.info.StartMillis}
	for id, run := range e.running {
		progress := 50
		if id.Job == peakLasting {
			progress = 100
		}
		r.Running = append(r.Running, shard.ListedRun{Task: id, Run: run, Progress: progress, Load: 8000})
	}
	r.Ends = append(r.Ends, e.ends...)
	p.reply(e, r)
}
