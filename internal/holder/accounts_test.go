package holder_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/mimosawharf/mimosawharf/internal/account"
	"github.com/mimosawharf/mimosawharf/internal/holder"
	"github.com/mimosawharf/mimosawharf/internal/job"
	"github.com/mimosawharf/mimosawharf/internal/rowstore"
	jobv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/job/v1"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

func limitedAccount(n int) fleet.ClientAccountID {
	return fleet.ClientAccountID(fmt.Sprintf("regional-office-of-education-%04d-scheduling", n))
}

// limitedAccounts returns accounts with a limit.
func limitedAccounts(n int) *account.Directory {
	var list []fleet.ClientAccount
	for i := range n {
		list = append(list, fleet.ClientAccount{ID: limitedAccount(i), Weight: 1, MaxRunning: fleet.Capacity{Millicores: 24000}})
	}
	return account.NewDirectory(list)
}

// Guards against jobs that never start once operators have added accounts: what the services held of the limits of all
// accounts was one row, which the store refuses once it is too long. A single entry holds equal parts for all services.
func TestJobsOfAddedAccountsStart(t *testing.T) {
	for _, entries := range []int{1, 4} {
		t.Run(fmt.Sprintf("%d entries", entries), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runAddedAccounts(t, entries) })
		})
	}
}

func runAddedAccounts(t *testing.T, entries int) {
	is := is.New(t)
	c := newFakeCluster(t, 1, 6)
	for n := range 7 {
		service := fleet.ServiceID(fmt.Sprintf("service-%d", n))
		c.config.Services = append(c.config.Services, holder.Service{ID: service})
		c.config.Queues = append(c.config.Queues, holder.Queue{Policy: job.Policy{Queue: fleet.QueueID("queue-" + service), Service: service, MaxAttempts: 3, Stretch: 2}})
	}
	c.config.Accounts = limitedAccounts(130)
	c.addEntries(entries)
	defer c.close()
	c.run(20 * time.Second)
	held := 0
	for _, e := range c.entries {
		held += len(e.life.status.Get().Held)
	}
	is.Equal(held, len(c.config.Services)) // All of them have claims.
	config := *c.config
	config.Version, config.Accounts = 2, limitedAccounts(260)
	c.config = &config
	for _, e := range c.entries {
		is.NoErr(e.life.inbox.PushReserved(holder.Event{Config: c.config}))
	}
	c.run(3 * time.Second)
	for n := range 20 {
		c.account = limitedAccount(13 * n)
		c.submit(fleet.JobID(fmt.Sprintf("job-%d", n)), 1, false)
	}
	c.run(20 * time.Second)
	_, done := c.running()
	is.Equal(done, 20)
	if t.Failed() {
		t.Log(strings.Join(c.trace, "\n"))
	}
}

// Guards against a limit that is exceeded after an update, since what another service holds stands in the ledger that the
// earlier version wrote.
func TestLimitCountsWhatEarlierVersionStored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newFakeCluster(t, 1, 6)
		c.account = "a"
		c.config.Accounts = account.NewDirectory([]fleet.ClientAccount{{ID: "a", Weight: 1, MaxRunning: fleet.Capacity{Millicores: 3000}}})
		value, err := proto.Marshal(&jobv1.LimitLedger{Claims: []*jobv1.LimitClaim{{Service: "other", Epoch: 1, Positions: []*jobv1.LimitPosition{
			{Account: "a", Held: &jobv1.LimitCapacity{Millicores: 2000}},
		}}}})
		is.NoErr(err)
		_, err = c.store.Transact(context.Background(), rowstore.Transaction{Puts: []rowstore.Row{
			{Table: "mimosawharf-limits", Part: "limits", Key: "ledger", Value: value},
		}})
		is.NoErr(err)
		c.addEntries(3)
		defer c.close()
		c.run(5 * time.Second)
		c.submit("job", 4, false)
		most := 0
		for range 200 {
			c.run(50 * time.Millisecond)
			running, _ := c.running()
			most = max(most, running)
		}
		_, done := c.running()
		is.Equal(most, 1)
		is.Equal(done, 4)
	})
}
