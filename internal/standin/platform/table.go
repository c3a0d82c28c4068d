package platform

import (
	"cmp"
	"slices"
	"strings"

	platformv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/platform/v1"
)

// table is a transactional table in memory. Deleted rows stay as tombstones.
type table struct {
	revision uint64
	history  string
	rows     map[string]*platformv1.Row
}

func newTable(history string) *table {
	return &table{history: history, rows: map[string]*platformv1.Row{}}
}

func (t *table) commit(r *platformv1.CommitRequest) *platformv1.CommitResponse {
	response := &platformv1.CommitResponse{}
	for _, p := range r.GetPreconditions() {
		if t.versionOf(p.GetKey()) != p.GetVersion() {
			response.Conflicts = append(response.Conflicts, p.GetKey())
		}
	}
	if len(response.GetConflicts()) > 0 {
		return response
	}
	t.revision++
	for _, p := range r.GetPuts() {
		t.rows[p.GetKey()] = &platformv1.Row{Key: p.GetKey(), Value: p.GetValue(), Version: t.revision, Deleted: p.GetDelete()}
	}
	response.Revision = t.revision
	return response
}

// versionOf returns the version of an existing row, and 0 for one that does not exist.
func (t *table) versionOf(key string) uint64 {
	row, ok := t.rows[key]
	if !ok || row.GetDeleted() {
		return 0
	}
	return row.GetVersion()
}

func (t *table) read(r *platformv1.ReadRequest) *platformv1.ReadResponse {
	response := &platformv1.ReadResponse{Revision: t.revision}
	for _, key := range r.GetKeys() {
		row := &platformv1.Row{Key: key}
		if t.versionOf(key) != 0 {
			row = t.rows[key]
		}
		response.Rows = append(response.Rows, row)
	}
	return response
}

func (t *table) changes(r *platformv1.ChangesRequest) *platformv1.ChangesResponse {
	response := &platformv1.ChangesResponse{Revision: t.revision, History: t.history}
	for key, row := range t.rows {
		if row.GetVersion() > r.GetAfter() && hasAnyPrefix(key, r.GetPrefixes()) {
			response.Rows = append(response.Rows, row)
		}
	}
	slices.SortFunc(response.Rows, func(a, b *platformv1.Row) int {
		return cmp.Or(cmp.Compare(a.GetVersion(), b.GetVersion()), cmp.Compare(a.GetKey(), b.GetKey()))
	})
	return cut(response, int(r.GetLimit()))
}

// cut shortens the answer to the limit, but never splits the rows of one commit.
func cut(response *platformv1.ChangesResponse, limit int) *platformv1.ChangesResponse {
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
