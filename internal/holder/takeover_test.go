package holder_test

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

var lastingTask = fleet.TaskID{Job: "lasting"}

// inCluster runs a test in a cluster of five entries and six endpoints with a lasting task that runs.
func inCluster(t *testing.T, test func(c *fakeCluster)) {
	synctest.Test(t, func(t *testing.T) {
		c := newFakeCluster(t, 1, 6)
		c.submit("lasting", 1, true)
		c.addEntries(5)
		defer c.close()
		c.run(20 * time.Second)
		is.New(t).True(c.endpointOf(lastingTask) != nil)
		test(c)
		c.run(30 * time.Second)
		c.checkRuns()
		for _, v := range c.violations {
			t.Error(v)
		}
		if t.Failed() {
			t.Log(strings.Join(c.trace, "\n"))
		}
	})
}

// takeOver stops the holder as planned and waits until another entry holds the service.
func takeOver(c *fakeCluster) {
	e := c.holder()
	is.New(c.t).True(e != nil)
	c.stop(e)
	c.run(time.Second)
}

// Guards against a lasting task that waits anew after each takeover although its endpoint has gone.
func TestLastingTaskRunsSoonAfterTakeovers(t *testing.T) {
	inCluster(t, func(c *fakeCluster) {
		c.end(c.endpointOf(lastingTask), false)
		c.run(time.Second)
		for range 3 {
			takeOver(c)
		}
	})
}

// Guards against a wait for a lost holder that is longer than a lasting task may be away.
func TestLastingTaskRunsSoonAfterLossOfHolder(t *testing.T) {
	inCluster(t, func(c *fakeCluster) {
		c.end(c.endpointOf(lastingTask), false)
		c.kill(c.holder())
	})
}

// Guards against a lasting task that waits for a holder without the store that has given up, as other endpoints have
// fenced it.
func TestLastingTaskRunsSoonAfterHolderIsFenced(t *testing.T) {
	inCluster(t, func(c *fakeCluster) { cutOff(c, false) })
}

// Guards against a second run while a holder without the store renews the first one, which no other holder reaches.
func TestLastingTaskRunsOnceWhereOnlyLostHolderReachesIt(t *testing.T) {
	inCluster(t, func(c *fakeCluster) { cutOff(c, true) })
}

// cutOff cuts the holder from the store and the lasting task's endpoint from the other entries, and stops the next three
// holders. With alone set, the first holder reaches no other endpoint, so none fences it.
func cutOff(c *fakeCluster, alone bool) {
	first, endpoint := c.holder(), c.endpointOf(lastingTask)
	c.change(func() {
		for _, entry := range c.entries {
			for _, e := range c.endpoints {
				e.cutFrom[entry.id] = entry != first && e == endpoint || alone && entry == first && e != endpoint
			}
		}
		first.storeMode = storeSilent
	})
	c.disrupt("%s is cut from the store, %s from the other entries", first.id, endpoint.id)
	c.run(3 * time.Second)
	for range 3 {
		for _, e := range c.entries {
			if e != first && e.life != nil && len(e.life.status.Get().Held) > 0 {
				c.stop(e)
			}
		}
		c.run(time.Second)
	}
}

// Guards against a lasting task that waits for a holder whose VM has restarted, as all entries have, while the store did
// not answer: none of them has seen when the lease was renewed.
func TestLastingTaskRunsSoonAfterOutageWithRestarts(t *testing.T) {
	inCluster(t, func(c *fakeCluster) { restartInOutage(c, storeRefuses) })
}

// Guards against the same where reads that began in the outage stay without an answer.
func TestLastingTaskRunsSoonAfterSilentStoreWithRestarts(t *testing.T) {
	inCluster(t, func(c *fakeCluster) { restartInOutage(c, storeSilent) })
}

// restartInOutage ends the lasting task's endpoint and restarts all entries during an outage of the store.
func restartInOutage(c *fakeCluster, mode storeMode) {
	set := func(mode storeMode) {
		c.mu.Lock()
		c.storeMode = mode
		c.mu.Unlock()
		c.disrupt("store %s", mode)
	}
	set(mode)
	c.end(c.endpointOf(lastingTask), false)
	for _, e := range c.entries {
		c.kill(e)
		c.after(2*time.Second, func() { c.start(e) })
	}
	c.run(5 * time.Second)
	set(storeAnswers)
}

// Guards against a lasting task that waits for the longest lease because its endpoint restarted long before a takeover.
func TestLastingTaskRunsSoonAfterTakeoverOfRestartedEndpoint(t *testing.T) {
	inCluster(t, func(c *fakeCluster) {
		for _, e := range c.endpoints {
			c.end(e, true)
		}
		c.run(20 * time.Second)
		takeOver(c)
		c.end(c.endpointOf(lastingTask), false)
	})
}

// Guards against a holder that wakes from a pause and extends leases although the next holder waits no longer for it.
func TestPausedHolderExtendsNoLease(t *testing.T) {
	inCluster(t, func(c *fakeCluster) {
		first, endpoint := c.holder(), c.endpointOf(lastingTask)
		c.change(func() {
			for _, e := range c.entries {
				endpoint.cutFrom[e.id] = e != first
			}
		})
		c.submit("batch", 8, false)
		c.run(30 * time.Millisecond) // A batch is being committed.
		first.life.pause(14 * time.Second)
	})
}

// Guards against a holder that wakes from a pause and stops runs that it has given up, which the next holder continues.
func TestPausedHolderStopsNothing(t *testing.T) {
	inCluster(t, func(c *fakeCluster) {
		for range 6 {
			c.holder().life.pause(6 * time.Second)
			c.run(10 * time.Second)
		}
	})
}
