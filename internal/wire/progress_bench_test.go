package wire_test

import (
	"testing"

	"github.com/mimosawharf/mimosawharf/internal/job"
	"github.com/mimosawharf/mimosawharf/internal/wire"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// BenchmarkEncodeProgress encodes the row of a job of two steps of eight tasks.
func BenchmarkEncodeProgress(b *testing.B) {
	j := &fleet.Job{ID: "0123456789abcdef", Steps: []fleet.Step{{Tasks: 8}, {Tasks: 8, After: []fleet.StepIndex{0}}}}
	o := job.New(j, 0)
	for t := range o.Tasks[0] {
		o.Start(o.ID(0, fleet.TaskIndex(t)), fleet.EndpointProcess{Endpoint: "edge-becancour-est-1-endpoint-001", StartMillis: 1_796_000_000_000})
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := wire.EncodeProgress(o); err != nil {
			b.Fatal(err)
		}
	}
}
