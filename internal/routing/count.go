package routing

import "github.com/mimosawharf/mimosawharf/pkg/fleet"

// Count is how many endpoints get no work or little because they fail, and how many slots are on loan
// to and from other entries.
type Count struct {
	Ejected        int
	Lent, Borrowed fleet.Slots
}

// Count counts over all endpoints, so it is called from time to time only.
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
