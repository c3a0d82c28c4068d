package httpdoor

import (
	"bufio"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/mimosawharf/mimosawharf/internal/clock"
	"github.com/mimosawharf/mimosawharf/internal/door"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

const (
	// bodyPatience is the longest wait that a caller may ask for.
	bodyPatience = 30 * time.Second
	// bodyRate extends bodyPatience for large bodies: each 64 KB that has arrived gives a second more.
	bodyRate fleet.BytesPerSecond = 64 << 10
	// smallBody is the length in bytes up to which a body is read even if its headers show that it is of no use.
	smallBody = 16 << 10
	// writeTimeout bounds the time to write an answer.
	writeTimeout = 10 * time.Second
	// deadlineInterval is how long a deadline stays before it is set anew, which costs as much as writing a few bytes.
	deadlineInterval = time.Second
	// logInterval is the least time between two log lines with the same reason.
	logInterval = time.Second
	// retryAfter is the delay in seconds after which a body that was refused may find room; stalled ones make way
	// within door.MaxStall.
	retryAfter = 2
)

// Door bounds what the callers of one server make the process hold.
type Door struct {
	// The fields are set before the first connection.
	Name   fleet.DutyName
	Clock  clock.Clock
	Log    *zap.Logger
	Scope  tally.Scope
	Places *door.Places
	Budget *door.Budget
	// MaxBody returns the longest body.
	MaxBody func() fleet.Bytes
	// Admits reports whether a request may be served, as far as its headers show. The handler answers another one
	// without its body, which is not read if it is large. It may be nil.
	Admits func(*http.Request) bool
	// NewScanner returns the scanner of a request's body, or *door.Refusal. It may be nil.
	NewScanner func(*http.Request) (door.Scanner, error)

	refusals          map[door.Reason]*refusalLog
	connections, held tally.Gauge
}

// refusalLog counts the refusals of one reason.
type refusalLog struct {
	counter tally.Counter
	// unlogged is the number since the last log line, loggedAt when that was, in nanoseconds of Unix time.
	unlogged, loggedAt atomic.Int64
}

// Attach puts the door before a server and its listener.
func (d *Door) Attach(s *http.Server, l net.Listener) net.Listener {
	tagged := d.Scope.Tagged(map[string]string{"door": string(d.Name)})
	d.connections, d.held = tagged.Gauge("door_connections"), tagged.Gauge("door_held_bytes")
	d.refusals = map[door.Reason]*refusalLog{}
	for _, reason := range door.Reasons() {
		d.refusals[reason] = &refusalLog{counter: tagged.Tagged(map[string]string{"reason": string(reason)}).Counter("door_refusals")}
	}
	s.Handler = d.handler(s.Handler)
	s.ConnContext, s.ConnState = withConnection, recordState
	return listener{Listener: l, door: d}
}

func (d *Door) handler(next http.Handler) http.Handler {
	reader := &Reader{Clock: d.Clock, Budget: d.Budget, Patience: bodyPatience, Rate: bodyRate}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, _ := r.Context().Value(connectionKey{}).(*connection)
		if conn != nil {
			conn.lines.end()
		}
		answer := &answerWriter{ResponseWriter: w, controller: http.NewResponseController(w), clock: d.Clock, conn: conn}
		if r.Header.Get("Expect") != "" {
			// The server answers while it reads. Clear the deadline of the previous answer on the connection.
			_ = answer.controller.SetWriteDeadline(time.Time{})
		}
		if d.Admits != nil && isLarge(r) && !d.Admits(r) {
			answer.closeUnread()
			r.Body = http.NoBody
			next.ServeHTTP(answer, r)
			return
		}
		message, err := d.read(reader, answer, r)
		if err != nil {
			d.refuse(answer, err)
			return
		}
		if message != nil {
			d.held.Update(float64(d.Budget.Held()))
			defer func() { message.Release(); d.held.Update(float64(d.Budget.Held())) }()
		}
		if conn != nil {
			conn.enter(door.StageServing)
			if conn.lines.areAhead(message.Bytes()) {
				answer.Header().Set("Connection", "close")
			}
		}
		next.ServeHTTP(answer, r)
		answer.begin() // The server writes what is buffered, or an answer of its own.
	})
}

// isLarge reports whether the body of a request is worth a new connection. The rest of a smaller one is read, so that
// the connection can be used again.
func isLarge(r *http.Request) bool { return r.ContentLength < 0 || r.ContentLength > smallBody }

