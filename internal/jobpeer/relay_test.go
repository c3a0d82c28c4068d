package jobpeer_test

import (
	"context"
	"encoding/binary"
	"net"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mimosawharf/mimosawharf/internal/clock"
	"github.com/mimosawharf/mimosawharf/internal/door"
	"github.com/mimosawharf/mimosawharf/internal/holder"
	"github.com/mimosawharf/mimosawharf/internal/jobpeer"
	"github.com/mimosawharf/mimosawharf/internal/ring"
	"github.com/mimosawharf/mimosawharf/internal/shard"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

var session = holder.RelaySession{Service: "s/ä", Epoch: 1 << 40, Holder: "entry-1"}

// relayMemory is the budget of relays that are not short of it.
const relayMemory fleet.Bytes = 32 << 20

func newRelayHandler(memory fleet.Bytes) *jobpeer.RelayHandler {
	budget := door.NewBudget(memory, 4)
	return &jobpeer.RelayHandler{
		Sessions: ring.New[holder.RelayRequest]("sessions", 1), Clock: clock.Real(), Ready: func() bool { return true },
		MemoryOf: func(*http.Request) *door.Budget { return budget },
	}
}

// openRelay returns both sides of a connection.
func openRelay(t *testing.T, memory fleet.Bytes) (holder.RelayConn, holder.RelayedConn) {
	t.Helper()
	is := is.New(t)
	handler := newRelayHandler(memory)
	mux := http.NewServeMux()
	mux.Handle(handler.Path())
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	ctx, cancel := context.WithTimeout(t.Context(), holder.RelayDialTimeout)
	defer cancel()
	near, err := (&jobpeer.RelayDialer{Clock: clock.Real()}).Dial(ctx, fleet.Address(server.Listener.Addr().String()), session)
	is.NoErr(err)
	r, err := handler.Sessions.Pop(t.Context())
	is.NoErr(err)
	is.Equal(r.Session, session)
	t.Cleanup(func() { near.Close(); r.Conn.Close() })
	return near, r.Conn
}

// Guards against fields of orders and results that are lost between a holder and its relay.
func TestRelayedMessagesAreComplete(t *testing.T) {
	is := is.New(t)
	near, far := openRelay(t, relayMemory)
	task := fleet.TaskID{Job: "j", Occurrence: 3, Step: 2, Task: 17}
	batch := holder.RelayBatch{SentAfter: 3 * time.Second, Orders: []holder.RelayOrder{
		{Number: 1, Age: time.Millisecond, Order: shard.Order{
			Kind: shard.OrderStart, Process: fleet.EndpointProcess{Endpoint: "e", StartMillis: 99}, Address: "a:1", Token: 1 << 50, Task: task, Run: 4,
			Payload: "text", Checkpoint: "c", Ticket: "t", Deadline: 5 * time.Second,
		}},
		{Number: 2, Order: shard.Order{Kind: shard.OrderHold, Acknowledged: 7, Wait: time.Second, Deadline: time.Second}},
		{Number: 3, Order: shard.Order{Kind: shard.OrderPace, Task: task, Run: 1, Percent: 40}},
		{Number: 4, Order: shard.Order{Kind: shard.OrderStop, Task: task, Run: 1}},
	}}
	is.NoErr(near.Send(batch))
	gotBatch, err := far.Receive()
	is.NoErr(err)
	is.True(reflect.DeepEqual(gotBatch, batch))
	report := holder.RelayReport{Stopping: true, Results: []holder.RelayResult{
		{Number: 1, Result: shard.Result{Answer: shard.AnswerNoRoom, Clock: 1234567}},
		{Number: 2, Result: shard.Result{
			Answer: shard.AnswerDone, Clock: 5, StartMillis: 99, MoreEnds: true,
			Running: []shard.ListedRun{{Task: task, Run: 4, Checkpoint: "c", Progress: 55, Load: 120}},
			Ends:    []shard.ListedEnd{{Number: 12, Task: task, Run: 3, How: fleet.RunEndDone, Checkpoint: "d"}, {Number: 13}},
		}},
		{Number: 3, Refused: true, Result: shard.Result{Answer: shard.AnswerUnsent, Stale: true}},
	}}
	is.NoErr(far.Send(report))
	gotReport, err := near.Receive()
	is.NoErr(err)
	is.True(reflect.DeepEqual(gotReport, report))
}

// Guards against a connection that is silent for good: its orders would never end.
func TestSilentRelayIsNoticed(t *testing.T) {
	is := is.New(t)
	near, far := openRelay(t, relayMemory)
	began := time.Now()
	_, err := near.Receive()
	is.True(err != nil)
	_, err = far.Receive()
	is.True(err != nil)
	is.True(time.Since(began) < 10*holder.RelaySilence)
}

// Guards against an entry that waits for a relay that accepts connections and does not answer, or refuses.
func TestDialEndsInTime(t *testing.T) {
	is := is.New(t)
	silent, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = silent.Close() }()
	refusing := httptest.NewServer(&jobpeer.RelayHandler{Sessions: ring.New[holder.RelayRequest]("sessions", 1), Clock: clock.Real(), Ready: func() bool { return false }})
	defer refusing.Close()
	other := httptest.NewServer(http.NotFoundHandler())
	defer other.Close()
	for _, address := range []string{silent.Addr().String(), refusing.Listener.Addr().String(), other.Listener.Addr().String()} {
		ctx, cancel := context.WithTimeout(t.Context(), holder.RelayDialTimeout)
		_, err := (&jobpeer.RelayDialer{Clock: clock.Real()}).Dial(ctx, fleet.Address(address), session)
		cancel()
		is.True(err != nil)
	}
}

