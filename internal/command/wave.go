package command

import (
	"context"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/gravitational/trace"
	"github.com/peterbourgon/ff/v4"
	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/timestamppb"

	"github.com/mimosawharf/mimosawharf/internal/clock"
	fleetv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/fleet/v1"
	operatorv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/operator/v1"
	"github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/operator/v1/operatorv1connect"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

func (c *cli) waveCommands(parent *ff.FlagSet) *ff.Command {
	leaves := []leaf{c.waveCreate(parent), c.waveList(parent), c.waveShow(parent), c.waveWatch(parent)}
	for _, a := range []struct {
		command fleet.WaveCommand
		help    string
	}{
		{fleet.WaveCommandStart, "start a planned wave"},
		{fleet.WaveCommandHalt, "halt a wave; steps in progress finish"},
		{fleet.WaveCommandResume, "resume a halted wave"},
		{fleet.WaveCommandRollBack, "install the previous version on the VMs of a halted wave"},
		{fleet.WaveCommandCancel, "end a wave; VMs that it has not reached stay as they are"},
	} {
		leaves = append(leaves, c.waveControl(parent, a.command, a.help))
	}
	return group(parent, "wave", "manage maintenance waves", "wave create --pool rota --action reboot --dry-run autumn", leaves...)
}

// waveFlags describe a wave.
type waveFlags struct {
	pools, zones, racks                               *[]string
	action, version, versionNot, deadline, maintained *string
	canary, parallel, failures                        *uint
	soak, stepTimeout                                 *time.Duration
}

func newWaveFlags(set *ff.FlagSet) waveFlags {
	return waveFlags{
		pools:       set.StringListLong("pool", "Pool of the wave; may be repeated."),
		zones:       set.StringListLong("zone", "Only VMs of this availability zone; may be repeated."),
		racks:       set.StringListLong("rack", "Only VMs of this rack; may be repeated."),
		action:      set.StringEnumLong("action", "What the wave does: reboot, drain, replace or roll-out.", "reboot", "drain", "replace", "roll-out"),
		version:     set.StringLong("version", "", "Version that a roll-out installs."),
		versionNot:  set.StringLong("version-not", "", "Only VMs that have another version."),
		maintained:  set.StringLong("maintained-before", "", "Only VMs last maintained before this time, or longer ago than this duration."),
		deadline:    set.StringLong("deadline", "", "Time, or duration from now, by which the wave ends."),
		canary:      set.UintLong("canary-vms", 0, "VMs of the first step; 0 for the default."),
		parallel:    set.UintLong("max-parallel-vms", 0, "VMs that are disrupted at the same time; 0 for the default."),
		failures:    set.UintLong("max-failures", 0, "Failed VMs at which the wave halts; 0 for the default."),
		soak:        set.DurationLong("soak", 0, "Wait between steps; 0 for the default."),
		stepTimeout: set.DurationLong("step-timeout", 0, "Longest time of one step; 0 for the default."),
	}
}

func (f waveFlags) spec(now time.Time) (*fleetv1.WaveSpec, error) {
	maintained, err := parseInstant("maintained-before", *f.maintained, now, past)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	deadline, err := parseInstant("deadline", *f.deadline, now, future)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	switch {
	case len(*f.pools) == 0:
		return nil, trace.Wrap(&UsageError{Problem: "wave create: want at least one --pool"})
	case (*f.action == string(fleet.WaveActionRollOut)) != (*f.version != ""):
		return nil, trace.Wrap(&UsageError{Problem: "wave create: want --version with --action roll-out, and only there"})
	}
	return &fleetv1.WaveSpec{
		Pools: *f.pools, Action: *f.action, Version: *f.version, Deadline: timestamp(deadline),
		Filter: &fleetv1.WaveFilter{Zones: *f.zones, Racks: *f.racks, VersionNot: *f.versionNot, MaintainedBefore: timestamp(maintained)},
		Limits: &fleetv1.WaveLimits{
			CanaryVms: saturate(*f.canary), MaxParallelVms: saturate(*f.parallel), MaxFailures: saturate(*f.failures),
			Soak: optionalDuration(*f.soak), StepTimeout: optionalDuration(*f.stepTimeout),
		},
	}, nil
}

func timestamp(t time.Time) *timestamppb.Timestamp {
	if t.IsZero() {
		return nil
	}
	return timestamppb.New(t)
}

func optionalDuration(d time.Duration) *durationpb.Duration {
	if d == 0 {
		return nil
	}
	return durationpb.New(d)
}

func (c *cli) waveCreate(parent *ff.FlagSet) leaf {
	set := ff.NewFlagSet("create").SetParent(parent)
	flags, options := newWaveFlags(set), changeFlags(set)
	dryRun := set.BoolLong("dry-run", "Show the steps and create nothing.")
	return leaf{
		path: "wave create", operands: "<wave>", minOperands: 1, maxOperands: 1, help: "plan a wave, which wave start then starts", flags: set,
		example: "wave create autumn --pool rota --action roll-out --version 2.4 --deadline 6h --dry-run",
		run: func(ctx context.Context, operands []string) error {
			spec, err := flags.spec(c.clock.Now())
			if err != nil {
				return trace.Wrap(err)
			}
			m := &operatorv1.CreateWaveRequest{Operation: options.operation(), Id: operands[0], Spec: spec, DryRun: *dryRun}
			response, err := call(ctx, c, operatorv1connect.OperatorServiceClient.CreateWave, m)
			if err != nil {
				return trace.Wrap(withOperation(m.GetOperation(), err))
			}
			return c.print(response, func(w *tabwriter.Writer) { writePlan(w, response, *dryRun) })
		},
	}
}

func writePlan(w *tabwriter.Writer, m *operatorv1.CreateWaveResponse, dryRun bool) {
	writeRow(w, "STEP", "POOL", "ZONE", "RACK", "VMS")
	for i, s := range m.GetSteps() {
		writeRow(w, fmt.Sprint(i+1), s.GetPool(), s.GetZone(), s.GetRack(), strings.Join(s.GetVms(), " "))
	}
	if m.GetExpectedDuration() != nil {
		_, _ = fmt.Fprintf(w, "expected duration: %s\n", m.GetExpectedDuration().AsDuration())
	}
	if dryRun {
		_, _ = fmt.Fprintln(w, "dry run: no wave was created")
		return
	}
	id := m.GetWave().GetId()
	_, _ = fmt.Fprintf(w, "wave %s: %s; start it with mimosawharf wave start %s\n", id, m.GetWave().GetState(), id)
}

func (c *cli) waveControl(parent *ff.FlagSet, command fleet.WaveCommand, help string) leaf {
	set := ff.NewFlagSet(string(command)).SetParent(parent)
	options := changeFlags(set)
	return leaf{
		path: "wave " + string(command), operands: "<wave>", minOperands: 1, maxOperands: 1, help: help, flags: set,
		example: "wave " + string(command) + " autumn --reason 'agreed with the desk'",
		run: func(ctx context.Context, operands []string) error {
			m := &operatorv1.ControlWaveRequest{Operation: options.operation(), Id: operands[0], Action: string(command)}
			response, err := call(ctx, c, operatorv1connect.OperatorServiceClient.ControlWave, m)
			if err != nil {
				return trace.Wrap(withOperation(m.GetOperation(), err))
			}
			return c.print(response, func(w *tabwriter.Writer) { _, _ = fmt.Fprintln(w, progress(response.GetWave())) })
		},
	}
}

// waves returns the wave with an id, or all waves when the id is empty.
func (c *cli) waves(ctx context.Context, id string) (*operatorv1.ListWavesResponse, error) {
	return call(ctx, c, operatorv1connect.OperatorServiceClient.ListWaves, &operatorv1.ListWavesRequest{Id: id})
}

func (c *cli) wave(ctx context.Context, id string) (*fleetv1.WaveRow, error) {
	m, err := c.waves(ctx, id)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	wave, ok := find(m.GetWaves(), (*fleetv1.WaveRow).GetId, id)
	if !ok {
		return nil, trace.Wrap(notFoundError("wave", id))
	}
	return wave, nil
}

func (c *cli) waveList(parent *ff.FlagSet) leaf {
	return leaf{
		path: "wave list", help: "list waves", example: "wave list", flags: ff.NewFlagSet("list").SetParent(parent),
		run: func(ctx context.Context, _ []string) error {
			m, err := c.waves(ctx, "")
			if err != nil {
				return trace.Wrap(err)
			}
			return c.print(m, func(w *tabwriter.Writer) {
				writeRows(w, []string{"WAVE", "STATE", "ACTION", "POOLS", "DONE", "FAILED", "TOTAL", "DEADLINE", "REASON"}, m.GetWaves(), func(v *fleetv1.WaveRow) []string {
					n := countStates(v)
					return []string{
						v.GetId(), v.GetState(), v.GetSpec().GetAction(), strings.Join(v.GetSpec().GetPools(), ","), fmt.Sprint(n[fleet.WaveVMStateDone]),
						fmt.Sprint(n[fleet.WaveVMStateFailed]), fmt.Sprint(len(v.GetVms())), instantText(v.GetSpec().GetDeadline()), v.GetReason(),
					}
				})
			})
		},
	}
}

func (c *cli) waveShow(parent *ff.FlagSet) leaf {
	return leaf{
		path: "wave show", operands: "<wave>", minOperands: 1, maxOperands: 1, help: "show a wave and each of its VMs", example: "wave show autumn",
		flags: ff.NewFlagSet("show").SetParent(parent),
		run: func(ctx context.Context, operands []string) error {
			wave, err := c.wave(ctx, operands[0])
			if err != nil {
				return trace.Wrap(err)
			}
			return c.print(wave, func(w *tabwriter.Writer) {
				_, _ = fmt.Fprintln(w, progress(wave))
				writeRows(w, []string{"VM", "POOL", "ZONE", "RACK", "STATE", "SINCE"}, wave.GetVms(), func(v *fleetv1.WaveVM) []string {
					return []string{v.GetVm(), v.GetPool(), v.GetZone(), v.GetRack(), v.GetState(), instantText(v.GetChangedAt())}
				})
			})
		},
	}
}

func countStates(w *fleetv1.WaveRow) map[fleet.WaveVMState]int {
	n := map[fleet.WaveVMState]int{}
	for _, vm := range w.GetVms() {
		n[fleet.WaveVMState(vm.GetState())]++
	}
	return n
}

// progress describes a wave in one line.
func progress(w *fleetv1.WaveRow) string {
	n := countStates(w)
	text := fmt.Sprintf("wave %s: %s, %d of %d VMs done, %d under way, %d failed", w.GetId(), w.GetState(),
		n[fleet.WaveVMStateDone], len(w.GetVms()), n[fleet.WaveVMStateStarted], n[fleet.WaveVMStateFailed])
	if w.GetReason() != "" {
		text += ": " + w.GetReason()
	}
	return text
}

// watchInterval is how often wave watch polls the wave.
const watchInterval = time.Second

func (c *cli) waveWatch(parent *ff.FlagSet) leaf {
	return leaf{
		path: "wave watch", operands: "<wave>", minOperands: 1, maxOperands: 1, help: "show the progress of a wave in one line until it ends",
		example: "wave watch autumn", flags: ff.NewFlagSet("watch").SetParent(parent),
		run: func(ctx context.Context, operands []string) error { return c.watch(ctx, operands[0]) },
	}
}

func (c *cli) watch(ctx context.Context, id string) error {
	shown := ""
	for {
		wave, err := c.wave(ctx, id)
		if err != nil {
			return trace.Wrap(err)
		}
		ended := fleet.WaveState(wave.GetState()).IsFinal()
		if text := progress(wave); text != shown && Format(c.format) == FormatTable {
			// Spaces overwrite the rest of a longer previous line.
			_, _ = fmt.Fprintf(c.output, "\r%-*s", len(shown), text)
			shown = text
		}
		if ended {
			return c.finishWatch(wave)
		}
		if err := clock.Wait(ctx, c.clock, watchInterval); err != nil {
			return trace.Wrap(err)
		}
	}
}

// finishWatch ends a watch. A wave that ended in another state than finished is an error, for scripts.
func (c *cli) finishWatch(wave *fleetv1.WaveRow) error {
	if err := c.print(wave, func(w *tabwriter.Writer) { _, _ = fmt.Fprintln(w) }); err != nil {
		return trace.Wrap(err)
	}
	if fleet.WaveState(wave.GetState()) != fleet.WaveStateFinished {
		return trace.Wrap(&OutcomeError{Code: ExitFailure, Problem: fmt.Sprintf("wave %s ended %s: look at mimosawharf wave show %s", wave.GetId(), wave.GetState(), wave.GetId())})
	}
	return nil
}
