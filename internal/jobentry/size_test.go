package jobentry_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/matryer/is"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/mimosawharf/mimosawharf/internal/clock"
	"github.com/mimosawharf/mimosawharf/internal/duty"
	"github.com/mimosawharf/mimosawharf/internal/holder"
	"github.com/mimosawharf/mimosawharf/internal/job"
	"github.com/mimosawharf/mimosawharf/internal/jobentry"
	"github.com/mimosawharf/mimosawharf/internal/rowstore"
	"github.com/mimosawharf/mimosawharf/internal/shard"
	"github.com/mimosawharf/mimosawharf/internal/standin/rows"
	"github.com/mimosawharf/mimosawharf/internal/standin/runner"
	"github.com/mimosawharf/mimosawharf/internal/wire"
	jobv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/job/v1"
	"github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/job/v1/jobv1connect"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// link is an entry's connection to the store. It carries a number of bytes a second and counts calls and bytes.
type link struct {
	*rows.Store
	clock          clock.Clock
	bytesPerSecond int
	calls, bytes   atomic.Int64

	mu sync.Mutex
	// freeAt is when the link has carried what was sent before.
	freeAt time.Time
}

// carry waits until rows have crossed the link, or for the end of the context.
func (l *link) carry(ctx context.Context, list ...rowstore.Row) error {
	const envelope = 200 // Names, version and encoding of a row.
	n := 0
	for _, row := range list {
		n += len(row.Value)*4/3 + envelope
	}
	l.calls.Add(1)
	l.bytes.Add(int64(n))
	if l.bytesPerSecond == 0 {
		return nil
	}
	l.mu.Lock()
	now := l.clock.Now()
	if l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.freeAt = l.freeAt.Add(time.Duration(n) * time.Second / time.Duration(l.bytesPerSecond))
	wait := l.freeAt.Sub(now)
	l.mu.Unlock()
	if err := clock.Wait(ctx, l.clock, wait); err != nil {
		return &rowstore.UnknownError{Call: "call", Cause: err}
	}
	return nil
}

// Transact implements holder.Store.
func (l *link) Transact(ctx context.Context, t rowstore.Transaction) (rowstore.Version, error) {
	if err := l.carry(ctx, t.Puts...); err != nil {
		return 0, err
	}
	return l.Store.Transact(ctx, t)
}

// Scan implements holder.Store.
func (l *link) Scan(ctx context.Context, r rowstore.Range) (rowstore.Page, error) {
	page, err := l.Store.Scan(ctx, r)
	if err != nil {
		return page, err
	}
	return page, l.carry(ctx, page.Rows...)
}

// Changes implements holder.Store.
func (l *link) Changes(ctx context.Context, table rowstore.Table, after rowstore.Version, wait time.Duration) (rowstore.Page, error) {
	page, err := l.Store.Changes(ctx, table, after, wait)
	if err != nil {
		return page, err
	}
	return page, l.carry(ctx, page.Rows...)
}

// linkedPlatform is the stand-in for a platform as an entry behind a link sees it.
type linkedPlatform struct {
	*runner.Platform
	link *link
}

// Store implements jobentry.Platform.
func (p linkedPlatform) Store() holder.Store { return p.link }

// fleetOf is a number of entries, each behind a link of its own.
type fleetOf struct {
	platform  *runner.Platform
	links     []*link
	addresses []fleet.Address
	entries   []*jobentry.Entry
}

func newFleet(tb testing.TB, entries, endpoints, bytesPerSecond int) *fleetOf {
	tb.Helper()
	c := clock.Real()
	f := &fleetOf{platform: &runner.Platform{
		Rows: rows.New(c), Capacity: fleet.Capacity{Millicores: 64000, Memory: 64000}, Clock: c,
		Config: &holder.Config{
			Version: 1, Queues: []holder.Queue{{Policy: job.Policy{Queue: "plans", Service: "planner", MaxAttempts: 2, Stretch: 2}}},
			Services: []holder.Service{{ID: "planner"}},
		},
	}}
	for n := range endpoints {
		f.platform.Endpoints = append(f.platform.Endpoints,
			runner.New(fleet.EndpointProcess{Endpoint: fleet.EndpointID(fmt.Sprintf("i-%04d", n)), StartMillis: 1}, c, 20*time.Millisecond))
	}
	for n := range entries {
		address := freeAddress(tb)
		k := &link{Store: f.platform.Rows, clock: c, bytesPerSecond: bytesPerSecond}
		f.links, f.addresses = append(f.links, k), append(f.addresses, address)
		f.entries = append(f.entries, &jobentry.Entry{
			Name: fleet.EntryID(fmt.Sprintf("entry-%03d", n)), Zone: "zone", Millicores: fleet.Millicores(200 + n%3*300), PeerAddress: address, Clock: c,
			Log: zap.NewNop(), Grace: 3 * time.Second, Bounds: shard.Bounds{MaxLease: 10 * time.Second, StopTime: time.Second, StatusRetention: time.Hour},
			Platform: linkedPlatform{f.platform, k},
		})
	}
	return f
}

// Ports of the entries. They are below the system's range of ephemeral ports, so that no outgoing connection
// occupies one before its entry listens.
const (
	firstPort = 12000
	portCount = 8000
)

var nextPort = firstPort + rand.IntN(portCount)

