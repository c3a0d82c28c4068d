package routing

import "github.com/mimosawharf/mimosawharf/pkg/fleet"

// Count counts the endpoints that are ejected or being probed, and the slots on loan to and from other
// entries.
type Count struct {
	Ejected        int
	Lent, Borrowed fleet.Slots
}

// Count iterates over all endpoints, so it should only be called occasionally.
func (r *Router) Count() Count {
	var c Count
	for _, e := range r.endpoints {
		if e.health.state != healthStateHealthy {
			c.Ejected++
		}
		c.Lent += e.lent
		c.Borrowed += e.borrowed
	}
	return c
}
