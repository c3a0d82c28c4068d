package fleet

import "time"

// Configuration is the complete configuration at one revision. Its maps are never nil after
// NewConfiguration, and a published Configuration is never modified.
type Configuration struct {
	Revision ConfigRevision
	Pools    map[PoolID]Pool
	Services map[ServiceID]Service
	Accounts map[ClientAccountID]ClientAccount
}

// NewConfiguration returns an empty configuration at revision 0.
func NewConfiguration() Configuration {
	return Configuration{
		Pools:    map[PoolID]Pool{},
		Services: map[ServiceID]Service{},
		Accounts: map[ClientAccountID]ClientAccount{},
	}
}

// Pool is a set of VMs with an availability budget.
type Pool struct {
	ID     PoolID
	Budget Budget
	// Spare is set for a pool that lends VMs to other pools.
	Spare bool
	// TargetVMs is the size that the pool should have when nothing is lent or borrowed.
	TargetVMs VMCount
	// MaxVMs bounds the size of the pool, borrowed VMs included; 0 means no bound.
	MaxVMs VMCount
	// Revision is the revision that wrote the item.
	Revision ConfigRevision
}

// Budget bounds the voluntary disruption of a pool. A limit of 0 means no bound.
type Budget struct {
	MinAvailableVMs       VMCount
	MaxUnavailableVMs     VMCount
	MinAvailableSlots     Slots
	MaxUnavailablePerZone VMCount
	MinAvailablePerZone   VMCount
	// MaxUnavailableSlots and MaxUnavailableSlotsPerZone count the slots of VMs that are not available.
	MaxUnavailableSlots        Slots
	MaxUnavailableSlotsPerZone Slots
	MinAvailableSlotsPerZone   Slots
}

// Service runs on the endpoints of one pool.
type Service struct {
	ID           ServiceID
	Pool         PoolID
	RequestTypes map[RequestType]RequestTypeRule
	Revision     ConfigRevision
}

// RequestTypeRule declares how requests of one type are treated.
type RequestTypeRule struct {
	Name RequestType
	// Class applies to accounts without a priority grant for the type. It is never ClassUrgent.
	Class Class
	// Repeatable is set when a request may run more than once.
	Repeatable bool
	// Checkpointable is set when endpoints can checkpoint a running request.
	Checkpointable bool
	// DeclaredRunTime is the estimate until run times are observed.
	DeclaredRunTime time.Duration
	// MaxTimeout bounds the timeout that a caller may request; 0 means no bound.
	MaxTimeout time.Duration
}

// ClientAccount is a customer whose callers submit requests.
type ClientAccount struct {
	ID ClientAccountID
	// CredentialHash is the SHA-256 of the account's secret.
	CredentialHash []byte
	Weight         Weight
	Quota          Quota
	PriorityGrants []PriorityGrant
	// Keys are the keys that authorize submissions and requests of jobs.
	Keys []KeyDigest
	// Priority orders the account's jobs among those of a queue; 0 is served first.
	Priority int
	// MaxRunning bounds what the tasks of the account's jobs use at the same time, over all services. A resource of 0
	// has no bound.
	MaxRunning Capacity
	Revision   ConfigRevision
}

// Quota bounds an account over all entries. A limit of 0 means no bound.
type Quota struct {
	Rate     RequestsPerSecond
	Burst    int
	InFlight int
}

// PriorityGrant lets an account's requests of one type enter a class.
type PriorityGrant struct {
	Service     ServiceID
	RequestType RequestType
	Class       Class
}

// ClassOf returns the class of a request type for the account.
func (a ClientAccount) ClassOf(service ServiceID, rule RequestTypeRule) Class {
	for _, g := range a.PriorityGrants {
		if g.Service == service && g.RequestType == rule.Name {
			return g.Class
		}
	}
	return rule.Class
}
