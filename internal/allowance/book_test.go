package allowance_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/matryer/is"

	"github.com/mimosawharf/mimosawharf/internal/allowance"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

const account fleet.ClientAccountID = "a"

func cores(n int) fleet.Capacity { return fleet.Capacity{Millicores: fleet.Millicores(n)} }

// model is a store, services and entries that may be frozen, lost and replaced. Tasks use one unit.
type model struct {
	random *rand.Rand
	limit  int
	// room bounds the ledger.
	room    fleet.Bytes
	ledger  allowance.Ledger
	version allowance.Version
	// epochs and committed are what the store holds of each service: its holder and the runs that may execute.
	epochs    map[fleet.ServiceID]fleet.FencingToken
	committed map[fleet.ServiceID]int
	entries   []*entry
	late      []write
}

type entry struct {
	book   *allowance.Book
	held   map[fleet.ServiceID]*holding
	frozen bool
}

// holding is what an entry believes of a service that it may not hold any more.
type holding struct {
	epoch               fleet.FencingToken
	used, planned, asks int
}

type write struct {
	based  allowance.Version
	ledger allowance.Ledger
}

func newModel(seed uint64, limit, services, entries int, room fleet.Bytes) *model {
	m := &model{
		random: rand.New(rand.NewPCG(seed, 1)), limit: limit, room: room, ledger: allowance.Ledger{},
		epochs: map[fleet.ServiceID]fleet.FencingToken{}, committed: map[fleet.ServiceID]int{},
	}
	for range entries {
		m.entries = append(m.entries, &entry{book: m.newBook(), held: map[fleet.ServiceID]*holding{}})
	}
	for i := range services {
		m.take(m.entries[i%entries], fleet.ServiceID(rune('A'+i)))
	}
	return m
}

func (m *model) newBook() *allowance.Book {
	b := allowance.NewBook()
	b.MaxLedger = m.room
	b.SetLimits(allowance.Limits{account: cores(m.limit)})
	return b
}

func (m *model) take(e *entry, s fleet.ServiceID) {
	m.epochs[s]++
	e.held[s] = &holding{epoch: m.epochs[s], used: m.committed[s]}
}

func (m *model) apply(w write) bool {
	if w.based != m.version {
		return false
	}
	m.version, m.ledger = m.version+1, w.ledger
	return true
}

// round lets an entry read the ledger and write it. The write may be lost, late or without an answer.
func (m *model) round(e *entry, faults bool) {
	var reports []allowance.Report
	for _, s := range slices.Sorted(maps.Keys(e.held)) {
		h := e.held[s]
		used := h.used + h.planned
		reports = append(reports, allowance.Report{Service: s, Epoch: h.epoch, Accounts: map[fleet.ClientAccountID]allowance.Demand{
			account: {Used: cores(used), Waiting: cores(h.asks), Least: cores(1)},
		}})
	}
	next, due := plan(e.book, m.ledger, m.version, reports)
	if !due {
		return
	}
	w := write{m.version, next}
	fault := 0
	if faults {
		fault = m.random.IntN(8)
	}
	switch fault {
	case 1: // Lost.
	case 2, 4, 5: // Carried out later.
		m.late = append(m.late, w)
	case 3: // The answer is lost.
		m.apply(w)
	default:
		if m.apply(w) {
			e.book.Written(written)
		}
	}
}

// written is a write of the account's ledger that has taken effect.
var written = []allowance.Write{{Account: account}}

// plan returns the planned ledger of the account, and whether it is to be written.
func plan(b *allowance.Book, l allowance.Ledger, version allowance.Version, reports []allowance.Report) (allowance.Ledger, bool) {
	writes := b.Plan(map[fleet.ClientAccountID]allowance.Stored{account: {Ledger: l, Version: version}}, reports)
	if len(writes) == 0 {
		return l, false
	}
	return writes[0].Ledger, true
}

