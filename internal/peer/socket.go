package peer

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"time"

	"github.com/gravitational/trace"
	"github.com/quic-go/quic-go"

	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// protocol is the ALPN protocol that entries negotiate in the TLS handshake.
const protocol = "mimosawharf-peer-1"

// Timeouts and keep-alive interval of a connection. A peer that is silent for idleTimeout counts as unreachable.
const (
	idleTimeout      = 3 * time.Second
	keepAlive        = time.Second
	handshakeTimeout = 2 * time.Second
)

// Outgoing is a connection that this entry opened; its one stream carries frames to the peer.
type Outgoing interface {
	io.Writer
	// Context ends when the connection is lost.
	Context() context.Context
	Close()
}

// Incoming is a connection that a peer opened; its one stream carries frames from the peer.
type Incoming interface {
	io.Reader
	SetReadDeadline(time.Time) error
	// Certifies reports whether the peer may speak for an entry.
	Certifies(fleet.EntryID) bool
	Close()
}

// CredentialSource provides the credentials of this entry for each new connection, and checks those of peers.
type CredentialSource interface {
	// PeerServer returns the configuration of the server side.
	PeerServer() *tls.Config
	// PeerClient returns the configuration of a client of one peer. The handshake with another server fails.
	PeerClient(peer fleet.EntryID) *tls.Config
	// Certifies reports whether the other end of a connection may speak for an entry.
	Certifies(state tls.ConnectionState, entry fleet.EntryID) bool
}

// Socket is the UDP socket of this entry.
type Socket struct {
	transport *quic.Transport
	listener  *quic.Listener
	source    CredentialSource
}

// SocketError reports an address that cannot be listened on.
type SocketError struct {
	Address fleet.Address
	Cause   error
}

// Error implements error.
func (e *SocketError) Error() string {
	return "listen on " + string(e.Address) + "/udp: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *SocketError) Unwrap() error { return e.Cause }

// Listen opens the socket. It returns *SocketError.
func Listen(address fleet.Address, source CredentialSource) (*Socket, error) {
	udp, err := net.ResolveUDPAddr("udp", string(address))
	if err != nil {
		return nil, trace.Wrap(&SocketError{Address: address, Cause: err})
	}
	conn, err := net.ListenUDP("udp", udp)
	if err != nil {
		return nil, trace.Wrap(&SocketError{Address: address, Cause: err})
	}
	s := &Socket{transport: &quic.Transport{Conn: conn}, source: source}
	if s.listener, err = s.transport.Listen(withProtocol(source.PeerServer()), quicConfig()); err != nil {
		_ = conn.Close()
		return nil, trace.Wrap(&SocketError{Address: address, Cause: err})
	}
	return s, nil
}

// withProtocol returns a copy of a configuration with the protocol between entries and TLS 1.3 at least.
func withProtocol(config *tls.Config) *tls.Config {
	c := config.Clone()
	c.NextProtos = []string{protocol}
	c.MinVersion = tls.VersionTLS13
	return c
}

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout: handshakeTimeout, MaxIdleTimeout: idleTimeout, KeepAlivePeriod: keepAlive,
		MaxIncomingStreams: -1, MaxIncomingUniStreams: 1,
		MaxStreamReceiveWindow: 2 * uint64(MaxFrameBytes), MaxConnectionReceiveWindow: 2 * uint64(MaxFrameBytes),
	}
}

// Address returns the address that the socket listens on.
func (s *Socket) Address() fleet.Address { return fleet.Address(s.listener.Addr().String()) }

// Close ends all connections of the socket.
func (s *Socket) Close() {
	_ = s.transport.Close()
	_ = s.transport.Conn.Close()
}

// Dial connects to a peer.
func (s *Socket) Dial(ctx context.Context, peer fleet.EntryID, address fleet.Address) (Outgoing, error) {
	udp, err := net.ResolveUDPAddr("udp", string(address))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	conn, err := s.transport.Dial(ctx, udp, withProtocol(s.source.PeerClient(peer)), quicConfig())
	if err != nil {
		return nil, trace.Wrap(err)
	}
	stream, err := conn.OpenUniStream()
	if err != nil {
		_ = conn.CloseWithError(0, "")
		return nil, trace.Wrap(err)
	}
	return &outgoing{SendStream: stream, conn: conn}, nil
}

// Accept waits for the connection of a peer.
func (s *Socket) Accept(ctx context.Context) (Incoming, error) {
	conn, err := s.listener.Accept(ctx)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	streamCtx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	stream, err := conn.AcceptUniStream(streamCtx)
	if err != nil {
		_ = conn.CloseWithError(0, "")
		return nil, trace.Wrap(err)
	}
	return &incoming{ReceiveStream: stream, conn: conn, source: s.source}, nil
}

type outgoing struct {
	*quic.SendStream
	conn *quic.Conn
}

// Context implements Outgoing.
func (o *outgoing) Context() context.Context { return o.conn.Context() }

// Close implements Outgoing.
func (o *outgoing) Close() { _ = o.conn.CloseWithError(0, "") }

type incoming struct {
	*quic.ReceiveStream
	conn   *quic.Conn
	source CredentialSource
}

// Certifies implements Incoming.
func (i *incoming) Certifies(id fleet.EntryID) bool {
	return i.source.Certifies(i.conn.ConnectionState().TLS, id)
}

// Close implements Incoming.
func (i *incoming) Close() { _ = i.conn.CloseWithError(0, "") }
