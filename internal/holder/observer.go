package holder

import (
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/mimosawharf/mimosawharf/internal/shard"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Observer logs and counts the decisions of one service. Messages about leases have a prefix of their own, so that
// the rate limit of the log keeps them when there are many assignments and orders.
type Observer struct {
	log   *zap.Logger
	scope tally.Scope

	wait, run, latency                    tally.Histogram
	firstPlan, toSend, toAnswer, unserved tally.Histogram
	// nearWait is how long tasks waited for a place near their data.
	nearWait            tally.Histogram
	sent, stale, missed tally.Counter
	// counters caches the counters that are told apart by a tag: to look one up takes as long as to log a line.
	counters map[taggedCounter]tally.Counter
}

// taggedCounter identifies a counter.
type taggedCounter struct{ name, tag, value string }

// LatencyBuckets are the buckets of the latency histograms.
var LatencyBuckets = tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 2, 14)

// NewObserver returns an observer of the holder of a service. It is not safe for concurrent use.
func NewObserver(log *zap.Logger, scope tally.Scope, service fleet.ServiceID, epoch fleet.FencingToken) *Observer {
	scope = scope.Tagged(map[string]string{"service": string(service)})
	o := &Observer{
		log:     log.With(zap.String("service", string(service)), zap.Uint64("epoch", uint64(epoch))),
		scope:   scope,
		wait:    scope.Histogram("job_task_wait", LatencyBuckets),
		run:     scope.Histogram("job_task_run", LatencyBuckets),
		latency: scope.Histogram("job_latency", LatencyBuckets),

		firstPlan: scope.Histogram("job_first_plan", LatencyBuckets),
		toSend:    scope.Histogram("job_start_to_send", LatencyBuckets),
		toAnswer:  scope.Histogram("job_start_to_answer", LatencyBuckets),
		unserved:  scope.Histogram("job_lasting_wait", LatencyBuckets),
		nearWait:  scope.Histogram("job_near_wait", LatencyBuckets),
		sent:      scope.Counter("job_starts_sent"),
		stale:     scope.Counter("job_starts_stale"),
		missed:    scope.Counter("job_renewals_missed"),
		counters:  map[taggedCounter]tally.Counter{},
	}
	for _, c := range []tally.Counter{o.sent, o.stale, o.missed} {
		c.Inc(0) // Scrapers see the counter before the first event.
	}
	return o
}

// Assigned implements shard.Observer.
func (o *Observer) Assigned(id fleet.TaskID, run fleet.RunNumber, at fleet.EndpointProcess, waited time.Duration) {
	o.wait.RecordDuration(waited)
	if run == 1 {
		o.firstPlan.RecordDuration(waited)
	}
	if line := o.log.Check(zap.InfoLevel, "shard: task assigned"); line != nil {
		line.Write(runFields(id, run, at, zap.Duration("since-due", waited))...)
	}
}

// RunEnded implements shard.Observer.
func (o *Observer) RunEnded(id fleet.TaskID, run fleet.RunNumber, at fleet.EndpointProcess, how fleet.RunEnd, ran time.Duration) {
	o.run.RecordDuration(ran)
	o.countEnd(how)
	if line := o.log.Check(zap.InfoLevel, "shard: run ended"); line != nil {
		line.Write(runFields(id, run, at, zap.String("how", string(how)), zap.Duration("ran", ran))...)
	}
}

// LateEnd implements shard.Observer.
func (o *Observer) LateEnd(id fleet.TaskID, run fleet.RunNumber, at fleet.EndpointProcess, how fleet.RunEnd) {
	o.countEnd(how)
	o.log.Info("lease: run ended after it was given up", runFields(id, run, at, zap.String("how", string(how)))...)
}

func (o *Observer) countEnd(how fleet.RunEnd) {
	o.count("job_runs_ended", "how", string(how), 1)
}

// RenewalMissed implements shard.Observer.
func (o *Observer) RenewalMissed() { o.missed.Inc(1) }

