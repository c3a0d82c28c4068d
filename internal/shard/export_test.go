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
