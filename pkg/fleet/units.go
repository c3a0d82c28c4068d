package fleet

// ConfigRevision counts accepted configuration changes. It never decreases.
type ConfigRevision uint64

// TableRevision counts commits of the platform's table.
type TableRevision uint64

// RowVersion is the table revision that wrote a row last; 0 means that the row does not exist.
type RowVersion uint64

// LeaseEpoch counts the holders of a lease. It rises by one with each change of holder.
type LeaseEpoch uint64

// AssignmentEpoch counts the assignments of a VM to a pool.
type AssignmentEpoch uint64

// TicketSequence counts the tickets issued by one incarnation of an entry.
type TicketSequence uint64

// Digest is an xxhash64 digest of a body.
type Digest uint64

// Slots counts requests that an endpoint can run at the same time.
type Slots int

// Connections counts transport connections to an endpoint.
type Connections int

// VMCount counts VMs.
type VMCount int

// Attempt counts the attempts of one request, from 1.
type Attempt int

// Bytes counts bytes.
type Bytes int64

// Cores counts processor cores.
type Cores int

// Accelerators counts accelerator devices.
type Accelerators int

// Percent is a share in percent.
type Percent int

// Of returns the share of n, rounded down.
func (p Percent) Of(n int) int {
	return n * int(p) / 100
}

// Weight is a share relative to other client accounts; 0 counts as 1.
type Weight int

// RequestsPerSecond is a rate of requests.
type RequestsPerSecond float64

// VMsPerHour is a rate of VM moves.
type VMsPerHour float64

// WritesPerSecond is a rate of rows written to the platform's table.
type WritesPerSecond float64

// ReadsPerSecond is a rate of reads from the platform's table.
type ReadsPerSecond float64

// BytesPerSecond is a rate of bytes sent.
type BytesPerSecond int
