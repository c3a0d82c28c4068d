package main

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"time"
)

// storeDoor is the address at which one entry reaches the store.
type storeDoor struct {
	store *store

	mu sync.Mutex
	// silent, while set, lets calls without a response. Those that write are performed after late, if it is positive.
	silent bool
	late   time.Duration
	// open holds the connections that are open, with whether they have gone silent.
	open map[net.Conn]*atomic.Bool
}

type doorKey struct{}

// listen serves the door at an address of its own, which it returns.
func (d *storeDoor) listen() string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	d.open = map[net.Conn]*atomic.Bool{}
	s := &http.Server{
		Handler: d, ReadHeaderTimeout: 10 * time.Second,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			isSilent := &atomic.Bool{}
			d.mu.Lock()
			d.open[c] = isSilent
			d.mu.Unlock()
			return context.WithValue(ctx, doorKey{}, isSilent)
		},
		ConnState: func(c net.Conn, state http.ConnState) {
			if state == http.StateClosed {
				d.mu.Lock()
				delete(d.open, c)
				d.mu.Unlock()
			}
		},
	}
	go func() { _ = s.Serve(l) }()
	return l.Addr().String()
}

// silenceOpen lets the connections that are open go silent for good and returns their number. New ones work.
func (d *storeDoor) silenceOpen() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, isSilent := range d.open {
		isSilent.Store(true)
	}
	return len(d.open)
}

func (d *storeDoor) set(silent bool, late time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.silent, d.late = silent, late
}

// ServeHTTP implements http.Handler.
func (d *storeDoor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	silent, late := d.silent, d.late
	d.mu.Unlock()
	isSilent := r.Context().Value(doorKey{}).(*atomic.Bool)
	if isSilent.Load() {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if !silent {
		answer := httptest.NewRecorder()
		d.store.ServeHTTP(answer, r)
		if isSilent.Load() {
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		for k, v := range answer.Header() {
			w.Header()[k] = v
		}
		w.WriteHeader(answer.Code)
		_, _ = w.Write(answer.Body.Bytes())
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if wireNames.path(r) == "/rows/transact" && late > 0 {
		copied := r.Clone(context.Background())
		copied.Body = io.NopCloser(bytes.NewReader(body))
		time.AfterFunc(late, func() {
			answer := httptest.NewRecorder()
			d.store.ServeHTTP(answer, copied)
			d.store.world.record("store performs a call late", "status", answer.Code, "after", late)
		})
	}
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}
