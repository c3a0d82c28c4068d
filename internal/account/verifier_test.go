package account_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/mimosawharf/mimosawharf/internal/account"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

const revocationBound = 5 * time.Second

// world is an entry whose clock drifts, and a store whose configuration loses a key at a time.
type world struct {
	random *rand.Rand
	clock  *clockwork.FakeClock
	// now is the true time since the start; the entry's clock runs at percent of it.
	now       time.Duration
	percent   int
	removedAt time.Duration
	verifier  *account.Verifier
}

func newWorld(seed uint64) *world {
	w := &world{random: rand.New(rand.NewPCG(seed, 38)), clock: clockwork.NewFakeClock()}
	w.percent = 98 + w.random.IntN(5)
	w.removedAt = w.upTo(12 * time.Second)
	w.verifier = &account.Verifier{Clock: w.clock, RevocationBound: revocationBound}
	return w
}

func (w *world) upTo(d time.Duration) time.Duration { return time.Duration(w.random.Int64N(int64(d))) }

func (w *world) pass(d time.Duration) {
	w.now += d
	w.clock.Advance(d * time.Duration(w.percent) / 100)
}

// directory returns the accounts at the present time.
func (w *world) directory() *account.Directory {
	keys := []fleet.KeyDigest{fleet.DigestKey("stays")}
	if w.now < w.removedAt {
		keys = append(keys, fleet.DigestKey("goes"))
	}
	return account.NewDirectory([]fleet.ClientAccount{{ID: "a", Keys: keys}})
}

// read reads the configuration. It may be frozen or cut off before it is sent, before the store answers and after.
func (w *world) read() {
	for range w.random.IntN(2) {
		w.pass(w.upTo(6 * time.Second))
	}
	sentAt := w.clock.Now()
	w.pass(w.upTo(2 * time.Second))
	answer := w.directory()
	w.pass(w.upTo(2 * time.Second))
	if w.random.IntN(4) > 0 { // Otherwise the answer is lost.
		w.verifier.Confirm(answer, sentAt)
	}
}

// Guards against a key that is accepted after its bound by an entry that was cut off, frozen or behind, or whose clock
// is slow.
func TestWithdrawnKeyIsNeverAcceptedAfterItsBound(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(2000) {
		w := newWorld(seed)
		for w.now < 30*time.Second {
			w.read()
			for range w.random.IntN(4) {
				requestAt := w.now
				if w.random.IntN(2) == 0 {
					w.pass(w.upTo(3 * time.Second)) // The request waits, for example for a frozen entry.
				}
				if w.verifier.Verify("goes").Kind == account.VerdictAccepted && requestAt > w.removedAt+revocationBound {
					t.Logf("seed %d: key accepted %v after its removal", seed, requestAt-w.removedAt)
					is.Fail()
				}
				kind := w.verifier.Verify("stays").Kind
				is.True(kind == account.VerdictAccepted || kind == account.VerdictOutdated) // never refused as unknown
			}
		}
	}
}

// Guards against an entry that turns callers away although it follows the configuration: a read waits for changes, and
// the answer to one of them is lost.
func TestKeysStayValidOverOneLostRead(t *testing.T) {
	const stall, retry = 1200 * time.Millisecond, 200 * time.Millisecond
	is := is.New(t)
	w := newWorld(1)
	interval := account.ConfirmInterval(revocationBound)
	w.verifier.Confirm(w.directory(), w.clock.Now())
	w.clock.Advance(interval + interval + stall + retry) // One read is answered, the next is given up.
	is.Equal(w.verifier.Verify("stays").Kind, account.VerdictAccepted)
	w.clock.Advance(2 * time.Second)
	is.Equal(w.verifier.Verify("stays").Kind, account.VerdictOutdated)
	is.True(!w.verifier.Current())
	w.verifier.Confirm(w.directory(), w.clock.Now())
	is.Equal(w.verifier.Verify("stays").Kind, account.VerdictAccepted)
}

