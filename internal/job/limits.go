package job

import "github.com/mimosawharf/mimosawharf/pkg/fleet"

// Limits of one job. What a holder has of it in memory, and the rows of its progress, grow with its tasks.
const (
	// MaxTasks bounds the tasks of all steps.
	MaxTasks = 1000
	// MaxOccurrences bounds the repetitions of a scheduled job.
	MaxOccurrences = 10_000
	// MaxScheduledTasks bounds the tasks of all occurrences, which may all be in progress at the same time.
	MaxScheduledTasks = 100_000
)

// LimitError reports a job that exceeds a limit.
type LimitError struct{ Problem string }

// Error implements error.
func (e *LimitError) Error() string { return e.Problem }

// CheckLimits returns *LimitError for a job that exceeds a limit.
func CheckLimits(j *fleet.Job) error {
	tasks := 0
	for i := range j.Steps {
		// The counts are compared before they are added, because their sum may overflow.
		if j.Steps[i].Tasks > MaxTasks-tasks {
			return &LimitError{"the job has too many tasks"}
		}
		tasks += j.Steps[i].Tasks
	}
	switch {
	case j.Occurrences > MaxOccurrences:
		return &LimitError{"the job has too many occurrences"}
	case tasks*j.OccurrenceCount() > MaxScheduledTasks:
		return &LimitError{"the occurrences of the job have too many tasks"}
	}
	return nil
}
