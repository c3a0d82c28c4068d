package holder_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/mimosawharf/mimosawharf/internal/holder"
	"github.com/mimosawharf/mimosawharf/internal/rowstore"
	"github.com/mimosawharf/mimosawharf/internal/wire"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// submitLarge stores a job of many small tasks.
func (c *fakeCluster) submitLarge(id fleet.JobID, tasks int) {
	j := &fleet.Job{
		ID: id, Queue: c.config.Queues[0].Queue, Service: fakeService, AcceptedAt: time.Now().UTC(), MaxAttempts: 3,
		Steps: []fleet.Step{{Tasks: tasks, Demand: fleet.Capacity{Millicores: 1, Memory: 1}, Estimate: time.Second}},
	}
	value, err := proto.Marshal(wire.Job(j))
	is.New(c.t).NoErr(err)
	c.mu.Lock()
	c.jobs = append(c.jobs, j)
	c.mu.Unlock()
	row := rowstore.Row{Table: holder.JobTable(fakeService), Part: holder.IntakePart(id), Key: rowstore.Key("job-" + string(id)), Value: value}
	_, err = c.store.Transact(context.Background(), rowstore.Transaction{Puts: []rowstore.Row{row}})
	is.New(c.t).NoErr(err)
}

// state asks the holder for the state of a job.
func (c *fakeCluster) state(id fleet.JobID) fleet.JobState {
	e := c.holder()
	if e == nil {
		return ""
	}
	answers := make(chan holder.Answer, 1)
	_ = e.life.inbox.PushReserved(holder.Event{Query: &holder.Query{
		Kind: holder.QueryState, Service: fakeService, Job: id, Reply: func(a holder.Answer) { answers <- a },
	}})
	synctest.Wait()
	select {
	case a := <-answers:
		return a.State
	default:
		return ""
	}
}

// Guards against a service that commits nothing any more, whichever entry holds it: the progress of one large job with
// checkpoints was a row that the store refuses, and the write was repeated without end.
func TestLargeJobWithCheckpointsDoesNotStopItsService(t *testing.T) {
	for _, c := range []struct {
		name       string
		checkpoint int
		takeover   bool
	}{
		{"checkpoints of 64 characters", 64, false},
		{"longest checkpoints", 200, false},
		{"a takeover at half time", 200, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				cluster := newFakeCluster(t, 1, 4)
				defer cluster.close()
				for _, e := range cluster.endpoints {
					e.process.DurationOf = func(fleet.TaskID) time.Duration { return 3500 * time.Millisecond }
					e.process.CheckpointOf = func(fleet.TaskID) fleet.Checkpoint { return fleet.Checkpoint(strings.Repeat("c", c.checkpoint)) }
				}
				cluster.addEntries(3)
				cluster.submitLarge("large", 1000)
				cluster.run(6 * time.Second)
				for n := range 10 {
					cluster.submit(fleet.JobID(fmt.Sprintf("small-%d", n)), 4, false)
					cluster.run(200 * time.Millisecond)
				}
				if c.takeover {
					e := cluster.holder()
					cluster.kill(e)
				}
				cluster.run(40 * time.Second)
				is.Equal(cluster.state("large"), fleet.JobStateCompleted)
				for n := range 10 {
					is.Equal(cluster.state(fleet.JobID(fmt.Sprintf("small-%d", n))), fleet.JobStateCompleted)
				}
				cluster.checkRuns()
				is.Equal(cluster.violations, nil)
			})
		})
	}
}
