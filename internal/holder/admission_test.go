package holder

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mimosawharf/mimosawharf/internal/rowstore"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// storePlay plays the submissions of one part against a store that misbehaves, on a virtual clock.
type storePlay struct {
	admission admission
	now       time.Time
	random    *rand.Rand
	// rows are what the store holds.
	rows map[rowstore.Key]bool
	// due are writes and answers that are under way.
	due []dueEvent
	// timeoutAt is when the open attempt is given up.
	timeoutAt time.Time
	// freeAt is when the part of the store has carried out what it was sent.
	freeAt  time.Time
	attempt int

	answerTime time.Duration
	// busy refuses writes; reads are answered where readsWork is set.
	silent, busy, readsWork bool
	// loseShare of the writes is carried out without an answer, up to lateBy later.
	loseShare float64
	lateBy    time.Duration

	replies []playReply
}

type dueEvent struct {
	at time.Time
	do func()
}

type playReply struct {
	id      fleet.JobID
	outcome IntakeOutcome
	after   time.Duration
}

const playTick = 10 * time.Millisecond

func newStorePlay(seed uint64) *storePlay {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	return &storePlay{now: now, random: rand.New(rand.NewPCG(seed, 1)), rows: map[rowstore.Key]bool{}, answerTime: 4 * time.Millisecond}
}

func (p *storePlay) submit(id fleet.JobID) {
	arrived := p.now
	p.admission.add(p.now, &Submission{
		Job: &fleet.Job{ID: id}, Deadline: p.now.Add(3 * time.Second),
		Reply: func(o IntakeOutcome) { p.replies = append(p.replies, playReply{id, o, p.now.Sub(arrived)}) },
	})
}

func (p *storePlay) step() {
	p.now = p.now.Add(playTick)
	slices.SortStableFunc(p.due, func(a, b dueEvent) int { return a.at.Compare(b.at) })
	for len(p.due) > 0 && !p.due[0].at.After(p.now) {
		e := p.due[0]
		p.due = p.due[1:]
		e.do()
	}
	if p.admission.attempt != nil && !p.now.Before(p.timeoutAt) {
		p.attempt++
		p.admission.unanswered(p.now)
	}
	p.read()
	p.admission.expire(p.now)
	batch, timeout := p.admission.next(p.now)
	if batch == nil {
		return
	}
	p.timeoutAt = p.now.Add(timeout)
	p.send(slices.Clone(batch))
}

// read reads the store as a follower does, every 400 ms.
func (p *storePlay) read() {
	pace := &p.admission.pace
	switch isOpen := pace.BegunAt.After(pace.AnsweredAt); {
	case isOpen && !p.silent && (!p.busy || p.readsWork) && p.now.Sub(pace.BegunAt) >= p.answerTime:
		pace.Took, pace.AnsweredAt, pace.DueAt = p.answerTime, p.now, p.now.Add(400*time.Millisecond)
	case isOpen && p.now.Sub(pace.BegunAt) >= readTimeout, !isOpen && p.now.Sub(pace.AnsweredAt) >= 400*time.Millisecond:
		pace.BegunAt = p.now
	}
}

// send carries a transaction to the store.
func (p *storePlay) send(batch []*Submission) {
	p.attempt++
	attempt := p.attempt
	lost := p.random.Float64() < p.loseShare
	// The part applies transactions one after another.
	at := later(p.now, p.freeAt).Add(p.answerTime)
	p.freeAt = at
	if lost && p.lateBy > 0 {
		at = at.Add(time.Duration(p.random.Int64N(int64(p.lateBy))))
	}
	if p.silent && !lost {
		return
	}
	p.due = append(p.due, dueEvent{at, func() {
		var conflict []rowstore.Row
		for _, s := range batch {
			if row := s.row(); p.rows[row.Key] {
				row.Version = 1
				conflict = append(conflict, row)
			}
		}
		if conflict == nil && !p.busy {
			for _, s := range batch {
				p.rows[s.row().Key] = true
			}
		}
		if lost || attempt != p.attempt || p.admission.attempt == nil {
			return
		}
		p.attempt++
		switch {
		case p.busy:
			p.admission.refused(p.now, false)
		case conflict != nil:
			p.admission.conflicted(conflict)
		default:
			p.admission.applied()
		}
	}})
}

func (p *storePlay) play(d time.Duration) {
	for end := p.now.Add(d); p.now.Before(end); {
		p.step()
	}
}

// outcome returns the only reply to a submission.
func (p *storePlay) outcome(is *is.I, id fleet.JobID) playReply {
	is.Helper()
	var found []playReply
	for _, r := range p.replies {
		if r.id == id {
			found = append(found, r)
		}
	}
	is.Equal(len(found), 1) // each submission gets one reply
	return found[0]
}

