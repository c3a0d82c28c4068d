// Package ring provides the bounded queues that join the duties of the daemon.
package ring

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
)

// Name identifies a ring in metrics and errors.
type Name string

// FullError reports that a ring was full. The item was not added.
type FullError struct {
	Ring     Name
	Capacity int
}

// Error implements error.
func (e *FullError) Error() string {
	return fmt.Sprintf("ring %s is full at %d items", e.Ring, e.Capacity)
}

// Ring is a first-in, first-out queue of fixed capacity. Several goroutines may push and pop.
// A consumer is parked while the ring is empty; a producer is never blocked.
type Ring[T any] struct {
	name Name
	// wake holds one token while items may be waiting for a parked consumer.
	wake chan struct{}

	// reserve is the number of slots that only PushReserved may fill.
	reserve int

	// popped and refused count items since the ring was created.
	popped, refused atomic.Uint64

	mu sync.Mutex
	// items is used as a circular buffer; its length is the capacity.
	items  []T
	head   int
	length int
}

// New returns an empty ring. It panics when capacity is below 1, which is a programming error
// because settings are checked before rings are created.
func New[T any](name Name, capacity int) *Ring[T] {
	if capacity < 1 {
		panic(fmt.Sprintf("ring %s: capacity %d is below 1", name, capacity))
	}
	return &Ring[T]{name: name, wake: make(chan struct{}, 1), items: make([]T, capacity)}
}

// NewWithReserve returns an empty ring with room for capacity items of Push and reserve further items
// of PushReserved. It panics when capacity is below 1 or reserve is below 0.
func NewWithReserve[T any](name Name, capacity, reserve int) *Ring[T] {
	r := New[T](name, capacity+reserve)
	r.reserve = reserve
	return r
}

// Push appends an item. It returns *FullError when only the reserve is left.
func (r *Ring[T]) Push(item T) error {
	return r.push(item, len(r.items)-r.reserve)
}

// PushReserved appends an item and may use the reserve. A producer that never has more items
// outstanding than the reserve never gets *FullError.
func (r *Ring[T]) PushReserved(item T) error {
	return r.push(item, len(r.items))
}

func (r *Ring[T]) push(item T, limit int) error {
	r.mu.Lock()
	if r.length >= limit {
		r.mu.Unlock()
		r.refused.Add(1)
		return trace.Wrap(&FullError{Ring: r.name, Capacity: len(r.items)})
	}
	r.items[(r.head+r.length)%len(r.items)] = item
	r.length++
	r.mu.Unlock()
	r.signal()
	return nil
}

// TryPop returns the oldest item, or false when the ring is empty.
func (r *Ring[T]) TryPop() (T, bool) {
	r.mu.Lock()
	var item, zero T
	if r.length == 0 {
		r.mu.Unlock()
		return item, false
	}
	item = r.items[r.head]
	r.items[r.head] = zero
	r.head = (r.head + 1) % len(r.items)
	r.length--
	more := r.length > 0
	r.mu.Unlock()
	r.popped.Add(1)
	if more {
		r.signal()
	}
	return item, true
}

// Pop waits for the oldest item. It returns the context's error when the context ends first.
func (r *Ring[T]) Pop(ctx context.Context) (T, error) {
	item, _, err := r.PopUntil(ctx, nil)
	return item, err
}

// PopUntil waits for the oldest item or for the timer. It returns false when the timer fired
// and the ring is empty, and the context's error when the context ended. A nil timer never fires.
func (r *Ring[T]) PopUntil(ctx context.Context, timer <-chan time.Time) (T, bool, error) {
	var zero T
	for {
		if ctx.Err() != nil {
			return zero, false, trace.Wrap(ctx.Err())
		}
		if item, ok := r.TryPop(); ok {
			return item, true, nil
		}
		select {
		case <-r.wake:
		case <-timer:
			return zero, false, nil
		case <-ctx.Done():
			return zero, false, trace.Wrap(ctx.Err())
		}
	}
}

// Name returns the name of the ring.
func (r *Ring[T]) Name() Name { return r.name }

// Depth returns how many items the ring holds.
func (r *Ring[T]) Depth() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.length
}

// Popped returns how many items were removed since the ring was created.
func (r *Ring[T]) Popped() uint64 { return r.popped.Load() }

// Refused returns how many items were not added because the ring was full.
func (r *Ring[T]) Refused() uint64 { return r.refused.Load() }

// Capacity returns how many items fit.
func (r *Ring[T]) Capacity() int { return len(r.items) }

func (r *Ring[T]) signal() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}
