package caller_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/matryer/is"

	"github.com/mimosawharf/mimosawharf/internal/caller"
	"github.com/mimosawharf/mimosawharf/internal/clock"
	"github.com/mimosawharf/mimosawharf/internal/dispatch"
	"github.com/mimosawharf/mimosawharf/internal/request"
	"github.com/mimosawharf/mimosawharf/internal/ring"
	"github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/caller/v1/callerv1connect"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// serveGuarded serves the caller service behind a guard and returns its address.
func serveGuarded(t *testing.T, h *caller.Handler, g *caller.Guard) string {
	is := is.New(t)
	g.Admission, g.MaxMessage = h, h.MaxMessage()
	mux := http.NewServeMux()
	mux.Handle(h.New(connect.WithInterceptors(g.Interceptor())))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	server := &http.Server{Handler: g.Middleware(mux), ConnContext: caller.ConnContext}
	go func() { _ = server.Serve(caller.Listener{Listener: listener}) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

// send opens a connection and sends a request with the length of the message but only its first bytes.
func send(is *is.I, address, message string, sent int) *bufio.Reader {
	conn, err := net.Dial("tcp", address)
	is.NoErr(err)
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: x\r\nConnection: close\r\nMimosawharf-Account: newsroom\r\nAuthorization: Bearer secret\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
		callerv1connect.CallerServiceSubmitProcedure, len(message), message[:sent])
	is.NoErr(err)
	return bufio.NewReader(conn)
}

func answer(is *is.I, from *bufio.Reader) string {
	response, err := http.ReadResponse(from, nil)
	is.NoErr(err)
	body, err := io.ReadAll(response.Body)
	is.NoErr(err)
	return fmt.Sprint(response.StatusCode, " ", string(body))
}

// Guards against senders that hold memory or a connection forever, alone or together, against accounts
// that use up all connections, and against a read deadline that aborts a waiting request.
func TestGuardBoundsSenders(t *testing.T) {
	valid := `{"service":"shifts","request-type":"plan"}`
	cases := []struct {
		name       string
		message    string
		part       int
		maxReading fleet.Bytes
		before     int
		want       string
	}{
		{"slow sender", valid, 5, 1 << 20, 0, "504 deadline_exceeded message was not complete"},
		{"too much is read at the same time", valid, len(valid), 1 << 10, 0, "429 resource_exhausted messages that are read"},
		{"declared size", strings.Repeat(" ", 64<<10), 0, 1 << 20, 0, "429 resource_exhausted request body has 65536 bytes"},
		{"too many connections", valid, len(valid), 1 << 20, 2, "429 resource_exhausted client account has more than 2 connections"},
		{"a request that waits longer than a message may be read", valid, len(valid), 1 << 20, 0, "200"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			inbox := ring.New[dispatch.Event]("dispatcher", 8)
			h, _ := handler(inbox, 2)
			address := serveGuarded(t, h, &caller.Guard{
				Clock: clock.Real(), ReadTimeout: 50 * time.Millisecond, WriteTimeout: time.Second, MaxReading: c.maxReading,
			})
			for range c.before {
				send(is, address, valid, len(valid))
				_, err := inbox.Pop(context.Background())
				is.NoErr(err)
			}
			reader := send(is, address, c.message, c.part)
			if c.want == "200" {
				ev, err := inbox.Pop(context.Background())
				is.NoErr(err)
				is.NoErr(clock.Wait(context.Background(), clock.Real(), 200*time.Millisecond))
				is.NoErr(ev.(dispatch.Submitted).Reply.Push(request.Answered(request.AnswerStatusOK, nil)))
			}
			got := answer(is, reader)
			status, text, _ := strings.Cut(c.want, " ")
			code, problem, _ := strings.Cut(text, " ")
			is.True(strings.HasPrefix(got, status))
			is.True(strings.Contains(got, code))
			is.True(strings.Contains(got, problem))
			is.Equal(c.want == "200", !strings.Contains(got, "mimosawharf.caller.v1.Refusal"))
		})
	}
}

// Guards against a connection that stays counted for its account after it is closed.
func TestClosedConnectionsAreNotCounted(t *testing.T) {
	is := is.New(t)
	inbox := ring.New[dispatch.Event]("dispatcher", 8)
	h, _ := handler(inbox, 1)
	address := serveGuarded(t, h, &caller.Guard{Clock: clock.Real(), ReadTimeout: time.Second, WriteTimeout: time.Second, MaxReading: 1 << 20})
	for range 3 {
		reader := send(is, address, "{}", 2)
		is.True(strings.HasPrefix(answer(is, reader), "400")) // malformed
		_, err := reader.ReadByte()                           // ends only when the server has closed the connection
		is.True(err != nil)
	}
}
