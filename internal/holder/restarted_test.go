package holder_test

import (
	"testing"
	"time"
)

// Guards against a lasting task that waits for the longest lease because its endpoint restarted at some earlier time.
func TestLastingTaskRunsSoonWhereEndpointHasRestarted(t *testing.T) {
	inCluster(t, func(c *fakeCluster) {
		for _, e := range c.endpoints {
			c.end(e, true)
			c.run(3 * time.Second)
		}
		c.run(30 * time.Second)
		takeOver(c)
		c.end(c.endpointOf(lastingTask), false)
	})
}