// Guards against verdicts that say more than the entry knows: a key is unknown only while it can know that, and no key
// is needed only where the configuration says so.
func TestVerdicts(t *testing.T) {
	known := account.NewDirectory([]fleet.ClientAccount{{ID: "a", Keys: []fleet.KeyDigest{fleet.DigestKey("k")}}})
	for _, c := range []struct {
		name      string
		directory *account.Directory
		confirmed bool
		age       time.Duration
		key       string
		want      account.VerdictKind
	}{
		{"nothing read yet", nil, false, 0, "k", account.VerdictOutdated},
		{"no accounts", nil, true, time.Hour, "", account.VerdictOpen},
		{"accounts without keys", account.NewDirectory(nil), true, 0, "k", account.VerdictUnknown},
		{"known key", known, true, 4800 * time.Millisecond, "k", account.VerdictAccepted},
		{"known key after the bound, less the drift", known, true, 4900 * time.Millisecond, "k", account.VerdictOutdated},
		{"unknown key", known, true, 0, "x", account.VerdictUnknown},
		{"unknown key after the bound", known, true, time.Minute, "x", account.VerdictOutdated},
		{"no key", known, true, 0, "", account.VerdictNoKey},
	} {
		t.Run(c.name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			v := &account.Verifier{Clock: clock, RevocationBound: revocationBound}
			if c.confirmed {
				v.Confirm(c.directory, clock.Now())
			}
			clock.Advance(c.age)
			is.New(t).Equal(v.Verify(c.key).Kind, c.want)
		})
	}
}

// Guards against wrong permissions while keys are rotated.
func TestRotation(t *testing.T) {
	clock := clockwork.NewFakeClock()
	v := &account.Verifier{Clock: clock, RevocationBound: revocationBound}
	for _, step := range []struct {
		name string
		keys map[fleet.ClientAccountID][]string
		// want is the owner of each key; that of no entry is refused.
		want map[string]fleet.ClientAccountID
	}{
		{"before", map[fleet.ClientAccountID][]string{"a": {"old"}, "b": {"b"}}, map[string]fleet.ClientAccountID{"old": "a", "b": "b"}},
		{"new key beside the old", map[fleet.ClientAccountID][]string{"a": {"old", "new", "new"}, "b": {"b"}}, map[string]fleet.ClientAccountID{"old": "a", "new": "a", "b": "b"}},
		{"old key removed", map[fleet.ClientAccountID][]string{"a": {"new"}, "b": {"b"}}, map[string]fleet.ClientAccountID{"new": "a", "b": "b"}},
		{"key in two accounts on its way", map[fleet.ClientAccountID][]string{"a": {"new"}, "b": {"b", "new"}}, map[string]fleet.ClientAccountID{"b": "b"}},
		{"key of the other account", map[fleet.ClientAccountID][]string{"a": nil, "b": {"b", "new"}}, map[string]fleet.ClientAccountID{"new": "b", "b": "b"}},
		{"all keys of an account replaced", map[fleet.ClientAccountID][]string{"a": {"a"}, "b": {"b2"}}, map[string]fleet.ClientAccountID{"a": "a", "b2": "b"}},
	} {
		t.Run(step.name, func(t *testing.T) {
			is := is.New(t)
			var list []fleet.ClientAccount
			for id, keys := range step.keys {
				a := fleet.ClientAccount{ID: id}
				for _, k := range keys {
					a.Keys = append(a.Keys, fleet.DigestKey(k))
				}
				list = append(list, a)
			}
			v.Confirm(account.NewDirectory(list), clock.Now())
			for _, key := range []string{"old", "new", "a", "b", "b2"} {
				got := v.Verify(key)
				is.Equal(fmt.Sprint(key, got.Account, got.Kind == account.VerdictAccepted), fmt.Sprint(key, step.want[key], step.want[key] != ""))
			}
		})
	}
}

// Guards against a job that another account can read or cancel.
func TestCallerAccess(t *testing.T) {
	is := is.New(t)
	owners := []fleet.ClientAccountID{"", "a", "b"}
	visible := func(c account.Caller) []fleet.ClientAccountID {
		return slices.DeleteFunc(slices.Clone(owners), func(id fleet.ClientAccountID) bool { return !c.MayAccess(id) })
	}
	is.Equal(visible(account.Caller{}), []fleet.ClientAccountID{""})
	is.Equal(visible(account.Caller{Account: "a"}), []fleet.ClientAccountID{"", "a"})
	is.Equal(visible(account.Caller{Operator: true}), owners)
}
