package rowstore

import "sync/atomic"

// Newest is the newest version that any answer of the store has shown. The zero value has seen none. It is safe for
// concurrent use.
type Newest struct{ version atomic.Uint64 }

// See records the version of an answer.
func (n *Newest) See(v Version) {
	for {
		seen := n.version.Load()
		if uint64(v) <= seen || n.version.CompareAndSwap(seen, uint64(v)) {
			return
		}
	}
}

// Version returns the newest version.
func (n *Newest) Version() Version { return Version(n.version.Load()) }
