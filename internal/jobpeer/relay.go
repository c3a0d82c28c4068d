package jobpeer

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"github.com/mimosawharf/mimosawharf/internal/clock"
	"github.com/mimosawharf/mimosawharf/internal/door"
	"github.com/mimosawharf/mimosawharf/internal/holder"
	"github.com/mimosawharf/mimosawharf/internal/ring"
	jobv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/job/v1"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// The path, the name of the protocol and the headers of the request that opens a connection between a holder and a
// relay. After the response both sides send messages with their length in front.
const (
	relayPath     = "/mimosawharf/relay"
	relayProtocol = "mimosawharf-relay"
	headerService = "Mimosawharf-Service"
	headerEpoch   = "Mimosawharf-Epoch"
	headerEntry   = "Mimosawharf-Entry"
)

const (
	// lengthBytes is the size of the length in front of each message.
	lengthBytes = 4
	// maxReport bounds a message of a relay. After an outage each of some hundred lists may name 500 ends, of 40 bytes each.
	maxReport fleet.Bytes = 16 << 20
	// maxBatch bounds a message of a holder: the payloads of a full one, one more of any job, and the rest of its orders.
	maxBatch = holder.MaxRelayPayload + MaxMessage + 1<<20
	// relayBuffer fits most messages.
	relayBuffer = 32 << 10
	// lateReadTime is how long a read goes on after its time-out. A process that was held up itself finds what has
	// arrived meanwhile.
	lateReadTime = 50 * time.Millisecond
)

// framedConn sends and receives messages over one connection.
type framedConn struct {
	conn   net.Conn
	reader *bufio.Reader
	clock  clock.Clock
	out    []byte
}

func (c *framedConn) send(m proto.Message) error {
	c.out = append(c.out[:0], make([]byte, lengthBytes)...)
	out, err := proto.MarshalOptions{}.MarshalAppend(c.out, m)
	if err != nil {
		return trace.Wrap(err)
	}
	c.out = out
	binary.BigEndian.PutUint32(out, uint32(len(out)-lengthBytes))
	_ = c.conn.SetWriteDeadline(c.clock.Now().Add(holder.RelaySilence)) // Fails only on a closed connection, on which the write fails too.
	_, err = c.conn.Write(out)
	return trace.Wrap(err)
}

// receiveLength returns the length of the next message.
func (c *framedConn) receiveLength(limit fleet.Bytes) (fleet.Bytes, error) {
	_ = c.conn.SetReadDeadline(c.clock.Now().Add(holder.RelaySilence)) // Fails only on a closed connection.
	head, err := c.reader.Peek(lengthBytes)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		_ = c.conn.SetReadDeadline(c.clock.Now().Add(lateReadTime))
		head, err = c.reader.Peek(lengthBytes)
	}
	if err != nil {
		return 0, trace.Wrap(err)
	}
	length := fleet.Bytes(binary.BigEndian.Uint32(head))
	if length > limit {
		return 0, trace.Wrap(&RelayMessageError{Problem: "longer than " + strconv.FormatInt(int64(limit), 10) + " bytes"})
	}
	_, _ = c.reader.Discard(lengthBytes) // They are buffered.
	return length, nil
}

// receiveBody returns a message of a known length.
func (c *framedConn) receiveBody(length fleet.Bytes) ([]byte, error) {
	raw := make([]byte, length)
	_ = c.conn.SetReadDeadline(c.clock.Now().Add(holder.RelaySilence)) // A long message takes its time on a slow link.
	if _, err := io.ReadFull(c.reader, raw); err != nil {
		return nil, trace.Wrap(err)
	}
	return raw, nil
}

// Close closes the connection. What was not delivered is discarded, so that no order arrives later.
func (c *framedConn) Close() { _ = c.conn.Close() }

// holderConn is the holder's side of a connection. It implements holder.RelayConn.
type holderConn struct{ framedConn }

// Send implements holder.RelayConn.
func (c *holderConn) Send(b holder.RelayBatch) error { return c.send(encodeBatch(b)) }

// Receive implements holder.RelayConn.
func (c *holderConn) Receive() (holder.RelayReport, error) {
	length, err := c.receiveLength(maxReport)
	if err != nil {
		return holder.RelayReport{}, err
	}
	raw, err := c.receiveBody(length)
	if err != nil {
		return holder.RelayReport{}, err
	}
	return decodeReport(raw)
}

// relayConn is the relay's side of a connection. It implements holder.RelayedConn.
type relayConn struct {
	framedConn
	memory *door.Budget
}

// Send implements holder.RelayedConn.
func (c *relayConn) Send(r holder.RelayReport) error { return c.send(encodeReport(r)) }

