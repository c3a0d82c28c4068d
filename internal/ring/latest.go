package ring

import "sync/atomic"

// Latest publishes an immutable value from one owner to many readers; the last value wins.
// The zero Latest holds the zero value of T. It is safe for concurrent use.
type Latest[T any] struct {
	value atomic.Pointer[T]
}

// Set publishes a value. Only the owner calls it, and the value is not modified afterwards.
func (l *Latest[T]) Set(value T) {
	l.value.Store(&value)
}

// Get returns the last published value.
func (l *Latest[T]) Get() T {
	if v := l.value.Load(); v != nil {
		return *v
	}
	var zero T
	return zero
}
