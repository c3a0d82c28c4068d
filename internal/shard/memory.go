package shard

import (
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// TakeClosed returns the jobs that have ended since the last call and of which the engine has no steps any more.
func (e *Engine) TakeClosed() []fleet.JobID {
	list := e.closed
	e.closed = nil
	return list
}

// Held returns how much memory the jobs take.
func (e *Engine) Held() fleet.Bytes { return e.held }

// SetMaxRuns bounds the runs of the service at the same time; 0 means that nothing does but the endpoints.
func (e *Engine) SetMaxRuns(n int) { e.maxRuns = n }

// isFull reports whether no further run may be assigned now: too many starts are on their way, or as many runs are
// assigned as the holder has memory for.
func (e *Engine) isFull() bool {
	return e.starts.isFull() || e.maxRuns > 0 && e.runs >= e.maxRuns
}
