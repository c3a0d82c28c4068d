package load

import (
	"math/rand/v2"

	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// part is one request type of the workload.
type part struct {
	Type  fleet.RequestType
	Class fleet.Class
	// Once says that requests of the type need a ticket.
	Once bool
	// Share of all requests.
	Share fleet.Percent
}

// workload is the mix of requests: much short work of all classes, and long work with and without tickets.
var workload = []part{
	{Type: "storm-call", Class: fleet.ClassUrgent, Share: 20},
	{Type: "week-plan", Class: fleet.ClassNormal, Share: 45},
	{Type: "swap", Class: fleet.ClassNormal, Once: true, Share: 25},
	{Type: "export", Class: fleet.ClassLong, Share: 6},
	{Type: "survey", Class: fleet.ClassLong, Once: true, Share: 4},
}

// pick returns a part at random by its share.
func pick(random *rand.Rand) part {
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

// body returns content that no other request has.
func body(id fleet.RequestID, random *rand.Rand) []byte {
	data := []byte(id)
	for range random.IntN(maxBodyBytes / 8) {
		data = append(data, byte(random.Uint32()), byte(random.Uint32()), byte(random.Uint32()), byte(random.Uint32()))
	}
	return data
}
