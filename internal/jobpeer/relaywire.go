package jobpeer

import (
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"github.com/mimosawharf/mimosawharf/internal/holder"
	"github.com/mimosawharf/mimosawharf/internal/shard"
	jobv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/job/v1"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Bounds of the numbers in relayed messages. They are those of the answers of endpoints, which relays have checked: what
// exceeds them was not sent by a relay of this product.
const (
	maxRelayDuration = 100 * 365 * 24 * time.Hour
	maxRelayWait     = 10 * time.Second
	maxRelayRun      = 1 << 30
	maxRelayEnd      = 1 << 53
	maxRelayIndex    = 1 << 20
)

func encodeBatch(b holder.RelayBatch) *jobv1.RelayBatch {
	m := &jobv1.RelayBatch{SentAfterUs: b.SentAfter.Microseconds(), Orders: make([]*jobv1.RelayOrder, 0, len(b.Orders))}
	for _, r := range b.Orders {
		o := r.Order
		e := &jobv1.RelayOrder{
			Number: r.Number, AgeUs: r.Age.Microseconds(), Kind: string(o.Kind), Endpoint: string(o.Process.Endpoint), StartedMs: o.Process.StartMillis,
			Address: string(o.Address), Token: uint64(o.Token), Payload: o.Payload, Checkpoint: string(o.Checkpoint), Ticket: string(o.Ticket),
			Percent: uint32(o.Percent), LeaseEndMs: o.Deadline.Milliseconds(), Acknowledged: uint64(o.Acknowledged), WaitMs: o.Wait.Milliseconds(),
		}
		if o.Kind != shard.OrderHold {
			e.Task = encodeRun(o.Task, o.Run)
		}
		m.Orders = append(m.Orders, e)
	}
	return m
}

func encodeRun(id fleet.TaskID, run fleet.RunNumber) *jobv1.RelayTask {
	return &jobv1.RelayTask{Job: string(id.Job), Occurrence: uint32(id.Occurrence), Step: uint32(id.Step), Task: uint32(id.Task), Run: uint32(run)}
}

// decodeRun returns false for a run that no endpoint can have.
func decodeRun(m *jobv1.RelayTask) (fleet.TaskID, fleet.RunNumber, bool) {
	ok := m != nil && m.GetRun() <= maxRelayRun && m.GetStep() < maxRelayIndex && m.GetTask() < maxRelayIndex
	return fleet.TaskID{
		Job: fleet.JobID(m.GetJob()), Occurrence: fleet.Occurrence(m.GetOccurrence()), Step: fleet.StepIndex(m.GetStep()), Task: fleet.TaskIndex(m.GetTask()),
	}, fleet.RunNumber(m.GetRun()), ok
}

// RelayMessageError reports a message that is not one of a relay or of its holder.
type RelayMessageError struct{ Problem string }

// Error implements error.
func (e *RelayMessageError) Error() string { return "relayed message: " + e.Problem }

func decodeBatch(raw []byte) (holder.RelayBatch, error) {
	m := &jobv1.RelayBatch{}
	if err := proto.Unmarshal(raw, m); err != nil {
		return holder.RelayBatch{}, trace.Wrap(err)
	}
	b := holder.RelayBatch{SentAfter: time.Duration(m.GetSentAfterUs()) * time.Microsecond, Orders: make([]holder.RelayOrder, 0, len(m.GetOrders()))}
	if b.SentAfter < 0 || b.SentAfter > maxRelayDuration {
		return holder.RelayBatch{}, trace.Wrap(&RelayMessageError{Problem: "time out of bounds"})
	}
	for _, e := range m.GetOrders() {
		o, err := decodeOrder(e)
		if err != nil {
			return holder.RelayBatch{}, err
		}
		b.Orders = append(b.Orders, o)
	}
	return b, nil
}

func decodeOrder(e *jobv1.RelayOrder) (holder.RelayOrder, error) {
	o := shard.Order{
		Kind: shard.OrderKind(e.GetKind()), Process: fleet.EndpointProcess{Endpoint: fleet.EndpointID(e.GetEndpoint()), StartMillis: e.GetStartedMs()},
		Address: fleet.Address(e.GetAddress()), Token: fleet.FencingToken(e.GetToken()), Payload: e.GetPayload(), Checkpoint: fleet.Checkpoint(e.GetCheckpoint()),
		Ticket: shard.Ticket(e.GetTicket()), Percent: int(e.GetPercent()), Deadline: time.Duration(e.GetLeaseEndMs()) * time.Millisecond,
		Acknowledged: fleet.EndCursor(e.GetAcknowledged()), Wait: time.Duration(e.GetWaitMs()) * time.Millisecond,
	}
	age := time.Duration(e.GetAgeUs()) * time.Microsecond
	if age < 0 || age > maxRelayDuration || o.Wait < 0 || o.Wait > maxRelayWait || o.Deadline < 0 || o.Deadline > maxRelayDuration || e.GetPercent() > 100 {
		return holder.RelayOrder{}, trace.Wrap(&RelayMessageError{Problem: "order out of bounds"})
	}
	switch o.Kind {
	case shard.OrderHold:
	case shard.OrderStart, shard.OrderStop, shard.OrderPace:
		var ok bool
		if o.Task, o.Run, ok = decodeRun(e.GetTask()); !ok {
			return holder.RelayOrder{}, trace.Wrap(&RelayMessageError{Problem: "task out of bounds"})
		}
	default:
		return holder.RelayOrder{}, trace.Wrap(&RelayMessageError{Problem: "unknown kind of order"})
	}
	return holder.RelayOrder{Number: e.GetNumber(), Age: age, Order: o}, nil
}

func encodeReport(r holder.RelayReport) *jobv1.RelayReport {
	m := &jobv1.RelayReport{Stopping: r.Stopping, Results: make([]*jobv1.RelayResult, 0, len(r.Results))}
	for _, n := range r.Results {
		s := n.Result
		e := &jobv1.RelayResult{
			Number: n.Number, Answer: string(s.Answer), Stale: s.Stale, Refused: n.Refused, ClockNs: int64(s.Clock), StartedMs: s.StartMillis, MoreEnds: s.MoreEnds,
		}
		for _, run := range s.Running {
			e.Running = append(e.Running, &jobv1.RelayRun{Task: encodeRun(run.Task, run.Run), Checkpoint: string(run.Checkpoint), Progress: uint32(run.Progress), Load: run.Load})
		}
		for _, end := range s.Ends {
			e.Ends = append(e.Ends, &jobv1.RelayEnd{Number: uint64(end.Number), Task: encodeRun(end.Task, end.Run), How: string(end.How), Checkpoint: string(end.Checkpoint)})
		}
		m.Results = append(m.Results, e)
	}
	return m
}

func decodeReport(raw []byte) (holder.RelayReport, error) {
	m := &jobv1.RelayReport{}
	if err := proto.Unmarshal(raw, m); err != nil {
		return holder.RelayReport{}, trace.Wrap(err)
	}
	r := holder.RelayReport{Stopping: m.GetStopping(), Results: make([]holder.RelayResult, 0, len(m.GetResults()))}
	for _, e := range m.GetResults() {
		s, err := decodeResult(e)
		if err != nil {
			return holder.RelayReport{}, err
		}
		r.Results = append(r.Results, holder.RelayResult{Number: e.GetNumber(), Refused: e.GetRefused(), Result: s})
	}
	return r, nil
}

// answers are the answers that a relay may report.
var answers = map[string]shard.Answer{}

func init() {
	for _, a := range []shard.Answer{
		shard.AnswerDone, shard.AnswerUnknown, shard.AnswerUnsent, shard.AnswerBusy, shard.AnswerFenced, shard.AnswerOld, shard.AnswerLate,
		shard.AnswerNoRoom, shard.AnswerNoTicket, shard.AnswerInvalid, shard.AnswerGone,
	} {
		answers[string(a)] = a
	}
}

func decodeResult(e *jobv1.RelayResult) (shard.Result, error) {
	s := shard.Result{Answer: answers[e.GetAnswer()], Stale: e.GetStale(), Clock: time.Duration(e.GetClockNs()), StartMillis: e.GetStartedMs(), MoreEnds: e.GetMoreEnds()}
	if s.Answer == "" || s.Clock < 0 || s.Clock > maxRelayDuration || s.StartMillis < 0 {
		return s, trace.Wrap(&RelayMessageError{Problem: "result out of bounds"})
	}
	for _, run := range e.GetRunning() {
		task, number, ok := decodeRun(run.GetTask())
		if !ok {
			return s, trace.Wrap(&RelayMessageError{Problem: "run out of bounds"})
		}
		s.Running = append(s.Running, shard.ListedRun{
			Task: task, Run: number, Checkpoint: fleet.Checkpoint(run.GetCheckpoint()), Progress: int(min(run.GetProgress(), 100)), Load: run.GetLoad(),
		})
	}
	for _, end := range e.GetEnds() {
		task, number, ok := decodeRun(end.GetTask())
		if !ok || end.GetNumber() > maxRelayEnd {
			return s, trace.Wrap(&RelayMessageError{Problem: "end out of bounds"})
		}
		s.Ends = append(s.Ends, shard.ListedEnd{
			Number: fleet.EndCursor(end.GetNumber()), Task: task, Run: number, How: fleet.RunEnd(end.GetHow()), Checkpoint: fleet.Checkpoint(end.GetCheckpoint()),
		})
	}
	return s, nil
}
