package caller

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/gravitational/trace"

	"github.com/mimosawharf/mimosawharf/internal/clock"
	"github.com/mimosawharf/mimosawharf/internal/door"
	"github.com/mimosawharf/mimosawharf/internal/door/httpdoor"
	"github.com/mimosawharf/mimosawharf/internal/request"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Admission refuses requests by their headers, before their bodies are read.
type Admission interface {
	// Admit returns a Connect error for a request that is refused.
	Admit(*http.Request) error
}

// Guard reads each message completely, within bounds on its size and time, before it calls the service.
// It adds an error detail with the outcome not-run to each refusal before the service.
type Guard struct {
	// The fields are set before the first request. Admission and Observer may be nil.
	Admission Admission
	Observer  Observer
	Clock     clock.Clock
	// ReadTimeout bounds the time to read a message, WriteTimeout the time to write a response.
	ReadTimeout, WriteTimeout time.Duration
	// MaxMessage bounds one message, MaxReading the total of all messages being read.
	MaxMessage, MaxReading fleet.Bytes

	reader *httpdoor.Reader
}

// maxReaders bounds the messages that are read at the same time.
const maxReaders = 4096

// Middleware wraps the handler of a service. Interceptor must be among the options of that handler.
func (g *Guard) Middleware(next http.Handler) http.Handler {
	writer := connect.NewErrorWriter()
	g.reader = &httpdoor.Reader{Clock: g.Clock, Budget: door.NewBudget(g.MaxReading, maxReaders), Patience: g.ReadTimeout}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		guarded := &guardedWriter{ResponseWriter: w, deadline: g.writeDeadline(w)}
		if err := g.prepare(w, r); err != nil {
			countRefusal(g.Observer, err)
			guarded.deadline()
			if r.ProtoMajor == 1 {
				// The rest of the message is not read, so that the connection cannot be reused.
				w.Header().Set("Connection", "close")
			}
			_ = writer.Write(w, r, err)
			return
		}
		next.ServeHTTP(guarded, r.WithContext(context.WithValue(r.Context(), guardKey{}, guarded)))
		if err := guarded.refusal(); err != nil {
			countRefusal(g.Observer, err)
			clear(w.Header())
			guarded.deadline()
			_ = writer.Write(w, r, err)
		}
	})
}

type guardKey struct{}

// Interceptor marks requests that reach the service, whose responses are passed on unchanged.
func (*Guard) Interceptor() connect.UnaryInterceptorFunc {
	return func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, r connect.AnyRequest) (connect.AnyResponse, error) {
			if w, ok := ctx.Value(guardKey{}).(*guardedWriter); ok {
				w.reachedService.Store(true)
			}
			return next(ctx, r)
		}
	}
}

// writeDeadline returns a function that sets the deadline for writing a response. Without a deadline, a
// client that reads nothing would hold its connection forever.
func (g *Guard) writeDeadline(w http.ResponseWriter) func() {
	controller := http.NewResponseController(w)
	// Clear the deadline of the previous response on the connection.
	_ = controller.SetWriteDeadline(time.Time{})
	return func() { _ = controller.SetWriteDeadline(g.Clock.Now().Add(g.WriteTimeout)) }
}

// prepare admits a request, reads its body and replaces it by the bytes read.
func (g *Guard) prepare(w http.ResponseWriter, r *http.Request) error {
	if g.Admission != nil {
		if err := g.Admission.Admit(r); err != nil {
			return err
		}
	}
	message, err := g.reader.Read(w, r, g.MaxMessage, nil)
	if err != nil {
		return g.refusal(err)
	}
	if message != nil {
		message.Release() // Queues count the message from here on.
	}
	return nil
}

// refusal converts a refusal of the door.
func (g *Guard) refusal(err error) error {
	refused := &door.Refusal{}
	_ = errors.As(err, &refused) // There is no other error.
	switch refused.Reason {
	case door.ReasonBodyTooLarge:
		return refusal(connect.CodeResourceExhausted, request.ReasonBodyTooLarge, &BodySizeError{Size: refused.Size, Limit: g.MaxMessage})
	case door.ReasonBudgetShort, door.ReasonBodyShed:
		return refusal(connect.CodeResourceExhausted, request.ReasonOverloaded, &ReadingLimitError{Limit: g.MaxReading})
	case door.ReasonBodyTooSlow:
		return refusal(connect.CodeDeadlineExceeded, request.ReasonTimeout, &ReadTimeoutError{Timeout: g.ReadTimeout})
	}
	return refusal(connect.CodeInvalidArgument, request.ReasonMalformed, err)
}

// guardedWriter holds back the response to a request that did not reach the service.
type guardedWriter struct {
	http.ResponseWriter
	deadline       func()
	reachedService atomic.Bool
	// forwarding is set when the response goes to the client; heldStatus is the status that is held back.
	forwarding bool
	heldStatus int
}

// WriteHeader implements http.ResponseWriter.
func (w *guardedWriter) WriteHeader(status int) {
	if !w.forwarding {
		w.forwarding = w.reachedService.Load() || status == http.StatusNotFound || status == http.StatusMethodNotAllowed || status == http.StatusUnsupportedMediaType
		if !w.forwarding {
			w.heldStatus = status
			return
		}
		w.deadline()
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *guardedWriter) Write(p []byte) (int, error) {
	if !w.forwarding && w.heldStatus == 0 {
		w.WriteHeader(http.StatusOK)
	}
	if !w.forwarding {
		return len(p), nil
	}
	return w.ResponseWriter.Write(p)
}

// Flush implements http.Flusher.
func (w *guardedWriter) Flush() {
	if w.forwarding {
		_ = http.NewResponseController(w.ResponseWriter).Flush()
	}
}

// Unwrap is for http.ResponseController.
func (w *guardedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// grpcExhausted is the gRPC status RESOURCE_EXHAUSTED, which is returned for a message above the limit.
const grpcExhausted = "8"

// refusal returns the error for a request that was refused before it reached the service, or nil.
func (w *guardedWriter) refusal() error {
	if w.forwarding || w.reachedService.Load() {
		return nil
	}
	h := w.Header()
	if w.heldStatus == http.StatusTooManyRequests || h.Get("Grpc-Status") == grpcExhausted || h.Get(http.TrailerPrefix+"Grpc-Status") == grpcExhausted {
		return refusal(connect.CodeResourceExhausted, request.ReasonBodyTooLarge, trace.Wrap(&MessageError{Problem: "message is too large"}))
	}
	return refusal(connect.CodeInvalidArgument, request.ReasonMalformed, trace.Wrap(&MessageError{Problem: "message cannot be decoded"}))
}
