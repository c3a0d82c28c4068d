package holder

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/mimosawharf/mimosawharf/internal/clock"
	"github.com/mimosawharf/mimosawharf/internal/election"
	"github.com/mimosawharf/mimosawharf/internal/follow"
	"github.com/mimosawharf/mimosawharf/internal/ring"
	"github.com/mimosawharf/mimosawharf/internal/rowstore"
	"github.com/mimosawharf/mimosawharf/internal/shard"
	jobv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/job/v1"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// LostLeaseError reports that another entry holds the lease of a duty.
type LostLeaseError struct {
	Duty fleet.DutyName
}

// Error implements error.
func (e *LostLeaseError) Error() string { return "another entry holds the lease of " + string(e.Duty) }

// Identity identifies a process to the other entries.
type Identity struct {
	Entry       fleet.EntryID
	Incarnation fleet.Incarnation
	Zone        fleet.ZoneID
	// Millicores is the processor capacity of the entry's VM; 0 when it is not known.
	Millicores fleet.Millicores
	// Address is where other entries reach this one.
	Address fleet.Address
}

// Write is one transaction of a duty.
type Write struct {
	Puts    []rowstore.Row
	Removes []rowstore.Row
	// Renew writes the lease row too; Release releases the lease.
	Renew, Release bool
	// Settled is set when the orders of all earlier holders have expired; the lease row of maintenance records it.
	Settled bool
	// Full is set while the holder has no memory for further jobs; the lease row records it.
	Full bool
	// Moved counts the waiting jobs of queues of other services; the lease row records it.
	Moved map[fleet.QueueID]int
	// Bounds is stored with a renewal or a release; nil for a duty that runs no jobs.
	Bounds *jobv1.LeaseBounds
}

// Written reports the outcome of a write.
type Written struct {
	Duty  fleet.DutyName
	Epoch fleet.FencingToken
	// SentAt is when the attempt that took effect was sent, or the first one when that is not known.
	SentAt time.Time
	// Err is nil, or *LostLeaseError.
	Err error
}

// Chain writes the rows of one duty. Each transaction is conditional on the row that the previous one
// wrote. So a transaction whose answer was lost can be sent again unchanged and takes effect once, and the
// writes of an earlier holder never take effect after this one has taken over.
type Chain struct {
	Duty  fleet.DutyName
	Self  Identity
	Epoch fleet.FencingToken
	Store Store
	Clock clock.Clock
	// Log may be nil.
	Log *zap.Logger
	// Latency determines the timeout of attempts; nil means that the latency is not known.
	Latency *ring.Latest[follow.Latency]

	// tookReleased is set by Take when the previous holder had released the lease.
	tookReleased bool
	version      rowstore.Version
	sequence     uint64
	renewals     uint64
}

// Retries of transactions.
const (
	// transactTimeout bounds one attempt.
	transactTimeout = follow.MaxAttempt
	writeRetry      = 50 * time.Millisecond
	maxWriteRetry   = 400 * time.Millisecond
	// refusedRetry bounds the pause after a refusal: the holder must renew its lease before another entry
	// claims it.
	refusedRetry = 100 * time.Millisecond
)

// Write applies a transaction as WriteAt does.
func (c *Chain) Write(ctx context.Context, w Write) error {
	_, err := c.WriteAt(ctx, w)
	return err
}

// WriteAt applies a transaction and repeats it until its outcome is known. It returns when the attempt that took effect
// was sent, or the first one when that is not known, and *LostLeaseError or the context's error.
func (c *Chain) WriteAt(ctx context.Context, w Write) (time.Time, error) {
	first := c.Clock.Now()
	c.sequence++
	t := rowstore.Transaction{Puts: w.Puts, Removes: w.Removes}
	t.Puts = append(t.Puts, c.chainRow())
	if w.Renew || w.Release {
		c.renewals++
		t.Puts = append(t.Puts, c.leaseRow(w))
		if w.Bounds != nil {
			t.Puts = append(t.Puts, c.boundsRow(w.Bounds))
		}
	}
	attempts := 0
	for pause := writeRetry; ; pause, attempts = min(2*pause, maxWriteRetry), attempts+1 {
		t.Conditions = []rowstore.Condition{{Table: tableChain, Part: dutyPart(c.Duty), Key: keyChain, Version: c.version}}
		sent := c.Clock.Now()
		version, err := c.attempt(ctx, t, attempts)
		var conflict *rowstore.ConflictError
		var refused *rowstore.RefusedError
		switch {
		case err == nil:
			c.version = version
			return sent, nil
		case errors.As(err, &refused):
			c.logRefusal(refused, t, attempts)
			pause = min(pause, refusedRetry)
		case errors.As(err, &conflict):
			done, err := c.resolveConflict(conflict)
			if done || err != nil {
				return first, trace.Wrap(err)
			}
		}
		if err := clock.Wait(ctx, c.Clock, pause); err != nil {
			return first, trace.Wrap(err)
		}
	}
}

// logRefusal logs the first refusal of a transaction that is not due to the load or an outage of the store.
func (c *Chain) logRefusal(refused *rowstore.RefusedError, t rowstore.Transaction, attempts int) {
	if c.Log == nil || attempts > 0 || refused.Status == 0 || refused.Overloaded() || refused.Status == http.StatusServiceUnavailable {
		return
	}
	c.Log.Error("writer: the store refuses a transaction", zap.String("duty", string(c.Duty)), zap.Int("status", refused.Status),
		zap.Int("rows", len(t.Puts)+len(t.Removes)), zap.Int("bytes", size(t)))
}

