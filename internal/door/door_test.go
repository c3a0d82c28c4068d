package door_test

import (
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/types/descriptorpb"

	"github.com/mimosawharf/mimosawharf/internal/door"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// caller is a request of a random crowd.
type caller struct {
	share       *door.Share
	complete    bool
	interrupted bool
}

// budgetCrowd draws what callers do with one budget.
type budgetCrowd struct {
	random  *rand.Rand
	budget  *door.Budget
	now     time.Time
	callers []*caller
}

// act lets one caller do something, and returns false if a share that may not be shed was shed.
func (c *budgetCrowd) act() bool {
	size := fleet.Bytes(1) << c.random.IntN(22)
	if len(c.callers) == 0 || c.random.IntN(3) == 0 {
		next := &caller{}
		if s, err := c.budget.Take(c.now, size, func() { next.interrupted = true }); err == nil {
			next.share = s
			c.callers = append(c.callers, next)
		}
		return true
	}
	i := c.random.IntN(len(c.callers))
	one := c.callers[i]
	switch c.random.IntN(6) {
	case 0:
		one.share.Moved(c.now)
	case 1:
		_ = one.share.Grow(c.now, size)
	case 2:
		one.complete = one.complete || one.share.Complete() == nil
	case 3:
		one.share.Release()
		c.callers = append(c.callers[:i], c.callers[i+1:]...)
	default:
		c.now = c.now.Add(time.Duration(c.random.IntN(int(time.Second))))
	}
	return !one.complete || !one.share.IsShed()
}

// Guards against callers that together hold more than the budget, against a complete request that is shed, and against
// a budget that stays taken after its crowd has stalled or left.
func TestBudgetHoldsWhateverCallersSend(t *testing.T) {
	const seeds, steps, limit = 150, 300, 1 << 20
	for seed := range uint64(seeds) {
		is := is.New(t)
		c := &budgetCrowd{random: rand.New(rand.NewPCG(seed, 1)), budget: door.NewBudget(limit, 1024), now: time.Unix(0, 0)}
		for range steps {
			is.True(c.act())
			is.True(c.budget.Held() >= 0 && c.budget.Held() <= limit)
			for _, one := range c.callers {
				is.Equal(one.share.IsShed(), one.interrupted) // a body that makes way is no longer read
			}
		}
		var stalled []*caller
		for _, one := range c.callers {
			if one.complete {
				one.share.Release()
			} else {
				stalled = append(stalled, one)
			}
		}
		c.now = c.now.Add(door.MaxStall)
		s, err := c.budget.Take(c.now, limit, func() {}) // the stalled ones stay open
		is.NoErr(err)
		s.Release()
		for _, one := range stalled {
			one.share.Release()
		}
		is.Equal(c.budget.Held(), fleet.Bytes(0))
		_, err = c.budget.Take(c.now, limit, func() {}) // a single request, once the crowd has left
		is.NoErr(err)
	}
}

// Guards against bodies that fill the budget and keep out ordinary requests beside them.
func TestSmallRequestIsTakenBesideLargeBodies(t *testing.T) {
	is := is.New(t)
	b, now := door.NewBudget(1<<20, 1024), time.Unix(0, 0)
	for {
		if _, err := b.Take(now, 128<<10, func() {}); err != nil {
			break
		}
	}
	_, err := b.Take(now, 2<<10, func() {})
	is.NoErr(err)
}

// Guards against shares that are counted twice or not at all when they are shed while they grow or end.
func TestSharesOfParallelRequestsAreReturned(t *testing.T) {
	is := is.New(t)
	const workers, rounds, limit = 8, 2000, 64 << 10
	b := door.NewBudget(limit, 1024)
	var group sync.WaitGroup
	for w := range workers {
		group.Add(1)
		go func() {
			defer group.Done()
			random, now := rand.New(rand.NewPCG(uint64(w), 2)), time.Unix(0, 0)
			for range rounds {
				now = now.Add(door.MaxStall) // each newcomer finds the others stalled
				s, err := b.Take(now, fleet.Bytes(random.IntN(limit)), func() {})
				if err != nil {
					continue
				}
				if s.Grow(now, 8<<10) == nil {
					_ = s.Complete()
				}
				s.Release()
			}
		}()
	}
	group.Wait()
	is.Equal(b.Held(), fleet.Bytes(0))
}

// Guards against more connections than places, against a request that loses its place while it is served, and against
// callers that keep everybody else out by staying open.
func TestPlacesHoldWhateverConnectionsDo(t *testing.T) {
	const seeds, steps, limit = 300, 300, 8
	stages := []door.Stage{door.StageReceiving, door.StageServing, door.StageAnswering, door.StageIdle}
	for seed := range uint64(seeds) {
		is := is.New(t)
		random, now, p := rand.New(rand.NewPCG(seed, 3)), time.Unix(0, 0), door.NewPlaces(limit)
		open := map[int]*door.Place{}
		stage := map[int]door.Stage{}
		add := func(n int) error {
			place, _, err := p.Take(now, func() {
				is.True(stage[n] != door.StageServing)
				delete(open, n)
			})
			if err == nil {
				open[n], stage[n] = place, door.StageReceiving
			}
			return err
		}
		for n := range steps {
			now = now.Add(time.Duration(random.IntN(int(time.Second))))
			if random.IntN(2) == 0 {
				_ = add(n)
			}
			for k, place := range open {
				switch random.IntN(8) {
				case 0:
					place.Moved(now)
				case 1:
					stage[k] = stages[random.IntN(len(stages))]
					place.Enter(now, stage[k])
				case 2:
					place.Leave()
					delete(open, k)
				}
			}
			is.Equal(p.Taken(), len(open))
			is.True(p.Taken() <= limit)
		}
		for k, place := range open { // All stay open, and one serves.
			stage[k] = door.StageReceiving
			place.Enter(now, stage[k])
		}
		now = now.Add(door.MaxStall)
		is.NoErr(add(steps))
	}
}

// Guards against bodies that take many times their size once they are decoded.
func TestCostCountsObjectsBeforeTheyAreDecoded(t *testing.T) {
	is := is.New(t)
	many := &door.JSONScanner{MaxObjects: 100, MaxDepth: 8}
	refused := false
	for range 200 { // in pieces that split objects and strings
		refused = refused || many.Scan([]byte(`{"a":"}\"{{{{`)) != nil || many.Scan([]byte(`"},`)) != nil
	}
	is.True(refused)
	text := []byte(`{"a":"{{{{[[[[\"{","b":[{},{}]}`)
	few := &door.JSONScanner{MaxObjects: 3, MaxDepth: 3}
	is.NoErr(few.Scan(text))
	is.True(few.Cost(text) < 4<<10)
	is.True((&door.JSONScanner{MaxObjects: 100, MaxDepth: 3}).Scan([]byte(`[[[[`)) != nil)
	var message []byte
	for range 1000 {
		message = append(message, 0x2a, 0) // an empty message in a list
	}
	of := (&descriptorpb.FileDescriptorProto{}).ProtoReflect().Descriptor()
	is.True((&door.ProtobufScanner{Type: of}).Cost(message) >= 1000*256)
	is.True((&door.ProtobufScanner{Type: of, IsFramed: true}).Cost(append([]byte{0, 0, 0, 7, 208}, message...)) >= 1000*256)
	is.True((&door.ProtobufScanner{IsFramed: true}).Scan([]byte{1, 0, 0, 7, 208}) != nil) // compressed
}

// Guards against bounds that a client within the limits of the smallest VM meets.
func TestLimitsOfSmallestVM(t *testing.T) {
	is := is.New(t)
	l := door.LimitsOf(184<<20, 4100)
	is.True(l.CallerPlaces >= 8*64)            // callers with 64 connections each
	is.True(l.CallerBytes*3/4 >= 64*(256<<10)) // 64 bodies at the default limit
	is.True(l.PeerPlaces >= 256)               // 8 connections each of 32 other entries
	is.True(l.CallerBytes+l.PeerBytes <= 184<<20/4)
	is.True(l.CallerPlaces+l.PeerPlaces+2*l.ProbePlaces <= (4100-200)*3/4) // the entry's own calls
}
