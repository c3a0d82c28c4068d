package share_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mimosawharf/mimosawharf/internal/share"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// turn returns n pieces of work of one account with a slack.
func turn(account fleet.ClientAccountID, n int, slack time.Duration) (list []share.Work) {
	for range n {
		list = append(list, share.Work{Account: account, Amount: 1, Slack: slack})
	}
	return list
}

func TestSelect(t *testing.T) {
	hot := turn("hot", 50, time.Second)
	steady := turn("steady", 10, time.Second)
	begun := turn("hot", 50, time.Second)
	for i := range 8 {
		begun[40+i].Begun = true
	}
	equal := share.Weights{"hot": 10, "steady": 10}
	for name, c := range map[string]struct {
		work    []share.Work
		room    share.Room
		weights share.Weights
		used    map[fleet.ClientAccountID]share.Amount
		served  map[fleet.ClientAccountID]int
	}{
		"room for all":                         {slices.Concat(hot, steady), share.Room{Free: 30, Released: 30}, equal, nil, map[fleet.ClientAccountID]int{"hot": 50, "steady": 10}},
		"a hot account before a steady one":    {slices.Concat(hot, steady), share.Room{Free: 10, Released: 20}, equal, nil, map[fleet.ClientAccountID]int{"hot": 20, "steady": 10}},
		"a hot account that uses the room":     {slices.Concat(hot, steady), share.Room{Released: 20}, equal, map[fleet.ClientAccountID]share.Amount{"hot": 100}, map[fleet.ClientAccountID]int{"hot": 10, "steady": 10}},
		"both beyond their weight":             {slices.Concat(hot, turn("steady", 50, time.Second)), share.Room{Released: 40}, share.Weights{"hot": 30, "steady": 10}, nil, map[fleet.ClientAccountID]int{"hot": 30, "steady": 10}},
		"what has begun goes on":               {slices.Concat(begun, steady), share.Room{Released: 12}, equal, nil, map[fleet.ClientAccountID]int{"hot": 8, "steady": 4}},
		"work with more slack waits":           {slices.Concat(turn("hot", 20, time.Second), turn("hot", 20, 2*time.Second)), share.Room{Released: 20}, equal, nil, map[fleet.ClientAccountID]int{"hot": 40}},
		"no room and none that will be":        {hot, share.Room{}, equal, nil, map[fleet.ClientAccountID]int{}},
		"an account that is not known, weight": {slices.Concat(hot, steady), share.Room{Released: 22}, share.Weights{"hot": 10}, nil, map[fleet.ClientAccountID]int{"hot": 20, "steady": 2}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			served := map[fleet.ClientAccountID]int{}
			for i, back := range share.Select(c.work, c.room, c.weights, c.used) {
				if !back {
					served[c.work[i].Account]++
				}
			}
			is.Equal(served, c.served)
		})
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
