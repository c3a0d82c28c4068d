package main

import (
	"context"
	"syscall"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/mimosawharf/mimosawharf/internal/ring"
)

// Guards against a process that ends because a second signal to reload arrives while the first one is handled.
func TestSeriesOfReloadsDoesNotEndProcess(t *testing.T) {
	is := is.New(t)
	ctx, stop := context.WithCancel(t.Context())
	reloads := ring.New[struct{}]("reloads", 1)
	core, lines := observer.New(zap.InfoLevel)
	log := zap.New(core, zap.Hooks(func(zapcore.Entry) error {
		_ = reloads.Push(struct{}{}) // A full ring already holds a token.
		return nil
	}))
	r := newReloadLogger(ctx, log)
	ended := ring.New[error]("ended", 1)
	go func() { _ = ended.Push(r.Run(ctx)) }()
	for range 2000 {
		for range 10 {
			is.NoErr(syscall.Kill(syscall.Getpid(), syscall.SIGHUP))
		}
		_, err := reloads.Pop(ctx)
		is.NoErr(err)
	}
	is.True(lines.Len() >= 2000)
	stop()
	_, err := ended.Pop(t.Context())
	is.NoErr(err)
}
