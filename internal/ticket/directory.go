package ticket

import "github.com/mimosawharf/mimosawharf/pkg/fleet"

// Directory tells which entry redeems the tickets of which incarnation. It is published as a whole
// and never modified.
type Directory struct {
	// Live holds the entries that said hello, by their current incarnation.
	Live map[fleet.Incarnation]fleet.EntryID
	// TookOver holds the entries that took the tickets of an ended incarnation over.
	TookOver map[fleet.Incarnation]fleet.EntryID
}

// Holder returns the entry that redeems an encoded ticket. An entry that took the tickets over goes
// before the issuer, which no longer redeems then. It returns false when none is known.
func (d *Directory) Holder(data []byte) (fleet.EntryID, bool) {
	t, err := Decode(data)
	if err != nil || d == nil {
		return "", false
	}
	if id, ok := d.TookOver[t.Incarnation]; ok {
		return id, true
	}
	id, ok := d.Live[t.Incarnation]
	return id, ok
}
