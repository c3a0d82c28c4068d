package platform_test

import (
	"net/http/httptest"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/mimosawharf/mimosawharf/internal/duty"
	"github.com/mimosawharf/mimosawharf/internal/standin"
	"github.com/mimosawharf/mimosawharf/internal/standin/platform"
	platformv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/platform/v1"
	"github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/platform/v1/platformv1connect"
)

// Guards against faults that cannot be set over the wire, a restore that keeps the history, and an action
// or a transaction that applies although the row or the history that it is based on has changed.
func TestFaultsRestoresAndLateActionsOverTheWire(t *testing.T) {
	is := is.New(t)
	p := platform.New(clockwork.NewFakeClock(), 0, time.Second)
	group, ctx := duty.NewGroup(t.Context())
	group.Start(ctx, p)
	server := httptest.NewServer(p.Handler())
	t.Cleanup(server.Close)
	faults := platformv1connect.NewFaultServiceClient(server.Client(), server.URL)
	table := platformv1connect.NewTableServiceClient(server.Client(), server.URL)
	vms := platformv1connect.NewVMServiceClient(server.Client(), server.URL)
	is.NoErr(p.PutVM(ctx, standin.NewVM("a", "z", "r", "127.0.0.1:1")))
	write := func(version uint64, history string) *platformv1.CommitResponse {
		r, err := table.Commit(ctx, connect.NewRequest(&platformv1.CommitRequest{
			Preconditions: []*platformv1.Precondition{{Key: "vm/a", Version: version}}, Puts: []*platformv1.Put{{Key: "vm/a"}}, History: history,
		}))
		is.NoErr(err)
		return r.Msg
	}
	act := func(id string, version uint64, history string) bool {
		r, err := vms.ActOnVM(ctx, connect.NewRequest(&platformv1.ActOnVMRequest{
			Vm: "a", Action: "reboot", OperationId: id, Precondition: &platformv1.Precondition{Key: "vm/a", Version: version}, History: history,
		}))
		is.NoErr(err)
		return r.Msg.GetAccepted()
	}
	_, err := faults.SetFaults(ctx, connect.NewRequest(&platformv1.SetFaultsRequest{Faults: &platformv1.Faults{Down: true}}))
	is.NoErr(err)
	_, err = table.Read(ctx, connect.NewRequest(&platformv1.ReadRequest{}))
	is.Equal(connect.CodeOf(err), connect.CodeUnavailable)
	_, err = faults.SetFaults(ctx, connect.NewRequest(&platformv1.SetFaultsRequest{}))
	is.NoErr(err)
	is.Equal(write(0, "history-1").GetRevision(), uint64(1))
	backup, err := faults.Backup(ctx, connect.NewRequest(&platformv1.BackupRequest{}))
	is.NoErr(err)
	is.Equal(backup.Msg.GetRevision(), uint64(1))
	is.Equal(write(1, "history-1").GetRevision(), uint64(2))
	is.True(!act("late", 1, "history-1")) // the VM's row has changed
	restored, err := faults.Restore(ctx, connect.NewRequest(&platformv1.RestoreRequest{}))
	is.NoErr(err)
	is.Equal(restored.Msg.GetHistory(), "history-2")
	is.Equal(write(1, "history-1").GetConflicts(), []string{"history"}) // version 1 exists in both histories
	is.True(!act("late", 1, "history-1"))
	is.True(act("now", 1, "history-2"))
	is.Equal(write(1, "history-2").GetRevision(), uint64(2))
}
