package holder

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/timestamppb"

	"github.com/mimosawharf/mimosawharf/internal/clock"
	"github.com/mimosawharf/mimosawharf/internal/duty"
	"github.com/mimosawharf/mimosawharf/internal/follow"
	"github.com/mimosawharf/mimosawharf/internal/rowstore"
	"github.com/mimosawharf/mimosawharf/internal/shard"
	"github.com/mimosawharf/mimosawharf/internal/standin/rows"
	jobv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/job/v1"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

var (
	payloadOf = strings.Repeat("p", 4000)
	endedAt   = time.Date(2026, 1, 1, 0, 1, 0, 0, time.UTC)
)

// payloadRow returns the row of a job with the longest payload.
func payloadRow(t *testing.T, id fleet.JobID, change func(*jobv1.Job)) rowstore.Row {
	t.Helper()
	m := &jobv1.Job{
		Id: string(id), Queue: "queue", Service: "service", Payload: payloadOf, Steps: []*jobv1.Step{{Tasks: 1}},
		AcceptedAt: timestamppb.New(endedAt.Add(-time.Minute)),
	}
	if change != nil {
		change(m)
	}
	value, err := proto.Marshal(m)
	is.New(t).NoErr(err)
	return rowstore.Row{Table: JobTable("service"), Part: IntakePart(id), Key: jobKey(id), Value: value}
}

// progressRow returns the progress of an occurrence with one task.
func progressRow(t *testing.T, key shard.RowKey, change func(*jobv1.Progress)) *ProgressRow {
	t.Helper()
	m := &jobv1.Progress{
		Job: string(key.Job), State: string(fleet.JobStateCompleted), EndedAt: timestamppb.New(endedAt),
		Steps: []*jobv1.StepProgress{{Tasks: []*jobv1.TaskProgress{{Done: true, Run: 1}}}},
	}
	if change != nil {
		change(m)
	}
	value, err := proto.Marshal(m)
	is.New(t).NoErr(err)
	return &ProgressRow{Key: key, Value: value}
}

// Guards against a task that starts without its payload: only that of a job whose tasks have all ended is left out.
func TestOnlyCompletedJobsLoseTheirPayload(t *testing.T) {
	for _, c := range []struct {
		name     string
		key      shard.RowKey
		progress func(*jobv1.Progress)
		job      func(*jobv1.Job)
		want     bool
	}{
		{name: "completed", want: true},
		{name: "completed and short", job: func(m *jobv1.Job) { m.Payload = "p" }},
		{name: "running", progress: func(m *jobv1.Progress) { m.State = string(fleet.JobStateRunning) }},
		{name: "cancelled", progress: func(m *jobv1.Progress) { m.State = string(fleet.JobStateCancelled) }},
		{name: "completed by its state only", progress: func(m *jobv1.Progress) { m.Steps[0].Tasks[0].Done = false }},
		{name: "with divided progress", progress: func(m *jobv1.Progress) { m.Parts = 1 }},
		{name: "without an end", progress: func(m *jobv1.Progress) { m.EndedAt = nil }},
		{name: "a later occurrence", key: shard.RowKey{Occurrence: 1}},
		{name: "due several times", job: func(m *jobv1.Job) { m.Occurrences = 2 }},
		{name: "accepted again under the id", job: func(m *jobv1.Job) { m.AcceptedAt = timestamppb.New(endedAt.Add(time.Minute)) }},
		{name: "without a time", job: func(m *jobv1.Job) { m.AcceptedAt = timestamppb.New(endedAt) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			c.key.Job = "job"
			r := &payloadReducer{clock: clock.Real()}
			r.ended.Set(readEnded([]*ProgressRow{progressRow(t, c.key, c.progress)}))
			row := payloadRow(t, "job", c.job)
			reduced := r.Reduce([]rowstore.Row{row, payloadRow(t, "other", nil)})
			is.Equal(len(reduced), 2)
			j, err := decodeJob(reduced[0])
			is.NoErr(err)
			is.Equal(j.Payload == "", c.want)
			other, err := decodeJob(reduced[1])
			is.NoErr(err)
			is.Equal(other.Payload, payloadOf)
			r.disable()
			j, err = decodeJob(r.Reduce([]rowstore.Row{payloadRow(t, "job", nil)})[0])
			is.NoErr(err)
			is.Equal(j.Payload, payloadOf) // A later read.
		})
	}
}

// rowSizes is a sink that adds up the values of the rows.
type rowSizes struct {
	rows, bytes int
	replaced    chan struct{}
}

// Replace implements follow.Sink.
func (s *rowSizes) Replace(rows []rowstore.Row) {
	for _, row := range rows {
		s.rows, s.bytes = s.rows+1, s.bytes+len(row.Value)
	}
	close(s.replaced)
}

// Change implements follow.Sink.
func (*rowSizes) Change([]rowstore.Row) {}

// Synced implements follow.Sink.
func (*rowSizes) Synced(time.Time) {}

// Guards against holders that exceed the memory of their VM one after another: each read the payloads of all jobs that had
// ended in the last minutes.
func TestHolderReadsFewPayloadsOfEndedJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const jobs = 10_000
		store := rows.New(clock.Real())
		var progress []*ProgressRow
		for n := range jobs {
			id := fleet.JobID(fmt.Sprintf("%016x", n))
			_, err := store.Transact(t.Context(), rowstore.Transaction{Puts: []rowstore.Row{payloadRow(t, id, nil)}})
			is.NoErr(err)
			progress = append(progress, progressRow(t, shard.RowKey{Job: id}, nil))
		}
		r, sink := &payloadReducer{clock: clock.Real()}, &rowSizes{replaced: make(chan struct{})}
		group, ctx := duty.NewGroup(context.Background())
		f := &follow.Follower{
			Duty: "follow", Table: JobTable("service"), Readers: jobReaders, Duties: group, Store: store, Clock: clock.Real(), Log: zap.NewNop(),
			Interval: follow.Every(time.Second), Reducer: r, Sink: sink,
		}
		for n := range intakeParts {
			f.Parts = append(f.Parts, intakePart(n))
		}
		group.Start(ctx, f)
		time.AfterFunc(6*time.Second, func() { r.ended.Set(readEnded(progress)) }) // The changes are read meanwhile.
		<-sink.replaced
		group.Stop()
		_ = group.Wait()
		is.Equal(sink.rows, jobs)
		// Each reader may have read a page when the bound was reached.
		const page = 500 * 4200
		t.Logf("%d KB of %d KB were kept", sink.bytes>>10, jobs*4000>>10)
		is.True(sink.bytes <= maxUnreduced+jobReaders*page+jobs*200)
		is.True(sink.bytes < jobs*4000*2/3)
	})
}