// Receive implements holder.RelayedConn.
func (c *relayConn) Receive() (holder.RelayBatch, error) {
	length, err := c.receiveLength(maxBatch)
	if err != nil {
		return holder.RelayBatch{}, err
	}
	share, err := c.memory.Take(c.clock.Now(), length, c.Close)
	if err != nil {
		return holder.RelayBatch{}, trace.Wrap(err)
	}
	defer share.Release()
	raw, err := c.receiveBody(length)
	if err != nil {
		return holder.RelayBatch{}, err
	}
	if err := share.Complete(); err != nil {
		return holder.RelayBatch{}, trace.Wrap(err)
	}
	scanner := door.ProtobufScanner{Type: (&jobv1.RelayBatch{}).ProtoReflect().Descriptor()}
	if err := share.Grow(c.clock.Now(), scanner.Cost(raw)); err != nil {
		return holder.RelayBatch{}, trace.Wrap(err)
	}
	return decodeBatch(raw)
}

// RelayRefusedError reports an entry that does not take a session.
type RelayRefusedError struct {
	Address fleet.Address
	Status  int
}

// Error implements error.
func (e *RelayRefusedError) Error() string {
	return "relay at " + string(e.Address) + " answers with status " + strconv.Itoa(e.Status)
}

// RelayDialer opens connections to relays. It is safe for concurrent use.
type RelayDialer struct{ Clock clock.Clock }

// Dial implements holder.RelayDialer. It returns *PeerError or *RelayRefusedError.
func (d *RelayDialer) Dial(ctx context.Context, address fleet.Address, s holder.RelaySession) (holder.RelayConn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp4", string(address))
	if err != nil {
		return nil, trace.Wrap(&PeerError{Address: address, Cause: err})
	}
	c := &holderConn{framedConn{conn: conn, reader: bufio.NewReaderSize(conn, relayBuffer), clock: d.Clock}}
	if err := c.upgrade(ctx, address, s); err != nil {
		c.Close()
		return nil, trace.Wrap(err)
	}
	return c, nil
}

func (c *holderConn) upgrade(ctx context.Context, address fleet.Address, s holder.RelaySession) error {
	if tcp, ok := c.conn.(*net.TCPConn); ok {
		if err := tcp.SetLinger(0); err != nil {
			return &PeerError{Address: address, Cause: err}
		}
	}
	if deadline, ok := ctx.Deadline(); ok {
		_ = c.conn.SetDeadline(deadline) // Fails only on a closed connection.
	}
	interrupt := context.AfterFunc(ctx, func() { _ = c.conn.Close() })
	defer interrupt()
	request := &http.Request{
		Method: http.MethodGet, URL: &url.URL{Path: relayPath}, Host: string(address), Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: http.Header{
			"Connection": {"Upgrade"}, "Upgrade": {relayProtocol}, headerService: {url.QueryEscape(string(s.Service))},
			headerEpoch: {strconv.FormatUint(uint64(s.Epoch), 10)}, headerEntry: {url.QueryEscape(string(s.Holder))},
		},
	}
	if err := request.Write(c.conn); err != nil {
		return &PeerError{Address: address, Cause: err}
	}
	answer, err := http.ReadResponse(c.reader, request)
	if err != nil {
		return &PeerError{Address: address, Cause: err}
	}
	_ = answer.Body.Close() // It has none.
	if answer.StatusCode != http.StatusSwitchingProtocols {
		return &RelayRefusedError{Address: address, Status: answer.StatusCode}
	}
	_ = c.conn.SetDeadline(time.Time{}) // Fails only on a closed connection.
	return nil
}

// RelayHandler accepts the connections of holders.
type RelayHandler struct {
	// Sessions receives the connections.
	Sessions *ring.Ring[holder.RelayRequest]
	Clock    clock.Clock
	// MemoryOf returns the budget of the messages that come on the connection of a request.
	MemoryOf func(*http.Request) *door.Budget
	// Ready reports whether the entry takes sessions.
	Ready func() bool
}

// Path returns the path and the handler itself.
func (h *RelayHandler) Path() (string, http.Handler) { return "GET " + relayPath, h }

// ServeHTTP implements http.Handler.
func (h *RelayHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	epoch, err := strconv.ParseUint(r.Header.Get(headerEpoch), 10, 64)
	service, err1 := url.QueryUnescape(r.Header.Get(headerService))
	entry, err2 := url.QueryUnescape(r.Header.Get(headerEntry))
	if r.Header.Get("Upgrade") != relayProtocol || err != nil || err1 != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if !h.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	c := &relayConn{framedConn{conn: conn, reader: buffered.Reader, clock: h.Clock}, h.MemoryOf(r)}
	_ = conn.SetDeadline(time.Time{}) // Fails only on a closed connection.
	if _, err := io.WriteString(conn, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: "+relayProtocol+"\r\n\r\n"); err != nil {
		c.Close()
		return
	}
	session := holder.RelaySession{Service: fleet.ServiceID(service), Epoch: fleet.FencingToken(epoch), Holder: fleet.EntryID(entry)}
	if h.Sessions.Push(holder.RelayRequest{Session: session, Conn: c}) != nil {
		c.Close()
	}
}
