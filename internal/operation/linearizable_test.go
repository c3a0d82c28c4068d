package operation_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/mimosawharf/mimosawharf/internal/budget"
	"github.com/mimosawharf/mimosawharf/internal/configuration"
	"github.com/mimosawharf/mimosawharf/internal/duty"
	"github.com/mimosawharf/mimosawharf/internal/operation"
	"github.com/mimosawharf/mimosawharf/internal/platform"
	"github.com/mimosawharf/mimosawharf/internal/ring"
	"github.com/mimosawharf/mimosawharf/internal/standin"
	standinplatform "github.com/mimosawharf/mimosawharf/internal/standin/platform"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

const (
	operators  = 5
	operations = 40
	vms        = 4
)

type input struct {
	command operation.VMCommand
	vm      fleet.VMID
}

type verdict string

const (
	verdictDone     verdict = "done"
	verdictState    verdict = "invalid-state"
	verdictBudget   verdict = "budget"
	verdictNoChange verdict = "conflict"
	verdictUnknown  verdict = "unknown"
)

func verdictOf(err error) verdict {
	var state *operation.InvalidStateError
	var exceeded *budget.ExceededError
	var conflict *platform.ConflictError
	switch {
	case err == nil:
		return verdictDone
	case errors.As(err, &state):
		return verdictState
	case errors.As(err, &exceeded):
		return verdictBudget
	case errors.As(err, &conflict):
		return verdictNoChange
	default:
		return verdictUnknown
	}
}

// model is a pool whose budget lets one VM be out; the state is the VM that is out, or empty.
var model = (&porcupine.NondeterministicModel{
	Init: func() []any { return []any{fleet.VMID("")} },
	Step: func(state, in, out any) []any {
		outside, op := state.(fleet.VMID), in.(input)
		next, want := outside, verdictState
		switch {
		case op.command == operation.VMCommandDrain && outside == "":
			next, want = op.vm, verdictDone
		case op.command == operation.VMCommandDrain && outside != op.vm:
			want = verdictBudget
		case op.command == operation.VMCommandCancel && outside == op.vm:
			next, want = "", verdictDone
		}
		switch out.(verdict) {
		case verdictUnknown:
			return []any{outside, next}
		case verdictNoChange:
			return []any{outside}
		case want:
			return []any{next}
		default:
			return nil
		}
	},
}).ToModel()

// Guards against operators on one pool whose operations together have no order, such as two drains that
// both take the last grant, also when answers of the table are lost or delivered twice. Stale reads are
// left out: a refusal that rests on one is allowed to be out of order, because it changes nothing.
func TestConcurrentOperatorsAreLinearizable(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	p := standinplatform.New(clock, 0, time.Second)
	group, ctx := duty.NewGroup(t.Context())
	group.Start(ctx, p)
	client := platform.NewClientOf(platform.Services{Table: p, Objects: p, VMs: p}, time.Minute)
	for i := range vms {
		is.NoErr(p.PutVM(ctx, standin.NewVM(vmID(i), "a", "r", "127.0.0.1:1")))
	}
	view := &ring.Latest[*fleet.View]{}
	v := fleet.NewView()
	list, err := client.ListVMs(ctx)
	is.NoErr(err)
	v.List, v.ListReadAt = list, clock.Now()
	view.Set(v)
	run := func(e *operation.Executor, o operation.ChangeVM) error {
		o.Reply = ring.New[operation.Result[fleet.VM]]("r", 1)
		e.Execute(ctx, o)
		result, err := o.Reply.Pop(ctx)
		return errors.Join(err, result.Err)
	}
	executor := func(i int) *operation.Executor {
		return &operation.Executor{
			Entry: fleet.EntryID(fmt.Sprint("e", i)), Table: client, Platform: client, View: view, PollNow: func() {}, Clock: clock, ListMaxAge: time.Minute,
		}
	}
	prepare(ctx, is, executor(0), run)
	history := ring.New[porcupine.Operation]("history", operators*operations)
	var tick atomic.Int64
	var wait sync.WaitGroup
	for i := range operators {
		wait.Go(func() {
			e, random := executor(i), rand.New(rand.NewPCG(uint64(i), 7))
			for range operations {
				in := input{[]operation.VMCommand{operation.VMCommandDrain, operation.VMCommandCancel}[random.IntN(2)], vmID(random.IntN(vms))}
				_ = p.SetFaults(ctx, standinplatform.Faults{LoseAnswers: random.IntN(2), Duplicates: random.IntN(2)})
				call := tick.Add(1)
				id := operation.Identity{ID: fleet.NewOperationID(), Actor: fleet.OperatorName(e.Entry)}
				err := run(e, operation.ChangeVM{Identity: id, VM: in.vm, Command: in.command})
				if err == nil && random.IntN(3) == 0 { // a client repeats a call that succeeded
					err = run(e, operation.ChangeVM{Identity: id, VM: in.vm, Command: in.command})
				}
				_ = history.Push(porcupine.Operation{ClientId: i, Input: in, Output: verdictOf(err), Call: call, Return: tick.Add(1)})
			}
		})
	}
	wait.Wait()
	all, counts := drained(history)
	t.Log(counts)
	is.True(counts[verdictDone] > 0)
	is.Equal(porcupine.CheckOperationsTimeout(model, all, 30*time.Second), porcupine.Ok)
}

func vmID(i int) fleet.VMID { return fleet.VMID(fmt.Sprint("vm-", i)) }

// drained returns the recorded operations and how often each verdict came.
func drained(history *ring.Ring[porcupine.Operation]) (all []porcupine.Operation, counts map[verdict]int) {
	counts = map[verdict]int{}
	for {
		o, ok := history.TryPop()
		if !ok {
			return all, counts
		}
		all = append(all, o)
		counts[o.Output.(verdict)]++
	}
}

// prepare makes the pool and adopts its VMs.
func prepare(ctx context.Context, is *is.I, e *operation.Executor, run func(*operation.Executor, operation.ChangeVM) error) {
	reply := ring.New[operation.Result[operation.Applied]]("r", 1)
	e.Execute(ctx, operation.ApplyConfig{
		Identity: operation.Identity{ID: fleet.NewOperationID()}, Reply: reply,
		Changes: []configuration.Change{{PutPool: &fleet.Pool{ID: "rota", Budget: fleet.Budget{MaxUnavailableVMs: 1}}}},
	})
	for i := range vms {
		is.NoErr(run(e, operation.ChangeVM{
			Identity: operation.Identity{ID: fleet.NewOperationID()}, VM: vmID(i), Command: operation.VMCommandAdopt, Pool: "rota",
		}))
	}
}
