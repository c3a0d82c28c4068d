package platform

import (
	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"github.com/mimosawharf/mimosawharf/internal/wire"
	platformv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/platform/v1"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// ObjectSnapshot is the object with the latest snapshot of the configuration and of the VM rows.
const ObjectSnapshot ObjectName = "snapshot/latest"

// EncodeSnapshot returns the bytes of a snapshot.
func EncodeSnapshot(c Changes) ([]byte, error) {
	m := &platformv1.ChangesResponse{Revision: uint64(c.Revision), History: string(c.History)}
	for _, r := range c.Rows {
		m.Rows = append(m.Rows, &platformv1.Row{Key: string(r.Key), Value: r.Value, Version: uint64(r.Version), Deleted: r.Deleted})
	}
	data, err := proto.Marshal(m)
	return data, trace.Wrap(err)
}

// DecodeSnapshot returns a snapshot, or *wire.DecodeError.
func DecodeSnapshot(data []byte) (Changes, error) {
	var m platformv1.ChangesResponse
	if err := proto.Unmarshal(data, &m); err != nil {
		return Changes{}, trace.Wrap(&wire.DecodeError{Message: string(ObjectSnapshot), Cause: err})
	}
	return Changes{Rows: fromRows(m.GetRows()), Revision: fleet.TableRevision(m.GetRevision()), History: History(m.GetHistory())}, nil
}