// start lets an entry plan a start, commit the planned ones if the service is still its own, or learn of ends.
func (m *model) start(e *entry, s fleet.ServiceID) {
	h := e.held[s]
	switch m.random.IntN(3) {
	case 0:
		for h.asks > 0 && e.book.Allows(s, h.epoch, account, cores(h.used+h.planned+1)) {
			h.planned, h.asks = h.planned+1, h.asks-1
		}
	case 1:
		if h.epoch != m.epochs[s] {
			delete(e.held, s)
			return
		}
		m.committed[s] += h.planned
		h.used, h.planned = m.committed[s], 0
	default:
		if h.epoch == m.epochs[s] && m.committed[s] > 0 {
			m.committed[s]--
			h.used--
		}
	}
}

// settles ends all faults and runs, and reports whether each service may then start what it asks for.
func (m *model) settles() bool {
	m.late, m.committed = nil, map[fleet.ServiceID]int{}
	for _, e := range m.entries {
		e.held = map[fleet.ServiceID]*holding{}
	}
	services := slices.Sorted(maps.Keys(m.epochs))
	for i, s := range services {
		e := m.entries[i%len(m.entries)]
		m.take(e, s)
	}
	for range 8 { // What they ask for changes.
		for _, e := range m.entries {
			for _, h := range e.held {
				h.asks = m.random.IntN(m.limit/len(services) + 1)
			}
		}
		for range 4 {
			for _, e := range m.entries {
				m.round(e, false)
			}
		}
		for i, s := range services {
			e := m.entries[i%len(m.entries)]
			if !e.book.Allows(s, m.epochs[s], account, cores(e.held[s].asks)) {
				return false
			}
		}
	}
	return true
}

func (m *model) running() int {
	sum := 0
	for _, n := range m.committed {
		sum += n
	}
	return sum
}

func (m *model) step() {
	e := m.entries[m.random.IntN(len(m.entries))]
	s := fleet.ServiceID(rune('A' + m.random.IntN(len(m.epochs))))
	switch n := m.random.IntN(100); {
	case n < 2:
		m.take(e, s) // The last holder may be alive, frozen or gone.
	case n < 4:
		e.frozen = !e.frozen
	case n < 5:
		*e = entry{book: m.newBook(), held: map[fleet.ServiceID]*holding{}} // It restarts.
	case n < 15 && len(m.late) > 0:
		i := m.random.IntN(len(m.late))
		m.apply(m.late[i])
		m.late = append(m.late[:i], m.late[i+1:]...)
	case e.frozen:
	case n < 30:
		m.round(e, true)
	default:
		for _, s := range slices.Sorted(maps.Keys(e.held)) {
			if m.random.IntN(4) == 0 {
				e.held[s].asks = m.random.IntN(2) * 2 * m.limit
			}
			m.start(e, s)
		}
	}
}

func TestRunningNeverExceedsLimitWhateverIsLostOrReplaced(t *testing.T) {
	reached := 0
	for seed := range uint64(300) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			is := is.New(t)
			m := newModel(seed, 1+int(seed%17), 4, 3, 0)
			for range 3000 {
				m.step()
				is.True(m.running() <= m.limit)
				if m.running() == m.limit {
					reached++
				}
			}
			is.True(m.settles()) // No fault strands what waits.
		})
	}
	is.New(t).True(reached >= 10000) // The model keeps services busy enough to exceed it.
}

func TestUnusedShareIsTakenByTheServiceThatWaits(t *testing.T) {
	is := is.New(t)
	m := newModel(1, 40, 4, 4, 0)
	asks := []int{7, 100, 100, 0}
	for i, e := range m.entries {
		e.held[fleet.ServiceID(rune('A'+i))].asks = asks[i]
	}
	for range 3 {
		for _, e := range m.entries {
			m.round(e, false)
		}
	}
	held := map[fleet.ServiceID]fleet.Capacity{}
	for s, c := range m.ledger {
		held[s] = c.Held
	}
	is.Equal(held, map[fleet.ServiceID]fleet.Capacity{"A": cores(7), "B": cores(16), "C": cores(16), "D": cores(0)})
}

