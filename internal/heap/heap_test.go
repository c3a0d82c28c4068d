package heap_test

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"github.com/mimosawharf/mimosawharf/internal/heap"
)

type item struct{ value, index int }

// Guards against an order that breaks when items are changed or removed from the middle.
func TestLeastItemStaysFirst(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	h := heap.Heap[*item]{
		Less:  func(a, b *item) bool { return a.value < b.value },
		Index: func(i *item) *int { return &i.index },
	}
	items := map[*item]bool{}
	for range 5000 {
		switch one := oneOf(items); random.IntN(4) {
		case 0, 1:
			added := &item{value: random.IntN(100), index: -1}
			items[added] = true
			h.Push(added)
		case 2:
			if one != nil {
				one.value = random.IntN(100)
				h.Fix(one)
			}
		default:
			if one != nil {
				delete(items, one)
				h.Remove(one)
				is.Equal(one.index, -1)
			}
		}
		is.Equal(h.Len(), len(items))
		for i := range items {
			is.True(h.First().value <= i.value) // nothing is less than the first item
		}
	}
}

func oneOf(items map[*item]bool) *item {
	for i := range items {
		return i
	}
	return nil
}
