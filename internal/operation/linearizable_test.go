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

type outcome string

const (
	outcomeDone         outcome = "done"
	outcomeInvalidState outcome = "invalid-state"
	outcomeBudget       outcome = "budget"
	outcomeConflict     outcome = "conflict"
	outcomeUnknown      outcome = "unknown"
)

func outcomeOf(err error) outcome {
	var state *operation.InvalidStateError
	var exceeded *budget.ExceededError
	var conflict *platform.ConflictError
	switch {
	case err == nil:
		return outcomeDone
	case errors.As(err, &state):
		return outcomeInvalidState
	case errors.As(err, &exceeded):
		return outcomeBudget
	case errors.As(err, &conflict):
		return outcomeConflict
	default:
		return outcomeUnknown
	}
}

// model is a pool whose budget allows one disrupted VM; the state is that VM, or empty.
var model = (&porcupine.NondeterministicModel{
	Init: func() []any { return []any{fleet.VMID("")} },
	Step: func(state, in, out any) []any {
		disrupted, op := state.(fleet.VMID), in.(input)
		next, want := disrupted, outcomeInvalidState
		switch {
		case op.command == operation.VMCommandDrain && disrupted == "":
			next, want = op.vm, outcomeDone
		case op.command == operation.VMCommandDrain && disrupted != op.vm:
			want = outcomeBudget
		case op.command == operation.VMCommandCancel && disrupted == op.vm:
			next, want = "", outcomeDone
		}
		switch out.(outcome) {
		case outcomeUnknown:
			return []any{disrupted, next}
		case outcomeConflict:
			return []any{disrupted}
		case want:
			return []any{next}
		default:
			return nil
		}
	},
}).ToModel()

// Guards against concurrent operations on one pool that are not linearizable, such as two drains that
// both take the last grant, also when answers of the table are lost or commits are delivered twice. Stale
// reads are left out: a refusal based on one may be out of order, because it changes nothing.
func TestConcurrentOperatorsAreLinearizable(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	p := standinplatform.New(clock, 0, time.Second)
	group, ctx := duty.NewGroup(t.Context())
	group.Start(ctx, p)
	client := platform.NewClientWithServices(platform.Services{Table: p, Objects: p, VMs: p}, time.Minute)
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
				_ = history.Push(porcupine.Operation{ClientId: i, Input: in, Output: outcomeOf(err), Call: call, Return: tick.Add(1)})
			}
		})
	}
	wait.Wait()
	all, counts := drain(history)
	t.Log(counts)
	is.True(counts[outcomeDone] > 0)
	is.Equal(porcupine.CheckOperationsTimeout(model, all, 30*time.Second), porcupine.Ok)
}

func vmID(i int) fleet.VMID { return fleet.VMID(fmt.Sprint("vm-", i)) }

// drain returns the recorded operations and the number of each outcome.
func drain(history *ring.Ring[porcupine.Operation]) (all []porcupine.Operation, counts map[outcome]int) {
	counts = map[outcome]int{}
	for {
		o, ok := history.TryPop()
		if !ok {
			return all, counts
		}
		all = append(all, o)
		counts[o.Output.(outcome)]++
	}
}

// prepare creates the pool and adopts its VMs.
func prepare(ctx context.Context, is *is.I, e *operation.Executor, run func(*operation.Executor, operation.ChangeVM) error) {
	reply := ring.New[operation.Result[operation.ApplyResult]]("r", 1)
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