// freeAddress returns an unused loopback address, each one once.
func freeAddress(tb testing.TB) fleet.Address {
	tb.Helper()
	for range portCount {
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(nextPort))
		nextPort = firstPort + (nextPort+1-firstPort)%portCount
		if l, err := net.Listen("tcp4", address); err == nil {
			_ = l.Close()
			return fleet.Address(address)
		}
	}
	tb.Fatal("no free port")
	return ""
}

// run runs all entries until the test or benchmark ends.
func (f *fleetOf) run(tb testing.TB) {
	tb.Helper()
	ctx, stop := context.WithCancel(context.Background())
	group, running := duty.NewGroup(ctx)
	for _, e := range f.entries {
		group.Start(running, entryDuty{e})
	}
	tb.Cleanup(func() { stop(); _ = group.Wait() })
}

// entryDuty runs an entry.
type entryDuty struct{ entry *jobentry.Entry }

// Name implements duty.Duty.
func (d entryDuty) Name() fleet.DutyName { return fleet.DutyName(d.entry.Name) }

// Run implements duty.Duty.
func (d entryDuty) Run(ctx context.Context) error {
	if err := d.entry.Run(ctx); err != nil {
		return err
	}
	<-ctx.Done()
	return ctx.Err()
}

// storeJobs stores completed jobs as entries of an earlier life have left them.
func (f *fleetOf) storeJobs(tb testing.TB, count int) {
	tb.Helper()
	is := is.New(tb)
	ctx := context.Background()
	for n := range count {
		j := &fleet.Job{
			ID: fleet.JobID(fmt.Sprintf("%016x", n)), Queue: "plans", Service: "planner", Payload: string(make([]byte, 900)),
			Steps: []fleet.Step{{Tasks: 1}}, AcceptedAt: time.Now(),
		}
		accepted, err := proto.Marshal(&jobv1.Accepted{Service: "planner"})
		is.NoErr(err)
		body, err := proto.Marshal(wire.Job(j))
		is.NoErr(err)
		o := job.New(j, 0)
		o.State, o.EndedAt = fleet.JobStateCompleted, time.Now()
		progress, err := wire.EncodeProgress(o)
		is.NoErr(err)
		part, key := holder.IntakePart(j.ID), rowstore.Key("job-"+j.ID)
		_, err = f.platform.Rows.Transact(ctx, rowstore.Transaction{Puts: []rowstore.Row{
			{Table: holder.AcceptedTable, Part: part, Key: key, Value: accepted},
			{Table: holder.JobTable("planner"), Part: part, Key: key, Value: body},
			{Table: "mimosawharf-progress", Part: "duty-jobs-planner", Key: rowstore.Key(j.ID + ".0"), Value: progress[0]},
		}})
		is.NoErr(err)
	}
}

// Guards against entries that never serve again after all of them have restarted: each read all jobs within one
// timeout that the link could not meet, and began again.
func TestFleetServesAgainAfterRestart(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 100, 4, 1_500_000)
	f.storeJobs(t, 8000) // takes the link over seven seconds
	f.run(t)
	client := jobv1connect.NewJobServiceClient(http.DefaultClient, "http://"+string(f.addresses[50]))
	id, end := 0, time.Now().Add(40*time.Second)
	for completed := false; !completed; {
		is.True(time.Now().Before(end)) // a job is completed within 40 s
		if _, err := client.Get(t.Context(), connect.NewRequest(&jobv1.GetRequest{Job: "new"})); connect.CodeOf(err) == connect.CodeNotFound {
			_, _ = client.Submit(t.Context(), connect.NewRequest(&jobv1.SubmitRequest{Job: &jobv1.Job{Id: "new", Queue: "plans", Steps: []*jobv1.Step{{Tasks: 1}}}}))
			id++
		}
		r, err := client.Get(t.Context(), connect.NewRequest(&jobv1.GetRequest{Job: "new"}))
		completed = err == nil && r.Msg.GetState() == string(fleet.JobStateCompleted)
		_ = clock.Wait(t.Context(), clock.Real(), 50*time.Millisecond)
	}
	is.Equal(id, 1) // the first submission was accepted
}

// BenchmarkEntryWithoutDuty measures what an entry without a duty reads and writes at the store, as entries,
// endpoints and jobs double.
func BenchmarkEntryWithoutDuty(b *testing.B) {
	for _, size := range []struct{ entries, endpoints, jobs int }{{15, 100, 500}, {30, 200, 1000}, {60, 400, 2000}, {120, 800, 4000}} {
		b.Run(fmt.Sprintf("entries=%d", size.entries), func(b *testing.B) {
			f := newFleet(b, size.entries, size.endpoints, 0)
			f.storeJobs(b, size.jobs)
			f.run(b)
			_ = clock.Wait(b.Context(), clock.Real(), 4*time.Second) // until leases are taken and others read less
			const span = 6 * time.Second
			calls, bytes := make([]int64, len(f.links)), make([]int64, len(f.links))
			for n, l := range f.links {
				calls[n], bytes[n] = l.calls.Load(), l.bytes.Load()
			}
			_ = clock.Wait(b.Context(), clock.Real(), span)
			// Entries with n%3 == 0 have the least capacity, so that none of them holds a duty.
			var callSum, byteSum, count float64
			for n, l := range f.links {
				if n%3 == 0 {
					callSum += float64(l.calls.Load() - calls[n])
					byteSum += float64(l.bytes.Load() - bytes[n])
					count++
				}
			}
			b.ReportMetric(callSum/count/span.Seconds(), "calls/s")
			b.ReportMetric(byteSum/count/span.Seconds(), "bytes/s")
		})
	}
}
