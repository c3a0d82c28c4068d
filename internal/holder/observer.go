package holder

import (
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/mimosawharf/mimosawharf/internal/shard"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Observer logs and counts the decisions of one service.
type Observer struct {
	log   *zap.Logger
	scope tally.Scope

	wait, run, latency tally.Histogram
}

// LatencyBuckets are the buckets of the latency histograms.
var LatencyBuckets = tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 2, 14)

// NewObserver returns an observer of the holder of a service.
func NewObserver(log *zap.Logger, scope tally.Scope, service fleet.ServiceID, epoch fleet.FencingToken) *Observer {
	scope = scope.Tagged(map[string]string{"service": string(service)})
	return &Observer{
		log:     log.With(zap.String("service", string(service)), zap.Uint64("epoch", uint64(epoch))),
		scope:   scope,
		wait:    scope.Histogram("job_task_wait", LatencyBuckets),
		run:     scope.Histogram("job_task_run", LatencyBuckets),
		latency: scope.Histogram("job_latency", LatencyBuckets),
	}
}

// Assigned implements shard.Observer.
func (o *Observer) Assigned(id fleet.TaskID, run fleet.RunNumber, at fleet.EndpointID, waited time.Duration) {
	o.wait.RecordDuration(waited)
	o.log.Info("shard: task assigned", zap.String("job", string(id.Job)), zap.Stringer("task", id), zap.Uint32("run", uint32(run)),
		zap.String("endpoint", string(at)), zap.Duration("since-due", waited))
}

// RunEnded implements shard.Observer.
func (o *Observer) RunEnded(id fleet.TaskID, run fleet.RunNumber, at fleet.EndpointID, how fleet.RunEnd, ran time.Duration) {
	o.run.RecordDuration(ran)
	o.scope.Tagged(map[string]string{"how": string(how)}).Counter("job_runs_ended").Inc(1)
	o.log.Info("shard: run ended", zap.String("job", string(id.Job)), zap.Stringer("task", id), zap.Uint32("run", uint32(run)),
		zap.String("endpoint", string(at)), zap.String("how", string(how)), zap.Duration("ran", ran))
}

// JobEnded implements shard.Observer.
func (o *Observer) JobEnded(id fleet.JobID, state fleet.JobState, after time.Duration) {
	o.latency.RecordDuration(after)
	o.scope.Tagged(map[string]string{"state": string(state)}).Counter("jobs_ended").Inc(1)
	o.log.Info("shard: job ended", zap.String("job", string(id)), zap.String("state", string(state)), zap.Duration("since-due", after))
}

// Cancelled implements shard.Observer.
func (o *Observer) Cancelled(id fleet.JobID) {
	o.log.Info("shard: job cancelled", zap.String("job", string(id)))
}

// Rejected implements shard.Observer.
func (o *Observer) Rejected(order shard.Order, answer shard.Answer) {
	o.scope.Tagged(map[string]string{"order": string(order.Kind), "answer": string(answer)}).Counter("job_orders_rejected").Inc(1)
	fields := []zap.Field{zap.String("order", string(order.Kind)), zap.String("endpoint", string(order.Process.Endpoint)), zap.String("answer", string(answer))}
	if order.Kind != shard.OrderHold {
		fields = append(fields, zap.String("job", string(order.Task.Job)), zap.Stringer("task", order.Task), zap.Uint32("run", uint32(order.Run)))
	}
	o.log.Info("shard: order not carried out", fields...)
}

// Ejected implements shard.Observer.
func (o *Observer) Ejected(at fleet.EndpointID, failures int, duration time.Duration) {
	o.scope.Counter("endpoints_set_aside").Inc(1)
	o.log.Warn("shard: endpoint set aside", zap.String("endpoint", string(at)), zap.Int("failures", failures), zap.Duration("for", duration))
}

// RunsLost implements shard.Observer.
func (o *Observer) RunsLost(at fleet.EndpointID, lost int, reason string) {
	o.log.Warn("shard: runs of an endpoint given up", zap.String("endpoint", string(at)), zap.Int("runs", lost), zap.String("reason", reason))
}

// Reconnected implements shard.Observer.
func (o *Observer) Reconnected(at fleet.EndpointID) {
	o.log.Info("shard: endpoint answers again", zap.String("endpoint", string(at)))
}
