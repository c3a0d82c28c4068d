package admission

import (
	"time"

	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Quotas enforces this entry's part of the quotas of all accounts. One goroutine owns it.
type Quotas struct {
	// Entries is the number of entries among which a quota is divided.
	Entries int
	// MaxInFlight bounds the requests of one account at this entry, whatever its quota; 0 means no bound.
	MaxInFlight int

	usage map[fleet.ClientAccountID]*usage
}

// usage is what one account uses of its quota at this entry.
type usage struct {
	inFlight int
	tokens   float64
	since    time.Time
}

// Take counts a request of an account. When a quota is exhausted, it counts nothing and returns how long
// the caller should wait and false. Each entry's part is at least one request, so that an account with a
// small quota can use any entry.
func (q *Quotas) Take(now time.Time, account fleet.ClientAccountID, quota fleet.Quota) (time.Duration, bool) {
	if q.usage == nil {
		q.usage = map[fleet.ClientAccountID]*usage{}
	}
	entries := max(q.Entries, 1)
	u := q.usage[account]
	if u == nil {
		u = &usage{tokens: burst(quota, entries), since: now}
		q.usage[account] = u
	}
	if quota.InFlight > 0 && u.inFlight >= max(quota.InFlight/entries, 1) || q.MaxInFlight > 0 && u.inFlight >= q.MaxInFlight {
		return quotaRetry, false
	}
	if quota.Rate > 0 {
		rate := float64(quota.Rate) / float64(entries)
		if passed := now.Sub(u.since); passed > 0 {
			u.tokens = min(u.tokens+rate*passed.Seconds(), burst(quota, entries))
		}
		u.since = now
		if u.tokens < 1 {
			return time.Duration((1 - u.tokens) / rate * float64(time.Second)), false
		}
		u.tokens--
	}
	u.inFlight++
	return 0, true
}

// quotaRetry is the retry-after hint when an account has too many requests in flight.
const quotaRetry = 200 * time.Millisecond

// Done counts a request of an account as ended.
func (q *Quotas) Done(account fleet.ClientAccountID) {
	if u := q.usage[account]; u != nil {
		u.inFlight--
	}
}

func burst(quota fleet.Quota, entries int) float64 {
	return max(float64(max(quota.Burst, 1))/float64(entries), 1)
}
