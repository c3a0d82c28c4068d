package holder

import (
	"go.uber.org/zap"

	"github.com/mimosawharf/mimosawharf/internal/job"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// applyConfig puts a configuration in force. Services stay known once a configuration has sent them a queue.
func (s *Scheduler) applyConfig(c *Config) {
	if s.config != nil && c.Version <= s.config.Version {
		return
	}
	s.config = c
	s.setLimits(c)
	for _, q := range c.Queues {
		s.queued[q.Service] = true
	}
	for _, h := range s.held {
		s.updatePolicies(h)
	}
	s.Log.Info("scheduler: configuration in force", zap.Uint64("config-version", c.Version), zap.Int("queues", len(c.Queues)))
}

// updatePolicies passes the policies of the queues to the engine of a held service.
func (s *Scheduler) updatePolicies(h *heldDuty) {
	if h.engine == nil || s.config == nil {
		return
	}
	// A queue that has moved to another service may have jobs here.
	policies := make([]job.Policy, 0, len(s.config.Queues))
	h.queues, h.mayHaveMoved = map[fleet.QueueID]bool{}, true
	for _, q := range s.config.Queues {
		policies = append(policies, q.Policy)
		h.queues[q.Queue] = q.Service == h.service
	}
	h.engine.SetPolicies(policies)
	h.engine.SetWeights(s.config.Accounts.Weights())
}
