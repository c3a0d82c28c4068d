package holder

import (
	"time"

	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Jobs stay with the service that their queue had when they were accepted. Once the configuration sends the queue to
// another service, its holder does not know of them, so the holder that has them counts them in its lease row, which each
// entry reads.

// moved counts the waiting jobs of a held service whose queues the configuration sends to other services, or to none.
func (s *Scheduler) moved(now time.Time, h *heldDuty) map[fleet.QueueID]int {
	if s.config == nil || !h.loaded || !h.mayHaveMoved {
		return nil
	}
	isCounted := h.waitingJobs == nil || now.Sub(h.waitingAt) >= waitingAge
	var moved map[fleet.QueueID]int
	size := fleet.Bytes(0)
	for queue, jobs := range h.waiting(now) {
		if h.queues[queue] || jobs == 0 {
			continue
		}
		if size += movedQueueSize + fleet.Bytes(len(queue)); size > maxMovedSize {
			break
		}
		if moved == nil {
			moved = map[fleet.QueueID]int{}
		}
		moved[queue] = jobs
	}
	// Earlier counts may lack a job that has come since.
	h.mayHaveMoved = moved != nil || !isCounted
	return moved
}

const (
	// maxMovedSize bounds the queues of a lease row, of which the store keeps 64 KB.
	maxMovedSize fleet.Bytes = 56 << 10
	// movedQueueSize is the most that a queue takes in the row besides its name.
	movedQueueSize fleet.Bytes = 16
)

// movedJobs returns how many jobs of a queue wait at the holders of other services.
func (s *Scheduler) movedJobs(now time.Time, service fleet.ServiceID, queue fleet.QueueID) int {
	jobs := 0
	for d, l := range s.election.Leases {
		if d == ServiceDuty(service) {
			continue
		}
		if h := s.held[d]; h != nil && h.loaded && h.engine != nil {
			jobs += s.moved(now, h)[queue]
		} else {
			jobs += l.Moved[queue]
		}
	}
	return jobs
}
