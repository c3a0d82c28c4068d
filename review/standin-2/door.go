package main

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"
)

// storeDoor is the address at which one entry reaches the store.
type storeDoor struct {
	store *store

	mu sync.Mutex
	// silent, while set, lets calls without a response. Those that write are performed after late, if it is positive.
	silent bool
	late   time.Duration
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
	if !silent {
		d.store.ServeHTTP(w, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if r.URL.Path == "/mimosawharf/rows-tx" && late > 0 {
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
