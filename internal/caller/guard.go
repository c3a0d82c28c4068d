package caller

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/gravitational/trace"

	"github.com/mimosawharf/mimosawharf/internal/clock"
	"github.com/mimosawharf/mimosawharf/internal/request"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Admission refuses requests by their headers, before anything else of them is read.
type Admission interface {
	// Admit returns a Connect error for a request that is refused.
	Admit(*http.Request) error
}

// Guard reads a whole message within bounds before the service behind it sees any of it, and gives each
// refusal of the transport a detail that says not-run.
type Guard struct {
	// The fields are set before the first request. Admission and Observer may be nil.
	Admission Admission
	Observer  Observer
	Clock     clock.Clock
	// ReadTimeout bounds the time to read a message, WriteTimeout the time to write a response.
	ReadTimeout, WriteTimeout time.Duration
	// MaxMessage bounds one message, MaxReading all messages that are read at the same time.
	MaxMessage, MaxReading fleet.Bytes

	reading atomic.Int64
}

// Middleware wraps the handler of a service. Interceptor must be among the options of that handler.
func (g *Guard) Middleware(next http.Handler) http.Handler {
	writer := connect.NewErrorWriter()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		guarded := &guardedWriter{ResponseWriter: w, deadline: g.writeDeadline(w)}
		if err := g.prepare(w, r); err != nil {
			countRefusal(g.Observer, err)
			guarded.deadline()
			if r.ProtoMajor == 1 {
				// The rest of the message is not read.
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

// Interceptor notes that the service itself decides about a request.
func (*Guard) Interceptor() connect.UnaryInterceptorFunc {
	return func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, r connect.AnyRequest) (connect.AnyResponse, error) {
			if w, ok := ctx.Value(guardKey{}).(*guardedWriter); ok {
				w.entered.Store(true)
			}
			return next(ctx, r)
		}
	}
}

// writeDeadline returns what bounds the time to write a response that starts now. Without it, a client
// that reads nothing would hold its connection for ever.
func (g *Guard) writeDeadline(w http.ResponseWriter) func() {
	controller := http.NewResponseController(w)
	// The deadline of the last response on the connection is over.
	_ = controller.SetWriteDeadline(time.Time{})
	return func() { _ = controller.SetWriteDeadline(g.Clock.Now().Add(g.WriteTimeout)) }
}

// prepare admits a request and replaces its body by the bytes that were read.
func (g *Guard) prepare(w http.ResponseWriter, r *http.Request) error {
	if g.Admission != nil {
		if err := g.Admission.Admit(r); err != nil {
			return err
		}
	}
	if fleet.Bytes(r.ContentLength) > g.MaxMessage {
		return g.tooLarge(fleet.Bytes(r.ContentLength))
	}
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(g.Clock.Now().Add(g.ReadTimeout))
	data, err := g.read(r.Body)
	if err != nil {
		return err
	}
	// The server goes on reading, to notice a client that leaves; that has no deadline.
	_ = controller.SetReadDeadline(time.Time{})
	r.Body = io.NopCloser(bytes.NewReader(data))
	return nil
}

// readChunk is the granularity at which messages that are read count.
const readChunk = 64 << 10

// read reads a message. The bytes of slow senders count while they are read, so that many of them
// together are bounded too.
func (g *Guard) read(body io.Reader) ([]byte, error) {
	var data bytes.Buffer
	taken := int64(0)
	defer func() { g.reading.Add(-taken) }()
	for {
		taken += readChunk
		if g.reading.Add(readChunk) > int64(g.MaxReading) {
			return nil, refusal(connect.CodeResourceExhausted, request.ReasonOverloaded, &ReadingError{Limit: g.MaxReading})
		}
		_, err := io.CopyN(&data, body, readChunk)
		switch {
		case fleet.Bytes(data.Len()) > g.MaxMessage:
			return nil, g.tooLarge(fleet.Bytes(data.Len()))
		case errors.Is(err, io.EOF):
			return data.Bytes(), nil
		case errors.Is(err, os.ErrDeadlineExceeded):
			return nil, refusal(connect.CodeDeadlineExceeded, request.ReasonTimeout, &SlowError{Timeout: g.ReadTimeout})
		case err != nil:
			return nil, refusal(connect.CodeInvalidArgument, request.ReasonMalformed, err)
		}
	}
}

func (g *Guard) tooLarge(size fleet.Bytes) error {
	return refusal(connect.CodeResourceExhausted, request.ReasonBodyTooLarge, &BodyError{Size: size, Limit: g.MaxMessage})
}

// guardedWriter holds back the response of a request that did not get as far as the service.
type guardedWriter struct {
	http.ResponseWriter
	deadline func()
	entered  atomic.Bool
	// passed says that the response goes to the client, status is the one that is held back.
	passed bool
	status int
}

// WriteHeader implements http.ResponseWriter.
func (w *guardedWriter) WriteHeader(status int) {
	if !w.passed {
		w.passed = w.entered.Load() || status == http.StatusNotFound || status == http.StatusMethodNotAllowed || status == http.StatusUnsupportedMediaType
		if !w.passed {
			w.status = status
			return
		}
		w.deadline()
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *guardedWriter) Write(p []byte) (int, error) {
	if !w.passed && w.status == 0 {
		w.WriteHeader(http.StatusOK)
	}
	if !w.passed {
		return len(p), nil
	}
	return w.ResponseWriter.Write(p)
}

// Flush implements http.Flusher.
func (w *guardedWriter) Flush() {
	if w.passed {
		_ = http.NewResponseController(w.ResponseWriter).Flush()
	}
}

// Unwrap is for http.ResponseController.
func (w *guardedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// grpcExhausted is the status of gRPC for a message above the limit.
const grpcExhausted = "8"

// refusal returns the error for a request that was refused before it reached the service, or nil.
func (w *guardedWriter) refusal() error {
	if w.passed || w.entered.Load() {
		return nil
	}
	h := w.Header()
	if w.status == http.StatusTooManyRequests || h.Get("Grpc-Status") == grpcExhausted || h.Get(http.TrailerPrefix+"Grpc-Status") == grpcExhausted {
		return refusal(connect.CodeResourceExhausted, request.ReasonBodyTooLarge, trace.Wrap(&MessageError{Problem: "message is too large"}))
	}
	return refusal(connect.CodeInvalidArgument, request.ReasonMalformed, trace.Wrap(&MessageError{Problem: "message cannot be decoded"}))
}
