package holder

import (
	"strings"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/mimosawharf/mimosawharf/internal/rowstore"
	"github.com/mimosawharf/mimosawharf/internal/wire"
	jobv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/job/v1"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// jobSink decodes the jobs and cancellations of one service for the scheduler of its holder.
type jobSink struct {
	out     Outbox
	log     *zap.Logger
	duty    fleet.DutyName
	epoch   fleet.FencingToken
	service fleet.ServiceID
}

// Replace implements follow.Sink.
func (s *jobSink) Replace(rows []rowstore.Row) { s.send(rows, true) }

// Change implements follow.Sink.
func (s *jobSink) Change(rows []rowstore.Row) { s.send(rows, false) }

// Synced implements follow.Sink. The scheduler receives it behind the changes.
func (s *jobSink) Synced(upTo time.Time) {
	s.out.Confirm(Event{Known: &Known{Duty: s.duty, Epoch: s.epoch, UpTo: upTo}})
}

func (s *jobSink) send(rows []rowstore.Row, all bool) {
	c := &JobsChange{Duty: s.duty, Epoch: s.epoch, All: all}
	for _, row := range rows {
		s.add(c, row)
	}
	if !s.out.Change(Event{Jobs: c}) {
		s.log.Warn("follower: changes of jobs wait for the scheduler", zap.String("service", string(s.service)))
	}
}

// add decodes one row. A row that cannot be read is logged and skipped, one of another service is skipped.
func (s *jobSink) add(c *JobsChange, row rowstore.Row) {
	if id, ok := strings.CutPrefix(string(row.Key), keyCancel); ok {
		if row.Deleted {
			c.Removed = append(c.Removed, fleet.JobID(id))
		} else {
			c.Cancelled = append(c.Cancelled, fleet.JobID(id))
			if s.service != "" && string(row.Value) == string(s.service) {
				c.Withdrawn = append(c.Withdrawn, fleet.JobID(id))
			}
		}
		return
	}
	id, ok := strings.CutPrefix(string(row.Key), keyJob)
	if !ok {
		return
	}
	if row.Deleted {
		c.Removed = append(c.Removed, fleet.JobID(id))
		return
	}
	j, err := decodeJob(row)
	if err != nil || string(j.ID) != id {
		s.log.Error("follower: row cannot be decoded, skipped", zap.String("key", string(row.Key)), zap.Error(err))
		return
	}
	if j.Service == s.service {
		c.Jobs = append(c.Jobs, j)
	}
}

// decodeJob decodes the row of an accepted job.
func decodeJob(row rowstore.Row) (*fleet.Job, error) {
	m := &jobv1.Job{}
	if err := proto.Unmarshal(row.Value, m); err != nil {
		return nil, trace.Wrap(err)
	}
	return wire.FromJob(m), nil
}

// acceptance is what the row that decides about the id of an accepted job says of it.
type acceptance struct {
	Service fleet.ServiceID
	// Account is the client account that submitted the job; empty for a queue that is open to all.
	Account fleet.ClientAccountID
	// Withdrawn is set for a job that was cancelled before it was stored. It does not exist.
	Withdrawn bool
}

// decodeAccepted decodes the row that decides about the id of an accepted job.
func decodeAccepted(row rowstore.Row) (acceptance, error) {
	m := &jobv1.Accepted{}
	if err := proto.Unmarshal(row.Value, m); err != nil {
		return acceptance{}, trace.Wrap(err)
	}
	return acceptance{Service: fleet.ServiceID(m.GetService()), Account: fleet.ClientAccountID(m.GetAccount()), Withdrawn: m.GetWithdrawn()}, nil
}
