package holder_test

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/mimosawharf/mimosawharf/internal/account"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// running returns how many runs are executed, and done how many were.
func (c *fakeCluster) running() (running, done int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, runs := range c.runs {
		for _, r := range runs {
			switch {
			case r.ended.IsZero():
				running++
			case r.how == fleet.RunEndDone:
				done++
			}
		}
	}
	return running, done
}

func TestLimitOfAnAccountHoldsWhenItsHolderIsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newFakeCluster(t, 1, 6)
		c.account = "a"
		c.config.Accounts = account.NewDirectory([]fleet.ClientAccount{{ID: "a", Weight: 1, MaxRunning: fleet.Capacity{Millicores: 3000}}})
		c.addEntries(5)
		defer c.close()
		c.run(5 * time.Second)
		for n := range 6 {
			c.submit(fleet.JobID(fmt.Sprintf("job-%d", n)), 4, false)
		}
		most := 0
		for step := range 600 {
			if step == 60 {
				c.kill(c.holder())
			}
			c.run(50 * time.Millisecond)
			running, _ := c.running()
			most = max(most, running)
		}
		_, done := c.running()
		is.Equal(most, 3)
		is.Equal(done, 24)
		if t.Failed() {
			t.Log(strings.Join(c.trace, "\n"))
		}
	})
}
