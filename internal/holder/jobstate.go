package holder

import (
	"context"

	"github.com/gravitational/trace"

	"github.com/mimosawharf/mimosawharf/internal/job"
	"github.com/mimosawharf/mimosawharf/internal/rowstore"
	"github.com/mimosawharf/mimosawharf/internal/wire"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// acceptance reads the row of an accepted job. It returns false when there is none.
func (r *Resolver) acceptance(ctx context.Context, id fleet.JobID) (acceptance, bool, error) {
	page, err := r.Store.Scan(ctx, rowstore.Only(AcceptedTable, IntakePart(id), jobKey(id)))
	if err != nil || len(page.Rows) == 0 {
		return acceptance{}, false, trace.Wrap(err)
	}
	accepted, err := decodeAccepted(page.Rows[0])
	return accepted, true, trace.Wrap(err)
}

// readState derives the state of an accepted job from the committed rows.
func (r *Resolver) readState(ctx context.Context, request *JobRequest, service fleet.ServiceID) Reply {
	table, part := JobTable(service), IntakePart(request.Job)
	stored, err := r.Store.Scan(ctx, rowstore.Only(table, part, jobKey(request.Job)))
	if err != nil {
		return r.unavailable(request, err)
	}
	if len(stored.Rows) == 0 {
		return Reply{Kind: ReplyNotFound, Source: "store"} // It was removed a moment ago.
	}
	cancelled, err := r.Store.Scan(ctx, rowstore.Only(table, part, cancelKey(request.Job)))
	if err != nil {
		return r.unavailable(request, err)
	}
	j, err := decodeJob(stored.Rows[0])
	if err != nil {
		return r.unavailable(request, err)
	}
	prefix := string(request.Job) + "."
	progress, err := r.Store.Scan(ctx, rowstore.Range{
		Table: tableProgress, Part: dutyPart(ServiceDuty(service)), From: rowstore.Key(prefix), Until: rowstore.Key(prefix + "~"),
	})
	if err != nil {
		return r.unavailable(request, err)
	}
	state, err := committedState(j, progress.Rows)
	if err != nil {
		return r.unavailable(request, err)
	}
	if len(cancelled.Rows) > 0 {
		state = cancelledState(state)
	}
	return Reply{Kind: ReplyFound, State: state, Account: j.Account, Source: "store"}
}

// committedState derives the state of a job from the rows of its schedule and of its occurrences.
func committedState(j *fleet.Job, rows []rowstore.Row) (fleet.JobState, error) {
	var schedule job.Schedule
	states := map[fleet.Occurrence]fleet.JobState{}
	for _, row := range rows {
		key, ok := parseProgressKey(row.Key)
		if !ok || key.Job != j.ID || key.Part > 0 {
			continue
		}
		var err error
		if key.IsSchedule {
			schedule, err = wire.DecodeSchedule(row.Value)
		} else {
			states[key.Occurrence], err = wire.ProgressState(row.Value)
		}
		if err != nil {
			return "", trace.Wrap(err)
		}
	}
	done, state := schedule.Count(), fleet.JobStatePending
	if done > 0 {
		state = fleet.JobStateRunning
	}
	for k, s := range states {
		switch {
		case schedule.HasEnded(k):
			continue
		case s == fleet.JobStateFailed || s == fleet.JobStateCancelled:
			return s, nil
		case s == fleet.JobStateCompleted:
			done++
		}
		if s != fleet.JobStatePending {
			state = fleet.JobStateRunning
		}
	}
	switch {
	case schedule.Failed:
		return fleet.JobStateFailed, nil
	case schedule.Cancelled:
		return fleet.JobStateCancelled, nil
	case done == j.OccurrenceCount():
		return fleet.JobStateCompleted, nil
	}
	return state, nil
}
