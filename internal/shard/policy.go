package shard

import (
	"github.com/mimosawharf/mimosawharf/internal/job"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// SetPolicies replaces the policies of the configured queues, also of those that have moved to other services.
func (e *Engine) SetPolicies(policies []job.Policy) {
	clear(e.policies)
	for _, p := range policies {
		e.policies[p.Queue] = p
	}
}

// policy returns the policy of a job's queue. A job of a queue that is no longer configured is served under the policy
// with which it was accepted.
func (e *Engine) policy(j *fleet.Job) job.Policy {
	if p, ok := e.policies[j.Queue]; ok {
		return p
	}
	p := job.Policy{Queue: j.Queue, Service: e.Service, MaxAttempts: j.MaxAttempts, Stretch: defaultStretch, NeedsTickets: j.NeedsTickets}
	if p.MaxAttempts == 0 {
		p.MaxAttempts = defaultAttempts
	}
	return p
}

// Policy of a job of a removed queue where the job does not name it.
const (
	defaultAttempts = 4
	defaultStretch  = 2
)
