package account

import (
	"time"

	"github.com/mimosawharf/mimosawharf/internal/clock"
	"github.com/mimosawharf/mimosawharf/internal/ring"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// VerdictKind classifies a verdict on the key of a request.
type VerdictKind string

// Verdicts on keys.
const (
	// VerdictOpen means that the configuration knows no client accounts, so that no request needs a key.
	VerdictOpen VerdictKind = "open"
	// VerdictAccepted means that the key belongs to an account.
	VerdictAccepted VerdictKind = "accepted"
	VerdictNoKey    VerdictKind = "no-key"
	VerdictUnknown  VerdictKind = "unknown-key"
	// VerdictOutdated means that the entry cannot know which keys are valid: it accepts and rejects none.
	VerdictOutdated VerdictKind = "keys-outdated"
)

// Verdict is the decision about the key of one request.
type Verdict struct {
	Kind VerdictKind
	// Account is the owner of an accepted key.
	Account fleet.ClientAccountID
	// Age is how long ago the keys were known to be those of the newest configuration.
	Age time.Duration
}

// driftPercent is how much slower than true time the clock of a machine may run.
const driftPercent = 2

// Verifier decides whether the key of a request is accepted. With a bound on revocation, an entry accepts a key only
// while its configuration was the newest one less than the bound ago, so that a key is not accepted once its removal
// was acknowledged that long ago, whatever the entry has missed since. One goroutine calls Confirm; Verify may be
// called from several.
type Verifier struct {
	// The fields are set before the first call.

	// Clock counts the time of suspensions.
	Clock clock.Clock
	// RevocationBound is how long after the acknowledgement of its removal a key may still be accepted; 0 means that
	// the entry uses the newest configuration that it has, however old.
	RevocationBound time.Duration

	known ring.Latest[confirmed]
}

// confirmed is a directory and when it was known to be that of the newest configuration. The two are published as one,
// so that no directory is judged by the confirmation of a later one.
type confirmed struct {
	directory *Directory
	at        time.Time
}

// Confirm records that a directory belongs to the newest configuration as of a time of Clock: that of sending the read
// that showed no newer one.
func (v *Verifier) Confirm(d *Directory, at time.Time) { v.known.Set(confirmed{d, at}) }

// Verify returns the verdict on a key; an absent key is empty. The caller has received the request as a whole before.
func (v *Verifier) Verify(key string) Verdict {
	known := v.known.Get()
	result := Verdict{Kind: VerdictUnknown, Age: v.age(known)}
	switch {
	case known.directory == nil && !known.at.IsZero():
		result.Kind = VerdictOpen
	case known.directory == nil, v.RevocationBound > 0 && result.Age >= v.validity():
		result.Kind = VerdictOutdated
	case key == "":
		result.Kind = VerdictNoKey
	default:
		if owner, ok := known.directory.Owner(fleet.DigestKey(key)); ok {
			result.Kind, result.Account = VerdictAccepted, owner
		}
	}
	return result
}

// Current reports whether the entry can tell valid keys from others, and for at least another part of its validity:
// callers do better elsewhere before it rejects them.
func (v *Verifier) Current() bool {
	known := v.known.Get()
	return known.directory == nil || v.RevocationBound == 0 || v.age(known) < v.RevocationBound*readyPercent/100
}

// readyPercent is the part of the bound within which an entry that reads the configuration regularly confirms it, also
// when one read gets no answer.
const readyPercent = 60

// ConfirmInterval returns the longest time between the sending of two confirming reads for a bound on revocation. It
// leaves time for a read that gets no answer and for the next one within readyPercent of the bound.
func ConfirmInterval(bound time.Duration) time.Duration { return bound / 5 }

func (v *Verifier) validity() time.Duration { return v.RevocationBound * (100 - driftPercent) / 100 }

// age returns how old a confirmation is. Of times on a clock that never jumps, none is in the future.
func (v *Verifier) age(c confirmed) time.Duration { return max(0, v.Clock.Now().Sub(c.at)) }
