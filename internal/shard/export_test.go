package shard

import (
	"time"

	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// RankedAt returns when the waiting steps were last ranked.
func (e *Engine) RankedAt() time.Time { return e.rankedAt }

// Expected returns the expected run time of a task of a step near its data.
func (e *Engine) Expected(q fleet.QueueID, s *fleet.Step) time.Duration { return e.expected(q, s) }

// RunTimes returns for how many images run times are known.
func (e *Engine) RunTimes() int { return len(e.runTimes) }

// TaskStates returns how many tasks and steps have scheduling state apart from their occurrence.
func (e *Engine) TaskStates() int {
	return len(e.avoid) + len(e.near.waits) + len(e.unavailableSince) + len(e.waits) + len(e.failedOn) + len(e.stepRuns) + len(e.rackWaits)
}
