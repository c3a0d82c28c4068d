package share

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against memory that grows with each second after a job that an entry with a fast clock has stamped.
func TestMeterForgetsSecondsBeforeATimeAhead(t *testing.T) {
	is := is.New(t)
	m, now := Meter{}, time.Unix(1_800_000_000, 0)
	m.SetWeights(Weights{"a": 1, "b": 1})
	m.Submit("a", now.Add(24*time.Hour))
	for n := range 1000 {
		m.Submit("b", now.Add(time.Duration(n)*time.Second))
		is.True(len(m.seconds) <= 4*keptSeconds)
	}
	m.SetWeights(Weights{"b": 1})
	last := now.Add(1000 * time.Second)
	for range meterSeconds {
		m.Submit("b", last)
	}
	is.True(m.Submit("b", last)) // The seconds that count are kept.
}
