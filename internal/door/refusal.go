// Package door decides what callers may make a process hold: bytes, connections and time. It has no network, so that
// its decisions are tested without one.
package door

import (
	"strconv"

	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Reason says why a request or a connection was refused. Nothing that was refused has run.
type Reason string

// Reasons of refusals.
const (
	// ReasonBodyTooLarge is a body above the limit.
	ReasonBodyTooLarge Reason = "body-too-large"
	// ReasonTooManyFields is a body with more objects or levels than any request has.
	ReasonTooManyFields Reason = "too-many-fields"
	// ReasonEncoding is a body in an encoding whose size after decoding is not known.
	ReasonEncoding Reason = "encoding"
	// ReasonBodyTooSlow is a body that did not arrive in time.
	ReasonBodyTooSlow Reason = "body-too-slow"
	// ReasonBodyIncomplete is a body whose sender has disconnected or broken the framing.
	ReasonBodyIncomplete Reason = "body-incomplete"
	// ReasonBudgetShort is a request for which the budget has no room.
	ReasonBudgetShort Reason = "budget-short"
	// ReasonBodyShed is a stalled body that made way for another request.
	ReasonBodyShed Reason = "body-shed"
	// ReasonNoPlace is a connection that found no place.
	ReasonNoPlace Reason = "no-place"
	// ReasonPlaceShed is an idle or stalled connection that made way for another one.
	ReasonPlaceShed Reason = "place-shed"
)

// Reasons lists all reasons.
func Reasons() []Reason {
	return []Reason{
		ReasonBodyTooLarge, ReasonTooManyFields, ReasonEncoding, ReasonBodyTooSlow, ReasonBodyIncomplete, ReasonBudgetShort, ReasonBodyShed,
		ReasonNoPlace, ReasonPlaceShed,
	}
}

// Refusal is the error of a request or a connection that was refused.
type Refusal struct {
	Reason Reason
	// Size is what was asked for, Limit the bound that it exceeds; both are 0 where there is none.
	Size, Limit fleet.Bytes
}

// Error implements error.
func (r *Refusal) Error() string {
	text := string(r.Reason)
	if r.Limit > 0 {
		text += ": " + strconv.FormatInt(int64(r.Size), 10) + " bytes, limit " + strconv.FormatInt(int64(r.Limit), 10)
	}
	return text + "; not run"
}
