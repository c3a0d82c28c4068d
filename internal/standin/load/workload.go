package load

import (
	"math/rand/v2"

	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// profile describes one request type of the workload.
type profile struct {
	Type  fleet.RequestType
	Class fleet.Class
	// NeedsTicket is set when requests of the type need a ticket.
	NeedsTicket bool
	// Share is the share of all requests.
	Share fleet.Percent
}

// workload is the mix of requests: mostly short work, urgent and normal, and some long work, with and
// without tickets.
var workload = []profile{
	{Type: "storm-call", Class: fleet.ClassUrgent, Share: 20},
	{Type: "week-plan", Class: fleet.ClassNormal, Share: 45},
	{Type: "swap", Class: fleet.ClassNormal, NeedsTicket: true, Share: 25},
	{Type: "export", Class: fleet.ClassLong, Share: 6},
	{Type: "survey", Class: fleet.ClassLong, NeedsTicket: true, Share: 4},
}

// pickProfile returns a random profile, weighted by share.
func pickProfile(random *rand.Rand) profile {
	n := fleet.Percent(random.IntN(100))
	for _, p := range workload {
		if n -= p.Share; n < 0 {
			return p
		}
	}
	return workload[0]
}

// maxBodyBytes bounds the content of a request.
const maxBodyBytes = 4096

// body returns content that is unique to the request.
func body(id fleet.RequestID, random *rand.Rand) []byte {
	data := []byte(id)
	for range random.IntN(maxBodyBytes / 8) {
		data = append(data, byte(random.Uint32()), byte(random.Uint32()), byte(random.Uint32()), byte(random.Uint32()))
	}
	return data
}
