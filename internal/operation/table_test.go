package operation_test

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/mimosawharf/mimosawharf/internal/operation"
	"github.com/mimosawharf/mimosawharf/internal/platform"
	"github.com/mimosawharf/mimosawharf/internal/ring"
	"github.com/mimosawharf/mimosawharf/internal/wire"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// memoryTable is a table in memory whose answers can be lost. It is not safe for concurrent use.
type memoryTable struct {
	revision fleet.RowVersion
	rows     map[fleet.TableKey]platform.Row
	// loseAnswers is the number of commits to come whose answer is lost after they took effect.
	loseAnswers int
	reads       int
}

func (m *memoryTable) Commit(_ context.Context, t platform.Transaction) (fleet.TableRevision, error) {
	puts := t.Puts
	if t.Audit != nil {
		key := wire.KeyAudit(t.Audit.OperationID)
		if m.rows[key].Exists() {
			return fleet.TableRevision(m.rows[key].Version), nil
		}
		puts = append(puts, platform.Put{Key: key, Value: wire.EncodeAudit(*t.Audit)})
	}
	for _, p := range t.Preconditions {
		if m.rows[p.Key].Version != p.Version {
			return 0, &platform.ConflictError{Keys: []fleet.TableKey{p.Key}}
		}
	}
	m.revision++
	for _, p := range puts {
		m.rows[p.Key] = platform.Row{Key: p.Key, Value: p.Value, Version: m.revision, Deleted: p.Delete}
	}
	if m.loseAnswers > 0 {
		m.loseAnswers--
		return 0, &platform.UnavailableError{Call: "commit", Cause: context.DeadlineExceeded}
	}
	return fleet.TableRevision(m.revision), nil
}

func (m *memoryTable) Read(_ context.Context, keys ...fleet.TableKey) ([]platform.Row, error) {
	var list []platform.Row
	for _, k := range keys {
		list = append(list, m.rows[k])
	}
	return list, nil
}

func (m *memoryTable) Changes(_ context.Context, after fleet.TableRevision, limit int, prefixes ...fleet.TableKey) (platform.Changes, error) {
	m.reads++
	c := platform.Changes{Revision: fleet.TableRevision(m.revision)}
	for key, row := range m.rows {
		if row.Version > fleet.RowVersion(after) && slices.ContainsFunc(prefixes, func(p fleet.TableKey) bool { return strings.HasPrefix(string(key), string(p)) }) {
			c.Rows = append(c.Rows, row)
		}
	}
	slices.SortFunc(c.Rows, func(a, b platform.Row) int {
		return cmp.Or(cmp.Compare(a.Version, b.Version), cmp.Compare(a.Key, b.Key))
	})
	if end := limit; limit > 0 && len(c.Rows) > limit {
		for end < len(c.Rows) && c.Rows[end].Version == c.Rows[end-1].Version {
			end++
		}
		if end < len(c.Rows) {
			c.Rows, c.Revision, c.More = c.Rows[:end], fleet.TableRevision(c.Rows[end-1].Version), true
		}
	}
	return c, nil
}

// executor runs operations against a table in memory.
type executor struct {
	table *memoryTable
	view  ring.Latest[*fleet.View]
	clock *clockwork.FakeClock
	inbox *ring.Ring[operation.Operation]
}

func newExecutor(t interface{ Cleanup(func()) }) *executor {
	e := &executor{
		table: &memoryTable{rows: map[fleet.TableKey]platform.Row{}},
		clock: clockwork.NewFakeClockAt(time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)),
		inbox: ring.New[operation.Operation]("test", 1),
	}
	x := &operation.Executor{
		Entry: "entry-a", Inbox: e.inbox, Table: e.table, View: &e.view, PollNow: func() {}, Clock: e.clock, Log: zap.NewNop(),
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- x.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return e
}

// do runs one operation and returns its result.
func do[T any](e *executor, o operation.Operation, reply *ring.Ring[operation.Result[T]]) (T, error) {
	if err := e.inbox.Push(o); err != nil {
		var zero T
		return zero, err
	}
	result, err := reply.Pop(context.Background())
	if err != nil {
		return result.Value, err
	}
	return result.Value, result.Err
}
