package load

import (
	"fmt"
	"net/netip"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"github.com/mimosawharf/mimosawharf/internal/clock"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Options describe one run of the load.
type Options struct {
	Entries   []Entry
	Endpoints []fleet.Address
	// Killed names the entries that are killed during the run. Lost connections to them, and unknown
	// outcomes of their tickets, are no findings.
	Killed  map[fleet.EntryID]bool
	Account fleet.ClientAccountID
	Secret  string
	Service fleet.ServiceID
	// Duration is how long new requests are sent.
	Duration time.Duration
	// Rate is the mean rate of new requests over all workers.
	Rate    fleet.RequestsPerSecond
	Workers int
	Seed    uint64
	Clock   clock.Clock
}

// Entry is an entry with its addresses for callers and for readiness checks.
type Entry struct {
	ID             fleet.EntryID
	Caller, Health fleet.Address
}

// OptionError reports an option that cannot be used.
type OptionError struct {
	Flag, Value, Want string
}

// Error implements error.
func (e *OptionError) Error() string {
	return fmt.Sprintf("--%s: value %q: want %s", e.Flag, e.Value, e.Want)
}

// ParseEntries parses entries written as id@caller-ip:port@health-ip:port,... It returns *OptionError.
func ParseEntries(text string) ([]Entry, error) {
	var list []Entry
	for _, item := range strings.Split(text, ",") {
		parts := strings.Split(item, "@")
		if len(parts) != 3 || parts[0] == "" || !isAddress(parts[1]) || !isAddress(parts[2]) {
			return nil, trace.Wrap(&OptionError{Flag: "entries", Value: item, Want: "id@caller-ip:port@health-ip:port"})
		}
		list = append(list, Entry{ID: fleet.EntryID(parts[0]), Caller: fleet.Address(parts[1]), Health: fleet.Address(parts[2])})
	}
	return list, nil
}

// ParseEndpoints parses the addresses of endpoint stand-ins. It returns *OptionError.
func ParseEndpoints(text string) ([]fleet.Address, error) {
	var list []fleet.Address
	for _, item := range strings.Split(text, ",") {
		if !isAddress(item) {
			return nil, trace.Wrap(&OptionError{Flag: "endpoints", Value: item, Want: "ip:port,..."})
		}
		list = append(list, fleet.Address(item))
	}
	return list, nil
}

// ParseKilled parses the ids of entries that are killed during the run.
func ParseKilled(text string) map[fleet.EntryID]bool {
	killed := map[fleet.EntryID]bool{}
	for _, id := range strings.Split(text, ",") {
		if id != "" {
			killed[fleet.EntryID(id)] = true
		}
	}
	return killed
}

func isAddress(text string) bool {
	_, err := netip.ParseAddrPort(text)
	return err == nil
}

// check returns *OptionError for the first option that is out of bounds.
func (o Options) check() error {
	switch {
	case o.Duration <= 0:
		return trace.Wrap(&OptionError{Flag: "duration", Value: o.Duration.String(), Want: "more than 0s"})
	case o.Rate <= 0:
		return trace.Wrap(&OptionError{Flag: "rate", Value: fmt.Sprint(o.Rate), Want: "more than 0 requests per second"})
	case o.Workers < 1:
		return trace.Wrap(&OptionError{Flag: "workers", Value: fmt.Sprint(o.Workers), Want: "at least 1"})
	default:
		return nil
	}
}
