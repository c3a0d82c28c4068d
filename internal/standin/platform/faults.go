package platform

import (
	"time"

	"connectrpc.com/connect"

	platformv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/platform/v1"
)

// Faults are the faults that the stand-in injects. The zero value is a healthy platform. Counts say how
// many of the next calls are affected.
type Faults struct {
	// Down refuses every call.
	Down bool
	// Slow delays every answer after the effect of the call.
	Slow time.Duration
	// LoseAnswers drops the answers of commits that took effect.
	LoseAnswers int
	// Conflicts refuses commits with a conflict on their first precondition.
	Conflicts int
	// StaleReads answers reads of rows and of changes from the state StaleBy commits ago.
	StaleReads int
	StaleBy    int
	// Duplicates delivers commits a second time when the next call of the table arrives.
	Duplicates int
	// RateExceeded refuses calls for exceeding the rate.
	RateExceeded int
	// ListLate is added to the lag of the list of VMs.
	ListLate time.Duration
}

// DownError is the error of a platform that is down, and of a commit whose answer is lost.
type DownError struct{}

// Error implements error.
func (*DownError) Error() string { return "stand-in platform is down" }

// RateError is the refusal of a call that exceeds the rate.
type RateError struct{}

// Error implements error.
func (*RateError) Error() string { return "stand-in platform: rate exceeded" }

// refusal returns the error of a call that is refused before it has an effect.
func (f *Faults) refusal() error {
	if f.Down {
		return connect.NewError(connect.CodeUnavailable, &DownError{})
	}
	if consume(&f.RateExceeded) {
		return connect.NewError(connect.CodeResourceExhausted, &RateError{})
	}
	return nil
}

// consume uses up one of the remaining faults. It returns false when there is none.
func consume(count *int) bool {
	if *count <= 0 {
		return false
	}
	*count--
	return true
}

// fromFaults converts the faults of the SetFaults RPC.
func fromFaults(m *platformv1.Faults) Faults {
	return Faults{
		Down:         m.GetDown(),
		Slow:         m.GetSlow().AsDuration(),
		LoseAnswers:  int(m.GetLoseAnswers()),
		Conflicts:    int(m.GetConflicts()),
		StaleReads:   int(m.GetStaleReads()),
		StaleBy:      int(m.GetStaleBy()),
		Duplicates:   int(m.GetDuplicates()),
		RateExceeded: int(m.GetRateExceeded()),
		ListLate:     m.GetListLate().AsDuration(),
	}
}
