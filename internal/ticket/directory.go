package ticket

import "github.com/mimosawharf/mimosawharf/pkg/fleet"

// Directory maps incarnations to the entries that redeem their tickets. It is immutable once published.
type Directory struct {
	// Live holds the entries that have introduced themselves, by their current incarnation.
	Live map[fleet.Incarnation]fleet.EntryID
	// AdoptedBy holds the entries that adopted the tickets of an ended incarnation, by that incarnation.
	AdoptedBy map[fleet.Incarnation]fleet.EntryID
}

// Holder returns the entry that redeems an encoded ticket, and false when none is known. An entry that
// adopted the tickets takes precedence over the issuer, which no longer redeems them.
func (d *Directory) Holder(data []byte) (fleet.EntryID, bool) {
	t, err := Decode(data)
	if err != nil || d == nil {
		return "", false
	}
	if id, ok := d.AdoptedBy[t.Incarnation]; ok {
		return id, true
	}
	id, ok := d.Live[t.Incarnation]
	return id, ok
}
