package holder_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mimosawharf/mimosawharf/internal/clock"
	"github.com/mimosawharf/mimosawharf/internal/holder"
	"github.com/mimosawharf/mimosawharf/internal/rowstore"
	"github.com/mimosawharf/mimosawharf/internal/standin/rows"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Guards against rows of ended jobs that pile up: they were removed one by one, 32 in five seconds. Those of one part go
// with one transaction, which the store must accept.
func TestRowsOfManyOldJobsAreRemovedTogether(t *testing.T) {
	is := is.New(t)
	store := rows.New(clock.Real())
	var jobs []*fleet.Job
	for n := 0; len(jobs) < 30; n++ {
		id := fleet.JobID(fmt.Sprintf("%016x", n))
		if holder.IntakeIndex(id) == 0 {
			jobs = append(jobs, newJob(id, "service"))
		}
	}
	accept(t, store, map[fleet.ServiceID]bool{"service": true}, jobs...)
	removal := &holder.Submission{Remove: jobs[0].ID, Service: "service", Cancelled: true}
	for _, j := range jobs {
		cancel := rowstore.Row{Table: holder.JobTable("service"), Part: holder.IntakePart(j.ID), Key: rowstore.Key("cancel-" + j.ID)}
		_, err := store.Transact(t.Context(), rowstore.Transaction{Puts: []rowstore.Row{cancel}})
		is.NoErr(err)
		if j.ID != removal.Remove {
			removal.Further = append(removal.Further, holder.Removal{Job: j.ID, Cancelled: true})
		}
	}
	inbox, _ := newIntake(t, store)
	is.NoErr(inbox.Push(holder.IntakeEvent{Submission: removal}))
	left := func() int {
		n := 0
		for _, table := range []rowstore.Table{holder.AcceptedTable, holder.JobTable("service")} {
			page, err := store.Scan(t.Context(), rowstore.Range{Table: table, Part: holder.IntakePart(jobs[0].ID)})
			is.NoErr(err)
			n += len(page.Rows)
		}
		return n
	}
	is.True(left() > 0)
	for n := 0; n < 400 && left() > 0; n++ {
		_ = clock.Wait(t.Context(), clock.Real(), 10*time.Millisecond)
	}
	is.Equal(left(), 0)
}
