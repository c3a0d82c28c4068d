package logging

import (
	"bytes"
	"context"
	"io"
	"strings"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/mimosawharf/mimosawharf/internal/clock"
	"github.com/mimosawharf/mimosawharf/internal/ring"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

const (
	// pendingLines bounds the lines that wait to be written, about 1 MB.
	pendingLines = 4096
	// linesPerSecond bounds the lines of one part, so that a fault that repeats cannot hide the rest. A
	// busy entry makes a few hundred decisions a second.
	linesPerSecond = 800
	// flushInterval gathers lines, because each wake-up of the process is charged.
	flushInterval = 50 * time.Millisecond
	// partOther counts lines whose part is not known yet.
	partOther = "other"
)

// Writer is the duty that writes log lines. Loggers never wait for it: lines that find no room are
// counted and left out.
type Writer struct {
	// The fields are set before Run.
	Out   io.Writer
	Clock clock.Clock

	lines *ring.Ring[[]byte]
	lost  atomic.Uint64
}

// NewWriter returns a writer to an output that may block.
func NewWriter(out io.Writer, c clock.Clock) *Writer {
	return &Writer{Out: out, Clock: c, lines: ring.New[[]byte]("log-lines", pendingLines)}
}

// Write implements zapcore.WriteSyncer. It never blocks.
func (w *Writer) Write(line []byte) (int, error) {
	if w.lines.Push(bytes.Clone(line)) != nil {
		w.lost.Add(1)
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer. Lines are written by the duty.
func (*Writer) Sync() error { return nil }

// Lost returns how many lines found no room.
func (w *Writer) Lost() uint64 { return w.lost.Load() }

// Name implements duty.Duty.
func (*Writer) Name() fleet.DutyName { return "log-writer" }

// Run implements duty.Duty. Lines that are left when the context ends are written by Flush.
func (w *Writer) Run(ctx context.Context) error {
	for {
		line, err := w.lines.Pop(ctx)
		if err != nil {
			return trace.Wrap(err)
		}
		// A pause lets lines gather, so that one wake-up writes many.
		_ = clock.Wait(ctx, w.Clock, flushInterval) // The lines are written also when the context ends.
		w.drain(line)
	}
}

// Flush writes what is left. It may block and is called once the duty has ended.
func (w *Writer) Flush() { w.drain(nil) }

// drain writes the given line and all that wait. Each line is a write of its own, because collectors of
// standard output may cut long writes.
func (w *Writer) drain(line []byte) {
	for ok := true; ok; line, ok = w.lines.TryPop() {
		if len(line) > 0 {
			_, _ = w.Out.Write(line) // There is no other place to report a failure to.
		}
	}
}

// NewBounded returns a logger that writes JSON lines to a writer and bounds the lines of each part. The
// part of a line is its message up to the first colon. It returns *ConfigError.
func NewBounded(w *Writer, level Level) (*zap.Logger, error) {
	parsed, err := zapcore.ParseLevel(string(level))
	if err != nil {
		return nil, trace.Wrap(&ConfigError{Cause: err})
	}
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(config), w, parsed)
	return zap.New(&limitedCore{Core: core, writer: w, counts: &partCounts{}}), nil
}

// limitedCore bounds the lines of each part and second.
type limitedCore struct {
	zapcore.Core
	writer *Writer
	counts *partCounts
}

// With implements zapcore.Core.
func (c *limitedCore) With(fields []zapcore.Field) zapcore.Core {
	return &limitedCore{Core: c.Core.With(fields), writer: c.writer, counts: c.counts}
}

// Check implements zapcore.Core.
func (c *limitedCore) Check(entry zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if !c.Enabled(entry.Level) {
		return checked
	}
	return checked.AddCore(entry, c)
}

// Write implements zapcore.Core.
func (c *limitedCore) Write(entry zapcore.Entry, fields []zapcore.Field) error {
	part, _, ok := strings.Cut(entry.Message, ":")
	if !ok {
		part = partOther
	}
	admitted, left := c.counts.admit(entry.Time, part)
	if left > 0 {
		note := zapcore.Entry{Level: zapcore.WarnLevel, Time: entry.Time, Message: "logging: lines left out"}
		if err := c.Core.Write(note, []zapcore.Field{zap.String("part", part), zap.Uint64("lines", left), zap.Uint64("without-room", c.writer.Lost())}); err != nil {
			return trace.Wrap(err)
		}
	}
	if !admitted {
		return nil
	}
	return trace.Wrap(c.Core.Write(entry, fields))
}

// partCounts counts the lines of each part in the current second.
type partCounts struct {
	parts [partSlots]partCount
}

// partSlots bounds the parts that are told apart; parts whose hashes meet share a bound.
const partSlots = 64

// partCount is safe for concurrent use; a race at the turn of a second admits a few lines more.
type partCount struct {
	second, lines, left atomic.Uint64
}

// admit counts a line. It returns whether the line is written and, once after each second in which lines
// were left out, how many.
func (p *partCounts) admit(at time.Time, part string) (bool, uint64) {
	slot := 0
	for _, b := range []byte(part) {
		slot = (slot*31 + int(b)) % partSlots
	}
	c := &p.parts[slot]
	var left uint64
	if second := uint64(at.Unix()); c.second.Swap(second) != second {
		c.lines.Store(0)
		left = c.left.Swap(0)
	}
	if c.lines.Add(1) > linesPerSecond {
		c.left.Add(1)
		return false, left
	}
	return true, left
}
