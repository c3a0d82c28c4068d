package job

import "github.com/mimosawharf/mimosawharf/pkg/fleet"

// What a holder has in memory for a job, in bytes. TestFootprintCoversHeldMemory compares the sum with the heap.
const (
	endedFootprint fleet.Bytes = 600
	jobFootprint   fleet.Bytes = 1600
	stepFootprint  fleet.Bytes = 400
	taskFootprint  fleet.Bytes = 200
	// RunFootprint is what a run takes while it executes.
	RunFootprint fleet.Bytes = 1 << 10
)

// MaxIdleTasks bounds the tasks of a scheduled job that are due and do not run, beyond those of one occurrence. Later
// occurrences stay closed until earlier ones run: work that waits longer than its interval would fill the memory.
const MaxIdleTasks = 256

// Footprint returns how much memory a job takes at a holder until it has ended, apart from its runs.
func Footprint(j *fleet.Job) fleet.Bytes {
	size, tasks := jobFootprint+fleet.Bytes(len(j.Payload)), 0
	for i := range j.Steps {
		s := &j.Steps[i]
		size += stepFootprint + fleet.Bytes(len(s.RequiredLabel)+len(s.DataRack)+len(s.Image)+8*len(s.After))
		tasks += s.Tasks
	}
	if j.Occurrences > 0 {
		size += fleet.Bytes(j.Occurrences / 8)
		tasks = min(tasks*j.Occurrences, max(tasks, MaxIdleTasks))
	}
	return size + fleet.Bytes(tasks)*taskFootprint
}

// EndedFootprint returns how much memory an ended job takes until its state need not be kept any longer.
func EndedFootprint(j *fleet.Job) fleet.Bytes { return endedFootprint + fleet.Bytes(j.Occurrences/8) }