// Guards against callers who are held to their deadline by a store that does not answer, and against
// refusals that go on after it has returned.
func TestSilentStoreIsToldEarly(t *testing.T) {
	is := is.New(t)
	p := newStorePlay(1)
	p.step()
	p.silent = true
	p.submit("first")
	p.play(700 * time.Millisecond)
	p.submit("second")
	is.Equal(p.outcome(is, "second"), playReply{"second", IntakeRefused, 0}) // the outage is known
	p.play(4 * time.Second)
	first := p.outcome(is, "first")
	is.Equal(first.outcome, IntakeUnknown) // it was sent
	is.True(first.after <= doubtPatience+playTick)
	p.silent = false
	p.play(readTimeout) // the read under way fails first
	p.submit("third")
	p.play(100 * time.Millisecond)
	is.Equal(p.outcome(is, "third").outcome, IntakeStored)
}

// Guards against a lost answer that holds up the other submissions of the part.
func TestLostAnswerIsFoundOutSoon(t *testing.T) {
	is := is.New(t)
	p := newStorePlay(1)
	p.play(100 * time.Millisecond) // a read is answered
	p.loseShare = 1
	p.submit("first")
	p.step()
	p.loseShare = 0
	p.submit("second")
	p.play(time.Second)
	for _, id := range []fleet.JobID{"first", "second"} {
		r := p.outcome(is, id)
		is.Equal(r.outcome, IntakeStored)
		is.True(r.after <= shortestAttempt+3*intakeRetry) // one attempt, and its repetition
	}
}

// Guards against callers who wait for a part that the store refuses while it answers reads, and against
// refusals that go on after it has returned. Before, they waited for 1.8 s each.
func TestRefusedPartIsToldEarly(t *testing.T) {
	is := is.New(t)
	p := newStorePlay(1)
	p.step()
	p.busy, p.readsWork = true, true
	p.submit("first")
	p.play(700 * time.Millisecond)
	first := p.outcome(is, "first")
	is.Equal(first.outcome, IntakeRefused)
	is.True(first.after <= intakePatience+playTick)
	p.submit("probe")
	p.submit("second")
	is.Equal(p.outcome(is, "second"), playReply{"second", IntakeRefused, 0})
	p.busy = false
	p.play(intakeRetry + 2*playTick)
	is.Equal(p.outcome(is, "probe").outcome, IntakeStored)
	p.submit("third")
	p.play(100 * time.Millisecond)
	is.Equal(p.outcome(is, "third").outcome, IntakeStored)
}

// Guards against refusals while the store is slow and answers, and against repetitions that slow it more.
func TestSlowStoreServes(t *testing.T) {
	for _, answer := range []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond} {
		t.Run(answer.String(), func(t *testing.T) {
			is := is.New(t)
			p := newStorePlay(1)
			p.answerTime = answer
			for i := range 12 {
				p.submit(fleet.JobID(fmt.Sprint("job-", i)))
				p.play(500 * time.Millisecond)
			}
			p.play(3 * time.Second)
			for i := 6; i < 12; i++ { // no attempt is long enough at first
				is.Equal(p.outcome(is, fleet.JobID(fmt.Sprint("job-", i))).outcome, IntakeStored)
			}
		})
	}
}

// Guards against refusals of what is or will be stored, acceptances of what is not, submissions without a
// reply or with two, and callers who wait longer than the stated bounds.
func TestIntakeRepliesAreTrue(t *testing.T) {
	for seed := range uint64(300) {
		is := is.New(t)
		p := newStorePlay(seed)
		n := 0
		for range 60 {
			switch r := p.random; r.IntN(6) {
			case 0:
				p.silent, p.busy = r.IntN(3) == 0, r.IntN(3) == 0
			case 1:
				p.loseShare = cmp.Or(float64(r.IntN(3)), 0) / 3
				p.lateBy = time.Duration(r.IntN(2)) * 4 * time.Second
			case 2:
				p.answerTime = []time.Duration{4, 40, 300}[r.IntN(3)] * time.Millisecond
			default:
				for range 1 + r.IntN(40) {
					p.submit(fleet.JobID(fmt.Sprint("job-", n)))
					n++
				}
			}
			p.play(time.Duration(p.random.IntN(400)) * time.Millisecond)
		}
		p.play(20 * time.Second)
		for i := range n {
			id := fleet.JobID(fmt.Sprint("job-", i))
			r, stored := p.outcome(is, id), p.rows[jobKey(id)]
			is.True(r.outcome != IntakeRefused || !stored) // a refusal is true
			is.True(r.outcome != IntakeStored || stored)   // an acceptance is true
			is.True(r.after < 3*time.Second)
		}
	}
}
