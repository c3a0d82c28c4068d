package ring_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mimosawharf/mimosawharf/internal/ring"
)

// Guards against items that are lost, reordered or accepted beyond the capacity.
func TestRingKeepsOrderAndCapacity(t *testing.T) {
	is := is.New(t)
	r := ring.New[int]("test", 3)
	for i := range 3 {
		is.NoErr(r.Push(i))
	}
	var full *ring.FullError
	is.True(errors.As(r.Push(3), &full)) // a full ring refuses
	is.Equal(full.Capacity, 3)
	for i := range 3 {
		item, err := r.Pop(context.Background())
		is.NoErr(err)
		is.Equal(item, i)
	}
	is.Equal(r.Depth(), 0)
}

// Guards against results of attempts that are refused because handlers filled the ring.
func TestReserveIsKeptForPushReserved(t *testing.T) {
	is := is.New(t)
	r := ring.NewWithReserve[int]("test", 1, 2)
	is.NoErr(r.Push(1))
	is.True(r.Push(2) != nil)
	is.NoErr(r.PushReserved(3))
	is.NoErr(r.PushReserved(4))
	is.True(r.PushReserved(5) != nil)
}

// Guards against a consumer that misses the wake-up of an item pushed while it parks.
func TestPopWakesEveryConsumer(t *testing.T) {
	is := is.New(t)
	const items = 200
	r := ring.New[int]("test", items)
	out := ring.New[int]("out", items)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for range 4 {
		go func() {
			for {
				item, err := r.Pop(ctx)
				if err != nil {
					return
				}
				_ = out.Push(item)
			}
		}()
	}
	for i := range items {
		is.NoErr(r.Push(i))
	}
	sum := 0
	for range items {
		item, err := out.Pop(ctx)
		is.NoErr(err)
		sum += item
	}
	is.Equal(sum, items*(items-1)/2)
}

// Guards against a wait that ignores its timer or its context.
func TestPopUntilEndsWithTimerAndContext(t *testing.T) {
	is := is.New(t)
	r := ring.New[int]("test", 1)
	timer := make(chan time.Time, 1)
	timer <- time.Time{}
	_, ok, err := r.PopUntil(context.Background(), timer)
	is.NoErr(err)
	is.True(!ok)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, _, err = r.PopUntil(ctx, nil)
	is.True(errors.Is(err, context.Canceled))
}
