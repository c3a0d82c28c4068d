package shard_test

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mimosawharf/mimosawharf/internal/job"
	"github.com/mimosawharf/mimosawharf/internal/shard"
	"github.com/mimosawharf/mimosawharf/internal/wire"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Guards against a large job that waits without end for a batch of its own, beside small ones whose rows change all the
// time.
func TestLargeJobIsCommittedBesideSmallOnes(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1, 4, worker64)
	sim.duration = func(fleet.TaskID) time.Duration { return 300 * time.Millisecond }
	sim.encode = func(o *job.Occurrence) ([][]byte, error) {
		values := [][]byte{{1}}
		for part := range o.Parts() {
			value := bytes.Repeat([]byte{byte(len(values))}, 55<<10)
			value[0] = byte(o.Remaining(0) + part)
			values = append(values, value)
		}
		return values, nil
	}
	sim.submit(batchJob("z-large", 1000, 40))
	for n := range 2000 {
		sim.submit(batchJob(fleet.JobID(fmt.Sprintf("a-%04d", n)), 1, 400))
		sim.step()
	}
	is.Equal(sim.state("z-large"), fleet.JobStateCompleted)
	is.Equal(len(sim.violations), 0)
}

// Guards against a large job that writes all of its rows with each change of a task.
func TestUnchangedPartsAreNotWritten(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1, 1, worker64)
	sim.submit(batchJob("large", 1000, 32_000)) // Two run at a time.
	rows, batches := 0, 0
	sim.batched = func(b *shard.Batch) { rows, batches = rows+len(b.Rows), batches+1 }
	sim.encode = wire.EncodeProgress
	sim.run(10 * time.Second)
	is.True(batches > 5)
	is.True(rows <= 8+3*batches) // Each part once, and then the occurrence with the part that has changed, or two.
}
