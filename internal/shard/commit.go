package shard

import (
	"cmp"
	"slices"
	"time"

	"github.com/mimosawharf/mimosawharf/internal/job"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// batchRows bounds the rows of one transaction, below the 100 entries that the store takes.
const batchRows = 80

// batchBytes bounds the values of one transaction, below the 1 MB that the store takes with its encoding.
const batchBytes = 400 << 10

// Encoder converts an occurrence to the value of its row.
type Encoder interface {
	Encode(o *job.Occurrence) ([]byte, error)
}

// RowWrite is one row of a batch. A nil value removes the row.
type RowWrite struct {
	Key   job.Key
	Value []byte
}

// Batch is a transaction on the rows of the service. Orders that depend on it wait for Committed.
type Batch struct {
	Rows    []RowWrite
	planned []planned
	acks    map[fleet.EndpointProcess]fleet.EndCursor
	jobs    map[fleet.JobID]*shownState
}

type planned struct {
	at  fleet.EndpointProcess
	id  fleet.TaskID
	run fleet.RunNumber
}

type shownState struct {
	state fleet.JobState
	ended time.Time
}

// NextBatch returns what has changed since the last batch, or nil when nothing has, or a batch is still
// with the store. It returns the encoder's error.
func (e *Engine) NextBatch(encoder Encoder) (*Batch, error) {
	if e.batch != nil {
		return nil, nil
	}
	if len(e.dirty)+len(e.drop)+len(e.orphans) == 0 {
		e.acknowledge()
		return nil, nil
	}
	b := &Batch{acks: map[fleet.EndpointProcess]fleet.EndCursor{}, jobs: map[fleet.JobID]*shownState{}}
	size := 0
	for _, key := range e.dirtyKeys() {
		if len(b.Rows) >= batchRows || size >= batchBytes {
			break
		}
		delete(e.dirty, key)
		entry := e.jobs[key.Job]
		if entry == nil {
			continue
		}
		value, err := encoder.Encode(entry.occurrences[key.Occurrence])
		if err != nil {
			return nil, err
		}
		size += len(value)
		b.Rows = append(b.Rows, RowWrite{Key: key, Value: value})
		b.jobs[key.Job] = &shownState{}
	}
	for id := range b.jobs {
		entry := e.jobs[id]
		shown := b.jobs[id]
		shown.state = entry.state()
		for _, o := range entry.occurrences {
			shown.ended = later(shown.ended, o.EndedAt)
		}
	}
	e.forget(b)
	e.collect(b)
	e.batch = b
	return b, nil
}

// acknowledge lets ends go that changed nothing.
func (e *Engine) acknowledge() {
	for _, w := range e.workers {
		w.acked = w.cursor
	}
}

func (e *Engine) dirtyKeys() []job.Key {
	keys := make([]job.Key, 0, len(e.dirty))
	for key := range e.dirty {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, compareKeys)
	return keys
}

func compareKeys(a, b job.Key) int {
	return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Occurrence, b.Occurrence))
}

// forget adds the removal of the rows of ended jobs and of rows without a job.
func (e *Engine) forget(b *Batch) {
	for key := range e.orphans {
		if len(b.Rows) >= batchRows {
			return
		}
		b.Rows = append(b.Rows, RowWrite{Key: key})
		delete(e.orphans, key)
	}
	for id := range e.drop {
		entry := e.jobs[id]
		if entry == nil {
			delete(e.drop, id)
			continue
		}
		if len(b.Rows)+len(entry.occurrences) > batchRows {
			return
		}
		for _, o := range entry.occurrences {
			b.Rows = append(b.Rows, RowWrite{Key: o.Key()})
		}
		delete(e.drop, id)
		delete(e.jobs, id)
	}
}

// collect notes what may happen once the batch is committed. Ends and assignments of occurrences that did
// not fit into the batch wait for a later one.
func (e *Engine) collect(b *Batch) {
	included := make(map[job.Key]bool, len(b.Rows))
	for _, r := range b.Rows {
		included[r.Key] = true
	}
	for _, w := range e.sorted() {
		if len(e.dirty) == 0 {
			b.acks[w.Process()] = w.cursor
		}
		for id, a := range w.runs {
			if a.phase == phasePlanned && included[job.Key{Job: id.Job, Occurrence: id.Occurrence}] {
				b.planned = append(b.planned, planned{w.Process(), id, a.run})
			}
		}
	}
	slices.SortFunc(b.planned, func(x, y planned) int {
		return cmp.Or(cmp.Compare(x.id.Job, y.id.Job), cmp.Compare(x.id.Occurrence, y.id.Occurrence),
			cmp.Compare(x.id.Step, y.id.Step), cmp.Compare(x.id.Task, y.id.Task))
	})
}

// inFlight reports whether the assignment of a task is in the batch that the store has.
func (e *Engine) inFlight(id fleet.TaskID) bool {
	if e.batch == nil {
		return false
	}
	for _, p := range e.batch.planned {
		if p.id == id {
			return true
		}
	}
	return false
}

// Committed releases what waited for the batch.
func (e *Engine) Committed(now time.Time) {
	b := e.batch
	e.batch = nil
	if b == nil {
		return
	}
	for id, shown := range b.jobs {
		if entry := e.jobs[id]; entry != nil {
			entry.shown, entry.endedAt = shown.state, shown.ended
		}
	}
	for process, cursor := range b.acks {
		if w := e.workers[process.Endpoint]; w != nil && w.Process() == process && cursor > w.acked {
			w.acked = cursor
			w.holdAgainAt = now
		}
	}
	for _, p := range b.planned {
		w := e.workers[p.at.Endpoint]
		if w == nil || w.Process() != p.at {
			continue
		}
		if a := w.runs[p.id]; a != nil && a.run == p.run && a.phase == phasePlanned {
			e.start(now, w, a)
		}
	}
}

// start sends the order for a committed assignment.
func (e *Engine) start(now time.Time, w *worker, a *assignment) {
	o := e.occurrence(a.id)
	if o == nil || o.State.Ended() || !w.contacted {
		e.lost(now, w, a, a.id)
		return
	}
	order := e.order(w, OrderStart, a)
	order.Payload, order.Checkpoint = o.Job.Payload, o.Task(a.id).Checkpoint
	if a.step.Gang {
		order.Checkpoint = o.Tasks[a.id.Step][0].Checkpoint
	}
	if e.policy(o.Job.Queue).Advised {
		ticket, ok := e.ticket(now, StepID{a.id.Job, a.id.Occurrence, a.id.Step}, w)
		if !ok {
			e.lost(now, w, a, a.id)
			return
		}
		order.Ticket = ticket
	}
	order.Deadline = w.deadline(now, e.leaseLength())
	w.extendLease(now, e.leaseLength())
	a.phase = phaseOrdered
	e.out = append(e.out, order)
}