func TestLoweredLimitStopsStartsUntilItFits(t *testing.T) {
	is := is.New(t)
	m := newModel(1, 40, 2, 2, 0)
	a, b := m.entries[0], m.entries[1]
	a.held["A"].used, m.committed["A"] = 30, 30
	b.held["B"].used, m.committed["B"] = 8, 8
	m.round(a, false)
	m.round(b, false)
	for _, e := range m.entries {
		e.book.SetLimits(allowance.Limits{account: cores(10)})
		m.round(e, false)
	}
	is.True(!a.book.Allows("A", 1, account, cores(31)))
	is.True(!b.book.Allows("B", 1, account, cores(9)))
	allowed, isLimited, isBlocked := b.book.Allowed("B", 1, account)
	is.Equal([]fleet.Millicores{allowed.Millicores}, []fleet.Millicores{8})
	is.True(isLimited && isBlocked)
	a.held["A"].used, m.committed["A"] = 0, 0
	b.held["B"].asks = 5
	for range 3 {
		m.round(a, false)
		m.round(b, false)
	}
	is.True(b.book.Allows("B", 1, account, cores(10)))
	is.True(!b.book.Allows("B", 1, account, cores(11)))
}

func TestTaskAboveTheLimitRunsAlone(t *testing.T) {
	is := is.New(t)
	e := allowance.NewBook()
	e.SetLimits(allowance.Limits{account: cores(5)})
	demand := allowance.Demand{Waiting: cores(18), Least: cores(9)}
	reports := func() []allowance.Report {
		return []allowance.Report{{Service: "A", Epoch: 1, Accounts: map[fleet.ClientAccountID]allowance.Demand{account: demand}}}
	}
	next, due := plan(e, allowance.Ledger{}, 0, reports())
	is.True(due)
	is.True(!e.Allows("A", 1, account, cores(9))) // Not yet written.
	e.Written(written)
	is.True(e.Allows("A", 1, account, cores(9)))
	demand.Used = cores(9)
	plan(e, next, 1, reports())
	is.True(!e.Allows("A", 1, account, cores(18)))
}

func report(epoch fleet.FencingToken, used, waiting int) []allowance.Report {
	return []allowance.Report{{Service: "A", Epoch: epoch, Accounts: map[fleet.ClientAccountID]allowance.Demand{
		account: {Used: cores(used), Waiting: cores(waiting), Least: cores(1)},
	}}}
}

func claim(held, wanted int) allowance.Claim {
	return allowance.Claim{Epoch: 1, Held: cores(held), Wanted: cores(wanted)}
}

func TestShareOfUnansweredWriteIsUsedOnceItCannotTakeEffect(t *testing.T) {
	is := is.New(t)
	b := allowance.NewBook()
	b.SetLimits(allowance.Limits{account: cores(40)})
	ledger := allowance.Ledger{"A": claim(20, 40), "B": claim(20, 40)}
	_, due := plan(b, ledger, 1, report(1, 5, 0))
	is.True(due) // 15 are given up, and the answer does not arrive.
	_, due = plan(b, ledger, 1, report(1, 5, 35))
	is.True(due)
	is.True(!b.Allows("A", 1, account, cores(6)))
	b.Written(written)
	is.True(b.Allows("A", 1, account, cores(20)))
}

func TestNextHolderUsesTheShareOnceItHasClaimedIt(t *testing.T) {
	is := is.New(t)
	b := allowance.NewBook()
	b.SetLimits(allowance.Limits{account: cores(40)})
	_, due := plan(b, allowance.Ledger{"A": claim(40, 40)}, 1, report(2, 10, 30))
	is.True(due)
	is.True(!b.Allows("A", 2, account, cores(11)))
	b.Written(written)
	is.True(b.Allows("A", 2, account, cores(40)))
}

func TestTwoServicesOfOneEntryAreNotBlockedByAnUnwrittenDivision(t *testing.T) {
	is := is.New(t)
	b := allowance.NewBook()
	b.SetLimits(allowance.Limits{account: cores(40)})
	ledger := allowance.Ledger{"A": claim(30, 0), "B": claim(10, 8)}
	reports := append(report(1, 0, 5), report(1, 0, 8)...)
	reports[1].Service = "B"
	_, due := plan(b, ledger, 1, reports)
	is.True(!due) // Both have what they want.
	is.True(b.Allows("A", 1, account, cores(30)))
	is.True(b.Allows("B", 1, account, cores(10)))
}
