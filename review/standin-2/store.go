package main

import (
	"bytes"
	"encoding/base64"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Limits of the platform's store, as its page states them.
const (
	maxTxEntries  = 100
	maxTxBytes    = 1 << 20
	maxPageRows   = 500
	maxPageBytes  = 1 << 20
	historyLength = 20 * time.Second
	txTime        = 4 * time.Millisecond
)

type rowName struct{ table, part, key string }

type storedRow struct {
	rowName
	value   []byte
	ver     uint64
	deleted bool
	at      time.Time
}

// store is the platform's table service.
type store struct {
	rowBytes int
	world    *world

	mu      sync.Mutex
	rows    map[rowName]storedRow
	history []storedRow
	// forgotten is the newest version that the history no longer has.
	forgotten uint64
	ver       uint64
	changed   chan struct{}
	began     time.Time
}

func newStore(w *world, rowBytes int) *store {
	return &store{rowBytes: rowBytes, world: w, rows: map[rowName]storedRow{}, changed: make(chan struct{}), began: time.Now(), ver: 1}
}

type wireRow struct {
	Table   string  `json:"table"`
	Part    string  `json:"part"`
	Key     string  `json:"key"`
	Value   *string `json:"value,omitempty"`
	Ver     uint64  `json:"ver"`
	Deleted bool    `json:"deleted,omitempty"`
}

func (r storedRow) wire() wireRow {
	m := wireRow{Table: r.table, Part: r.part, Key: r.key, Ver: r.ver, Deleted: r.deleted}
	if !r.deleted {
		text := base64.StdEncoding.EncodeToString(r.value)
		m.Value = &text
	}
	return m
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	data, err := wireNames.encode(body)
	if err != nil {
		panic(err)
	}
	_, _ = w.Write(data) // Fails only if the caller has gone.
}

func (s *store) now() int64 { return time.Since(s.began).Milliseconds() + 1 }

// apply writes rows without a condition.
func (s *store) apply(puts []storedRow, removes []rowName) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(puts, removes)
}

func (s *store) write(puts []storedRow, removes []rowName) {
	s.ver++
	now := time.Now()
	for _, r := range puts {
		r.ver, r.at = s.ver, now
		s.rows[r.rowName] = r
		s.history = append(s.history, r)
	}
	for _, n := range removes {
		if _, ok := s.rows[n]; !ok {
			continue
		}
		delete(s.rows, n)
		s.history = append(s.history, storedRow{rowName: n, ver: s.ver, deleted: true, at: now})
	}
	cut := 0
	for cut < len(s.history) && now.Sub(s.history[cut].at) > historyLength {
		s.forgotten = s.history[cut].ver
		cut++
	}
	s.history = s.history[cut:]
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.Method + " " + wireNames.path(r) {
	case "POST /rows/transact":
		s.transact(w, r)
	case "GET /rows/get":
		s.get(w, r)
	case "GET /mimosawharf/rows-parts":
		s.parts(w, r)
	case "GET /rows/feed":
		s.feed(w, r)
	default:
		reply(w, http.StatusNotFound, map[string]any{})
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var m struct {
		Expected []wireRow `json:"conditions"`
		Writes   []wireRow `json:"writes"`
		Remove   []wireRow `json:"remove"`
		Across   bool      `json:"across"`
	}
	if wireNames.decode(bytes.NewReader(body), &m) != nil || len(body) > maxTxBytes || len(m.Expected)+len(m.Writes)+len(m.Remove) > maxTxEntries {
		s.world.record("store refuses a call", "bytes", len(body), "status", 400)
		reply(w, http.StatusBadRequest, map[string]any{"error": "a call holds at most 100 entries and 1 MB"})
		return
	}
	var puts []storedRow
	var removes []rowName
	parts := map[string]bool{}
	for _, e := range append(append(append([]wireRow{}, m.Expected...), m.Writes...), m.Remove...) {
		parts[e.Part] = true
		if len(e.Table) > 200 || len(e.Part) > 200 || len(e.Key) > 200 {
			reply(w, http.StatusBadRequest, map[string]any{"error": "a name is longer than 200 bytes"})
			return
		}
	}
	if len(parts) > 1 && !m.Across {
		reply(w, http.StatusBadRequest, map[string]any{"error": "several parts"})
		return
	}
	for _, e := range m.Writes {
		if e.Table == "op" || e.Table == "servers" {
			reply(w, http.StatusForbidden, map[string]any{})
			return
		}
		var value []byte
		if e.Value != nil {
			if value, err = base64.StdEncoding.DecodeString(*e.Value); err != nil {
				reply(w, http.StatusBadRequest, map[string]any{})
				return
			}
		}
		if len(value) > s.rowBytes {
			s.world.record("store refuses a row", "table", e.Table, "part", e.Part, "key", e.Key, "bytes", len(value), "row_bytes", s.rowBytes, "status", 400)
			reply(w, http.StatusBadRequest, map[string]any{"error": "the value is longer than row_bytes"})
			return
		}
		puts = append(puts, storedRow{rowName: rowName{e.Table, e.Part, e.Key}, value: value})
	}
	for _, e := range m.Remove {
		if e.Table == "op" || e.Table == "servers" {
			reply(w, http.StatusForbidden, map[string]any{})
			return
		}
		removes = append(removes, rowName{e.Table, e.Part, e.Key})
	}
	time.Sleep(txTime)
	s.mu.Lock()
	var current []wireRow
	failed := false
	for _, e := range m.Expected {
		row, ok := s.rows[rowName{e.Table, e.Part, e.Key}]
		if ok {
			current = append(current, row.wire())
		}
		failed = failed || row.ver != e.Ver
	}
	if failed {
		ver := s.ver
		s.mu.Unlock()
		reply(w, http.StatusPreconditionFailed, map[string]any{"rows": current, "ver": ver, "now_ms": s.now()})
		return
	}
	s.write(puts, removes)
	ver := s.ver
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"ver": ver, "now_ms": s.now()})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, _ := strconv.Atoi(q.Get("limit"))
	if limit <= 0 || limit > maxPageRows {
		limit = maxPageRows
	}
	s.mu.Lock()
	var keys []string
	for n := range s.rows {
		if n.table == q.Get("table") && n.part == q.Get("part") && n.key >= q.Get("from") && (q.Get("target") == "" || n.key < q.Get("target")) {
			keys = append(keys, n.key)
		}
	}
	sort.Strings(keys)
	list, size, more := []wireRow{}, 0, false
	for _, k := range keys {
		row := s.rows[rowName{q.Get("table"), q.Get("part"), k}]
		size += len(row.value)*4/3 + 100
		if len(list) == limit || size > maxPageBytes {
			more = true
			break
		}
		list = append(list, row.wire())
	}
	ver := s.ver
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"rows": list, "has_more": more, "ver": ver, "now_ms": s.now()})
}

