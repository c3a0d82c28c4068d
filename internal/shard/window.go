package shard

import "time"

// startWindow bounds the starts that are planned or on their way, by the rate at which they are sent: it grows with each
// start that is carried out, and is halved when a start has waited for too long to be sent. A holder with more starts
// than that spends its time on starts that are planned, dropped and planned again.
type startWindow struct {
	size float64
	// outstanding counts the starts that are planned or have no answer. It may be too high until countStarts is called.
	outstanding int
	cutAt       time.Time
	countedAt   time.Time
}

const (
	initialStarts = 128
	minStarts     = 16
	maxStarts     = 4096
	// startIncrease is by how much the window grows with each window of starts.
	startIncrease = 16
	// cutInterval is the time between two reductions: the effect of the first one has to show.
	cutInterval = 400 * time.Millisecond
	// overloadTime is how long after a reduction the holder counts as overloaded.
	overloadTime = 2 * time.Second
	// countInterval is the time between counts of the outstanding starts while the window is full.
	countInterval = 50 * time.Millisecond
)

// answered adjusts the window to the result of a start.
func (s *startWindow) answered(now time.Time, r Result) {
	s.outstanding = max(0, s.outstanding-1)
	switch {
	case r.Stale && now.Sub(s.cutAt) >= cutInterval:
		s.size, s.cutAt = max(minStarts, s.size/2), now
	case r.Answer == AnswerDone:
		s.size = min(maxStarts, s.size+startIncrease/s.size)
	}
}

// isOverloaded reports whether the holder does not keep up: a start has waited for too long a short time ago.
func (s *startWindow) isOverloaded(now time.Time) bool {
	return !s.cutAt.IsZero() && now.Sub(s.cutAt) < overloadTime
}

// isFull reports whether no further start is to be planned.
func (s *startWindow) isFull() bool {
	return float64(s.outstanding) >= s.size
}

// countStarts counts the outstanding starts when the window seems to be full. A run that was given up leaves no result.
func (e *Engine) countStarts(now time.Time) {
	s := &e.starts
	if !s.isFull() || now.Sub(s.countedAt) < countInterval {
		return
	}
	s.countedAt, s.outstanding = now, 0
	for _, w := range e.workers {
		for _, a := range w.runs {
			if a.phase == phasePlanned || a.phase == phaseOrdered && !a.inherited {
				s.outstanding++
			}
		}
	}
}
