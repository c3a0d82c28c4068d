package platform_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"runtime"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/mimosawharf/mimosawharf/internal/duty"
	"github.com/mimosawharf/mimosawharf/internal/platform"
	"github.com/mimosawharf/mimosawharf/internal/ring"
	"github.com/mimosawharf/mimosawharf/internal/standin"
	standinplatform "github.com/mimosawharf/mimosawharf/internal/standin/platform"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// platformAPI is the interface under contract.
type platformAPI interface {
	Commit(ctx context.Context, t platform.Transaction) (fleet.TableRevision, error)
	Read(ctx context.Context, keys ...fleet.TableKey) ([]platform.Row, error)
	Changes(ctx context.Context, after fleet.TableRevision, limit int, prefixes ...fleet.TableKey) (platform.Changes, error)
	ListVMs(ctx context.Context) (fleet.VMList, error)
	Act(ctx context.Context, command fleet.VMCommand) error
}

// setup is an adapter under test with control of its stand-in.
type setup struct {
	platformAPI
	changeStore func(func(*standinplatform.Store))
	clock       *clockwork.FakeClock
}

var adapters = map[string]func(t *testing.T) setup{
	"in-process": func(*testing.T) setup {
		c := clockwork.NewFakeClock()
		s := standinplatform.NewStore(c, time.Second, time.Second)
		client := platform.NewClientWithServices(platform.Services{Table: s, Objects: s, VMs: s}, time.Second)
		return setup{platformAPI: client, clock: c, changeStore: func(f func(*standinplatform.Store)) { f(s) }}
	},
	"http":  func(t *testing.T) setup { return overHTTP(t, false) },
	"lanes": func(t *testing.T) setup { return overHTTP(t, true) },
}

type limited struct {
	*platform.RateLimitedClient
	*platform.Client
}

func (l limited) Commit(ctx context.Context, t platform.Transaction) (fleet.TableRevision, error) {
	return l.RateLimitedClient.Commit(ctx, t)
}

func (l limited) Read(ctx context.Context, keys ...fleet.TableKey) ([]platform.Row, error) {
	return l.RateLimitedClient.Read(ctx, keys...)
}

func (l limited) Changes(ctx context.Context, after fleet.TableRevision, limit int, prefixes ...fleet.TableKey) (platform.Changes, error) {
	return l.RateLimitedClient.Changes(ctx, after, limit, prefixes...)
}

func overHTTP(t *testing.T, rateLimited bool) setup {
	c := clockwork.NewFakeClock()
	p := standinplatform.New(c, time.Second, time.Second)
	group, ctx := duty.NewGroup(t.Context())
	group.Start(ctx, p)
	server := httptest.NewServer(p.Handler())
	t.Cleanup(server.Close)
	client := platform.NewClient(&http.Client{}, server.URL, 20*time.Second)
	s := setup{platformAPI: client, clock: c, changeStore: func(f func(*standinplatform.Store)) { _ = p.Change(ctx, f) }}
	if rateLimited {
		l := &platform.RateLimitedClient{Client: client, Writes: ring.New[*platform.Call]("w", 64), Reads: ring.New[*platform.Call]("r", 64)}
		group.Start(ctx, &platform.RateLimiter{Duty: "table-writer", Inbox: l.Writes, Clock: c, PerSecond: 1e6})
		group.Start(ctx, &platform.RateLimiter{Duty: "table-reader", Inbox: l.Reads, Clock: c, PerSecond: 1e6})
		s.platformAPI = limited{l, client}
	}
	return s
}

func (s setup) setFaults(f standinplatform.Faults) {
	s.changeStore(func(store *standinplatform.Store) { store.Faults = f })
}

const key fleet.TableKey = "vm/a"

// put returns an audited transaction that writes key when the row has the version.
func put(id fleet.OperationID, version fleet.RowVersion, value string) platform.Transaction {
	return platform.Transaction{
		Audit:         &fleet.Audit{OperationID: id, Actor: "ada", Action: fleet.AuditActionVMDrain},
		Preconditions: []platform.Precondition{{Key: key, Version: version}},
		Puts:          []platform.Put{{Key: key, Value: []byte(value)}},
	}
}

