package logging_test

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/mimosawharf/mimosawharf/internal/clock"
	"github.com/mimosawharf/mimosawharf/internal/logging"
)

// blockedWriter blocks each write until release is closed.
type blockedWriter struct{ release chan struct{} }

// Write implements io.Writer.
func (b *blockedWriter) Write(p []byte) (int, error) {
	<-b.release
	return len(p), nil
}

// Guards against a full standard output pipe that blocks the process.
func TestBlockedOutputDoesNotBlockLoggers(t *testing.T) {
	is := is.New(t)
	out := &blockedWriter{release: make(chan struct{})}
	w := logging.NewWriter(out, clock.Real())
	log, err := logging.NewRateLimited(w, logging.Level("info"))
	is.NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = w.Run(ctx) }()
	started := time.Now()
	for part := range 40 {
		for range 500 {
			log.Info(string(rune('a'+part%26)) + strings.Repeat("x", part) + ": line")
		}
	}
	is.True(time.Since(started) < 5*time.Second) // a writer that waited would never return
	is.True(w.Dropped() > 0)                     // dropped lines are counted
	cancel()
	close(out.release)
	<-done
}

// Guards against one part that floods the log and crowds out the others, and against lines that are
// dropped silently.
func TestLinesOfAPartAreLimited(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	w := logging.NewWriter(&out, clock.Real())
	log, err := logging.NewRateLimited(w, logging.Level("info"))
	is.NoErr(err)
	for range 3000 {
		log.Info("noisy: again")
	}
	log.Info("quiet: once", zap.String("job", "x"))
	is.NoErr(clock.Wait(context.Background(), clock.Real(), 1100*time.Millisecond)) // the next second
	log.Info("noisy: later")
	w.Flush()
	text := out.String()
	is.True(strings.Count(text, "noisy: again") < 2000)
	is.Equal(strings.Count(text, "quiet: once"), 1)
	is.Equal(strings.Count(text, "logging: lines left out"), 1)
}

// BenchmarkLine measures the processor time of one line with the fields of a request, until it is queued
// in the writer.
func BenchmarkLine(b *testing.B) {
	w := logging.NewWriter(&bytes.Buffer{}, clock.Real())
	log, err := logging.NewRateLimited(w, logging.Level("info"))
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		log.Info("front: request", zap.String("method", "POST"), zap.String("job", "0123456789abcdef"), zap.String("queue", "r-1"),
			zap.Int("status", 200), zap.String("reason", "stored"), zap.Duration("took", time.Millisecond))
	}
}
