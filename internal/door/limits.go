package door

import "github.com/mimosawharf/mimosawharf/pkg/fleet"

// Limits holds the bounds of a process's doors.
type Limits struct {
	// CallerBytes bounds what requests hold at the door of callers, PeerBytes at the door of other entries.
	CallerBytes, PeerBytes fleet.Bytes
	// CallerPlaces and PeerPlaces bound the connections at these doors; ProbePlaces bounds those for readiness, and
	// those for metrics.
	CallerPlaces, PeerPlaces, ProbePlaces int
}

const (
	// defaultMemory is assumed where the memory limit of the process is not known.
	defaultMemory fleet.Bytes = 256 << 20
	// defaultDescriptors is assumed where the number of descriptors is not known.
	defaultDescriptors = 4096
	// maxDescriptors bounds the tables of connections.
	maxDescriptors = 1 << 16
	// fileDescriptors are reserved for files.
	fileDescriptors = 200
	// placeBytes is the most that a connection holds without a body: its headers, two buffers and two stacks.
	placeBytes fleet.Bytes = 40 << 10
	// maxProbePlaces bounds the connections of probes and scrapers, of which there are a few.
	maxProbePlaces = 64
	// minPlaces lets a process with very few descriptors still be reached.
	minPlaces = 4
)

// LimitsOf returns the bounds that follow from the memory and the descriptors that a process may use; 0 means that a
// limit is not known. Callers hold five sixteenths of the memory: an eighth with their connections, and the rest with what they send.
func LimitsOf(memory fleet.Bytes, descriptors int) Limits {
	if memory <= 0 {
		memory = defaultMemory
	}
	if descriptors <= 0 {
		descriptors = defaultDescriptors
	}
	sockets := max(0, min(descriptors, maxDescriptors)-fileDescriptors)
	return Limits{
		CallerBytes: memory / 8, PeerBytes: memory / 16,
		CallerPlaces: max(minPlaces, min(sockets/2, int(memory/8/placeBytes))),
		PeerPlaces:   max(minPlaces, sockets/8),
		ProbePlaces:  max(minPlaces, min(sockets/16, maxProbePlaces)),
	}
}
