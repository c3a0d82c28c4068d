package shard

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mimosawharf/mimosawharf/internal/job"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

type plannedRun struct {
	process fleet.EndpointProcess
	id      fleet.TaskID
	run     fleet.RunNumber
}

type jobState struct {
	entry   *jobEntry
	state   fleet.JobState
	endedAt time.Time
}

// NextBatch returns the changes since the last batch, or nil when there are none or a batch is still being
// committed. It returns the encoder's error.
func (e *Engine) NextBatch(encoder Encoder) (*Batch, error) {
	if e.batch != nil {
		return nil, nil
	}
	if len(e.dirty)+len(e.dirtySchedules)+len(e.orphans) == 0 {
		e.acknowledge()
		return nil, nil
	}
	b := &Batch{occurrences: map[job.Key]bool{}, acks: map[fleet.EndpointProcess]fleet.EndCursor{}, jobs: map[fleet.JobID]*jobState{}}
	if err := e.addOccurrences(b, encoder); err != nil {
		return nil, err
	}
	if err := e.addSchedules(b, encoder); err != nil {
		return nil, err
	}
	e.addRemovals(b)
	if len(b.Rows) == 0 {
		e.acknowledge()
		return nil, nil
	}
	for _, js := range b.jobs {
		js.state, js.endedAt = js.entry.state(), js.entry.lastEnd()
	}
	e.collect(b)
	e.batch = b
	return b, nil
}

// addOccurrences adds the rows of changed occurrences as long as there is room. All rows of one go together.
func (e *Engine) addOccurrences(b *Batch, encoder Encoder) error {
	for _, key := range e.dirtyKeys() {
		entry := e.jobs[key.Job]
		if entry == nil || entry.open[key.Occurrence] == nil {
			delete(e.dirty, key)
			continue
		}
		values, err := encoder.Encode(entry.open[key.Occurrence])
		if err != nil {
			return err
		}
		rows, sums := changedRows(key, values, entry.parts[key.Occurrence])
		var size fleet.Bytes
		for _, row := range rows {
			size += fleet.Bytes(len(row.Value))
		}
		if !b.hasRoom(len(rows), size) {
			return nil // No end is acknowledged before it has had its turn, so that the others come to rest.
		}
		if len(sums) > 0 {
			if entry.parts == nil {
				entry.parts = map[fleet.Occurrence][]uint64{}
			}
			entry.parts[key.Occurrence] = sums
		}
		for _, row := range rows {
			delete(e.orphans, row.Key)
			b.add(row.Key, row.Value)
		}
		delete(e.dirty, key)
		b.occurrences[key] = true
		b.jobs[key.Job] = &jobState{entry: entry}
	}
	return nil
}

// changedRows returns the rows of an occurrence to be written, and the checksums of all its parts. Parts with the
// checksum of the stored row are left out.
func changedRows(key job.Key, values [][]byte, stored []uint64) (rows []RowWrite, sums []uint64) {
	for part, value := range values {
		if part > 0 {
			sum := xxhash.Sum64(value)
			sums = append(sums, sum)
			if part <= len(stored) && stored[part-1] == sum {
				continue
			}
		}
		rows = append(rows, RowWrite{Key: RowKey{Job: key.Job, Occurrence: key.Occurrence, Part: part}, Value: value})
	}
	return rows, sums
}

// addSchedules adds the rows of changed schedules as long as there is room.
func (e *Engine) addSchedules(b *Batch, encoder Encoder) error {
	for id := range e.dirtySchedules {
		entry := e.jobs[id]
		if entry == nil {
			delete(e.dirtySchedules, id)
			continue
		}
		value, err := encoder.EncodeSchedule(id, entry.schedule)
		if err != nil {
			return err
		}
		if !b.hasRoom(1, fleet.Bytes(len(value))) {
			return nil
		}
		key := RowKey{Job: id, IsSchedule: true}
		delete(e.orphans, key)
		b.add(key, value)
		delete(e.dirtySchedules, id)
		b.jobs[id] = &jobState{entry: entry}
	}
	return nil
}

