// Package heap provides a priority queue whose items store their index, so that any of them can be moved
// or removed in logarithmic time. container/heap is not used because its interface is untyped.
package heap

// Heap keeps the least item first. One goroutine owns it.
type Heap[T any] struct {
	// Less and Index are set before use. The heap keeps *Index(item) up to date; it is -1 while the item
	// is not in the heap.
	Less  func(a, b T) bool
	Index func(T) *int

	items []T
}

// Len returns the number of items.
func (h *Heap[T]) Len() int { return len(h.items) }

// Items returns the items in no particular order. The caller does not modify the slice.
func (h *Heap[T]) Items() []T { return h.items }

// First returns the least item. It panics when the heap is empty, which is a programming error.
func (h *Heap[T]) First() T { return h.items[0] }

// Push adds an item.
func (h *Heap[T]) Push(item T) {
	h.items = append(h.items, item)
	h.set(len(h.items)-1, item)
	h.up(len(h.items) - 1)
}

// Fix restores the order after an item has changed.
func (h *Heap[T]) Fix(item T) {
	if i := *h.Index(item); i >= 0 && !h.down(i) {
		h.up(i)
	}
}

// Remove removes an item. It does nothing when the item is not in the heap.
func (h *Heap[T]) Remove(item T) {
	i, last := *h.Index(item), len(h.items)-1
	if i < 0 {
		return
	}
	h.swap(i, last)
	var zero T
	h.items[last] = zero
	h.items = h.items[:last]
	*h.Index(item) = -1
	if i < last && !h.down(i) {
		h.up(i)
	}
}

func (h *Heap[T]) set(i int, item T) {
	h.items[i] = item
	*h.Index(item) = i
}

func (h *Heap[T]) swap(i, j int) {
	a, b := h.items[i], h.items[j]
	h.set(i, b)
	h.set(j, a)
}

func (h *Heap[T]) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.Less(h.items[i], h.items[parent]) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

// down reports whether the item moved.
func (h *Heap[T]) down(i int) bool {
	start := i
	for {
		least := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(h.items); child++ {
			if h.Less(h.items[child], h.items[least]) {
				least = child
			}
		}
		if least == i {
			return i > start
		}
		h.swap(i, least)
		i = least
	}
}
