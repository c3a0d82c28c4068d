package shard_test

import (
	"time"

	"github.com/mimosawharf/mimosawharf/internal/shard"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// fakeObserver keeps what tests look at.
type fakeObserver struct {
	ejections map[fleet.EndpointID]int
	losses    []shard.Loss
	restarts  []shard.Restart
	foreign   []shard.ForeignRun
	steps     []shard.ClockStep
	rejected  []shard.Order
	waits     []shard.LastingWait
	resumed   []shard.LastingWait
	places    []shard.DataPlace
}

func (*fakeObserver) Assigned(fleet.TaskID, fleet.RunNumber, fleet.EndpointProcess, time.Duration) {}

func (*fakeObserver) RunEnded(fleet.TaskID, fleet.RunNumber, fleet.EndpointProcess, fleet.RunEnd, time.Duration) {
}

func (*fakeObserver) LateEnd(fleet.TaskID, fleet.RunNumber, fleet.EndpointProcess, fleet.RunEnd) {}
func (*fakeObserver) JobEnded(fleet.JobID, fleet.JobState, time.Duration)                        {}
func (*fakeObserver) Cancelled(fleet.JobID)                                                      {}
func (o *fakeObserver) Rejected(order shard.Order, _ shard.Answer, _ time.Duration) {
	o.rejected = append(o.rejected, order)
}

func (o *fakeObserver) Ejected(at fleet.EndpointID, _ int, _ time.Duration) {
	o.ejections[at]++
}
func (o *fakeObserver) DataPlaced(p shard.DataPlace)       { o.places = append(o.places, p) }
func (o *fakeObserver) LastingWaits(w shard.LastingWait)   { o.waits = append(o.waits, w) }
func (o *fakeObserver) LastingResumed(w shard.LastingWait) { o.resumed = append(o.resumed, w) }
func (*fakeObserver) LastingWaited(shard.WaitReason, int, time.Duration) {
}
func (*fakeObserver) RenewalMissed()                                   {}
func (*fakeObserver) StartAnswered(shard.StartTimes)                   {}
func (*fakeObserver) Reconnected(fleet.EndpointID)                     {}
func (o *fakeObserver) RunLost(loss shard.Loss)                        { o.losses = append(o.losses, loss) }
func (*fakeObserver) RunsLost(fleet.EndpointID, int, shard.LossReason) {}
func (o *fakeObserver) Restarted(r shard.Restart)                      { o.restarts = append(o.restarts, r) }

func (o *fakeObserver) ClockStepped(s shard.ClockStep)   { o.steps = append(o.steps, s) }
func (o *fakeObserver) ForeignListed(f shard.ForeignRun) { o.foreign = append(o.foreign, f) }
