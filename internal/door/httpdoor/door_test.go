package httpdoor_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/mimosawharf/mimosawharf/internal/clock"
	"github.com/mimosawharf/mimosawharf/internal/door"
	"github.com/mimosawharf/mimosawharf/internal/door/httpdoor"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

const testBody, testBudget = 64 << 10, 128 << 10

// serve serves a handler behind a door and returns its address.
func serve(t *testing.T, c clock.Clock, next http.HandlerFunc) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	is.New(t).NoErr(err)
	d := &httpdoor.Door{
		Name: "test", Clock: c, Log: zap.NewNop(), Scope: tally.NoopScope, Places: door.NewPlaces(8), Budget: door.NewBudget(testBudget, 1024),
		MaxBody:    func() fleet.Bytes { return testBody },
		Admits:     func(r *http.Request) bool { return r.URL.Path == "/" },
		NewScanner: func(*http.Request) (door.Scanner, error) { return &door.JSONScanner{MaxObjects: 10, MaxDepth: 10}, nil },
	}
	s := &http.Server{Handler: next}
	attached := d.Attach(s, l)
	go func() { _ = s.Serve(attached) }()
	t.Cleanup(func() { _ = s.Close() })
	return l.Addr().String()
}

// dial opens a connection and sends the parts of a request with a pause between them.
func dial(t *testing.T, address string, pause time.Duration, parts ...string) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp4", address)
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	for _, p := range parts {
		_, _ = io.WriteString(c, p) // The door may have closed the connection.
		_ = clock.Wait(t.Context(), clock.Real(), pause)
	}
	return c, bufio.NewReader(c)
}

func post(length int) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n", length)
}

// Guards against a client within the limits that is refused for being slow, against refusals that do not say why or
// when to come back, and against a connection that stays open for the rest of a refused body.
func TestDoorAnswersCallers(t *testing.T) {
	const chunked = "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
	chunk := fmt.Sprintf("%x\r\n%s\r\n", testBody, strings.Repeat(" ", testBody))
	for _, c := range []struct {
		name   string
		before int
		parts  []string
		want   int
		reason string
	}{
		{"slow body", 0, []string{post(4), "a", "b", "c", "d"}, 200, ""},
		{"body at the limit", 0, []string{post(testBody), strings.Repeat(" ", testBody)}, 200, ""},
		{"small body beside stalled ones", 2, []string{post(2), "{}"}, 200, ""},
		{"declared above the limit", 0, []string{post(testBody + 1)}, 413, "body-too-large: 65537 bytes, limit 65536; not run"},
		{"chunks above the limit", 0, []string{chunked, chunk, chunk}, 413, "body-too-large"},
		{"too many objects", 0, []string{post(testBody), strings.Repeat("{},", 11)}, 400, "too-many-fields; not run"},
		{"broken framing", 0, []string{chunked, "zz\r\n"}, 400, "body-incomplete; not run"},
		{"large body of a request that is not admitted", 2, []string{strings.Replace(post(testBody), "/", "/none", 1)}, 404, "no such path"},
		{"headers with many fields", 0, []string{"GET / HTTP/1.1\r\nHost: x\r\n" + strings.Repeat("a: b\n", 200)}, 400, ""},
		{"body with many lines", 0, []string{post(400), strings.Repeat("\n", 400)}, 200, ""},
		{"no room beside stalled bodies", 2, []string{post(testBody)}, 503, "budget-short"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			address := serve(t, clock.Real(), func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path != "/" {
					http.Error(w, "no such path", http.StatusNotFound)
					return
				}
				body, err := io.ReadAll(r.Body)
				is.NoErr(err)
				is.Equal(int64(len(body)), r.ContentLength)
				_, _ = w.Write([]byte("ok"))
			})
			for range c.before {
				dial(t, address, 50*time.Millisecond, post(testBody*3/4), "x")
			}
			_, reader := dial(t, address, 20*time.Millisecond, c.parts...)
			answer, err := http.ReadResponse(reader, nil)
			is.NoErr(err)
			text, err := io.ReadAll(answer.Body)
			is.NoErr(err)
			is.Equal(answer.StatusCode, c.want)
			is.True(strings.Contains(string(text), c.reason))
			is.Equal(answer.Close, c.want != 200)
			is.Equal(answer.Header.Get("Retry-After") != "", c.want == 503)
		})
	}
}

// Guards against an answer that is cut off by the deadline of an earlier answer on the same connection.
func TestEachAnswerHasTimeOfItsOwn(t *testing.T) {
	is := is.New(t)
	fake := clockwork.NewFakeClockAt(clock.Real().Now().Add(-9800 * time.Millisecond)) // an answer has 200 ms
	address := serve(t, fake, func(http.ResponseWriter, *http.Request) {})
	const get = "GET / HTTP/1.1\r\nHost: x\r\n\r\n"
	conn, reader := dial(t, address, 400*time.Millisecond, get)
	_, err := http.ReadResponse(reader, nil)
	is.NoErr(err)
	fake.Advance(5 * time.Second)
	_, err = io.WriteString(conn, get)
	is.NoErr(err)
	_, err = http.ReadResponse(reader, nil)
	is.NoErr(err)
}

// Guards against headers with very many fields that are sent ahead, behind a request that is served.
func TestConnectionWithFieldsAheadIsClosed(t *testing.T) {
	is := is.New(t)
	address := serve(t, clock.Real(), func(http.ResponseWriter, *http.Request) {})
	const get = "GET / HTTP/1.1\r\nHost: x\r\n"
	_, reader := dial(t, address, 0, get+"\r\n"+get+strings.Repeat("a:\n", 200))
	answer, err := http.ReadResponse(reader, nil)
	is.NoErr(err)
	is.Equal(answer.StatusCode, http.StatusOK)
	is.True(answer.Close)
}

// Guards against a refusal that is lost because the connection is reset while its caller still sends the body.
func TestRefusalReachesCallerThatStillSends(t *testing.T) {
	refused := strings.Replace(post(testBody), "POST /", "POST /none", 1)
	for name, head := range map[string]string{
		"not admitted": refused, "too many fields": post(testBody), "closed by the caller": strings.Replace(refused, "Host", "Connection: close\r\nHost", 1),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address := serve(t, clock.Real(), func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNotFound) })
			_, reader := dial(t, address, 20*time.Millisecond, head+strings.Repeat("{", testBody))
			_, err := http.ReadResponse(reader, nil)
			is.NoErr(err)
			_, err = io.Copy(io.Discard, reader)
			is.NoErr(err) // closed, not reset
		})
	}
}

// Guards against the lines of a body that count as headers, because its own headers arrived with the request before.
func TestBodyBehindRequestSentAheadIsRead(t *testing.T) {
	is := is.New(t)
	address := serve(t, clock.Real(), func(http.ResponseWriter, *http.Request) {})
	_, reader := dial(t, address, 50*time.Millisecond, "GET / HTTP/1.1\r\nHost: x\r\n\r\n"+post(400), strings.Repeat("x\n", 200))
	for range 2 {
		answer, err := http.ReadResponse(reader, nil)
		is.NoErr(err)
		is.Equal(answer.StatusCode, http.StatusOK)
	}
}
