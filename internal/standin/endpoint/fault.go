package endpoint

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	"github.com/mimosawharf/mimosawharf/internal/clock"
	"github.com/mimosawharf/mimosawharf/internal/ring"
)

// Fault is a fault that the stand-in injects into each request to run, until another fault is set.
type Fault string

// Faults.
const (
	FaultNone Fault = ""
	// FaultCloseBefore closes the connection before reading the body; nothing runs.
	FaultCloseBefore Fault = "close-before"
	// FaultCloseDuring closes the connection in the middle of the body; nothing runs.
	FaultCloseDuring Fault = "close-during"
	// FaultCloseAfter runs the request and closes the connection without an answer.
	FaultCloseAfter Fault = "close-after"
	// FaultTruncated closes the connection in the middle of the answer.
	FaultTruncated Fault = "truncated"
	// FaultLate answers after the delay.
	FaultLate Fault = "late"
	// FaultDuplicated answers twice.
	FaultDuplicated Fault = "duplicated"
	// FaultOtherRequest answers for another request.
	FaultOtherRequest Fault = "other-request"
	// FaultEmpty responds with status 200 and no body; nothing runs.
	FaultEmpty Fault = "empty"
	// FaultSlow adds the delay to each run.
	FaultSlow Fault = "slow"
	// FaultBusy refuses each request as busy.
	FaultBusy Fault = "busy"
	// FaultFailFast fails each request immediately.
	FaultFailFast Fault = "fail-fast"
	// FaultIgnoreControls ignores controls of running requests.
	FaultIgnoreControls Fault = "ignore-controls"
)

// InjectedFault is a fault to inject, and the delay of faults that delay.
type InjectedFault struct {
	Fault Fault
	Delay time.Duration
}

// SetFault replaces the fault. It is safe for concurrent use.
func (e *Endpoint) SetFault(m InjectedFault) { e.fault.Set(m) }

// runPath is the suffix of the URL path of calls that run a request.
const runPath = "/Run"

// faultInjector is a handler that injects the transport faults before the next handler.
type faultInjector struct {
	next  http.Handler
	fault *ring.Latest[InjectedFault]
	clock clock.Clock
}

// ServeHTTP implements http.Handler.
func (f faultInjector) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	m := f.fault.Get()
	if !strings.HasSuffix(r.URL.Path, runPath) {
		f.next.ServeHTTP(w, r)
		return
	}
	switch m.Fault {
	case FaultCloseBefore:
		panic(http.ErrAbortHandler)
	case FaultCloseDuring:
		_, _ = io.CopyN(io.Discard, r.Body, r.ContentLength/2)
		panic(http.ErrAbortHandler)
	case FaultEmpty:
		w.WriteHeader(http.StatusOK)
	case FaultCloseAfter, FaultTruncated, FaultLate, FaultDuplicated:
		f.answer(m, w, r)
	default:
		f.next.ServeHTTP(w, r)
	}
}

// answer runs the request and then injects the fault into the answer.
func (f faultInjector) answer(m InjectedFault, w http.ResponseWriter, r *http.Request) {
	recorder := httptest.NewRecorder()
	f.next.ServeHTTP(recorder, r)
	switch m.Fault {
	case FaultCloseAfter:
		panic(http.ErrAbortHandler)
	case FaultLate:
		if clock.Wait(r.Context(), f.clock, m.Delay) != nil {
			panic(http.ErrAbortHandler)
		}
	}
	body := recorder.Body.Bytes()
	conn, buffer, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = conn.Close() }()
	writeAnswer(buffer.Writer, recorder.Header(), body, m.Fault == FaultTruncated)
	if m.Fault == FaultDuplicated {
		writeAnswer(buffer.Writer, recorder.Header(), body, false)
	}
	_ = buffer.Flush()
}

// writeAnswer writes an HTTP response, complete or with a truncated body.
func writeAnswer(w *bufio.Writer, header http.Header, body []byte, truncated bool) {
	var head bytes.Buffer
	_ = header.Write(&head)
	_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n", head.String(), len(body))
	if truncated {
		body = body[:len(body)/2]
	}
	_, _ = w.Write(body)
}

// extraRunTime returns the time that the fault adds to a run.
func (m InjectedFault) extraRunTime() time.Duration {
	if m.Fault == FaultSlow {
		return m.Delay
	}
	return 0
}

// requestID returns the id in the answer to a request.
func (m InjectedFault) requestID(id string) string {
	if m.Fault == FaultOtherRequest {
		return id + "-other"
	}
	return id
}

// throttleFactor is the factor by which a throttled run takes longer.
const throttleFactor = 4

// setThrottled slows a run down or resumes it at full speed.
func (e *Endpoint) setThrottled(r *run, throttled bool) {
	if r.throttled == throttled {
		return
	}
	now := e.Clock.Now()
	left := r.endsAt.Sub(now)
	if throttled {
		left *= throttleFactor
	} else {
		left /= throttleFactor
	}
	r.throttled, r.endsAt = throttled, now.Add(left)
}
