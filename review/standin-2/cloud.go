package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// machine is a machine of the platform's list.
type machine struct {
	mu                 sync.Mutex
	name, pool, state  string
	rack               string
	capacity           resources
	labels             []string
	current            *runner
	lives              int
	lastToken          uint64
	lastHolder         string
	lastAt             time.Time
	upkept             map[string]bool
	upkeepSec, moveSec float64
}

type waveRecord struct {
	machines map[string]bool
	maxCount int
	down     int
	begun    map[string]bool
}

// ServeHTTP serves the list of machines and the orders for them.
func (w *world) serveCloud(rw http.ResponseWriter, q *http.Request) {
	switch q.Method + " " + q.URL.Path {
	case "GET /mimosawharf/machines":
		list := []map[string]any{}
		w.mu.Lock()
		machines := append([]*machine{}, w.machines...)
		w.mu.Unlock()
		sort.Slice(machines, func(i, k int) bool { return machines[i].name < machines[k].name })
		for _, m := range machines {
			m.mu.Lock()
			id := ""
			if m.state == "up" && m.current != nil {
				id = m.current.id
			}
			list = append(list, map[string]any{
				"machine": m.name, "pool": m.pool, "state": m.state, "zone": "z1", "labels": []string{"a", m.rack}, "capacity": m.capacity, "id": id,
			})
			m.mu.Unlock()
		}
		reply(rw, http.StatusOK, map[string]any{"machines": list, "next_token": nil})
	case "POST /mimosawharf/machine-upkeep", "POST /mimosawharf/machine-move":
		w.orderMachine(rw, q, q.URL.Path == "/mimosawharf/machine-upkeep")
	default:
		reply(rw, http.StatusNotFound, map[string]any{})
	}
}

func (w *world) orderMachine(rw http.ResponseWriter, q *http.Request, upkeep bool) {
	var o struct {
		Machine string      `json:"machine"`
		Wave    json.Number `json:"wave"`
		Pool    string      `json:"pool"`
	}
	if json.NewDecoder(q.Body).Decode(&o) != nil {
		reply(rw, http.StatusBadRequest, map[string]any{})
		return
	}
	holder := q.Header.Get("Mimosawharf-Lease-Holder")
	token, _ := strconv.ParseUint(q.Header.Get("Mimosawharf-Fencing-Token"), 10, 64)
	var m *machine
	w.mu.Lock()
	for _, k := range w.machines {
		if k.name == o.Machine {
			m = k
		}
	}
	w.mu.Unlock()
	if m == nil {
		reply(rw, http.StatusBadRequest, map[string]any{})
		return
	}
	w.record("machine order", "machine", o.Machine, "wave", o.Wave, "pool", o.Pool, "holder", holder, "token", token)
	m.mu.Lock()
	defer m.mu.Unlock()
	if token < m.lastToken {
		w.breach("ONE", "a lower token after a higher one for "+m.name)
	}
	if token == m.lastToken && m.lastHolder != "" && holder != m.lastHolder {
		w.breach("ONE", "two holders with one token for "+m.name)
	}
	m.lastToken, m.lastHolder, m.lastAt = token, holder, time.Now()
	if upkeep && m.upkept[string(o.Wave)] || !upkeep && m.pool == o.Pool {
		reply(rw, http.StatusOK, map[string]any{})
		return
	}
	if m.state != "up" {
		reply(rw, http.StatusConflict, map[string]any{"reason": "busy"})
		return
	}
	seconds, state := m.moveSec, "moving"
	if upkeep {
		seconds, state = m.upkeepSec, "upkeep"
		m.upkept[string(o.Wave)] = true
	} else {
		m.pool = o.Pool
	}
	m.state = state
	old := m.current
	go func() {
		old.crash()
		old.leave()
		time.Sleep(time.Duration(seconds * float64(time.Second)))
		m.mu.Lock()
		defer m.mu.Unlock()
		m.lives++
		m.current = w.addRunner("i-"+m.name+"-"+strconv.Itoa(m.lives), m.pool, m.name, m.rack, m.capacity, m.labels...)
		m.state = "up"
	}()
	reply(rw, http.StatusOK, map[string]any{})
}

func (w *world) addMachine(name, pool, rack string, c resources, labels ...string) *machine {
	m := &machine{name: name, pool: pool, rack: rack, capacity: c, labels: labels, state: "up", lives: 1, upkept: map[string]bool{}, upkeepSec: 2, moveSec: 1.5}
	m.current = w.addRunner("i-"+name+"-1", pool, name, rack, c, labels...)
	w.mu.Lock()
	w.machines = append(w.machines, m)
	w.mu.Unlock()
	return m
}
