package estimate_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mimosawharf/mimosawharf/internal/estimate"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Guards against estimates that keep a wrong declaration, or that follow stragglers.
func TestObservedRunTimesReplaceDeclared(t *testing.T) {
	const actual = 50 * time.Millisecond
	cases := []struct {
		name     string
		declared time.Duration
		runs     int
		// straggler is the interval, in runs, at which a run takes 30 times as long; 0 means never.
		straggler int
	}{
		{"declared right", actual, 100, 0},
		{"declared 10 times too long", 10 * actual, 200, 0},
		{"declared 10 times too short", actual / 10, 200, 0},
		{"not declared", 0, 200, 0},
		{"2% stragglers", actual, 1000, 50},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var e estimate.Estimator
			rule := fleet.RequestTypeRule{Name: "plan", DeclaredRunTime: c.declared}
			is.True(!e.IsObserved("rota", "plan"))
			for i := range c.runs {
				ran := actual
				if c.straggler > 0 && i%c.straggler == 0 {
					ran = 30 * actual
				}
				e.Observe("rota", rule, ran)
			}
			expected := e.Expected("rota", rule)
			is.True(expected > actual*3/4 && expected < actual*5/4)                                  // close to the actual run time
			is.True(e.StragglerBound("rota", rule) < 10*actual)                                      // a straggler is found early
			is.True(e.StragglerBound("rota", rule) > 2*actual)                                       // a usual run is no straggler
			is.Equal(e.Expected("other", fleet.RequestTypeRule{Name: "plan"}), 100*time.Millisecond) // services are independent
		})
	}
}