func (c *Chain) attempt(ctx context.Context, t rowstore.Transaction, attempts int) (rowstore.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout(attempts)+follow.TransferTime(size(t)))
	defer cancel()
	return c.Store.Transact(ctx, t)
}

// timeout returns how long a call to the store may take after a number of attempts without an answer.
func (c *Chain) timeout(attempts int) time.Duration {
	if c.Latency == nil {
		return transactTimeout
	}
	return c.Latency.Get().Timeout(c.Clock.Now(), attempts)
}

// size approximates the size of a transaction by its values, which dominate it.
func size(t rowstore.Transaction) int {
	n := 0
	for _, row := range t.Puts {
		n += len(row.Value)
	}
	return n
}

// resolveConflict examines the conflicting row. It returns true when an earlier attempt of this transaction
// took effect.
func (c *Chain) resolveConflict(conflict *rowstore.ConflictError) (bool, error) {
	lost := &LostLeaseError{Duty: c.Duty}
	for _, row := range conflict.Rows {
		if row.Table != tableChain || row.Key != keyChain || row.Deleted {
			continue
		}
		m := &jobv1.Chain{}
		if err := proto.Unmarshal(row.Value, m); err != nil {
			return false, trace.Wrap(lost)
		}
		if m.GetEntry() != string(c.Self.Entry) || m.GetIncarnation() != string(c.Self.Incarnation) || m.GetEpoch() != uint64(c.Epoch) {
			return false, trace.Wrap(lost)
		}
		c.version = row.Version
		switch m.GetSequence() {
		case c.sequence:
			return true, nil
		case c.sequence - 1:
			// The version that the previous transaction reported was not that of the row.
			return false, nil
		}
	}
	return false, trace.Wrap(lost)
}

func (c *Chain) chainRow() rowstore.Row {
	return mustRow(tableChain, dutyPart(c.Duty), keyChain, &jobv1.Chain{
		Entry: string(c.Self.Entry), Incarnation: string(c.Self.Incarnation), Sequence: c.sequence,
		Epoch: uint64(c.Epoch),
	})
}

func (c *Chain) leaseRow(w Write) rowstore.Row {
	m := &jobv1.Lease{
		Duty: string(c.Duty), Entry: string(c.Self.Entry), Incarnation: string(c.Self.Incarnation),
		Address: string(c.Self.Address), Epoch: uint64(c.Epoch), Renewals: c.renewals, Released: w.Release, Settled: w.Settled, Full: w.Full,
	}
	for queue, jobs := range w.Moved {
		m.Moved = append(m.Moved, &jobv1.WaitingJobs{Queue: string(queue), Jobs: uint32(jobs)})
	}
	return mustRow(MembersTable, dutyPart(c.Duty), keyLease, m)
}

// mustRow encodes a message. Encoding fails only for text that is not UTF-8, which no field of the
// callers holds.
func mustRow(table rowstore.Table, part rowstore.Part, key rowstore.Key, m proto.Message) rowstore.Row {
	value, err := proto.Marshal(m)
	if err != nil {
		panic(err)
	}
	return rowstore.Row{Table: table, Part: part, Key: key, Value: value}
}

// Take takes the lease, and returns what is known of the leases that earlier holders granted. It returns
// *LostLeaseError when another entry was faster or still holds it, *rowstore.RefusedError or *rowstore.UnknownError when
// the store did not answer in time. previous is the lease as last read, or the zero value for a duty that never had a
// holder. The time to wait for the previous holder counts from that read, so a lease that has been renewed since is not
// taken.
func (c *Chain) Take(ctx context.Context, previous election.Lease) (shard.Inheritance, error) {
	var none shard.Inheritance
	page, err := c.scan(ctx, rowstore.Only(tableChain, dutyPart(c.Duty), keyChain))
	if err != nil {
		return none, trace.Wrap(err)
	}
	var chainEpoch fleet.FencingToken
	for _, row := range page.Rows {
		if row.Key == keyChain {
			c.version = row.Version
			m := &jobv1.Chain{}
			if proto.Unmarshal(row.Value, m) == nil {
				chainEpoch = fleet.FencingToken(m.GetEpoch())
			}
		}
	}
	leases, err := c.scan(ctx, rowstore.Only(MembersTable, dutyPart(c.Duty), keyLease))
	if err != nil {
		return none, trace.Wrap(err)
	}
	current := previous
	for _, row := range leases.Rows {
		m := &jobv1.Lease{}
		if row.Key != keyLease || proto.Unmarshal(row.Value, m) != nil {
			continue
		}
		epoch := fleet.FencingToken(m.GetEpoch())
		if epoch > previous.Epoch || epoch == previous.Epoch && m.GetRenewals() != previous.Renewals && !m.GetReleased() {
			return none, trace.Wrap(&LostLeaseError{Duty: c.Duty})
		}
		current = lease(m)
		c.tookReleased = current.Released
	}
	write := Write{Renew: true}
	var inherited shard.Inheritance
	if _, runsJobs := serviceOf(c.Duty); runsJobs {
		bounds, err := c.readBounds(ctx)
		if err != nil {
			return none, trace.Wrap(err)
		}
		now := c.Clock.Now()
		inherited = inheritance(now, previous, current, chainEpoch, bounds)
		write.Bounds = storedBounds(now, inherited)
	}
	// Endpoints may have seen the epoch of a holder whose lease row is missing.
	c.Epoch = max(previous.Epoch, chainEpoch) + shard.EpochStep
	return inherited, trace.Wrap(c.Write(ctx, write))
}
