package main

import (
	"encoding/base64"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits and times of the store, as PROTOCOL.md and the settings of a small deployment give them.
const (
	storeRowBytes  = 65536
	storeEntries   = 100
	storeTxTime    = 4 * time.Millisecond
	storePageRows  = 500
	storeMaxText   = 200
	storeHistory   = 20 * time.Second
	storePartsPage = 1000
)

// storeRow is a row on the wire.
type storeRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   string `json:"value"`
	Version uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

func (r storeRow) name() [3]string { return [3]string{r.Table, r.Part, r.Key} }

// change is an entry of the store's history.
type change struct {
	row storeRow
	at  time.Time
}

// store is a stand-in for the platform's metadata store.
type store struct {
	record *record

	mu      sync.Mutex
	rows    map[[3]string]storeRow
	history []change
	// forgotten is the newest version that the history lacks.
	forgotten uint64
	version   uint64
	changed   chan struct{}
	// refusedRows counts transactions with a row that is too long.
	refusedRows int
}

func newStore(r *record) *store {
	return &store{record: r, rows: map[[3]string]storeRow{}, changed: make(chan struct{})}
}

// put writes one row as the operator or a runner does.
func (s *store) put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.apply(storeRow{Table: table, Key: key, Value: base64.StdEncoding.EncodeToString(value)})
	s.publish()
}

// remove drops one row as the platform does.
func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.apply(storeRow{Table: table, Key: key, Deleted: true})
	s.publish()
}

// apply changes one row in the transaction that has the current version.
func (s *store) apply(r storeRow) {
	r.Version = s.version
	if r.Deleted {
		if _, ok := s.rows[r.name()]; !ok {
			return
		}
		delete(s.rows, r.name())
	} else {
		s.rows[r.name()] = r
	}
	s.history = append(s.history, change{r, time.Now()})
}

// publish wakes the feeds and drops old history.
func (s *store) publish() {
	old := 0
	for old < len(s.history) && time.Since(s.history[old].at) > storeHistory {
		s.forgotten = s.history[old].row.Version
		old++
	}
	s.history = slices.Delete(s.history, 0, old)
	close(s.changed)
	s.changed = make(chan struct{})
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	data, err := wireNames.encode(body)
	if err == nil {
		_, _ = w.Write(data) // Fails only if the caller has gone.
	}
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch wireNames.path(r) {
	case "/rows/transact":
		s.transact(w, r)
	case "/rows/get":
		s.get(w, r)
	case "/mimosawharf/rows-parts":
		s.parts(w, r)
	case "/rows/feed":
		s.feed(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// transaction is the body of a transaction.
type transaction struct {
	Conditions []storeRow `json:"conditions"`
	Writes     []storeRow `json:"writes"`
	Remove     []storeRow `json:"remove"`
}

// valid reports whether the transaction keeps the limits of the page.
func (t transaction) valid() bool {
	if len(t.Conditions)+len(t.Writes)+len(t.Remove) > storeEntries {
		return false
	}
	for _, r := range slices.Concat(t.Conditions, t.Writes, t.Remove) {
		value, err := base64.StdEncoding.DecodeString(r.Value)
		if err != nil || len(value) > storeRowBytes || len(r.Table) > storeMaxText || len(r.Part) > storeMaxText || len(r.Key) > storeMaxText {
			return false
		}
	}
	return true
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var t transaction
	if wireNames.decode(r.Body, &t) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if !t.valid() {
		s.mu.Lock()
		s.refusedRows++
		first := s.refusedRows == 1
		s.mu.Unlock()
		if first {
			s.record.print("the store refuses a transaction with 400: a value has more than %d bytes, or an entry breaks another limit", storeRowBytes)
		}
		answer(w, http.StatusBadRequest, map[string]any{"error": "limits"})
		return
	}
	time.Sleep(storeTxTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	var conflicts []storeRow
	holds := true
	for _, c := range t.Conditions {
		current, ok := s.rows[c.name()]
		if ok {
			conflicts = append(conflicts, current)
		}
		holds = holds && current.Version == c.Version
	}
	if !holds {
		answer(w, http.StatusPreconditionFailed, s.body(conflicts))
		return
	}
	s.version++
	for _, row := range t.Writes {
		s.apply(row)
	}
	for _, row := range t.Remove {
		row.Deleted = true
		s.apply(row)
	}
	s.publish()
	answer(w, http.StatusOK, s.body(nil))
}

// body returns a response about rows.
func (s *store) body(rows []storeRow) map[string]any {
	if rows == nil {
		rows = []storeRow{}
	}
	return map[string]any{"rows": rows, "ver": s.version, "now_ms": time.Since(started).Milliseconds()}
}

var started = time.Now()

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit <= 0 || limit > storePageRows {
		limit = storePageRows
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []storeRow
	for _, row := range s.rows {
		if row.Table == q.Get("table") && row.Part == q.Get("part") && row.Key >= q.Get("from") && (q.Get("target") == "" || row.Key < q.Get("target")) {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b storeRow) int { return strings.Compare(a.Key, b.Key) })
	more := len(rows) > limit
	body := s.body(rows[:min(limit, len(rows))])
	body["has_more"] = more
	answer(w, http.StatusOK, body)
}

func (s *store) parts(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	parts := []string{}
	for name := range s.rows {
		if name[0] == q.Get("table") && (q.Get("after") == "" || name[1] > q.Get("after")) && !slices.Contains(parts, name[1]) {
			parts = append(parts, name[1])
		}
	}
	slices.Sort(parts)
	more := len(parts) > storePartsPage
	answer(w, http.StatusOK, map[string]any{"parts": parts[:min(len(parts), storePartsPage)], "has_more": more, "ver": s.version})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for expired := false; ; {
		s.mu.Lock()
		var rows []storeRow
		for _, c := range s.history {
			if c.row.Table == q.Get("table") && c.row.Version > after {
				rows = append(rows, c.row)
			}
		}
		if after < s.forgotten {
			s.mu.Unlock()
			answer(w, http.StatusGone, map[string]any{})
			return
		}
		if len(rows) > 0 || expired || wait == 0 {
			body := s.body(rows)
			body["has_more"] = false
			s.mu.Unlock()
			answer(w, http.StatusOK, body)
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}
