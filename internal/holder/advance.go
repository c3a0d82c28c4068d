package holder

import (
	"context"
	"slices"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/mimosawharf/mimosawharf/internal/rowstore"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// changedRows returns rows of the waves whose stored progress is out of date, as many as one transaction may have, and
// whether there are more.
func (m *Maintainer) changedRows() (list []rowstore.Row, more bool) {
	size := 0
	for _, w := range m.sorted() {
		if !w.changed {
			continue
		}
		for _, row := range w.changedRows() {
			if size += len(row.Value); len(list) > 0 && (size > maxWaveBytes || len(list) == maxWaveRows) {
				return list, true
			}
			w.stored[row.Key] = row.Value
			list = append(list, row)
		}
		w.changed = false
	}
	return list, false
}

// updateWaves applies new and changed wave orders of the operator.
func (m *Maintainer) updateWaves(now time.Time) {
	for _, order := range m.Waves.Get() {
		w := m.waves[order.Wave]
		if w == nil {
			w = newWaveState(now)
			m.waves[order.Wave] = w
			m.restore(w, order.Wave, now)
			m.Log.Info("maintainer: wave started", zap.String("wave", string(order.Wave)), zap.Int("vms", len(order.VMs)),
				zap.Int("max-down", order.MaxDown), zap.Duration("duration", order.Duration), zap.Int("ordered-before", len(w.ordered)),
				zap.Int("begun-before", len(w.begun)), zap.Int("done-before", len(w.done)))
		}
		w.order = order
	}
}

// restore loads the progress that an earlier holder committed. VMs that it ordered without a recorded confirmation
// are ordered again, which changes nothing for those whose maintenance has begun.
func (m *Maintainer) restore(w *waveState, wave fleet.WaveID, now time.Time) {
	for _, row := range m.Taken.Wave {
		if row.Wave != wave {
			continue
		}
		w.stored[row.Key] = nil
		w.completed = w.completed || row.Completed
		for _, vm := range row.Ordered {
			w.ordered[vm] = now
		}
		for _, vm := range row.Begun {
			w.begun[vm] = true
		}
		for _, vm := range row.Done {
			w.done[vm] = true
		}
	}
}

func (m *Maintainer) active() bool {
	for _, w := range m.waves {
		if !w.completed {
			return true
		}
	}
	return false
}

func (m *Maintainer) sorted() []*waveState {
	list := make([]*waveState, 0, len(m.waves))
	for _, w := range m.waves {
		list = append(list, w)
	}
	slices.SortFunc(list, func(a, b *waveState) int { return int(a.startedAt.Sub(b.startedAt)) })
	return list
}

// advance advances one wave by a step.
func (m *Maintainer) advance(ctx context.Context, w *waveState, vms map[fleet.VMID]PoolVM) error {
	now := m.Clock.Now()
	if !w.reported {
		w.reported = m.report(ctx, w, false)
	}
	down := w.observe(now, vms)
	var due []PoolVM
	for _, vm := range w.next(vms, max(1, w.order.MaxDown)-down) {
		if at, before := w.ordered[vm]; before && now.Sub(at) < max(m.TakeoverDelay, settleAfterOrder) {
			continue
		}
		if w.vacating[vm].IsZero() {
			w.vacating[vm] = now
		}
		due = append(due, vms[vm])
	}
	if err := m.orderDue(ctx, w, due, max(1, w.order.MaxDown)-down); err != nil {
		return trace.Wrap(err)
	}
	if !w.finished(now) {
		return nil
	}
	if !m.report(ctx, w, true) {
		return nil
	}
	w.completed, w.changed = true, true
	m.Log.Info("maintainer: wave completed", zap.String("wave", string(w.order.Wave)), zap.Duration("took", now.Sub(w.startedAt)))
	return trace.Wrap(m.write(ctx))
}

func (m *Maintainer) report(ctx context.Context, w *waveState, completed bool) bool {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	if err := m.Platform.Report(ctx, w.order.Wave, completed); err != nil {
		m.Log.Warn("maintainer: state of the wave cannot be published", zap.String("wave", string(w.order.Wave)), zap.Error(trace.Unwrap(err)))
		return false
	}
	return true
}
