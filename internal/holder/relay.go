package holder

import (
	"context"
	"time"

	"github.com/mimosawharf/mimosawharf/internal/shard"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// RelayBatch is a batch of orders from the holder of a service to a relay. One without orders shows that the holder is
// alive.
type RelayBatch struct {
	// SentAfter is the time from the opening of the connection to the sending of the batch, on the holder's clock.
	SentAfter time.Duration
	Orders    []RelayOrder
}

// RelayOrder is an order that a relay sends.
type RelayOrder struct {
	// Number numbers the orders of one connection.
	Number uint64
	// Age is how long the order had waited when its batch was sent.
	Age   time.Duration
	Order shard.Order
}

// RelayReport is a batch of results from a relay. One without results shows that the relay is alive.
type RelayReport struct {
	Results []RelayResult
	// Stopping is set by a relay that takes no further orders.
	Stopping bool
}

// RelayResult is the result of an order. The result's order is not set.
type RelayResult struct {
	Number uint64
	// Refused is set for an order that the relay did not take.
	Refused bool
	Result  shard.Result
}

// RelaySession names a session of a relay: one connection of one holder.
type RelaySession struct {
	Service fleet.ServiceID
	Epoch   fleet.FencingToken
	Holder  fleet.EntryID
}

// RelayDialer opens connections to relays.
type RelayDialer interface {
	// Dial returns an error when the entry cannot be reached or does not take the session.
	Dial(ctx context.Context, address fleet.Address, s RelaySession) (RelayConn, error)
}

// RelayConn is the holder's side of a connection to a relay. One goroutine may send while another one receives; Close
// ends both. A call that makes no progress within RelaySilence fails.
type RelayConn interface {
	Send(b RelayBatch) error
	Receive() (RelayReport, error)
	Close()
}

// RelayedConn is the relay's side of a connection to a holder, with the same rules.
type RelayedConn interface {
	Send(r RelayReport) error
	Receive() (RelayBatch, error)
	Close()
}

const (
	// RelaySilence is the time without a message after which either side gives up a connection. Orders that a silent
	// relay may have sent have an unknown outcome until then.
	RelaySilence = 900 * time.Millisecond
	// relayBeat is the time after which a message without orders or results is sent.
	relayBeat = 250 * time.Millisecond
	// maxRelayBatch bounds the orders or results of one message.
	maxRelayBatch = 256
	// MaxRelayPayload bounds the payloads of the orders of one message, apart from the last one, and of those that one
	// session has outstanding at a relay.
	MaxRelayPayload fleet.Bytes = 2 << 20
	// relayBacklog bounds the orders that wait for a relay, and the results that wait for the holder.
	relayBacklog = 4096
	// maxRelayOrders bounds the orders that one session has outstanding at a relay.
	maxRelayOrders = 8192
	// maxRelaySessions bounds the sessions of one relay.
	maxRelaySessions = 16
	// resultDelay is how long a relay collects results for one message: each message costs the holder a wake-up.
	resultDelay = 5 * time.Millisecond
)
