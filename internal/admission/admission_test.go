package admission_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mimosawharf/mimosawharf/internal/admission"
	"github.com/mimosawharf/mimosawharf/internal/request"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

var now = time.Unix(1000, 0)

func work(account fleet.ClientAccountID, class fleet.Class, number int, expected time.Duration, body int) *request.Work {
	return &request.Work{Expected: expected, Request: &request.Request{
		ID: fleet.RequestID(fmt.Sprintf("%s-%d", account, number)), Account: account, Service: "rota", Class: class, Body: make([]byte, body),
	}}
}

// Guards against an account that crowds out others: a full queue drops the newest request of the
// largest account, never one of an account with little traffic.
func TestFullQueueDropsFromLargestAccount(t *testing.T) {
	cases := []struct {
		name     string
		queues   admission.Queues
		large    int
		newcomer fleet.ClientAccountID
		dropped  fleet.RequestID
	}{
		{"newcomer of a small account", admission.Queues{Capacity: 10, MaxBytes: 1000}, 10, "small", "large-9"},
		{"newcomer of the largest account", admission.Queues{Capacity: 10, MaxBytes: 1000}, 10, "large", "large-99"},
		{"bytes of a small account", admission.Queues{Capacity: 100, MaxBytes: 100}, 10, "small", "large-9"},
		{"bytes of the largest account", admission.Queues{Capacity: 100, MaxBytes: 100}, 10, "large", "large-99"},
		{"room left", admission.Queues{Capacity: 11, MaxBytes: 1000}, 10, "small", ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			for i := range c.large {
				is.Equal(len(c.queues.Offer(now, work("large", fleet.ClassNormal, i, time.Second, 10), 1)), 0)
			}
			dropped := c.queues.Offer(now, work(c.newcomer, fleet.ClassNormal, 99, time.Second, 10), 1)
			if c.dropped == "" {
				is.Equal(len(dropped), 0)
				return
			}
			is.Equal(len(dropped), 1)
			is.Equal(dropped[0].Request.ID, c.dropped)
			is.Equal(c.queues.Len(), 10)
		})
	}
}

// Guards against accounts whose share does not follow their weight and their run times.
func TestAccountsShareByWeight(t *testing.T) {
	cases := []struct {
		name       string
		runA, runB time.Duration
		a, b       fleet.Weight
		// ratio is how many requests of a are served for each of b.
		ratio float64
	}{
		{"equal", time.Second, time.Second, 1, 1, 1},
		{"weight 3 to 1", time.Second, time.Second, 3, 1, 3},
		{"requests of b run twice as long", time.Second, 2 * time.Second, 1, 1, 2},
		{"weight 0 counts as 1", time.Second, time.Second, 0, 1, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			q := admission.Queues{Capacity: 1000, MaxBytes: 1000}
			for i := range 200 {
				q.Offer(now, work("a", fleet.ClassNormal, i, c.runA, 0), c.a)
				q.Offer(now, work("b", fleet.ClassNormal, i, c.runB, 0), c.b)
			}
			served := map[fleet.ClientAccountID]float64{}
			for range 120 {
				served[q.Peek("rota", admission.LaneNormal).Request.Account]++
				q.Pop("rota", admission.LaneNormal)
			}
			ratio := served["a"] / served["b"]
			is.True(ratio > c.ratio*0.9 && ratio < c.ratio*1.1)
		})
	}
}

// Guards against normal work that starves under a load of urgent work, and against urgent work that waits
// for normal work.
func TestNormalWorkHasMinimumShare(t *testing.T) {
	cases := []struct {
		percent fleet.Percent
		normal  int
	}{{0, 0}, {10, 10}, {50, 50}}
	for _, c := range cases {
		t.Run(fmt.Sprint(c.percent), func(t *testing.T) {
			is := is.New(t)
			q := admission.Queues{Capacity: 1000, MaxBytes: 1000, NormalPercent: c.percent}
			for i := range 200 {
				q.Offer(now, work("a", fleet.ClassNormal, i, time.Millisecond, 0), 1)
				q.Offer(now, work("b", fleet.ClassUrgent, i, time.Millisecond, 0), 1)
			}
			normal := 0
			for range 100 {
				lane, ok := q.NextShort("rota")
				is.True(ok)
				if lane == admission.LaneNormal {
					normal++
				}
				q.Pop("rota", lane)
			}
			is.True(normal >= c.normal-1 && normal <= c.normal+1)
		})
	}
}

// Guards against a wrong expected wait, on which early refusals are based.
func TestExpectedWaitFollowsBacklogAndShare(t *testing.T) {
	cases := []struct {
		name    string
		account fleet.ClientAccountID
		class   fleet.Class
		slots   fleet.Slots
		want    time.Duration
	}{
		{"own backlog", "large", fleet.ClassNormal, 10, time.Second},
		{"an account without backlog waits for its fair share only", "small", fleet.ClassNormal, 10, 200 * time.Millisecond},
		{"another class does not wait", "small", fleet.ClassUrgent, 10, 0},
		{"no slots count as one", "large", fleet.ClassNormal, 0, 10 * time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			q := admission.Queues{Capacity: 100, MaxBytes: 1000}
			for i := range 10 {
				q.Offer(now, work("large", fleet.ClassNormal, i, time.Second, 0), 1)
			}
			is.Equal(q.ExpectedWait(work(c.account, c.class, 99, time.Second, 0), 1, c.slots), c.want)
		})
	}
}

// Guards against quotas that an account exceeds, or that never recover.
func TestQuotas(t *testing.T) {
	cases := []struct {
		name    string
		quotas  admission.Quotas
		quota   fleet.Quota
		allowed int
		// later is how many more are allowed after 1 s in which all requests ended.
		later int
	}{
		{"none", admission.Quotas{}, fleet.Quota{}, 100, 100},
		{"rate and burst", admission.Quotas{}, fleet.Quota{Rate: 20, Burst: 30}, 30, 20},
		{"rate of one of four entries", admission.Quotas{Entries: 4}, fleet.Quota{Rate: 20, Burst: 40}, 10, 5},
		{"in flight", admission.Quotas{}, fleet.Quota{InFlight: 7}, 7, 7},
		{"in flight of one of two entries", admission.Quotas{Entries: 2}, fleet.Quota{InFlight: 7}, 3, 3},
		{"small quota over many entries", admission.Quotas{Entries: 8}, fleet.Quota{InFlight: 1}, 1, 1},
		{"bound of the entry", admission.Quotas{MaxInFlight: 5}, fleet.Quota{}, 5, 5},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(take(&c.quotas, now, c.quota), c.allowed)
			for range c.allowed {
				c.quotas.Done("a")
			}
			is.Equal(take(&c.quotas, now.Add(time.Second), c.quota), c.later)
		})
	}
}

func take(q *admission.Quotas, at time.Time, quota fleet.Quota) int {
	for n := range 100 {
		if wait, ok := q.Take(at, "a", quota); !ok {
			if wait <= 0 {
				return -1
			}
			return n
		}
	}
	return 100
}