// StartAnswered implements shard.Observer. Answers other than done are counted by Rejected.
func (o *Observer) StartAnswered(s shard.StartTimes) {
	switch {
	case s.Stale:
		o.stale.Inc(1)
		return
	case s.Answer == shard.AnswerUnsent:
		return
	}
	o.sent.Inc(1)
	o.toAnswer.RecordDuration(s.ToAnswer)
	if s.ToSend > 0 {
		o.toSend.RecordDuration(s.ToSend)
	}
}

// DataPlaced implements shard.Observer.
func (o *Observer) DataPlaced(p shard.DataPlace) {
	where := "near"
	if p.Far {
		where = "far"
	}
	o.count("job_data_places", "where", where, 1)
	if p.Reason == "" {
		return // No decision was needed.
	}
	o.count("job_near_waits", "reason", string(p.Reason), 1)
	o.nearWait.RecordDuration(p.Waited)
	if line := o.log.Check(zap.InfoLevel, "shard: task placed by its data"); line != nil {
		line.Write(zap.String("queue", string(p.Queue)), zap.String("where", where), zap.String("reason", string(p.Reason)), zap.Duration("waited", p.Waited))
	}
}

// LastingWaits implements shard.Observer.
func (o *Observer) LastingWaits(w shard.LastingWait) {
	o.log.Info("lasting: task waits", append(waitFields(w), zap.Duration("lease-left", w.Left))...)
}

// LastingWaited implements shard.Observer.
func (o *Observer) LastingWaited(reason shard.WaitReason, tasks int, during time.Duration) {
	o.count("job_lasting_waiting_ms", "reason", string(reason), int64(tasks)*during.Milliseconds())
}

// LastingResumed implements shard.Observer.
func (o *Observer) LastingResumed(w shard.LastingWait) {
	o.unserved.RecordDuration(w.Waited)
	o.log.Info("lasting: task runs again", waitFields(w)...)
}

func waitFields(w shard.LastingWait) []zap.Field {
	fields := append(runFields(w.Task, w.Run, w.Process), zap.Duration("waited", w.Waited))
	if w.Reason != "" {
		fields = append(fields, zap.String("reason", string(w.Reason)))
	}
	if w.Inherited {
		fields = append(fields, zap.Bool("from-predecessor", true))
	}
	return fields
}

// count adds to the counter of the kind that the tag tells.
func (o *Observer) count(name, tag, value string, n int64) {
	key := taggedCounter{name, tag, value}
	counter := o.counters[key]
	if counter == nil {
		counter = o.scope.Tagged(map[string]string{tag: value}).Counter(name)
		o.counters[key] = counter
	}
	counter.Inc(n)
}

// runFields returns the fields that identify a run and the process that executes it, and more.
func runFields(id fleet.TaskID, run fleet.RunNumber, at fleet.EndpointProcess, more ...zap.Field) []zap.Field {
	fields := append(processFields(at), zap.String("job", string(id.Job)), zap.Stringer("task", id), zap.Uint32("run", uint32(run)))
	return append(fields, more...)
}

// processFields returns the fields that identify a process.
func processFields(at fleet.EndpointProcess) []zap.Field {
	const usualFields = 8
	fields := make([]zap.Field, 0, usualFields)
	return append(fields, zap.String("endpoint", string(at.Endpoint)), zap.Int64("started-ms", at.StartMillis))
}

// JobEnded implements shard.Observer.
func (o *Observer) JobEnded(id fleet.JobID, state fleet.JobState, after time.Duration) {
	o.latency.RecordDuration(after)
	o.count("jobs_ended", "state", string(state), 1)
	o.log.Info("shard: job ended", zap.String("job", string(id)), zap.String("state", string(state)), zap.Duration("since-due", after))
}

// Cancelled implements shard.Observer.
func (o *Observer) Cancelled(id fleet.JobID) {
	o.log.Info("cancel: job cancelled", zap.String("job", string(id)))
}

