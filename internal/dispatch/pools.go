package dispatch

import (
	"math"
	"time"

	"github.com/mimosawharf/mimosawharf/internal/admission"
	"github.com/mimosawharf/mimosawharf/internal/request"
	"github.com/mimosawharf/mimosawharf/internal/routing"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// poolState is what the engine keeps of one pool between events.
type poolState struct {
	id       fleet.PoolID
	services []fleet.ServiceID
	// first rotates among the services, so that none of them always goes first.
	first int
	// Long calls in flight: movable ones can be checkpointed, pinned ones cannot, and throttled
	// ones are pinned and were asked to run slower.
	movable, pinned, throttled callSet
	// stopping counts the long calls that were asked for a checkpoint.
	stopping int
	// credit is the slot time that long work is owed from its guaranteed share; it is negative
	// after long work has used more.
	credit   time.Duration
	creditAt time.Time
	// yieldUntil is until when long work leaves free slots to the short work of peers.
	yieldUntil time.Time
	// owed says that long work lags behind its share by LongLag and gets it before short work until
	// it has caught up.
	owed bool
	// asks are the standing asks of peers; reported is how much short work the last report named.
	asks     map[fleet.EntryID]standingAsk
	reported int
}

// long returns how many long calls are in flight.
func (p *poolState) long() int {
	return len(p.movable.calls) + len(p.pinned.calls) + len(p.throttled.calls) + p.stopping
}

// callSet is an unordered set of calls that know their place in it.
type callSet struct{ calls []*call }

func (s *callSet) add(c *call) {
	c.set, c.place = s, len(s.calls)
	s.calls = append(s.calls, c)
}

func (s *callSet) remove(c *call) {
	last := len(s.calls) - 1
	s.calls[c.place] = s.calls[last]
	s.calls[c.place].place = c.place
	s.calls = s.calls[:last]
	c.set = nil
}

// addLong counts a call as long.
func (p *poolState) addLong(c *call) {
	c.attempt.Long = true
	if c.work.Request.Checkpointable {
		p.movable.add(c)
	} else {
		p.pinned.add(c)
	}
}

// removeLong forgets a long call that ended.
func (p *poolState) removeLong(c *call) {
	switch {
	case !c.attempt.Long:
	case c.set != nil:
		c.set.remove(c)
	default:
		p.stopping--
	}
}

// dispatchPool sends queued work of a pool to its endpoints while there is room.
func (e *Engine) dispatchPool(now time.Time, p *poolState) {
	if p == nil {
		return
	}
	e.accrue(now, p)
	for sent := true; sent && len(e.calls) < e.MaxCalls; {
		sent = e.dispatchNext(now, p)
	}
	e.makeRoom(p)
	e.exchange(now, p)
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

// dispatchLong sends a long request. Beyond the guaranteed share only work that can be checkpointed
// is sent, because it gives the slot back when short work arrives.
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

// dispatchHead sends the request that is due in a queue, or puts it aside when only endpoints that
// it has tried have room. It returns false when no endpoint has room.
func (e *Engine) dispatchHead(now time.Time, p *poolState, id fleet.ServiceID, lane admission.Lane) bool {
	w := e.Queues.Peek(id, lane)
	attempt := routing.Attempt{Long: lane.Class == fleet.ClassLong, Expected: w.Expected, Tried: w.Tried, Wait: e.ownWait(p)}
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

// ownWait is how long the short work that waits for a pool keeps the entry's slots in its own zone. It
// has no end when there are none.
func (e *Engine) ownWait(p *poolState) time.Duration {
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

// guaranteed returns how many slots of a pool long work is guaranteed.
func (e *Engine) guaranteed(p *poolState) int {
	slots, _ := e.Router.Slots(p.id)
	return max(e.LongPercent.Of(int(slots)), 1)
}

// accrue books the slot time that long work has used against its guaranteed share. The share holds
// with a lag of LongLag and not at each instant, because in a peak of some seconds the slots of the
// share make short work queue, while long work loses nothing that it does not get back afterwards.
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

// makeRoom asks for checkpoints of long work while short work waits, and throttles long work that
// cannot be checkpointed.
func (e *Engine) makeRoom(p *poolState) {
	need := e.shortWaiting(p)
	if need > 0 {
		e.preempt(p, need)
	} else if p.stopping == 0 {
		e.unthrottle(p)
	}
}

// preempt frees slots of long work, apart from the share that it is owed.
func (e *Engine) preempt(p *poolState, need int) {
	need -= p.stopping
	keep := 0
	if p.owed {
		keep = e.guaranteed(p)
	}
	for need > 0 && len(p.movable.calls) > 0 && p.long()-p.stopping > keep {
		c := p.movable.calls[len(p.movable.calls)-1]
		p.movable.remove(c)
		p.stopping++
		need--
		c.work.CheckpointRequested = true
		e.control(c, ControlCheckpoint)
	}
	for len(p.pinned.calls) > 0 && p.long()-p.stopping > keep && need > 0 {
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
	// The longer a request has run, the longer it is likely to run on.
	w.Expected = 2 * (w.Ran + now.Sub(c.started))
	c.attempt.Expected = w.Expected
	e.Router.Started(c.target.Endpoint, c.attempt)
	e.dispatchPool(now, p)
}
