package settings

import (
	"errors"
	"net/netip"
	"net/url"
	"slices"
	"strings"

	"github.com/gravitational/trace"

	"github.com/mimosawharf/mimosawharf/pkg/check"
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
	seen := map[string]bool{string(s.EntryID): true}
	for _, item := range strings.Split(s.Peers, ",") {
		if item == "" {
			continue
		}
		parts := strings.Split(item, "@")
		if len(parts) != 3 || parts[0] == "" || parts[1] == "" || !isIdentifier(parts[0]) || !isIdentifier(parts[1]) || !isAddress(parts[2]) {
			return nil, trace.Wrap(&ValueError{Flag: "peers", Value: item, Bound: "items of the form id@zone@ip:port", Unit: "id@zone@ip:port,..."})
		}
		if seen[parts[0]] {
			return nil, trace.Wrap(&ValueError{Flag: "peers", Value: item, Bound: "each other entry once, and not this entry", Unit: "id@zone@ip:port,..."})
		}
		seen[parts[0]] = true
		list = append(list, Peer{ID: fleet.EntryID(parts[0]), Zone: fleet.ZoneID(parts[1]), Address: fleet.Address(parts[2])})
	}
	return list, nil
}

// problems checks constraints between settings, and the format of identifiers, addresses and files.
// Settings that are known to be wrong are skipped.
func (s Settings) problems(known []*ValueError) []*ValueError {
	var list []*ValueError
	isWrong := func(flag string) bool {
		return slices.ContainsFunc(known, func(v *ValueError) bool { return v.Flag == flag })
	}
	add := func(flag, value, bound, unit string) {
		if !isWrong(flag) {
			list = append(list, &ValueError{Flag: flag, Value: value, Bound: bound, Unit: unit})
		}
	}
	for _, id := range []struct{ flag, value string }{{"entry-id", string(s.EntryID)}, {"zone", string(s.Zone)}, {"vm-id", string(s.VMID)}} {
		if !isIdentifier(id.value) {
			add(id.flag, id.value, identifierBound, "")
		}
	}
	s.checkAddresses(add)
	if u, err := url.Parse(s.PlatformAddress); err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
		add("platform-address", s.PlatformAddress, "an address that starts with http:// or https://", "url")
	}
	if !s.Insecure && !isWrong("insecure") && (s.TLSCertFile == "" || s.TLSKeyFile == "" || s.TLSCAFile == "") {
		add("tls-cert-file", s.TLSCertFile, "certificate, key and authority files, or --insecure", "path")
	}
	if s.VMListMaxAge < s.VMListInterval && !isWrong("vm-list-interval") {
		add("vm-list-max-age", s.VMListMaxAge.String(), "at least --vm-list-interval "+s.VMListInterval.String(), "duration")
	}
	var wrong *ValueError
	if _, err := s.PeerList(); errors.As(err, &wrong) {
		add(wrong.Flag, wrong.Value, wrong.Bound, wrong.Unit)
	}
	return list
}

// checkAddresses checks the format of the addresses, and that none repeats an earlier TCP address with a
// fixed port.
func (s Settings) checkAddresses(add func(flag, value, bound, unit string)) {
	used := map[fleet.Address]string{}
	for _, a := range []struct {
		flag  string
		value fleet.Address
		udp   bool
	}{
		{"caller-address", s.CallerAddress, false},
		{"operator-address", s.OperatorAddress, false},
		{"peer-address", s.PeerAddress, true},
		{"health-address", s.HealthAddress, false},
	} {
		port, err := netip.ParseAddrPort(string(a.value))
		other := used[a.value]
		switch {
		case err != nil:
			add(a.flag, string(a.value), "an IP address and a port", "ip:port")
		case other != "":
			add(a.flag, string(a.value), "another address than --"+other, "ip:port")
		case !a.udp && port.Port() != 0:
			used[a.value] = a.flag
		}
	}
}

// maxIdentifierBytes is the longest identifier that messages may carry.
const maxIdentifierBytes = 64

const identifierBound = "at most 64 lower-case letters, digits, '.', '_' and '-'"

func isIdentifier(text string) bool {
	return len(text) <= maxIdentifierBytes && check.Identifier("", text) == nil
}

func isAddress(text string) bool {
	_, err := netip.ParseAddrPort(text)
	return err == nil
}
