package allowance_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/mimosawharf/mimosawharf/internal/allowance"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// largeTasks is a store and one entry for each service. Each service has tasks of one size, which take some rounds.
type largeTasks struct {
	store *accountStore
	books []*allowance.Book
	sizes []int
	// waiting counts the tasks of a service, left the rounds of the one that runs.
	waiting, left, done []int
	// isStalled has a service start nothing.
	isStalled []bool
}

func newLargeTasks(limit int, tasks int, sizes ...int) *largeTasks {
	l := &largeTasks{
		store: &accountStore{ledgers: map[fleet.ClientAccountID]allowance.Stored{account: {}}}, sizes: sizes,
		left: make([]int, len(sizes)), done: make([]int, len(sizes)), isStalled: make([]bool, len(sizes)),
	}
	for range sizes {
		b := allowance.NewBook()
		b.SetLimits(allowance.Limits{account: cores(limit)})
		l.books, l.waiting = append(l.books, b), append(l.waiting, 0)
	}
	l.waiting[len(sizes)-1] = 1
	for range 4 { // The others come while one runs.
		l.round()
	}
	for n := range sizes {
		l.waiting[n] = tasks
	}
	return l
}

func (l *largeTasks) service(n int) fleet.ServiceID {
	return fleet.ServiceID(fmt.Sprintf("service-%d", n))
}

// round lets each service start and end tasks and divide the limit once. It returns what runs.
func (l *largeTasks) round() int {
	for n, b := range l.books {
		if l.left[n] > 0 {
			if l.left[n]--; l.left[n] == 0 {
				l.done[n]++
			}
		}
		if l.left[n] == 0 && l.waiting[n] > 0 && !l.isStalled[n] && b.Allows(l.service(n), 1, account, cores(l.sizes[n])) {
			l.waiting[n], l.left[n] = l.waiting[n]-1, 5
		}
		d := allowance.Demand{Waiting: cores(l.waiting[n] * l.sizes[n])}
		if l.left[n] > 0 {
			d.Used = cores(l.sizes[n])
		}
		if l.waiting[n] > 0 {
			d.Least = cores(l.sizes[n])
		}
		reports := []allowance.Report{{Service: l.service(n), Epoch: 1, Accounts: map[fleet.ClientAccountID]allowance.Demand{account: d}}}
		if writes := b.Plan(l.store.ledgers, reports); len(writes) > 0 && l.store.write(writes) {
			b.Written(writes)
		}
	}
	running := 0
	for n := range l.sizes {
		if l.left[n] > 0 {
			running += l.sizes[n]
		}
	}
	return running
}

// Guards against tasks that never start, on idle endpoints: each is larger than an equal part of its account's limit, and
// services in which nothing can start hold such parts.
func TestTasksLargerThanAnEqualPartRunInTurn(t *testing.T) {
	for _, c := range []struct {
		name  string
		limit int
		sizes []int
	}{
		{"two above a half", 64, []int{40, 40}},
		{"three above a half", 64, []int{40, 40, 40}},
		{"three above a third", 100, []int{40, 40, 40}},
		{"one above its part beside small ones", 64, []int{40, 4, 4}},
		{"eight of a whole limit", 10, []int{10, 10, 10, 10, 10, 10, 10, 10}},
		{"one above the limit beside none", 10, []int{15}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			l := newLargeTasks(c.limit, 4, c.sizes...)
			rounds := 0
			for ; rounds < 1000; rounds++ {
				running := l.round()
				is.True(running <= max(c.limit, c.sizes[0]))
				left := 0
				for n := range c.sizes {
					left += l.waiting[n] + l.left[n]
				}
				if left == 0 {
					break
				}
			}
			t.Logf("%d rounds", rounds)
			is.True(rounds < 1000)
		})
	}
}

// Guards against a service whose tasks follow one another and leave nothing to one that waits for its turn.
func TestServiceInTurnIsNotHeldUpByNextTasks(t *testing.T) {
	is := is.New(t)
	l := newLargeTasks(64, 1000, 40, 40)
	for range 200 {
		l.round()
	}
	t.Logf("%d and %d tasks ran", l.done[0], l.done[1])
	is.True(min(l.done[0], l.done[1])*3 > max(l.done[0], l.done[1])*2)
}

// Guards against a service in its turn that has no place for its task, and for which all others wait.
func TestTurnPassesFromServiceThatStartsNothing(t *testing.T) {
	is := is.New(t)
	l := newLargeTasks(64, 2, 40, 40)
	l.isStalled[0] = true
	for range 200 {
		l.round()
	}
	is.Equal(l.done[1], 3)
	l.isStalled[0] = false
	for range 100 {
		l.round()
	}
	is.Equal(l.done[0], 2)
}
