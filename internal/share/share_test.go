package share_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mimosawharf/mimosawharf/internal/share"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

func TestFill(t *testing.T) {
	steady := func(n int) (list []share.Claim) {
		for range n {
			list = append(list, share.Claim{Weight: 2, Amount: 4})
		}
		return list
	}
	for name, c := range map[string]struct {
		room   share.Amount
		claims []share.Claim
		want   share.Level
	}{
		"room for all":                             {100, append(steady(19), share.Claim{Weight: 2, Amount: 20}), share.Unbounded},
		"one at 5 times beside 19 steady ones":     {86, append(steady(19), share.Claim{Weight: 2, Amount: 20}), 5},
		"three at 5 times beside 17 steady ones":   {98, append(steady(17), []share.Claim{{2, 20}, {2, 20}, {2, 20}}...), 5},
		"all beyond their share":                   {40, steady(20), 1},
		"a large account gets by its weight":       {30, []share.Claim{{1, 100}, {2, 100}}, 10},
		"no room":                                  {0, steady(2), 0},
		"an account without weight takes the rest": {10, []share.Claim{{1, 5}, {0, 1000}}, share.Unbounded},
	} {
		t.Run(name, func(t *testing.T) { is.New(t).Equal(share.Fill(c.room, c.claims), c.want) })
	}
}

func TestMeterMarksWhatIsBeyondTheWeight(t *testing.T) {
	is := is.New(t)
	m, began := share.Meter{}, time.Unix(1000, 0)
	m.SetWeights(share.Weights{"hot": 2, "none": 0})
	count := func(account fleet.ClientAccountID, second, jobs int) (excess int) {
		for range jobs {
			if m.Submit(account, began.Add(time.Duration(second)*time.Second)) {
				excess++
			}
		}
		return excess
	}
	is.Equal(count("hot", 0, 12), 0) // Callers that an outage has held up come at once.
	is.Equal(count("hot", 1, 10), 2)
	is.Equal(count("hot", 11, 21), 1)
	is.Equal(count("none", 3, 4), 4)
	is.Equal(count("unknown", 3, 4), 0)
	is.Equal(count("", 3, 4), 0)
}
