package daemon

import (
	"github.com/gravitational/trace"

	"github.com/mimosawharf/mimosawharf/internal/duty"
	"github.com/mimosawharf/mimosawharf/internal/peer"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// entry returns the initial row of this entry.
func (d *Daemon) entry() fleet.Entry {
	s := d.Settings
	return fleet.Entry{
		ID: s.EntryID, Incarnation: d.incarnation, Zone: s.Zone, PeerAddress: d.socket.Address(), VM: s.VMID, Duration: s.LeaseDuration,
	}
}

// listenPeers opens the UDP socket for the peers.
func (d *Daemon) listenPeers() error {
	source, err := d.peerSource()
	if err != nil {
		return trace.Wrap(err)
	}
	d.socket, err = peer.Listen(d.Settings.PeerAddress, source)
	return trace.Wrap(err)
}

// peerDuties returns the hub and the readers; the hub starts the links.
func (d *Daemon) peerDuties(start func(duty.Duty)) []duty.Duty {
	s := d.Settings
	staticPeers, _ := s.PeerList() // checked by Parse
	hub := &peer.Hub{
		Entry: d.entry(), Inbox: d.hub, View: &d.view, Status: &d.status, Directory: &d.directory, Dialer: d.socket,
		Dispatcher: d.events, Clock: d.Clock, Log: d.Log, Interval: s.ReportInterval, Rate: s.PeerBytesPerSecond, Start: start,
	}
	for _, n := range staticPeers {
		hub.StaticPeers = append(hub.StaticPeers, peer.StaticPeer{ID: n.ID, Zone: n.Zone, Address: n.Address})
	}
	list := []duty.Duty{hub}
	for i := range peer.MaxPeers {
		list = append(list, &peer.Reader{
			Number: i, Own: s.EntryID, Acceptor: d.socket, Dispatcher: d.events, Poller: d.polls, Hub: d.hub,
			Directory: &d.directory, Clock: d.Clock, Log: d.Log, DefaultTimeout: s.DefaultTimeout,
		})
	}
	return list
}

// Limit of connections to one endpoint, and the number of entries assumed to share it when the settings
// name no peers.
const (
	connectionsPerEndpoint fleet.Connections = 64
	assumedEntries         fleet.Connections = 8
)

// endpointConnections returns how many connections this entry may open to one endpoint.
func (d *Daemon) endpointConnections() fleet.Connections {
	staticPeers, _ := d.Settings.PeerList() // checked by Parse
	entries := fleet.Connections(len(staticPeers) + 1)
	if len(staticPeers) == 0 {
		entries = assumedEntries
	}
	return max(connectionsPerEndpoint/entries, 1)
}
