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
	// maxPendingLines bounds the queue of the writer; it holds about 1 MB.
	maxPendingLines = 4096
	// maxLinesPerSecond bounds the lines of one part, so that a repeating fault cannot crowd out the rest.
	// A busy entry logs a few hundred decisions per second.
	maxLinesPerSecond = 800
	// flushInterval is how long lines are batched, because each wake-up of the process has a cost.
	flushInterval = 50 * time.Millisecond
	// partOther is the part of lines without a prefix.
	partOther = "other"
)

// Writer is the duty that writes log lines. Loggers never block on it: when its queue is full, lines are
// dropped and counted.
type Writer struct {
	// The fields are set before Run.
	Out   io.Writer
	Clock clock.Clock

	lines   *ring.Ring[[]byte]
	dropped atomic.Uint64
}

// NewWriter returns a writer to an output that may block.
func NewWriter(out io.Writer, c clock.Clock) *Writer {
	return &Writer{Out: out, Clock: c, lines: ring.New[[]byte]("log-lines", maxPendingLines)}
}

// Write implements zapcore.WriteSyncer. It never blocks.
func (w *Writer) Write(line []byte) (int, error) {
	if w.lines.Push(bytes.Clone(line)) != nil {
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer. It does nothing, because the duty writes the lines.
func (*Writer) Sync() error { return nil }

// Dropped returns how many lines were dropped because the queue was full.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Name implements duty.Duty.
func (*Writer) Name() fleet.DutyName { return "log-writer" }

// Run implements duty.Duty. Flush writes the lines that remain when the context ends.
func (w *Writer) Run(ctx context.Context) error {
	for {
		line, err := w.lines.Pop(ctx)
		if err != nil {
			return trace.Wrap(err)
		}
		// Lines are batched, so that one wake-up writes many.
		_ = clock.Wait(ctx, w.Clock, flushInterval) // The lines are written also when the context ends.
		w.drain(line)
	}
}

// Flush writes the queued lines. It may block and is called once the duty has ended.
func (w *Writer) Flush() { w.drain(nil) }

// drain writes the given line and all queued ones, each with a separate write, because collectors of
// standard output may truncate long writes.
func (w *Writer) drain(line []byte) {
	for ok := true; ok; line, ok = w.lines.TryPop() {
		if len(line) > 0 {
			_, _ = w.Out.Write(line) // There is no other place to report a failure to.
		}
	}
}

// NewRateLimited returns a logger that writes JSON lines to a writer and limits the rate of each part. The
// part of a line is its message up to the first colon. It returns *ConfigError.
func NewRateLimited(w *Writer, level Level) (*zap.Logger, error) {
	parsed, err := zapcore.ParseLevel(string(level))
	if err != nil {
		return nil, trace.Wrap(&ConfigError{Cause: err})
	}
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(config), w, parsed)
	return zap.New(&limitedCore{Core: core, writer: w, counts: &partCounts{}}), nil
}

// limitedCore limits the lines of each part per second.
type limitedCore struct {
	zapcore.Core
	writer *Writer
	counts *partCounts
}

// With implements zapcore.Core.
func (c *limitedCore) With(fields []zapcore.Field) zapcore.Core {
	return &limitedCore{Core: c.Core.With(fields), writer: c.writer, counts: c.counts}
}

// Check implements zapcore.Core. A line beyond the limit ends here, so that a caller that checks before it collects the
// fields of a frequent line spends nothing on it.
func (c *limitedCore) Check(entry zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if !c.Enabled(entry.Level) {
		return checked
	}
	part, _, ok := strings.Cut(entry.Message, ":")
	if !ok {
		part = partOther
	}
	admitted, dropped := c.counts.admit(entry.Time, part)
	if dropped > 0 {
		notice := zapcore.Entry{Level: zapcore.WarnLevel, Time: entry.Time, Message: "logging: lines left out"}
		// The writer reports no error: it counts the lines for which it has no room.
		_ = c.Core.Write(notice, []zapcore.Field{zap.String("part", part), zap.Uint64("lines", dropped), zap.Uint64("without-room", c.writer.Dropped())})
	}
	if !admitted {
		return checked
	}
	return checked.AddCore(entry, c)
}

// partCounts counts the lines of each part in the current second.
type partCounts struct {
	parts [partSlots]partCount
}

// partSlots bounds the number of counters; parts whose hashes collide share one.
const partSlots = 64

// partCount is safe for concurrent use; a race when the second changes admits a few extra lines.
type partCount struct {
	second, lines, dropped atomic.Uint64
}

// admit counts a line. It returns whether the line is written and, once after each second in which lines
// were dropped, how many.
func (p *partCounts) admit(at time.Time, part string) (bool, uint64) {
	slot := 0
	for _, b := range []byte(part) {
		slot = (slot*31 + int(b)) % partSlots
	}
	c := &p.parts[slot]
	var dropped uint64
	if second := uint64(at.Unix()); c.second.Swap(second) != second {
		c.lines.Store(0)
		dropped = c.dropped.Swap(0)
	}
	if c.lines.Add(1) > maxLinesPerSecond {
		c.dropped.Add(1)
		return false, dropped
	}
	return true, dropped
}