// acknowledge marks all processed ends as committed. It is called when no change is left to commit.
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

// addRemovals adds the deletion of rows that are needed no more as long as there is room.
func (e *Engine) addRemovals(b *Batch) {
	for key := range e.orphans {
		if !b.hasRoom(1, 0) {
			return
		}
		// A schedule says that an occurrence has ended before the rows of the occurrence go.
		if e.dirtySchedules[key.Job] && !key.IsSchedule {
			continue
		}
		b.add(key, nil)
		delete(e.orphans, key)
	}
}

// collect records which ends may be acknowledged and which runs may start once the batch is committed. If some
// occurrences did not fit into the batch, their runs and all ends wait for a later one.
func (e *Engine) collect(b *Batch) {
	if len(e.dirty) == 0 {
		for _, w := range e.workers {
			if w.cursor > w.acked {
				b.acks[w.Process()] = w.cursor
			}
		}
	}
	e.planned = slices.DeleteFunc(e.planned, func(p plannedRun) bool { return !e.isPlanned(p) })
	for _, p := range e.planned {
		if b.occurrences[job.Key{Job: p.id.Job, Occurrence: p.id.Occurrence}] {
			b.planned = append(b.planned, plannedRun{e.workers[p.process.Endpoint].Process(), p.id, p.run})
		}
	}
	slices.SortFunc(b.planned, func(x, y plannedRun) int {
		return cmp.Or(cmp.Compare(x.id.Job, y.id.Job), cmp.Compare(x.id.Occurrence, y.id.Occurrence),
			cmp.Compare(x.id.Step, y.id.Step), cmp.Compare(x.id.Task, y.id.Task))
	})
}

// isPlanned reports whether a run that was assigned still waits for its commit.
func (e *Engine) isPlanned(p plannedRun) bool {
	w := e.workers[p.process.Endpoint]
	if w == nil {
		return false
	}
	a := w.runs[p.id]
	return a != nil && a.run == p.run && a.phase == phasePlanned
}

// inFlight reports whether the assignment of a task is part of the batch that is being committed.
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

// Committed applies the effects of the batch whose transaction was committed: it publishes job states,
// acknowledges ends and starts planned runs.
func (e *Engine) Committed(now time.Time) {
	b := e.batch
	e.batch = nil
	if b == nil {
		return
	}
	for id, js := range b.jobs {
		if e.jobs[id] == js.entry {
			js.entry.committed, js.entry.endedAt = js.state, js.endedAt
			e.closeEnded(js.entry)
		}
	}
	for process, cursor := range b.acks {
		if w := e.workers[process.Endpoint]; w != nil && w.Process() == process && cursor > w.acked {
			w.acked = cursor
			w.nextHoldAt = later(now, w.lastAnswerAt.Add(e.holdPause(now)))
		}
	}
	for _, p := range b.planned {
		w := e.workers[p.process.Endpoint]
		if w == nil || w.Process() != p.process {
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
	if o == nil || o.State.IsFinal() || !w.contacted || !e.mayStart(now, w) || !e.Current(now) {
		e.markLost(now, w, a, Loss{Reason: LossNotSent})
		return
	}
	order := e.order(w, OrderStart, a)
	order.Payload, order.Checkpoint = o.Job.Payload, o.Task(a.id).Checkpoint
	if a.step.Gang {
		order.Checkpoint = o.Tasks[a.id.Step][0].Checkpoint
	}
	if e.policy(o.Job).NeedsTickets {
		ticket, ok := e.ticket(now, StepID{a.id.Job, a.id.Occurrence, a.id.Step}, w)
		if !ok {
			e.markLost(now, w, a, Loss{Reason: LossNotSent})
			return
		}
		order.Ticket = ticket
	}
	order.Deadline = w.deadline(now, e.leaseLength())
	w.extendLease(now, e.leaseLength())
	w.unprovenLeaseEnd = later(w.unprovenLeaseEnd, now.Add(orderTransit))
	a.phase = phaseOrdered
	e.out = append(e.out, order)
}
