package holder

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"github.com/mimosawharf/mimosawharf/internal/rowstore"
	"github.com/mimosawharf/mimosawharf/internal/wire"
	jobv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/job/v1"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// IntakeOutcome is the outcome of a submission.
type IntakeOutcome string

// Outcomes of submissions.
const (
	// IntakeStored means that the row is in the store, from this submission or an earlier one.
	IntakeStored IntakeOutcome = "stored"
	// IntakeRefused means that nothing was stored and nothing ever will be by this submission.
	IntakeRefused IntakeOutcome = "refused"
	// IntakeUnknown means that the row may appear later.
	IntakeUnknown IntakeOutcome = "unknown"
	// IntakeWithdrawn means that the job was withdrawn, and that it never runs.
	IntakeWithdrawn IntakeOutcome = "withdrawn"
	// IntakeFull means that the service takes no further jobs, and that nothing was stored by this submission or, as far
	// as is known, an earlier one.
	IntakeFull IntakeOutcome = "full"
	// IntakeAccepted means that a job to be withdrawn has been accepted. Nothing was stored.
	IntakeAccepted IntakeOutcome = "accepted"
)

// Removal is a job that ended long ago and whose rows are removed.
type Removal struct {
	Job fleet.JobID
	// Cancelled is set when the job has a cancellation row.
	Cancelled bool
}

// maxRemovals bounds the jobs of one transaction. Each has up to three rows, and the store accepts 100 entries.
const maxRemovals = 30

// Submission is a request to store or remove rows: an accepted job, a cancellation, a withdrawal, or a removal.
type Submission struct {
	// Job is set for a job, Cancel for a cancellation of the accepted job with that id, Withdraw for the cancellation of
	// one that has not been accepted, Remove for the removal of the rows of a job that ended, or was withdrawn, long ago.
	Job      *fleet.Job
	Cancel   fleet.JobID
	Withdraw fleet.JobID
	Remove   fleet.JobID
	// Further are more jobs of the same part and service whose rows are removed with those of Remove.
	Further []Removal
	// Service is the service of a job that is cancelled, withdrawn or removed, Account the client account that withdraws
	// one.
	Service fleet.ServiceID
	Account fleet.ClientAccountID
	// Cancelled is set when the job to remove has a cancellation row, Withdrawn when it has that row only.
	Cancelled, Withdrawn bool
	// Accepted is what is stored of a job that could not be withdrawn. It is set before Reply.
	Accepted acceptance
	// Unrecorded is set while no stored row is known that has an entry take the lease of the service. The submission stores
	// one then.
	Unrecorded bool
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// Reply receives the outcome. It must not block. It is nil for removals.
	Reply func(IntakeOutcome)

	// encoded is what rows returns, once it has been called.
	encoded   []rowstore.Row
	arrivedAt time.Time
	// inFlight is set while an attempt with the submission has no answer, inDoubt once an attempt may take
	// effect although it was not answered. Only a submission that is neither may be refused.
	inFlight, inDoubt bool
}

func (s *Submission) id() fleet.JobID {
	switch {
	case s.Job != nil:
		return s.Job.ID
	case s.Cancel != "":
		return s.Cancel
	case s.Withdraw != "":
		return s.Withdraw
	}
	return s.Remove
}

// service returns the service that has to act on the rows of the submission.
func (s *Submission) service() fleet.ServiceID {
	if s.Job != nil {
		return s.Job.Service
	}
	return s.Service
}

// rows returns the rows to store. The first one must not exist; it decides which submission is stored.
func (s *Submission) rows() []rowstore.Row {
	if s.encoded == nil {
		s.encoded = s.encode()
	}
	return s.encoded
}

func (s *Submission) encode() []rowstore.Row {
	id := s.id()
	part := IntakePart(id)
	cancellation := rowstore.Row{Table: JobTable(s.Service), Part: part, Key: cancelKey(id), Value: []byte{}}
	switch {
	case s.Withdraw != "":
		// The first row makes the conditions of open submissions fail, the second one tells the holder of the service,
		// which has both removed after a while. Services share tables, so it names the service.
		cancellation.Value = []byte(s.Service)
		m := &jobv1.Accepted{Service: string(s.Service), Account: string(s.Account), Withdrawn: true}
		return []rowstore.Row{mustRow(AcceptedTable, part, jobKey(id), m), cancellation}
	case s.Job == nil:
		return []rowstore.Row{cancellation}
	}
	return []rowstore.Row{
		mustRow(AcceptedTable, part, jobKey(id), &jobv1.Accepted{Service: string(s.Job.Service), Account: string(s.Job.Account)}),
		mustRow(JobTable(s.Job.Service), part, jobKey(id), wire.Job(s.Job)),
	}
}

// decidingKey returns the key of the first of the rows.
func (s *Submission) decidingKey() rowstore.Key {
	if s.Cancel != "" {
		return cancelKey(s.id())
	}
	return jobKey(s.id())
}

// outcome returns the outcome of a submission whose first row exists, from an earlier submission.
func (s *Submission) outcome(existing rowstore.Row) IntakeOutcome {
	if existing.Table != AcceptedTable {
		return IntakeStored
	}
	accepted, err := decodeAccepted(existing)
	switch {
	case err != nil && s.Withdraw != "":
		return IntakeUnknown // The job may have been accepted.
	case err != nil || s.Job != nil && !accepted.Withdrawn || s.Withdraw != "" && accepted.Withdrawn:
		return IntakeStored
	case s.Job != nil:
		return IntakeWithdrawn
	}
	s.Accepted = accepted
	return IntakeAccepted
}

// entries is the most that the submission takes of a transaction: a condition, its rows, and the record of its service.
func (s *Submission) entries() int {
	n := 1 + len(s.rows())
	if s.Unrecorded {
		n++
	}
	return n
}

// size returns the size of the values of the rows.
func (s *Submission) size() int {
	n := 0
	for _, row := range s.rows() {
		n += len(row.Value)
	}
	return n
}

// TooLargeError reports a job whose row the store does not keep.
type TooLargeError struct{ Size int }

// Error implements error.
func (e *TooLargeError) Error() string {
	return "the job takes " + strconv.Itoa(e.Size) + " bytes, at most " + strconv.Itoa(rowstore.MaxValue) + " are kept"
}

// CheckSize returns *TooLargeError for a job that cannot be stored. A submission of one would fail, and with it each
// transaction that it is part of.
func CheckSize(j *fleet.Job) error {
	if size := proto.Size(wire.Job(j)); size > rowstore.MaxValue {
		return trace.Wrap(&TooLargeError{Size: size})
	}
	return nil
}

func jobKey(id fleet.JobID) rowstore.Key    { return rowstore.Key(keyJob + string(id)) }
func cancelKey(id fleet.JobID) rowstore.Key { return rowstore.Key(keyCancel + string(id)) }

// IntakePart returns the part of a job's rows. It depends on the id alone, so that submissions of one id
// address the same row whichever entry or queue they come through.
func IntakePart(id fleet.JobID) rowstore.Part {
	return intakePart(IntakeIndex(id))
}

func intakePart(n int) rowstore.Part { return partIntake + rowstore.Part(strconv.Itoa(n)) }

// IntakeIndex returns the number of the intake that stores a job's rows.
func IntakeIndex(id fleet.JobID) int { return int(xxhash.Sum64String(string(id)) % intakeParts) }

// IntakeCount is the number of intakes of an entry.
const IntakeCount = intakeParts