// Guards against messages of another kind that end a process or are taken for orders.
func TestOddRelayMessagesAreRefused(t *testing.T) {
	for _, c := range []struct{ name, raw string }{
		{"no message", "\xff\xff\xff"},
		{"unknown kind", "\x12\x06\x08\x01\x1a\x02no"},
		{"start without task", "\x12\x09\x08\x01\x1a\x05start"},
		{"negative age", "\x12\x13\x08\x01\x10\xff\xff\xff\xff\xff\xff\xff\xff\xff\x01\x1a\x04hold"},
		{"too long", strings.Repeat("\x00", 8)},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			handler := newRelayHandler(relayMemory)
			server := httptest.NewServer(handler)
			defer server.Close()
			conn, err := net.Dial("tcp4", server.Listener.Addr().String())
			is.NoErr(err)
			defer func() { _ = conn.Close() }()
			message := append(binary.BigEndian.AppendUint32(nil, uint32(len(c.raw))), c.raw...)
			if c.name == "too long" {
				message = []byte("\xff\xff\xff\xff" + c.raw)
			}
			_, err = conn.Write(append([]byte("GET /mimosawharf/relay HTTP/1.1\r\nHost: x\r\nConnection: Upgrade\r\nUpgrade: mimosawharf-relay\r\nMimosawharf-Epoch: 1\r\n\r\n"), message...))
			is.NoErr(err)
			r, err := handler.Sessions.Pop(t.Context())
			is.NoErr(err)
			defer r.Conn.Close()
			_, err = r.Conn.Receive()
			is.True(err != nil)
		})
	}
}

// Guards against messages that take more memory than the door of other entries has, before they are read and once they
// are decoded.
func TestRelayedMessagesStayWithinMemory(t *testing.T) {
	const memory fleet.Bytes = 1 << 20
	for _, c := range []struct {
		name   string
		orders int
		bytes  fleet.Bytes
		fits   bool
	}{
		{"full batch", 256, 1 << 10, true},
		{"long", 1, memory, false},
		{"many orders", 4096, 1, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			near, far := openRelay(t, memory)
			var batch holder.RelayBatch
			for range c.orders {
				batch.Orders = append(batch.Orders, holder.RelayOrder{Order: shard.Order{Kind: shard.OrderHold, Payload: strings.Repeat("x", int(c.bytes))}})
			}
			_ = near.Send(batch) // The relay may close the connection meanwhile.
			_, err := far.Receive()
			is.Equal(err == nil, c.fits)
		})
	}
}
