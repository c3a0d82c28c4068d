package platform

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/gravitational/trace"

	"github.com/mimosawharf/mimosawharf/internal/wire"
	platformv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/platform/v1"
	"github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/platform/v1/platformv1connect"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Services holds a client of each service of the platform. A stand-in in the same process implements them
// without a network.
type Services struct {
	Table   platformv1connect.TableServiceClient
	Objects platformv1connect.ObjectServiceClient
	VMs     platformv1connect.VMServiceClient
}

// Client calls the platform. It is safe for concurrent use.
type Client struct {
	timeout  time.Duration
	services Services
}

// NewClient returns a client of the platform at a URL. The timeout bounds each call.
func NewClient(client *http.Client, url string, timeout time.Duration) *Client {
	return NewClientWithServices(Services{
		Table:   platformv1connect.NewTableServiceClient(client, url),
		Objects: platformv1connect.NewObjectServiceClient(client, url),
		VMs:     platformv1connect.NewVMServiceClient(client, url),
	}, timeout)
}

// NewClientWithServices returns a client that uses the given services. The timeout bounds each call.
func NewClientWithServices(s Services, timeout time.Duration) *Client {
	return &Client{timeout: timeout, services: s}
}

// Commit applies a transaction and returns its revision. It returns *ConflictError when a
// precondition did not hold, *RateExceededError when the platform refused it for exceeding the rate,
// *OperationReusedError, and *UnavailableError when the effect is not known. When an answer was lost,
// the audit row tells whether an audited transaction took effect.
func (c *Client) Commit(ctx context.Context, t Transaction) (fleet.TableRevision, error) {
	a := &attempt{transaction: t}
	for {
		revision, done, err := a.step(ctx, c)
		if done {
			return revision, err
		}
	}
}

func (c *Client) commitOnce(ctx context.Context, t Transaction) (fleet.TableRevision, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	m := &platformv1.CommitRequest{History: string(t.History)}
	for _, p := range t.Preconditions {
		m.Preconditions = append(m.Preconditions, &platformv1.Precondition{Key: string(p.Key), Version: uint64(p.Version)})
	}
	for _, p := range t.Puts {
		m.Puts = append(m.Puts, &platformv1.Put{Key: string(p.Key), Value: p.Value, Delete: p.Delete})
	}
	if t.Audit != nil {
		key := string(wire.KeyAudit(t.Audit.OperationID))
		m.Preconditions = append(m.Preconditions, &platformv1.Precondition{Key: key})
		m.Puts = append(m.Puts, &platformv1.Put{Key: key, Value: wire.EncodeAudit(*t.Audit)})
	}
	response, err := c.services.Table.Commit(ctx, connect.NewRequest(m))
	if err != nil {
		return 0, callError("commit", err)
	}
	if len(response.Msg.GetConflicts()) > 0 {
		e := &ConflictError{}
		for _, k := range response.Msg.GetConflicts() {
			e.Keys = append(e.Keys, fleet.TableKey(k))
		}
		return 0, trace.Wrap(e)
	}
	return fleet.TableRevision(response.Msg.GetRevision()), nil
}

// Read returns one row per key, in order. It returns *RateExceededError or *UnavailableError.
func (c *Client) Read(ctx context.Context, keys ...fleet.TableKey) ([]Row, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	m := &platformv1.ReadRequest{}
	for _, k := range keys {
		m.Keys = append(m.Keys, string(k))
	}
	response, err := c.services.Table.Read(ctx, connect.NewRequest(m))
	if err == nil && len(response.Msg.GetRows()) != len(keys) {
		err = trace.Wrap(&RowCountError{Want: len(keys), Got: len(response.Msg.GetRows())})
	}
	if err != nil {
		return nil, callError("read", err)
	}
	return fromRows(response.Msg.GetRows()), nil
}

// RowCountError reports a read that did not return one row per key.
type RowCountError struct {
	Want, Got int
}

// Error implements error.
func (e *RowCountError) Error() string { return "read returned the wrong number of rows" }

// Changes returns rows under the prefixes that changed after a revision, at most limit of them.
// It returns *RateExceededError or *UnavailableError.
func (c *Client) Changes(ctx context.Context, after fleet.TableRevision, limit int, prefixes ...fleet.TableKey) (Changes, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	m := &platformv1.ChangesRequest{After: uint64(after), Limit: uint32(limit)}
	for _, p := range prefixes {
		m.Prefixes = append(m.Prefixes, string(p))
	}
	response, err := c.services.Table.Changes(ctx, connect.NewRequest(m))
	if err != nil {
		return Changes{}, callError("changes", err)
	}
	return Changes{
		Rows:     fromRows(response.Msg.GetRows()),
		Revision: fleet.TableRevision(response.Msg.GetRevision()),
		More:     response.Msg.GetMore(),
		History:  History(response.Msg.GetHistory()),
	}, nil
}

