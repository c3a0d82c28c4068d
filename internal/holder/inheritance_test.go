package holder_test

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against a wait for the longest lease of a restarted endpoint that begins anew with each holder which has not
// outlasted it.
func TestLongLeaseOfRestartedEndpointIsWaitedForOnce(t *testing.T) {
	for seed := range uint64(12) {
		synctest.Test(t, func(t *testing.T) {
			c := newFakeCluster(t, seed, 6)
			c.submit("lasting", 1, true)
			c.addEntries(5)
			defer c.close()
			c.run(20 * time.Second)
			for _, e := range c.endpoints {
				c.end(e, true)
			}
			for range 4 { // The last takeover is 24 s after the restarts.
				c.run(5 * time.Second)
				takeOver(c)
			}
			is.New(t).True(c.endpointOf(lastingTask) != nil)
			c.end(c.endpointOf(lastingTask), false)
			c.run(20 * time.Second)
			for _, v := range c.violations {
				t.Errorf("seed %d: %s", seed, v)
			}
			if testing.Verbose() && t.Failed() {
				t.Log(strings.Join(c.trace, "\n"))
			}
		})
	}
}

// Guards against a wait that is longer than 7 s after the loss of two holders in a row, the second one right after it has
// taken the lease.
func TestLastingTaskRunsSoonAfterLossOfTwoHolders(t *testing.T) {
	for seed := range uint64(160) {
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { loseTwoHolders(t, seed) })
		})
	}
}

func loseTwoHolders(t *testing.T, seed uint64) {
	c := newFakeCluster(t, seed, 6)
	c.submit("lasting", 1, true)
	c.addEntries(5)
	defer c.close()
	c.run(20*time.Second + time.Duration(seed)*50*time.Millisecond)
	c.end(c.endpointOf(lastingTask), false)
	c.kill(c.holder())
	for c.holder() == nil {
		c.run(time.Millisecond)
	}
	c.run(time.Duration(seed%4) * 20 * time.Millisecond)
	c.kill(c.holder())
	for c.endpointOf(lastingTask) == nil {
		c.run(10 * time.Millisecond)
	}
	for _, v := range c.violations {
		t.Error(v)
	}
}

// Guards against a log line that denies a release: who reads it counts with the wait for a lost holder.
func TestTakeoverAfterReleaseIsLoggedAsSuch(t *testing.T) {
	inCluster(t, func(c *fakeCluster) {
		c.mu.Lock()
		seen := len(c.trace)
		c.mu.Unlock()
		takeOver(c)
		c.mu.Lock()
		defer c.mu.Unlock()
		for _, line := range c.trace[seen:] {
			if strings.Contains(line, "lease taken") && !strings.Contains(line, `"released": true`) {
				t.Error(line)
			}
		}
	})
}