func (d *Door) read(reader *Reader, w http.ResponseWriter, r *http.Request) (*Message, error) {
	var scanner door.Scanner
	if d.NewScanner != nil && r.ContentLength != 0 {
		var err error
		if scanner, err = d.NewScanner(r); err != nil {
			return nil, err
		}
	}
	return reader.Read(w, r, d.MaxBody(), scanner)
}

// statuses maps reasons to statuses of responses.
var statuses = map[door.Reason]int{
	door.ReasonBodyTooLarge: http.StatusRequestEntityTooLarge, door.ReasonTooManyFields: http.StatusBadRequest,
	door.ReasonEncoding: http.StatusUnsupportedMediaType, door.ReasonBodyTooSlow: http.StatusRequestTimeout,
	door.ReasonBodyIncomplete: http.StatusBadRequest, door.ReasonBudgetShort: http.StatusServiceUnavailable, door.ReasonBodyShed: http.StatusServiceUnavailable,
}

// errorBody is the reason why a request was refused.
type errorBody struct {
	Error string `json:"error"`
}

// refuse answers a request that was refused and closes its connection, so that the rest of its body is not read.
func (d *Door) refuse(w *answerWriter, err error) {
	refusal := &door.Refusal{Reason: door.ReasonBodyIncomplete}
	_ = errors.As(err, &refusal) // There is no other error.
	d.count(refusal.Reason)
	w.closeUnread()
	body, _ := json.Marshal(errorBody{refusal.Error()}) // A string can always be encoded.
	w.Header().Set("Content-Type", "application/json")
	status := statuses[refusal.Reason]
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", strconv.Itoa(retryAfter))
	}
	w.WriteHeader(status)
	_, _ = w.Write(body) // Fails only if the caller has disconnected.
}

// count counts a refusal, and logs the number of refusals of the same reason at most once in logInterval.
func (d *Door) count(reason door.Reason) {
	r := d.refusals[reason]
	r.counter.Inc(1)
	r.unlogged.Add(1)
	now, last := d.Clock.Now().UnixNano(), r.loggedAt.Load()
	if now-last < int64(logInterval) || !r.loggedAt.CompareAndSwap(last, now) {
		return
	}
	d.Log.Info("door: refused", zap.String("door", string(d.Name)), zap.String("reason", string(reason)), zap.Int64("count", r.unlogged.Swap(0)),
		zap.Int("connections", d.Places.Taken()), zap.Int("max-connections", d.Places.Limit()),
		zap.Int64("held-bytes", int64(d.Budget.Held())), zap.Int64("max-bytes", int64(d.Budget.Limit())))
}

// answerWriter bounds the time to write each answer. Without a bound, a caller that reads nothing would hold its
// connection for ever.
type answerWriter struct {
	http.ResponseWriter
	controller *http.ResponseController
	clock      clock.Clock
	conn       *connection
	// begunAt is when the deadline was set.
	begunAt    time.Time
	isHijacked bool
}

// WriteHeader implements http.ResponseWriter.
func (w *answerWriter) WriteHeader(status int) {
	w.begin()
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *answerWriter) Write(p []byte) (int, error) {
	w.begin()
	return w.ResponseWriter.Write(p)
}

// closeUnread closes the connection after the answer. The server would read the rest of the body before.
func (w *answerWriter) closeUnread() {
	if w.conn != nil {
		w.conn.isUnread.Store(true)
	}
	_ = w.controller.SetReadDeadline(w.clock.Now()) // Fails only on a closed connection.
	w.Header().Set("Connection", "close")
}

// begin sets the deadline anew for the parts of an answer.
func (w *answerWriter) begin() {
	now := w.clock.Now()
	if w.isHijacked || now.Sub(w.begunAt) < deadlineInterval {
		return
	}
	w.begunAt = now
	_ = w.controller.SetWriteDeadline(now.Add(writeTimeout)) // Fails only on a closed connection, on which the write fails too.
	if w.conn != nil {
		w.conn.enter(door.StageAnswering)
	}
}

// Hijack implements http.Hijacker. The connection keeps its place until it is closed.
func (w *answerWriter) Hijack() (net.Conn, *bufio.ReadWriter, error) {
	w.isHijacked = true
	return w.controller.Hijack()
}

// Unwrap is for http.ResponseController.
func (w *answerWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
