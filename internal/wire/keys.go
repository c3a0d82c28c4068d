// Package wire converts between the generated messages of the schema and domain values.
package wire

import (
	"strings"

	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Prefixes of the keys of rows in the platform's table.
const (
	PrefixConfig  fleet.TableKey = "config/"
	PrefixPool    fleet.TableKey = "config/pool/"
	PrefixService fleet.TableKey = "config/service/"
	PrefixAccount fleet.TableKey = "config/account/"
	PrefixVM      fleet.TableKey = "vm/"
	PrefixLedger  fleet.TableKey = "ledger/"
	PrefixWave    fleet.TableKey = "wave/"
	PrefixLease   fleet.TableKey = "lease/"
	PrefixEntry   fleet.TableKey = "entry/"
	PrefixAudit   fleet.TableKey = "audit/"
)

// KeyHead is the key of the row that holds the configuration's revision.
const KeyHead fleet.TableKey = "config/head"

// KeyHistory is the conflict of a transaction that was based on another history of the table.
const KeyHistory fleet.TableKey = "history"

// KeyPool returns the key of a pool.
func KeyPool(id fleet.PoolID) fleet.TableKey { return PrefixPool + fleet.TableKey(id) }

// KeyService returns the key of a service.
func KeyService(id fleet.ServiceID) fleet.TableKey { return PrefixService + fleet.TableKey(id) }

// KeyAccount returns the key of a client account.
func KeyAccount(id fleet.ClientAccountID) fleet.TableKey { return PrefixAccount + fleet.TableKey(id) }

// KeyVM returns the key of a VM.
func KeyVM(id fleet.VMID) fleet.TableKey { return PrefixVM + fleet.TableKey(id) }

// KeyLedger returns the key of a pool's disruption ledger.
func KeyLedger(id fleet.PoolID) fleet.TableKey { return PrefixLedger + fleet.TableKey(id) }

// KeyWave returns the key of a wave.
func KeyWave(id fleet.WaveID) fleet.TableKey { return PrefixWave + fleet.TableKey(id) }

// KeyLease returns the key of a lease.
func KeyLease(d fleet.DutyName) fleet.TableKey { return PrefixLease + fleet.TableKey(d) }

// KeyEntry returns the key of an entry.
func KeyEntry(id fleet.EntryID) fleet.TableKey { return PrefixEntry + fleet.TableKey(id) }

// KeyAudit returns the key of the audit row of an operation.
func KeyAudit(id fleet.OperationID) fleet.TableKey { return PrefixAudit + fleet.TableKey(id) }

// IDOf returns the part of a key after its prefix.
func IDOf(key, prefix fleet.TableKey) string {
	return strings.TrimPrefix(string(key), string(prefix))
}

// HasPrefix reports whether a key belongs to a prefix.
func HasPrefix(key, prefix fleet.TableKey) bool {
	return strings.HasPrefix(string(key), string(prefix))
}