// faultCases lists the faults of the platform with the behavior that each adapter must show.
var faultCases = []struct {
	name string
	run  func(is *is.I, s setup)
}{
	{"conflict changes nothing", func(is *is.I, s setup) {
		_, err := s.Commit(context.Background(), put("op-2", 7, "two"))
		var conflict *platform.ConflictError
		is.True(errors.As(err, &conflict))
		is.Equal(conflict.Keys, []fleet.TableKey{key})
		is.Equal(s.value(is), "one")
	}},
	{"spurious conflict", func(is *is.I, s setup) {
		s.setFaults(standinplatform.Faults{Conflicts: 1})
		_, err := s.Commit(context.Background(), put("op-2", 1, "two"))
		var conflict *platform.ConflictError
		is.True(errors.As(err, &conflict))
		is.Equal(s.value(is), "one")
	}},
	{"platform unavailable", func(is *is.I, s setup) {
		s.setFaults(standinplatform.Faults{Down: true})
		_, err := s.Commit(context.Background(), put("op-2", 1, "two"))
		var unavailable *platform.UnavailableError
		is.True(errors.As(err, &unavailable))
		_, err = s.Changes(context.Background(), 0, 0)
		is.True(errors.As(err, &unavailable))
		s.setFaults(standinplatform.Faults{})
		is.Equal(s.value(is), "one")
	}},
	{"answer lost after the effect", func(is *is.I, s setup) {
		s.setFaults(standinplatform.Faults{LoseAnswers: 1})
		revision, err := s.Commit(context.Background(), put("op-2", 1, "two"))
		is.NoErr(err)
		is.Equal(revision, fleet.TableRevision(2)) // one effect only
		is.Equal(s.value(is), "two")
	}},
	{"answer lost and the audit row is read stale", func(is *is.I, s setup) {
		s.setFaults(standinplatform.Faults{LoseAnswers: 1, StaleReads: 1, StaleBy: 1})
		revision, err := s.Commit(context.Background(), put("op-2", 1, "two"))
		is.NoErr(err)
		is.Equal(revision, fleet.TableRevision(2))
	}},
	{"heartbeat with a lost answer is not sent again", func(is *is.I, s setup) {
		s.setFaults(standinplatform.Faults{LoseAnswers: 1})
		_, err := s.Commit(context.Background(), platform.Transaction{Puts: []platform.Put{{Key: "entry/e", Value: []byte("x")}}})
		var unavailable *platform.UnavailableError
		is.True(errors.As(err, &unavailable))
		rows, err := s.Read(context.Background(), "entry/e")
		is.NoErr(err)
		is.Equal(rows[0].Version, fleet.RowVersion(2))
	}},
	{"stale read", func(is *is.I, s setup) {
		s.setFaults(standinplatform.Faults{StaleReads: 1, StaleBy: 1})
		rows, err := s.Read(context.Background(), key)
		is.NoErr(err)
		is.True(!rows[0].Exists())
		is.Equal(s.value(is), "one")
	}},
	{"duplicate delivery", func(is *is.I, s setup) {
		s.setFaults(standinplatform.Faults{Duplicates: 1})
		_, err := s.Commit(context.Background(), put("op-2", 1, "two"))
		is.NoErr(err)
		_, err = s.Commit(context.Background(), put("op-3", 2, "three"))
		is.NoErr(err)
		is.Equal(s.value(is), "three")
	}},
	{"rate exceeded", func(is *is.I, s setup) {
		s.setFaults(standinplatform.Faults{RateExceeded: 1})
		_, err := s.Read(context.Background(), key)
		var exceeded *platform.RateExceededError
		is.True(errors.As(err, &exceeded))
	}},
	{"repeated operation id takes effect once", func(is *is.I, s setup) {
		revision, err := s.Commit(context.Background(), put("op-1", 0, "one"))
		is.NoErr(err)
		is.Equal(revision, fleet.TableRevision(1))
		other := put("op-1", 1, "two")
		other.Audit.Action = fleet.AuditActionVMCancel
		_, err = s.Commit(context.Background(), other)
		var reused *platform.OperationReusedError
		is.True(errors.As(err, &reused))
		is.Equal(s.value(is), "one")
	}},
	{"restored from a backup", func(is *is.I, s setup) {
		before, err := s.Changes(context.Background(), 0, 0)
		is.NoErr(err)
		s.changeStore(func(store *standinplatform.Store) { store.Backup() })
		_, err = s.Commit(context.Background(), put("op-2", 1, "two"))
		is.NoErr(err)
		s.changeStore(func(store *standinplatform.Store) { store.Restore() })
		after, err := s.Changes(context.Background(), 0, 0)
		is.NoErr(err)
		is.True(after.History != before.History)
		is.Equal(after.Revision, before.Revision)
		is.Equal(s.value(is), "one")
	}},
	{"VM list late by 30 s does not go back", func(is *is.I, s setup) {
		s.changeStore(func(store *standinplatform.Store) { store.PutVM(standin.NewVM("a", "z", "r", "127.0.0.1:1")) })
		s.clock.Advance(2 * time.Second)
		fresh, err := s.ListVMs(context.Background())
		is.NoErr(err)
		is.Equal(len(fresh.VMs), 1)
		s.changeStore(func(store *standinplatform.Store) {
			store.Faults.ListLate = 30 * time.Second
			store.RemoveVM("a")
		})
		s.clock.Advance(20 * time.Second)
		late, err := s.ListVMs(context.Background())
		is.NoErr(err)
		is.Equal(len(late.VMs), 1)
		is.Equal(late.AsOf, fresh.AsOf)
	}},
	{"action takes effect once per operation id", func(is *is.I, s setup) {
		s.changeStore(func(store *standinplatform.Store) { store.PutVM(standin.NewVM("a", "z", "r", "127.0.0.1:1")) })
		command := fleet.VMCommand{VM: "a", Action: fleet.VMActionReboot, OperationID: "op-r"}
		is.NoErr(s.Act(context.Background(), command))
		s.clock.Advance(5 * time.Second)
		first, err := s.ListVMs(context.Background())
		is.NoErr(err)
		is.NoErr(s.Act(context.Background(), command))
		s.clock.Advance(5 * time.Second)
		second, err := s.ListVMs(context.Background())
		is.NoErr(err)
		is.Equal(first.VMs[0].Boot, second.VMs[0].Boot)
	}},
}

