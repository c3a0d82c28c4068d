package shard_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mimosawharf/mimosawharf/internal/shard"
)

// Guards against a task that runs twice because the entry of its live endpoint names a start that its own answers
// contradict.
func TestEntryWithWrongStartLosesNoRun(t *testing.T) {
	is := is.New(t)
	a := newAddressed(100*time.Second, 5*time.Second)
	first, second := a.endpoints[0], a.endpoints[1]
	a.startTask(is)
	odd := first.EndpointInfo
	odd.StartMillis++
	a.engine.SetEndpoints(a.now, []shard.EndpointInfo{odd, second.EndpointInfo})
	for range 2000 {
		a.step()
	}
	is.True(!a.twice)
	a.engine.SetEndpoints(a.now, []shard.EndpointInfo{first.EndpointInfo, second.EndpointInfo})
	for range 2000 {
		a.step()
	}
	usable := a.engine.Load(a.now)
	is.Equal(len(usable.Endpoints), 2) // the endpoint is used again
}
