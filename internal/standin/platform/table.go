package platform

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/mimosawharf/mimosawharf/internal/wire"
	platformv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/platform/v1"
)

// versionsKept bounds the earlier versions of a row that stale reads may see.
const versionsKept = 16

// table is a transactional table in memory. Deleted rows stay as tombstones.
type table struct {
	revision uint64
	history  string
	// restores counts the restores; it makes the name of each history unique.
	restores int
	// rows holds the versions of each row, oldest first; no list is empty.
	rows map[string][]*platformv1.Row
	// backup is the copy for restore; nil when there is none.
	backup *table
}

func newTable(history string) *table {
	return &table{history: history, rows: map[string][]*platformv1.Row{}}
}

// saveBackup keeps a copy of the table for a later restore.
func (t *table) saveBackup() {
	t.backup = &table{revision: t.revision, rows: maps.Clone(t.rows)}
}

// restore replaces the table by the backup, or by an empty table without one, and starts a new history.
func (t *table) restore() {
	t.restores++
	t.history = fmt.Sprintf("history-%d", t.restores+1)
	t.revision, t.rows = 0, map[string][]*platformv1.Row{}
	if t.backup != nil {
		t.revision, t.rows = t.backup.revision, maps.Clone(t.backup.rows)
	}
}

func (t *table) commit(r *platformv1.CommitRequest) *platformv1.CommitResponse {
	response := &platformv1.CommitResponse{}
	if h := r.GetHistory(); h != "" && h != t.history {
		response.Conflicts = append(response.Conflicts, string(wire.KeyHistory))
	}
	for _, p := range r.GetPreconditions() {
		if t.rowAt(p.GetKey(), t.revision).GetVersion() != p.GetVersion() {
			response.Conflicts = append(response.Conflicts, p.GetKey())
		}
	}
	if len(response.GetConflicts()) > 0 {
		return response
	}
	t.revision++
	for _, p := range r.GetPuts() {
		versions := t.rows[p.GetKey()]
		versions = versions[max(0, len(versions)-versionsKept):]
		row := &platformv1.Row{Key: p.GetKey(), Value: p.GetValue(), Version: t.revision, Deleted: p.GetDelete()}
		// The slice is clipped because a backup may share its array.
		t.rows[p.GetKey()] = append(slices.Clip(versions), row)
	}
	response.Revision = t.revision
	return response
}

// holds reports whether the precondition of an action holds, in the history that it names.
func (t *table) holds(r *platformv1.ActOnVMRequest) bool {
	p := r.GetPrecondition()
	if p.GetKey() == "" {
		return true
	}
	return r.GetHistory() == t.history && t.rowAt(p.GetKey(), t.revision).GetVersion() == p.GetVersion()
}

// at returns the version of a row that was current at a revision, tombstones included, or nil.
func (t *table) at(key string, revision uint64) *platformv1.Row {
	for _, row := range slices.Backward(t.rows[key]) {
		if row.GetVersion() <= revision {
			return row
		}
	}
	return nil
}

// rowAt returns a row as it was at a revision, with version 0 when it did not exist.
func (t *table) rowAt(key string, revision uint64) *platformv1.Row {
	if row := t.at(key, revision); row != nil && !row.GetDeleted() {
		return row
	}
	return &platformv1.Row{Key: key}
}

func (t *table) read(r *platformv1.ReadRequest, revision uint64) *platformv1.ReadResponse {
	response := &platformv1.ReadResponse{Revision: revision}
	for _, key := range r.GetKeys() {
		response.Rows = append(response.Rows, t.rowAt(key, revision))
	}
	return response
}

func (t *table) changes(r *platformv1.ChangesRequest, revision uint64) *platformv1.ChangesResponse {
	response := &platformv1.ChangesResponse{Revision: revision, History: t.history}
	for key := range t.rows {
		row := t.at(key, revision)
		if row.GetVersion() > r.GetAfter() && hasAnyPrefix(key, r.GetPrefixes()) {
			response.Rows = append(response.Rows, row)
		}
	}
	slices.SortFunc(response.Rows, func(a, b *platformv1.Row) int {
		return cmp.Or(cmp.Compare(a.GetVersion(), b.GetVersion()), cmp.Compare(a.GetKey(), b.GetKey()))
	})
	return truncate(response, int(r.GetLimit()))
}

// truncate shortens the response to the limit, but never splits the rows of one commit.
func truncate(response *platformv1.ChangesResponse, limit int) *platformv1.ChangesResponse {
	if limit <= 0 || len(response.GetRows()) <= limit {
		return response
	}
	end := limit
	for end < len(response.GetRows()) && response.Rows[end].GetVersion() == response.Rows[end-1].GetVersion() {
		end++
	}
	if end == len(response.GetRows()) {
		return response
	}
	response.Rows = response.Rows[:end]
	response.Revision = response.Rows[end-1].GetVersion()
	response.More = true
	return response
}

func hasAnyPrefix(key string, prefixes []string) bool {
	for _, p := range prefixes {
		if strings.HasPrefix(key, p) {
			return true
		}
	}
	return len(prefixes) == 0
}
