package holder

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mimosawharf/mimosawharf/internal/follow"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Load of a peak beside a slow store.
const (
	slowEntries     = 43
	slowTransaction = 240 * time.Millisecond // 60 times the usual time
	slowWindow      = time.Second            // what may wait for a part before it refuses more
)

// slowCall is a transaction on its way.
type slowCall struct {
	admission *admission
	refused   bool
	at        time.Time
}

// slowParts is a store whose parts apply the transactions of all entries one after another.
type slowParts struct {
	admissions [slowEntries][intakeParts]admission
	freeAt     [intakeParts]time.Time
	calls      []slowCall
	outcomes   map[IntakeOutcome]int
}

// submit hands a job in at an entry.
func (s *slowParts) submit(now time.Time, entry int, id fleet.JobID) {
	s.admissions[entry][IntakeIndex(id)].add(now, &Submission{
		Job: &fleet.Job{ID: id}, Deadline: now.Add(3 * time.Second), Reply: func(o IntakeOutcome) { s.outcomes[o]++ },
	})
}

func (s *slowParts) step(now time.Time) {
	var open []slowCall
	for _, c := range s.calls {
		switch {
		case c.at.After(now):
			open = append(open, c)
		case c.refused:
			c.admission.refused(now, true)
		default:
			c.admission.applied()
		}
	}
	s.calls = open
	for e := range s.admissions {
		for part := range s.admissions[e] {
			a := &s.admissions[e][part]
			a.latency = follow.Latency{SentAt: now, AnsweredAt: now, Latency: slowTransaction, DueAt: now}
			a.expire(now)
			if batch, _ := a.next(now); batch == nil {
				continue
			}
			start := later(s.freeAt[part], now)
			if start.Sub(now) > slowWindow {
				s.calls = append(s.calls, slowCall{a, true, now.Add(slowTransaction)})
				continue
			}
			s.freeAt[part] = start.Add(slowTransaction)
			s.calls = append(s.calls, slowCall{a, false, s.freeAt[part]})
		}
	}
}

// Guards against parts that refuse what the store could take: a turn of five times the mean, 100 jobs a second at 43
// entries, while each transaction takes 60 times as long.
func TestSlowStoreTakesPeakOfManyEntries(t *testing.T) {
	is := is.New(t)
	const perSecond, tick = 100, 10 * time.Millisecond
	random := rand.New(rand.NewPCG(1, 1))
	s := &slowParts{outcomes: map[IntakeOutcome]int{}}
	now, submitted := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), 0
	for end := now.Add(8 * time.Second); now.Before(end); now = now.Add(tick) {
		if end.Sub(now) > 3*time.Second && random.Float64() <= perSecond*tick.Seconds() {
			s.submit(now, random.IntN(slowEntries), fleet.JobID(fmt.Sprint("job-", submitted)))
			submitted++
		}
		s.step(now)
	}
	t.Logf("%d submissions: %v", submitted, s.outcomes)
	is.True(s.outcomes[IntakeStored] >= submitted*98/100)
}
