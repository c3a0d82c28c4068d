package platform

import (
	"context"

	"connectrpc.com/connect"

	platformv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/platform/v1"
)

// control serves the RPCs with which other processes set the faults of the stand-in, and back up and
// restore its table.
type control struct {
	platform *Platform
}

// SetFaults implements the fault service.
func (c control) SetFaults(ctx context.Context, r *connect.Request[platformv1.SetFaultsRequest]) (*connect.Response[platformv1.SetFaultsResponse], error) {
	if err := c.platform.SetFaults(ctx, fromFaults(r.Msg.GetFaults())); err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(&platformv1.SetFaultsResponse{}), nil
}

// Backup implements the fault service.
func (c control) Backup(ctx context.Context, _ *connect.Request[platformv1.BackupRequest]) (*connect.Response[platformv1.BackupResponse], error) {
	response := &platformv1.BackupResponse{}
	if err := c.platform.Change(ctx, func(s *Store) { response.Revision = uint64(s.Backup()) }); err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(response), nil
}

// Restore implements the fault service.
func (c control) Restore(ctx context.Context, _ *connect.Request[platformv1.RestoreRequest]) (*connect.Response[platformv1.RestoreResponse], error) {
	response := &platformv1.RestoreResponse{}
	if err := c.platform.Change(ctx, func(s *Store) { response.History = s.Restore() }); err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(response), nil
}