// PutObject stores an object. It returns *RateExceededError or *UnavailableError.
func (c *Client) PutObject(ctx context.Context, name ObjectName, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	if _, err := c.services.Objects.PutObject(ctx, connect.NewRequest(&platformv1.PutObjectRequest{Name: string(name), Data: data})); err != nil {
		return callError("put object", err)
	}
	return nil
}

// GetObject returns an object, or nil when there is none. It returns *RateExceededError or
// *UnavailableError.
func (c *Client) GetObject(ctx context.Context, name ObjectName) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	response, err := c.services.Objects.GetObject(ctx, connect.NewRequest(&platformv1.GetObjectRequest{Name: string(name)}))
	if err != nil {
		return nil, callError("get object", err)
	}
	if !response.Msg.GetFound() {
		return nil, nil
	}
	return response.Msg.GetData(), nil
}

// ListVMs returns the platform's list of VMs, which lags. It returns *RateExceededError or
// *UnavailableError.
func (c *Client) ListVMs(ctx context.Context) (fleet.VMList, error) { return c.ListVMsInZones(ctx) }

// ListVMsInZones returns the platform's list of the VMs in some zones, or in all of them when none is given.
// It returns *RateExceededError or *UnavailableError.
func (c *Client) ListVMsInZones(ctx context.Context, zones ...fleet.ZoneID) (fleet.VMList, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	m := &platformv1.ListVMsRequest{}
	for _, z := range zones {
		m.Zones = append(m.Zones, string(z))
	}
	response, err := c.services.VMs.ListVMs(ctx, connect.NewRequest(m))
	if err != nil {
		return fleet.VMList{}, callError("list VMs", err)
	}
	list := fleet.VMList{AsOf: wire.FromTime(response.Msg.GetAsOf())}
	for _, v := range response.Msg.GetVms() {
		list.VMs = append(list.VMs, fromPlatformVM(v))
	}
	return list, nil
}

// Act starts an action on a VM, once per operation id and only while the table holds the row version that
// the command is based on. It returns *RateExceededError, *UnavailableError, or *RefusedError when the
// platform does not accept the action.
func (c *Client) Act(ctx context.Context, command fleet.VMCommand) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	m := &platformv1.ActOnVMRequest{
		Vm:              string(command.VM),
		Action:          string(command.Action),
		Version:         string(command.Version),
		Pool:            string(command.Pool),
		AssignmentEpoch: uint64(command.AssignmentEpoch),
		OperationId:     string(command.OperationID),
		History:         string(command.History),
	}
	if command.RowVersion != 0 {
		m.Precondition = &platformv1.Precondition{Key: string(wire.KeyVM(command.VM)), Version: uint64(command.RowVersion)}
	}
	response, err := c.services.VMs.ActOnVM(ctx, connect.NewRequest(m))
	if err != nil {
		return callError("act on VM", err)
	}
	if !response.Msg.GetAccepted() {
		return trace.Wrap(&RefusedError{VM: command.VM, Action: command.Action})
	}
	return nil
}

// RefusedError reports an action on a VM that the platform does not accept.
type RefusedError struct {
	VM     fleet.VMID
	Action fleet.VMAction
}

// Error implements error.
func (e *RefusedError) Error() string {
	return "platform refuses to " + string(e.Action) + " VM " + string(e.VM)
}

// callError converts the error of a failed call. A call that exceeded the rate had no effect.
func callError(call string, err error) error {
	if connect.CodeOf(err) == connect.CodeResourceExhausted {
		return trace.Wrap(&RateExceededError{Call: call})
	}
	return trace.Wrap(&UnavailableError{Call: call, Cause: err})
}

func fromRows(rows []*platformv1.Row) []Row {
	list := make([]Row, 0, len(rows))
	for _, r := range rows {
		list = append(list, Row{
			Key:     fleet.TableKey(r.GetKey()),
			Value:   r.GetValue(),
			Version: fleet.RowVersion(r.GetVersion()),
			Deleted: r.GetDeleted(),
		})
	}
	return list
}

func fromPlatformVM(v *platformv1.VM) fleet.PlatformVM {
	return fleet.PlatformVM{
		ID:            fleet.VMID(v.GetId()),
		Zone:          fleet.ZoneID(v.GetZone()),
		Rack:          fleet.RackID(v.GetRack()),
		Address:       fleet.Address(v.GetAddress()),
		State:         fleet.PlatformVMState(v.GetState()),
		Role:          fleet.VMRole(v.GetRole()),
		Slots:         fleet.Slots(v.GetSlots()),
		Connections:   fleet.Connections(v.GetConnections()),
		Resources:     wire.FromResources(v.GetResources()),
		Version:       fleet.Version(v.GetVersion()),
		Usage:         fleet.Percent(v.GetUsagePercent()),
		Boot:          fleet.BootID(v.GetBootId()),
		LastOperation: fleet.OperationID(v.GetLastOperationId()),
	}
}
