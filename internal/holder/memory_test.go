package holder

import (
	"testing"

	"github.com/matryer/is"

	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Guards against services that take jobs until their holder exceeds its memory, and against services that are refused
// their part because of another one.
func TestServicesBeyondTheirPartAreFull(t *testing.T) {
	for _, c := range []struct {
		name string
		held map[fleet.ServiceID]fleet.Bytes
		want map[fleet.ServiceID]bool
	}{
		{"none", nil, map[fleet.ServiceID]bool{}},
		{"one below the limit", map[fleet.ServiceID]fleet.Bytes{"a": 100}, map[fleet.ServiceID]bool{}},
		{"one above the limit", map[fleet.ServiceID]fleet.Bytes{"a": 101}, map[fleet.ServiceID]bool{"a": true}},
		{"one beside a small one", map[fleet.ServiceID]fleet.Bytes{"a": 96, "b": 5}, map[fleet.ServiceID]bool{"a": true}},
		{"one uses what others leave", map[fleet.ServiceID]fleet.Bytes{"a": 90, "b": 5, "c": 5}, map[fleet.ServiceID]bool{}},
		{"two above their part", map[fleet.ServiceID]fleet.Bytes{"a": 60, "b": 60}, map[fleet.ServiceID]bool{"a": true, "b": true}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(fullServices(c.held, 100), c.want)
		})
	}
}
