package door

import (
	"sync/atomic"
	"time"
)

const (
	// minIdle is how long a connection has been idle before it makes way. A caller that sends one request after the
	// other is faster.
	minIdle = time.Second
	// maxReceiving is how long a request may take to arrive while other connections need its place.
	maxReceiving = 10 * time.Second
)

// Stage says what a connection is doing.
type Stage string

// Stages of a connection.
const (
	// StageReceiving is a connection whose request has not arrived in full, or that has sent nothing yet.
	StageReceiving Stage = "receiving"
	// StageServing is a connection whose request is being served; it keeps its place.
	StageServing Stage = "serving"
	// StageAnswering is a connection that an answer is being written to.
	StageAnswering Stage = "answering"
	// StageIdle is a connection that waits for its next request.
	StageIdle Stage = "idle"
)

// Places bounds the connections of one door. It is safe for concurrent use.
type Places struct {
	taken  atomic.Int64
	next   atomic.Uint32
	places []atomic.Pointer[Place]
}

// NewPlaces returns places for a number of connections.
func NewPlaces(limit int) *Places { return &Places{places: make([]atomic.Pointer[Place], limit)} }

// Limit returns the number of places.
func (p *Places) Limit() int { return len(p.places) }

// stageSince is a stage and the time from the opening of the connection to its begin.
type stageSince struct {
	stage Stage
	since time.Duration
}

// Place is the place of one connection.
type Place struct {
	places *Places
	index  int
	opened time.Time
	stage  atomic.Pointer[stageSince]
	// moved is the time from opened to the last byte in either direction.
	moved atomic.Int64
	left  atomic.Bool
	// end closes the connection.
	end func()
}

// Taken returns the number of connections.
func (p *Places) Taken() int { return int(p.taken.Load()) }

// Take returns a place for a connection, or *Refusal. If all are taken, an idle or a stalled connection makes way, and
// shed is true. The function end closes the connection when it has to make way itself.
func (p *Places) Take(now time.Time, end func()) (place *Place, shed bool, err error) {
	place = &Place{places: p, opened: now, end: end}
	place.Enter(now, StageReceiving)
	for p.taken.Add(1) > int64(len(p.places)) {
		p.taken.Add(-1)
		victim := p.victim(now)
		if victim == nil {
			return nil, shed, &Refusal{Reason: ReasonNoPlace}
		}
		shed = true
		victim.Leave()
		victim.end()
	}
	// One entry is free, as Leave empties it before it counts one less.
	for {
		place.index = int(p.next.Add(1) % uint32(len(p.places)))
		if p.places[place.index].CompareAndSwap(nil, place) {
			return place, shed, nil
		}
	}
}

// victim returns the connection that has been idle the longest, else the one that has stalled the longest, else nil.
func (p *Places) victim(now time.Time) *Place {
	var idle, stalled *Place
	var longestIdle, longestStall time.Duration
	for i := range p.places {
		c := p.places[i].Load()
		if c == nil {
			continue
		}
		s := c.stage.Load()
		quiet, age := now.Sub(c.opened)-time.Duration(c.moved.Load()), now.Sub(c.opened)-s.since
		switch {
		case s.stage == StageServing:
		case s.stage == StageIdle:
			// The next request may have begun to arrive, which the stage does not show yet.
			if quiet >= minIdle && quiet > longestIdle {
				idle, longestIdle = c, quiet
			}
		case quiet >= MaxStall || s.stage == StageReceiving && age >= maxReceiving:
			if age > longestStall {
				stalled, longestStall = c, age
			}
		}
	}
	if idle != nil {
		return idle
	}
	return stalled
}

// Enter records what the connection is doing.
func (c *Place) Enter(now time.Time, s Stage) {
	since := now.Sub(c.opened)
	c.stage.Store(&stageSince{s, since})
	c.moved.Store(int64(since))
}

// Moved records that bytes have been read or written.
func (c *Place) Moved(now time.Time) { c.moved.Store(int64(now.Sub(c.opened))) }

// Leave gives the place back. It may be called several times.
func (c *Place) Leave() {
	if c.left.CompareAndSwap(false, true) {
		c.places.places[c.index].CompareAndSwap(c, nil)
		c.places.taken.Add(-1)
	}
}