func (s setup) value(is *is.I) string {
	rows, err := s.Read(context.Background(), key)
	is.NoErr(err)
	return string(rows[0].Value)
}

// Guards against an adapter that loses or repeats effects when the platform has faults.
func TestPlatformContract(t *testing.T) {
	for name, adapter := range adapters {
		for _, c := range faultCases {
			t.Run(name+"/"+c.name, func(t *testing.T) {
				is := is.New(t)
				s := adapter(t)
				_, err := s.Commit(context.Background(), put("op-1", 0, "one"))
				is.NoErr(err)
				c.run(is, s)
			})
		}
	}
}

// Guards against heartbeats that wait behind other writes, and against a rate that is exceeded.
func TestRateLimiterKeepsRateAndOrder(t *testing.T) {
	is := is.New(t)
	c := clockwork.NewFakeClock()
	store := standinplatform.NewStore(c, 0, 0)
	client := platform.NewClientWithServices(platform.Services{Table: store, Objects: store, VMs: store}, time.Minute)
	l := &platform.RateLimitedClient{Client: client, Writes: ring.New[*platform.Call]("w", 64)}
	done := ring.New[string]("done", 64)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	commit := func(name string, t platform.Transaction) {
		before := l.Writes.Depth()
		go func() {
			if _, err := l.Commit(ctx, t); err == nil {
				_ = done.Push(name)
			}
		}()
		for l.Writes.Depth() == before {
			runtime.Gosched()
		}
	}
	commit("first", put("op-1", 0, "one"))
	commit("second", put("op-2", 2, "two"))
	commit("heartbeat", platform.Transaction{Puts: []platform.Put{{Key: "entry/e"}}})
	limiter := &platform.RateLimiter{Duty: "table-writer", Inbox: l.Writes, Clock: c, PerSecond: 2}
	group, running := duty.NewGroup(ctx)
	group.Start(running, limiter)
	for _, want := range []string{"heartbeat", "first", "second"} {
		if want != "heartbeat" {
			is.NoErr(c.BlockUntilContext(ctx, 1))
			is.Equal(done.Depth(), 0) // the rate holds the next write back
			c.Advance(time.Second + time.Millisecond)
		}
		got, err := done.Pop(ctx)
		is.NoErr(err)
		is.Equal(got, want)
	}
}
