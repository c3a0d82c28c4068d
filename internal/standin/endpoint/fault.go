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

// Fault is what the stand-in does wrong with each request to run, until another fault is set.
type Fault string

// Faults.
const (
	FaultNone Fault = ""
	// FaultCloseBefore closes the connection before the body is read; nothing runs.
	FaultCloseBefore Fault = "close-before"
	// FaultCloseDuring closes the connection within the body; nothing runs.
	FaultCloseDuring Fault = "close-during"
	// FaultCloseAfter runs the request and closes the connection without an answer.
	FaultCloseAfter Fault = "close-after"
	// FaultTruncated closes the connection within the answer.
	FaultTruncated Fault = "truncated"
	// FaultLate answers after the delay.
	FaultLate Fault = "late"
	// FaultDuplicated answers twice.
	FaultDuplicated Fault = "duplicated"
	// FaultOtherRequest answers for another request.
	FaultOtherRequest Fault = "other-request"
	// FaultEmpty responds 200 with nothing.
	FaultEmpty Fault = "empty"
	// FaultSlow adds the delay to each run.
	FaultSlow Fault = "slow"
	// FaultBusy refuses each request as busy.
	FaultBusy Fault = "busy"
	// FaultFailFast fails each request at once.
	FaultFailFast Fault = "fail-fast"
	// FaultIgnoreControls does not carry controls out.
	FaultIgnoreControls Fault = "ignore-controls"
)

// Misbehavior is a fault and how long it delays.
type Misbehavior struct {
	Fault Fault
	Delay time.Duration
}

// Misbehave sets the fault. It is safe for concurrent use.
func (e *Endpoint) Misbehave(m Misbehavior) { e.misbehavior.Set(m) }

// runPath ends the path of the call that runs a request.
const runPath = "/Run"

// faulty puts the faults of the transport between the network and the handler.
type faulty struct {
	next        http.Handler
	misbehavior *ring.Latest[Misbehavior]
	clock       clock.Clock
}

// ServeHTTP implements http.Handler.
func (f faulty) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	m := f.misbehavior.Get()
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

// answer runs the request and then spoils the answer.
func (f faulty) answer(m Misbehavior, w http.ResponseWriter, r *http.Request) {
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

// writeAnswer writes a whole HTTP response, or one whose body ends early.
func writeAnswer(w *bufio.Writer, header http.Header, body []byte, truncated bool) {
	var head bytes.Buffer
	_ = header.Write(&head)
	_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n", head.String(), len(body))
	if truncated {
		body = body[:len(body)/2]
	}
	_, _ = w.Write(body)
}

// slowness is what the fault adds to a run.
func (m Misbehavior) slowness() time.Duration {
	if m.Fault == FaultSlow {
		return m.Delay
	}
	return 0
}

// requestID is the id that an answer carries.
func (m Misbehavior) requestID(id string) string {
	if m.Fault == FaultOtherRequest {
		return id + "-other"
	}
	return id
}

// throttleFactor is how much longer a throttled run takes.
const throttleFactor = 4

// setPace slows a run down or lets it go on at full speed.
func (e *Endpoint) setPace(r *run, throttled bool) {
	if r.throttled == throttled {
		return
	}
	now := e.Clock.Now()
	left := r.ends.Sub(now)
	if throttled {
		left *= throttleFactor
	} else {
		left /= throttleFactor
	}
	r.throttled, r.ends = throttled, now.Add(left)
}
