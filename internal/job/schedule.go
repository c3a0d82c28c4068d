package job

import (
	"math/bits"
	"time"

	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Schedule records which occurrences of a job have ended, without the state of their tasks. The zero value has none.
type Schedule struct {
	// Ended has a bit for each occurrence, the lowest bit of the first byte for occurrence 0.
	Ended []byte
	// Failed is set when one of them has failed.
	Failed bool
	// Cancelled is set when the job was cancelled before all of them had completed or failed.
	Cancelled bool
	// EndedAt is when the last of them ended, or the job was cancelled.
	EndedAt time.Time
}

// HasEnded reports whether an occurrence has ended.
func (s *Schedule) HasEnded(k fleet.Occurrence) bool {
	return int(k/8) < len(s.Ended) && s.Ended[k/8]&(1<<(k%8)) != 0
}

// End records the end of an occurrence.
func (s *Schedule) End(o *Occurrence) {
	for int(o.Number/8) >= len(s.Ended) {
		s.Ended = append(s.Ended, 0)
	}
	s.Ended[o.Number/8] |= 1 << (o.Number % 8)
	s.Failed = s.Failed || o.State == fleet.JobStateFailed
	s.Cancelled = s.Cancelled || o.State == fleet.JobStateCancelled
	if o.EndedAt.After(s.EndedAt) {
		s.EndedAt = o.EndedAt
	}
}

// Count returns how many occurrences have ended.
func (s *Schedule) Count() int {
	n := 0
	for _, b := range s.Ended {
		n += bits.OnesCount8(b)
	}
	return n
}
