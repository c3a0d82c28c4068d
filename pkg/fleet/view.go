package fleet

import "time"

// View is what an entry knows of the fleet. It is published as a whole and never modified.
type View struct {
	Configuration Configuration
	// ConfigSince is when the configuration's revision came into force at this entry.
	ConfigSince time.Time
	// VMs holds the newest row of each VM that the entry knows. After a restore of the table, the rows of
	// the VMs in Reverted are newer than those in the table.
	VMs     map[VMID]VM
	Ledgers map[PoolID]Ledger
	Waves   map[WaveID]Wave
	Entries map[EntryID]Entry
	Leases  map[DutyName]Lease
	// Revision is the table revision up to which the view is complete.
	Revision TableRevision
	// History is the history of the table to which Revision belongs; it changes with a restore.
	History TableHistory
	// Reverted holds the VMs whose newest row a restore has removed from the table. Their RowVersion is that
	// of the older row in the table, or 0 when there is none.
	Reverted map[VMID]bool
	// RefreshedAt is when the table, or a peer that reads it, last confirmed the view.
	RefreshedAt time.Time
	// Leaving holds the VMs that the platform's list shows as leaving or no longer shows.
	Leaving map[VMID]bool
	// List is the platform's list of VMs as last read.
	List VMList
	// ListReadAt is when List was read, by the entry's clock.
	ListReadAt time.Time
}

// NewView returns an empty view.
func NewView() *View {
	return &View{
		Configuration: NewConfiguration(),
		VMs:           map[VMID]VM{},
		Ledgers:       map[PoolID]Ledger{},
		Waves:         map[WaveID]Wave{},
		Entries:       map[EntryID]Entry{},
		Leases:        map[DutyName]Lease{},
		Leaving:       map[VMID]bool{},
		Reverted:      map[VMID]bool{},
	}
}
