package nearness_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mimosawharf/mimosawharf/internal/nearness"
)

// Guards against a shortcut that gives a task another place than those ahead of it leave.
func TestWaitIsThatOfThePlacesLeft(t *testing.T) {
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 1))
		q := nearness.Question{Run: time.Duration(1+random.IntN(2000)) * time.Millisecond, Factor: 1 + 20*random.Float64(), Ahead: random.IntN(60)}
		for range 1 + random.IntN(40) {
			q.Near = append(q.Near, time.Duration(random.IntN(3000))*time.Millisecond)
		}
		a := nearness.Policy{}.Decide(q)
		near, next := slices.Clone(q.Near), slices.Min(q.Near)
		for range q.Ahead {
			if next > a.Saves {
				break
			}
			near[slices.Index(near, next)] += q.Run
			next = slices.Min(near)
		}
		is.New(t).Equal(a.Expected, next)
	}
}

// BenchmarkDecide is the decision on one of hundreds of tasks at a rack with many places.
func BenchmarkDecide(b *testing.B) {
	q := nearness.Question{Run: time.Second, Factor: 3, Ahead: 300}
	for n := range 800 {
		q.Near = append(q.Near, time.Duration(n)*time.Millisecond)
	}
	for b.Loop() {
		nearness.Policy{}.Decide(q)
	}
}
