package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// row is a row of the platform's table service, as it is sent.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   string `json:"value,omitempty"`
	Version uint64 `json:"ver,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
}

type partKey struct{ table, part string }

// store is a stand-in for the platform's table service. Its answers are linearizable.
type store struct {
	// Latency is the time of a transaction.
	Latency time.Duration

	mu      sync.Mutex
	changed chan struct{}
	rows    map[partKey]map[string]row
	history []row
	version uint64
	began   time.Time
	// writes and reads hold the calls that may be made at once; they fill at the platform's rates.
	writes, reads bucket
	// conditional holds the entry that last wrote to each part under a condition.
	conditional map[string]string
	// free is when each part has done the transactions that wait for it.
	free map[string]time.Time
	// tooLong holds the sizes of the rows that were refused because they are too long.
	tooLong      map[string]int
	firstTooLong time.Time
	// out is the part that the store doesn't serve now.
	out string
}

// bucket bounds the rate of calls.
type bucket struct {
	rate, left float64
	at         time.Time
}

func (b *bucket) take() bool {
	now := time.Now()
	b.left = min(b.rate, b.left+now.Sub(b.at).Seconds()*b.rate)
	b.at = now
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}

func newStore() *store {
	return &store{Latency: 4 * time.Millisecond, changed: make(chan struct{}), rows: map[partKey]map[string]row{}, began: time.Now(), writes: bucket{rate: 800}, reads: bucket{rate: 2000}, conditional: map[string]string{}, free: map[string]time.Time{}, tooLong: map[string]int{}}
}

// maxRows and maxBytes bound the rows of one answer.
const (
	maxRows  = 500
	maxBytes = 1 << 20
	// rowBytes bounds the value of a row.
	rowBytes = 65536
)

// put writes rows without a condition, as the operator and the runners do.
func (s *store) put(list ...row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(list, nil)
}

func (s *store) apply(writes, removes []row) {
	s.version++
	for _, r := range writes {
		r.Version, r.Deleted = s.version, false
		k := partKey{r.Table, r.Part}
		if s.rows[k] == nil {
			s.rows[k] = map[string]row{}
		}
		s.rows[k][r.Key] = r
		s.history = append(s.history, r)
	}
	for _, r := range removes {
		k := partKey{r.Table, r.Part}
		if _, ok := s.rows[k][r.Key]; ok {
			delete(s.rows[k], r.Key)
			s.history = append(s.history, row{Table: r.Table, Part: r.Part, Key: r.Key, Version: s.version, Deleted: true})
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// handler serves the calls of one entry.
func (s *store) handler(entry string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(w, r, entry) })
}

func (s *store) serve(w http.ResponseWriter, r *http.Request, entry string) {
	q := r.URL.Query()
	s.mu.Lock()
	limit := &s.reads
	if r.Method != http.MethodGet {
		limit = &s.writes
	}
	allowed := limit.take()
	s.mu.Unlock()
	if !allowed {
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	switch strings.TrimPrefix(r.URL.Path, "/mimosawharf/") {
	case word("transact"):
		s.transact(w, r, entry)
	case word("get"):
		s.mu.Lock()
		out := s.out != "" && q.Get("part") == s.out
		s.mu.Unlock()
		if out {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		limit, _ := strconv.Atoi(q.Get("limit"))
		s.scan(w, partKey{q.Get("table"), q.Get("part")}, q.Get("from"), q.Get("target"), limit)
	case "rows-parts":
		s.parts(w, q.Get("table"), q.Get("after"))
	case word("feed"):
		after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("wait_ms"))
		s.feed(w, r, q.Get("table"), after, time.Duration(wait)*time.Millisecond)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request, entry string) {
	var m struct {
		Expected []row `json:"expected"`
		Writes   []row `json:"writes"`
		Remove   []row `json:"remove"`
		Across   bool  `json:"across"`
	}
	if decode(r.Body, &m) != nil || len(m.Expected)+len(m.Writes)+len(m.Remove) > 100 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, r := range m.Writes {
		if len(r.Value)/4*3 > rowBytes+2 {
			s.mu.Lock()
			if s.firstTooLong.IsZero() {
				s.firstTooLong = time.Now()
			}
			s.tooLong[r.Table+"/"+r.Key] = max(s.tooLong[r.Table+"/"+r.Key], len(r.Value)/4*3)
			s.mu.Unlock()
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	wait, refused := s.queue(slices.Concat(m.Expected, m.Writes, m.Remove), m.Across)
	if refused != 0 {
		w.WriteHeader(refused)
		return
	}
	time.Sleep(wait)
	s.mu.Lock()
	defer s.mu.Unlock()
	current, holds := []row{}, true
	for _, e := range m.Expected {
		have := s.rows[partKey{e.Table, e.Part}][e.Key]
		if have.Version != 0 {
			current = append(current, have)
		}
		holds = holds && have.Version == e.Version
	}
	if !holds {
		answer(w, http.StatusPreconditionFailed, map[string]any{"rows": current, "ver": s.version, "now_ms": s.now()})
		return
	}
	s.apply(m.Writes, m.Remove)
	if len(m.Expected) > 0 {
		s.conditional[m.Expected[0].Part] = entry
	}
	answer(w, http.StatusOK, map[string]any{"ver": s.version, "now_ms": s.now()})
}

// partTime is how long a transaction keeps its parts busy, maxQueue how much of that may wait at a part.
const (
	partTime = 4 * time.Millisecond
	maxQueue = time.Second
)

// queue puts a transaction into the queues of its parts and returns how long it takes, or the status with which it
// is refused.
func (s *store) queue(rows []row, across bool) (time.Duration, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	begin := now
	for _, r := range rows {
		if s.out != "" && r.Part == s.out {
			return 0, http.StatusServiceUnavailable
		}
		if at := s.free[r.Part]; at.After(begin) {
			begin = at
		}
	}
	if begin.Sub(now) > maxQueue {
		return 0, http.StatusTooManyRequests
	}
	cost, latency := partTime, s.Latency
	if across {
		cost, latency = 2*cost, 2*latency
	}
	for _, r := range rows {
		s.free[r.Part] = begin.Add(cost)
	}
	return begin.Add(latency).Sub(now), 0
}

func (s *store) scan(w http.ResponseWriter, k partKey, from, target string, limit int) {
	if limit <= 0 || limit > maxRows {
		limit = maxRows
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	keys := []string{}
	for key := range s.rows[k] {
		if key >= from && (target == "" || key < target) {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	list, more, size := []row{}, false, 0
	for _, key := range keys {
		r := s.rows[k][key]
		if size += len(r.Value); len(list) == limit || len(list) > 0 && size > maxBytes {
			more = true
			break
		}
		list = append(list, r)
	}
	answer(w, http.StatusOK, map[string]any{"rows": list, "has_more": more, "ver": s.version, "now_ms": s.now()})
}

func (s *store) parts(w http.ResponseWriter, table, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := []string{}
	for k, rows := range s.rows {
		if k.table == table && len(rows) > 0 && k.part > after {
			list = append(list, k.part)
		}
	}
	slices.Sort(list)
	more := len(list) > 1000
	answer(w, http.StatusOK, map[string]any{"parts": list[:min(len(list), 1000)], "has_more": more, "ver": s.version, "now_ms": s.now()})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request, table string, after uint64, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		list, version, size := []row{}, s.version, 0
		first := sort.Search(len(s.history), func(i int) bool { return s.history[i].Version > after })
		for _, h := range s.history[first:] {
			if h.Table != table {
				continue
			}
			if size += len(h.Value); len(list) >= maxRows && list[len(list)-1].Version < h.Version || size > maxBytes && len(list) > 0 && list[len(list)-1].Version < h.Version {
				version = list[len(list)-1].Version
				break
			}
			list = append(list, h)
		}
		changed, now := s.changed, s.now()
		s.mu.Unlock()
		if len(list) > 0 || wait <= 0 {
			answer(w, http.StatusOK, map[string]any{"rows": list, "ver": version, "now_ms": now})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

// setOut makes the store refuse the calls for a part, or none.
func (s *store) setOut(part string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.out = part
}

func (s *store) now() int64 { return time.Since(s.began).Milliseconds() }

func answer(w http.ResponseWriter, status int, body any) {
	data, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