func (s *store) parts(w http.ResponseWriter, r *http.Request) {
	const limit = 1000
	q := r.URL.Query()
	s.mu.Lock()
	found := map[string]bool{}
	for n := range s.rows {
		if n.table == q.Get("table") && (q.Get("after") == "" || n.part > q.Get("after")) {
			found[n.part] = true
		}
	}
	ver := s.ver
	s.mu.Unlock()
	list := []string{}
	for p := range found {
		list = append(list, p)
	}
	sort.Strings(list)
	more := len(list) > limit
	if more {
		list = list[:limit]
	}
	reply(w, http.StatusOK, map[string]any{"parts": list, "has_more": more, "ver": ver, "now_ms": s.now()})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	end := time.Now().Add(time.Duration(min(wait, 30000)) * time.Millisecond)
	for {
		s.mu.Lock()
		if after < s.forgotten {
			s.mu.Unlock()
			reply(w, http.StatusGone, map[string]any{})
			return
		}
		list, size, ver := []wireRow{}, 0, s.ver
		for _, row := range s.history {
			if row.ver <= after || row.table != q.Get("table") {
				continue
			}
			size += len(row.value)*4/3 + 100
			if len(list) > 0 && row.ver != list[len(list)-1].Ver && (len(list) >= maxPageRows || size > maxPageBytes) {
				ver = list[len(list)-1].Ver
				break
			}
			list = append(list, row.wire())
		}
		changed := s.changed
		s.mu.Unlock()
		left := time.Until(end)
		if len(list) > 0 || left <= 0 {
			reply(w, http.StatusOK, map[string]any{"rows": list, "ver": ver, "now_ms": s.now()})
			return
		}
		select {
		case <-changed:
		case <-time.After(left):
		case <-r.Context().Done():
			return
		}
	}
}

// operator writes a row as the operator or a runner does.
func (s *store) operator(table, key string, value any) {
	data, err := wireNames.encode(value)
	if err != nil {
		panic(err)
	}
	s.apply([]storedRow{{rowName: rowName{table, "", key}, value: data}}, nil)
}
