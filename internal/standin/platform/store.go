package platform

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"github.com/mimosawharf/mimosawharf/internal/clock"
	platformv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/platform/v1"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Store is the state of the stand-in: a transactional table, an object store and a lagging list of VMs.
// It implements the clients of the platform's services, so that a test of one goroutine can use it without
// a network. It is not safe for concurrent use.
type Store struct {
	// Faults may be changed at any time by the goroutine that owns the store.
	Faults Faults

	clock   clock.Clock
	table   *table
	objects map[string][]byte
	vms     *vms
	// duplicates holds commits that the next call of the table delivers a second time.
	duplicates []*platformv1.CommitRequest
}

// NewStore returns a store without rows and VMs.
func NewStore(c clock.Clock, listLag, rebootTime time.Duration) *Store {
	return &Store{clock: c, table: newTable("history-1"), objects: map[string][]byte{}, vms: newVMs(listLag, rebootTime)}
}

// PutVM adds or replaces a VM.
func (s *Store) PutVM(vm *platformv1.VM) { s.vms.put(s.clock.Now(), vm) }

// RemoveVM removes a VM from the list.
func (s *Store) RemoveVM(id fleet.VMID) { s.vms.remove(s.clock.Now(), id) }

// Backup keeps a copy of the table and returns its revision.
func (s *Store) Backup() fleet.TableRevision {
	s.table.saveBackup()
	return fleet.TableRevision(s.table.revision)
}

// Restore restores the last copy of the table and returns the name of the new history.
func (s *Store) Restore() string {
	s.table.restore()
	return s.table.history
}

// Commit implements the table service.
func (s *Store) Commit(_ context.Context, r *connect.Request[platformv1.CommitRequest]) (*connect.Response[platformv1.CommitResponse], error) {
	if err := s.Faults.refusal(); err != nil {
		return nil, err
	}
	s.deliverDuplicates()
	if keys := r.Msg.GetPreconditions(); len(keys) > 0 && consume(&s.Faults.Conflicts) {
		return connect.NewResponse(&platformv1.CommitResponse{Conflicts: []string{keys[0].GetKey()}}), nil
	}
	response := s.table.commit(r.Msg)
	if consume(&s.Faults.Duplicates) {
		s.duplicates = append(s.duplicates, proto.CloneOf(r.Msg))
	}
	if consume(&s.Faults.LoseAnswers) {
		return nil, connect.NewError(connect.CodeUnavailable, &DownError{})
	}
	return connect.NewResponse(response), nil
}

// deliverDuplicates applies commits a second time, like a network that delivers a message twice.
func (s *Store) deliverDuplicates() {
	for _, r := range s.duplicates {
		s.table.commit(r)
	}
	s.duplicates = nil
}

// Read implements the table service.
func (s *Store) Read(_ context.Context, r *connect.Request[platformv1.ReadRequest]) (*connect.Response[platformv1.ReadResponse], error) {
	if err := s.Faults.refusal(); err != nil {
		return nil, err
	}
	s.deliverDuplicates()
	return connect.NewResponse(s.table.read(r.Msg, s.readRevision())), nil
}

// Changes implements the table service.
func (s *Store) Changes(_ context.Context, r *connect.Request[platformv1.ChangesRequest]) (*connect.Response[platformv1.ChangesResponse], error) {
	if err := s.Faults.refusal(); err != nil {
		return nil, err
	}
	s.deliverDuplicates()
	return connect.NewResponse(s.table.changes(r.Msg, s.readRevision())), nil
}

// readRevision returns the revision of the state that a read sees.
func (s *Store) readRevision() uint64 {
	if consume(&s.Faults.StaleReads) {
		return s.table.revision - min(uint64(s.Faults.StaleBy), s.table.revision)
	}
	return s.table.revision
}

// PutObject implements the object store.
func (s *Store) PutObject(_ context.Context, r *connect.Request[platformv1.PutObjectRequest]) (*connect.Response[platformv1.PutObjectResponse], error) {
	if err := s.Faults.refusal(); err != nil {
		return nil, err
	}
	s.objects[r.Msg.GetName()] = r.Msg.GetData()
	return connect.NewResponse(&platformv1.PutObjectResponse{}), nil
}

// GetObject implements the object store.
func (s *Store) GetObject(_ context.Context, r *connect.Request[platformv1.GetObjectRequest]) (*connect.Response[platformv1.GetObjectResponse], error) {
	if err := s.Faults.refusal(); err != nil {
		return nil, err
	}
	data, ok := s.objects[r.Msg.GetName()]
	return connect.NewResponse(&platformv1.GetObjectResponse{Data: data, Found: ok}), nil
}

// ListVMs implements the VM service.
func (s *Store) ListVMs(_ context.Context, r *connect.Request[platformv1.ListVMsRequest]) (*connect.Response[platformv1.ListVMsResponse], error) {
	if err := s.Faults.refusal(); err != nil {
		return nil, err
	}
	return connect.NewResponse(s.vms.list(s.clock.Now(), s.Faults.ListLate, r.Msg.GetZones())), nil
}

// ActOnVM implements the VM service.
func (s *Store) ActOnVM(_ context.Context, r *connect.Request[platformv1.ActOnVMRequest]) (*connect.Response[platformv1.ActOnVMResponse], error) {
	if err := s.Faults.refusal(); err != nil {
		return nil, err
	}
	if !s.table.holds(r.Msg) {
		return connect.NewResponse(&platformv1.ActOnVMResponse{}), nil
	}
	return connect.NewResponse(s.vms.act(s.clock.Now(), r.Msg)), nil
}
