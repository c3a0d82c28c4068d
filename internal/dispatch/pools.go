package dispatch

import (
	"math"
	"time"

	"github.com/mimosawharf/mimosawharf/internal/admission"
	"github.com/mimosawharf/mimosawharf/internal/request"
	"github.com/mimosawharf/mimosawharf/internal/routing"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// poolState is the scheduling state of one pool.
type poolState struct {
	id       fleet.PoolID
	services []fleet.ServiceID
	// first is the index of the service that is tried first. It rotates, so that no service always goes
	// first.
	first int
	// The long calls in flight. Pinned calls cannot be checkpointed; throttled calls are pinned ones that
	// were asked to run slower.
	checkpointable, pinned, throttled callSet
	// checkpointing counts the long calls that were asked to checkpoint.
	checkpointing int
	// credit is the slot time that long work is owed from its guaranteed share; it is negative
	// after long work has used more.
	credit   time.Duration
	creditAt time.Time
	// yieldUntil is when long work stops leaving free slots to the short work of peers.
	yieldUntil time.Time
	// owed is set when long work lags behind its share by LongLag. It then goes before short work until
	// it has caught up.
	owed bool
	// loanRequests holds the loan requests of peers; reported is how much waiting short work the last
	// report showed.
	loanRequests map[fleet.EntryID]loanRequest
	reported     int
}

// long returns how many long calls are in flight.
func (p *poolState) long() int {
	return len(p.checkpointable.calls) + len(p.pinned.calls) + len(p.throttled.calls) + p.checkpointing
}

// callSet is an unordered set of calls that store their index in it.
type callSet struct{ calls []*call }

func (s *callSet) add(c *call) {
	c.set, c.index = s, len(s.calls)
	s.calls = append(s.calls, c)
}

func (s *callSet) remove(c *call) {
	last := len(s.calls) - 1
	s.calls[c.index] = s.calls[last]
	s.calls[c.index].index = c.index
	s.calls = s.calls[:last]
	c.set = nil
}

// addLong counts a call as long.
func (p *poolState) addLong(c *call) {
	c.attempt.Long = true
	if c.work.Request.Checkpointable {
		p.checkpointable.add(c)
	} else {
		p.pinned.add(c)
	}
}

// removeLong removes a long call that ended.
func (p *poolState) removeLong(c *call) {
	switch {
	case !c.attempt.Long:
	case c.set != nil:
		c.set.remove(c)
	default:
		p.checkpointing--
	}
}

// dispatchPool sends queued work of a pool to its endpoints while they have free slots.
func (e *Engine) dispatchPool(now time.Time, p *poolState) {
	if p == nil {
		return
	}
	e.accrue(now, p)
	for sent := true; sent && len(e.calls) < e.MaxCalls; {
		sent = e.dispatchNext(now, p)
	}
	e.makeRoom(p)
	e.updateLoans(now, p)
	if e.waitingIn(p, fleet.Classes()...) > 0 {
		e.waiting[p.id] = p
	} else {
		delete(e.waiting, p.id)
	}
}

// dispatchNext sends one request. Long work goes first while it is owed its share, and otherwise
// uses only slots that no short work waits for.
func (e *Engine) dispatchNext(now time.Time, p *poolState) bool {
	if p.owed && p.long() < e.guaranteed(p) && e.dispatchLong(now, p) {
		return true
	}
	if e.shortWaiting(p) > 0 {
		return e.dispatchShort(now, p)
	}
	if now.Before(p.yieldUntil) {
		return false
	}
	return e.dispatchLong(now, p)
}

func (e *Engine) dispatchShort(now time.Time, p *poolState) bool {
	for _, urgent := range []bool{true, false} {
		for i := range p.services {
			id := p.services[(p.first+i)%len(p.services)]
			lane, ok := e.Queues.NextShort(id)
			if ok && (!urgent || lane == admission.LaneUrgent) && e.dispatchHead(now, p, id, lane) {
				p.first = (p.first + i + 1) % len(p.services)
				return true
			}
		}
	}
	return false
}

// dispatchLong sends a long request. Beyond the guaranteed share only work that can be checkpointed is
// sent, because it can be preempted when short work arrives.
func (e *Engine) dispatchLong(now time.Time, p *poolState) bool {
	lanes := []admission.Lane{admission.LaneLong}
	if len(p.pinned.calls)+len(p.throttled.calls) < e.guaranteed(p) {
		lanes = []admission.Lane{admission.LanePinned, admission.LaneLong}
	}
	for i := range p.services {
		id := p.services[(p.first+i)%len(p.services)]
		for _, lane := range lanes {
			if e.Queues.Peek(id, lane) != nil && e.dispatchHead(now, p, id, lane) {
				return true
			}
		}
	}
	return false
}

// dispatchHead sends the request that is due in a queue, or delays it by tickInterval when only endpoints
// that it has tried have room. It returns false when no endpoint has room.
func (e *Engine) dispatchHead(now time.Time, p *poolState, id fleet.ServiceID, lane admission.Lane) bool {
	w := e.Queues.Peek(id, lane)
	attempt := routing.Attempt{Long: lane.Class == fleet.ClassLong, Expected: w.Expected, Tried: w.Tried, Wait: e.ownZoneWait(p)}
	target, ok := e.Router.Pick(p.id, attempt)
	if ok {
		e.Queues.Pop(id, lane)
		e.send(now, w, target, attempt)
		return true
	}
	if len(w.Tried) == 0 {
		return false
	}
	if !e.Router.HasUntried(p.id, w.Tried) {
		e.Queues.Remove(w)
		e.endQueued(w, request.ReasonRetriesExhausted)
		return true
	}
	attempt.Tried = nil
	if _, ok = e.Router.Pick(p.id, attempt); ok {
		e.Queues.Remove(w)
		e.retryAt(w, now.Add(tickInterval))
	}
	return ok
}

// ownZoneWait returns how long the queued short work of a pool is expected to keep the entry's slots in
// its own zone busy. It is unbounded when there are no such slots.
func (e *Engine) ownZoneWait(p *poolState) time.Duration {
	var backlog time.Duration
	for _, id := range p.services {
		backlog += e.Queues.Backlog(id)
	}
	slots := e.Router.OwnSlots(p.id)
	if slots == 0 {
		return math.MaxInt64
	}
	return backlog / time.Duration(slots)
}

// shortWaiting counts the queued short requests of a pool.
func (e *Engine) shortWaiting(p *poolState) int {
	return e.waitingIn(p, fleet.ClassUrgent, fleet.ClassNormal)
}

// waitingIn counts the queued requests of a pool in some classes.
func (e *Engine) waitingIn(p *poolState, classes ...fleet.Class) int {
	n := 0
	for _, id := range p.services {
		for _, class := range classes {
			n += e.Queues.Depth(id, class)
		}
	}
	return n
}

// guaranteed returns how many slots of a pool are guaranteed to long work.
func (e *Engine) guaranteed(p *poolState) int {
	slots, _ := e.Router.Slots(p.id)
	return max(e.LongPercent.Of(int(slots)), 1)
}

// accrue accounts the slot time that long work has used against its guaranteed share. The share holds
// with a lag of LongLag and not at each instant: holding it in a peak of some seconds would make short
// work queue, while long work catches up afterwards without a loss.
func (e *Engine) accrue(now time.Time, p *poolState) {
	passed := now.Sub(p.creditAt)
	p.creditAt = now
	if passed <= 0 || passed > e.LongLag {
		return
	}
	share := e.guaranteed(p)
	owed := time.Duration(share - p.long())
	if owed > 0 && e.waitingIn(p, fleet.ClassLong) == 0 {
		return
	}
	bound := time.Duration(share) * e.LongLag
	p.credit = min(max(p.credit+owed*passed, -bound), bound)
	p.owed = p.credit >= bound || p.owed && p.credit > 0
}

// makeRoom preempts long work while short work waits, and ends throttling when no short work waits and no
// checkpoint is pending.
func (e *Engine) makeRoom(p *poolState) {
	need := e.shortWaiting(p)
	if need > 0 {
		e.preempt(p, need)
	} else if p.checkpointing == 0 {
		e.unthrottle(p)
	}
}

// preempt frees slots of long work, apart from the share that it is owed, by checkpoints and, for work
// that cannot be checkpointed, by throttling.
func (e *Engine) preempt(p *poolState, need int) {
	need -= p.checkpointing
	keep := 0
	if p.owed {
		keep = e.guaranteed(p)
	}
	for need > 0 && len(p.checkpointable.calls) > 0 && p.long()-p.checkpointing > keep {
		c := p.checkpointable.calls[len(p.checkpointable.calls)-1]
		p.checkpointable.remove(c)
		p.checkpointing++
		need--
		c.work.CheckpointRequested = true
		e.control(c, ControlCheckpoint)
	}
	for len(p.pinned.calls) > 0 && p.long()-p.checkpointing > keep && need > 0 {
		c := p.pinned.calls[len(p.pinned.calls)-1]
		p.pinned.remove(c)
		p.throttled.add(c)
		need--
		e.control(c, ControlThrottle)
	}
}

// unthrottle lets throttled work run at full speed again.
func (e *Engine) unthrottle(p *poolState) {
	for len(p.throttled.calls) > 0 {
		c := p.throttled.calls[len(p.throttled.calls)-1]
		p.throttled.remove(c)
		p.pinned.add(c)
		e.control(c, ControlResume)
	}
}

func (e *Engine) control(c *call, action ControlAction) {
	e.out.Controls = append(e.out.Controls, Control{Target: c.target, Account: c.work.Request.Account, Request: c.work.Request.ID, Action: action})
}

// reclassify counts a running request as long from now on, because it has run longer than the
// straggler bound of its type.
func (e *Engine) reclassify(now time.Time, w *request.Work) {
	c := e.running[w]
	if c == nil || !w.Request.Class.IsShort() {
		return
	}
	w.Request.Class = fleet.ClassLong
	p := e.pools[c.target.Pool]
	e.Router.Finished(c.target.Endpoint, c.attempt)
	p.addLong(c)
	// The longer a request has run, the longer its remaining run time is likely to be.
	w.Expected = 2 * (w.Ran + now.Sub(c.started))
	c.attempt.Expected = w.Expected
	e.Router.Started(c.target.Endpoint, c.attempt)
	e.dispatchPool(now, p)
}
