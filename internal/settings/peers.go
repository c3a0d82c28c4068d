package settings

import (
	"net/netip"
	"strings"

	"github.com/gravitational/trace"

	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Peer is another entry known at start.
type Peer struct {
	ID      fleet.EntryID
	Zone    fleet.ZoneID
	Address fleet.Address
}

// PeerList returns the other entries named by the setting peers.
// It returns *ValueError when an item is not of the form id@zone@ip:port.
func (s Settings) PeerList() ([]Peer, error) {
	var list []Peer
	for _, item := range strings.Split(s.Peers, ",") {
		if item == "" {
			continue
		}
		parts := strings.Split(item, "@")
		if len(parts) != 3 || parts[0] == "" || parts[1] == "" || !isAddress(parts[2]) {
			return nil, trace.Wrap(&ValueError{Flag: "peers", Value: item, Bound: "items of the form id@zone@ip:port", Unit: ""})
		}
		list = append(list, Peer{ID: fleet.EntryID(parts[0]), Zone: fleet.ZoneID(parts[1]), Address: fleet.Address(parts[2])})
	}
	return list, nil
}

// check applies the bounds that concern more than one value or more than a number.
func (s Settings) check() error {
	addresses := []struct {
		flag  string
		value fleet.Address
	}{
		{"caller-address", s.CallerAddress},
		{"operator-address", s.OperatorAddress},
		{"peer-address", s.PeerAddress},
		{"health-address", s.HealthAddress},
	}
	for _, a := range addresses {
		if !isAddress(string(a.value)) {
			return trace.Wrap(&ValueError{Flag: a.flag, Value: string(a.value), Bound: "an IP address and a port", Unit: "ip:port"})
		}
	}
	if !s.Insecure && (s.TLSCertFile == "" || s.TLSKeyFile == "" || s.TLSCAFile == "") {
		return trace.Wrap(&ValueError{Flag: "tls-cert-file", Value: s.TLSCertFile, Bound: "certificate, key and authority files, or --insecure", Unit: "path"})
	}
	_, err := s.PeerList()
	return trace.Wrap(err)
}

func isAddress(text string) bool {
	_, err := netip.ParseAddrPort(text)
	return err == nil
}
