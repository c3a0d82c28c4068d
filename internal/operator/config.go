package operator

import (
	"context"

	"connectrpc.com/connect"

	"github.com/mimosawharf/mimosawharf/internal/operation"
	"github.com/mimosawharf/mimosawharf/internal/ring"
	"github.com/mimosawharf/mimosawharf/internal/wire"
	operatorv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/operator/v1"
	"github.com/mimosawharf/mimosawharf/pkg/check"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// ApplyConfiguration implements the operator service.
func (h *Handler) ApplyConfiguration(ctx context.Context, r *connect.Request[operatorv1.ApplyConfigurationRequest]) (*connect.Response[operatorv1.ApplyConfigurationResponse], error) {
	if err := checkApply(r.Msg); err != nil {
		return nil, toConnect(err)
	}
	o := operation.ApplyConfig{
		Identity: identity(r.Header(), r.Msg.GetOperation()),
		Base:     fleet.ConfigRevision(r.Msg.GetBaseRevision()),
		DryRun:   r.Msg.GetDryRun(),
		Reply:    ring.New[operation.Result[operation.ApplyResult]]("operator-apply", 1),
	}
	for _, c := range r.Msg.GetChanges() {
		o.Changes = append(o.Changes, wire.FromChange(c))
	}
	if m := r.Msg.GetReplace(); m != nil {
		whole := wire.FromConfiguration(m)
		o.Replace = &whole
	}
	applied, err := run(ctx, h.Inbox, o, o.Reply)
	if err != nil {
		return nil, toConnect(err)
	}
	response := &operatorv1.ApplyConfigurationResponse{Revision: uint64(applied.Revision), Warnings: applied.Warnings}
	for _, d := range applied.Differences {
		response.Differences = append(response.Differences, &operatorv1.Difference{
			Item: string(d.Item), Field: d.Field, From: d.From, To: d.To,
		})
	}
	return connect.NewResponse(response), nil
}

// checkApply checks the bounds of the schema and those that concern more than one field.
func checkApply(m *operatorv1.ApplyConfigurationRequest) error {
	if err := m.Check(); err != nil {
		return err
	}
	whole := m.GetReplace()
	switch {
	case whole != nil && len(m.GetChanges()) > 0:
		return &check.FieldError{Field: "changes", Bound: "no changes next to replace"}
	case whole == nil && len(m.GetChanges()) == 0:
		return &check.FieldError{Field: "changes", Bound: "at least one change, or replace"}
	}
	for _, c := range m.GetChanges() {
		if err := wire.CheckRequestTypes(c.GetPutService()); err != nil {
			return err
		}
	}
	return wire.CheckUnique(whole)
}

// GetConfiguration implements the operator service. It leaves out the hashes of the accounts'
// secrets, because a weak secret can be found from its hash.
func (h *Handler) GetConfiguration(context.Context, *connect.Request[operatorv1.GetConfigurationRequest]) (*connect.Response[operatorv1.GetConfigurationResponse], error) {
	m := wire.Configuration(h.view().Configuration)
	for _, a := range m.GetAccounts() {
		a.CredentialHash = nil
	}
	return connect.NewResponse(&operatorv1.GetConfigurationResponse{Configuration: m}), nil
}
