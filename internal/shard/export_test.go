package shard

import "time"

// RankedAt returns when the waiting steps were last ranked.
func (e *Engine) RankedAt() time.Time { return e.rankedAt }