// Rejected implements shard.Observer.
func (o *Observer) Rejected(order shard.Order, answer shard.Answer, after time.Duration) {
	o.scope.Tagged(map[string]string{"order": string(order.Kind), "answer": string(answer)}).Counter("job_orders_rejected").Inc(1)
	fields := processFields(order.Process)
	if order.Kind != shard.OrderHold {
		fields = runFields(order.Task, order.Run, order.Process)
	}
	message := "shard: order not carried out"
	if answer == shard.AnswerUnknown {
		message = "shard: order without an answer"
	}
	o.log.Info(message, append(fields, zap.String("order", string(order.Kind)), zap.String("answer", string(answer)), zap.Duration("after", after),
		zap.Duration("deadline", order.Deadline))...)
}

// Ejected implements shard.Observer.
func (o *Observer) Ejected(at fleet.EndpointID, failures int, duration time.Duration) {
	o.scope.Counter("endpoints_set_aside").Inc(1)
	o.log.Warn("shard: endpoint set aside", zap.String("endpoint", string(at)), zap.Int("failures", failures), zap.Duration("for", duration))
}

// RunLost implements shard.Observer.
func (o *Observer) RunLost(l shard.Loss) {
	o.count("job_runs_given_up", "reason", string(l.Reason), 1)
	if l.Reason == shard.LossRejected {
		return // Rejected logs the order of the run.
	}
	fields := append(runFields(l.Task, l.Run, l.Process), zap.String("reason", string(l.Reason)), zap.String("evidence", string(l.Evidence)),
		zap.Duration("evidence-age", l.EvidenceAge), zap.Duration("since-answer", l.SinceAnswer), zap.Duration("lease-left", l.LeaseLeft))
	if l.Assigned.StartMillis != l.Process.StartMillis {
		fields = append(fields, zap.Int64("assigned-started-ms", l.Assigned.StartMillis))
	}
	if l.Inherited {
		fields = append(fields, zap.Bool("from-predecessor", true))
	}
	if l.Reason == shard.LossNotListed {
		fields = append(fields, zap.Duration("list-clock", l.ListClock), zap.Duration("started-clock", l.StartedClock))
	}
	o.log.Info("lease: run given up", fields...)
}

// RunsLost implements shard.Observer.
func (o *Observer) RunsLost(at fleet.EndpointID, lost int, reason shard.LossReason) {
	if lost == 0 {
		return
	}
	o.log.Warn("lease: runs of an endpoint given up", zap.String("endpoint", string(at)), zap.Int("runs", lost), zap.String("reason", string(reason)))
}

// Restarted implements shard.Observer.
func (o *Observer) Restarted(r shard.Restart) {
	o.scope.Counter("endpoints_restarted").Inc(1)
	o.log.Warn("lease: endpoint restarted", append(processFields(r.Process), zap.Int64("previous-started-ms", r.PreviousStartMillis),
		zap.Duration("since-answer", r.SinceAnswer), zap.Int("runs", r.Lost), zap.Int("kept", r.Kept),
		zap.Duration("lease-left", r.LeaseLeft))...)
}

// ForeignListed implements shard.Observer.
func (o *Observer) ForeignListed(f shard.ForeignRun) {
	o.scope.Tagged(map[string]string{"evidence": string(f.Evidence)}).Counter("job_foreign_runs").Inc(1)
	fields := append(runFields(f.Task, f.Run, f.Process), zap.Duration("clock", f.Clock), zap.Uint32("current-run", uint32(f.CurrentRun)))
	if f.Current.Endpoint != "" {
		fields = append(fields, zap.String("current-endpoint", string(f.Current.Endpoint)), zap.Int64("current-started-ms", f.Current.StartMillis),
			zap.String("evidence", string(f.Evidence)))
	}
	o.log.Warn("lease: foreign run listed", fields...)
}

// ClockStepped implements shard.Observer.
func (o *Observer) ClockStepped(s shard.ClockStep) {
	o.scope.Counter("endpoint_clock_steps").Inc(1)
	o.log.Warn("lease: endpoint clock stepped", append(processFields(s.Process), zap.String("order", string(s.Order)), zap.Duration("clock", s.Clock),
		zap.Duration("earliest", s.Earliest), zap.Duration("latest", s.Latest))...)
}

// Reconnected implements shard.Observer.
func (o *Observer) Reconnected(at fleet.EndpointID) {
	o.log.Info("shard: endpoint answers again", zap.String("endpoint", string(at)))
}
