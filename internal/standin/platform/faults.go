package platform

import (
	"time"

	"connectrpc.com/connect"

	platformv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/platform/v1"
)

// Faults make the stand-in misbehave. The zero value is a healthy platform. Counts say how many of the
// next calls are affected.
type Faults struct {
	// Down refuses every call.
	Down bool
	// Slow delays every answer after its effect.
	Slow time.Duration
	// LoseAnswers drops the answers of commits after their effect.
	LoseAnswers int
	// Conflicts refuses commits as conflicts on their first precondition.
	Conflicts int
	// StaleReads answers reads of rows and of changes from the state StaleBy commits ago.
	StaleReads int
	StaleBy    int
	// Duplicates delivers commits again when the next call of the table arrives.
	Duplicates int
	// RateExceeded refuses calls for exceeding the rate.
	RateExceeded int
	// ListLate is added to the lag of the list of VMs.
	ListLate time.Duration
}

// DownError is the refusal of a platform that is down.
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
	if take(&f.RateExceeded) {
		return connect.NewError(connect.CodeResourceExhausted, &RateError{})
	}
	return nil
}

// take uses one of a number of faults up.
func take(count *int) bool {
	if *count <= 0 {
		return false
	}
	*count--
	return true
}

// fromFaults converts the faults of the control RPC.
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
