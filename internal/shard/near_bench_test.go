package shard

import (
	"fmt"
	"testing"
	"time"

	"github.com/mimosawharf/mimosawharf/internal/job"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// BenchmarkRackQuestion asks for one of the waiting steps of a service with 1,100 endpoints and 22,000 runs.
func BenchmarkRackQuestion(b *testing.B) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	e := NewEngine("s", 1, Bounds{FarFactor: 3, MaxLease: time.Minute}, nil, Inheritance{}, now.Add(time.Hour))
	j := &fleet.Job{ID: "j", Queue: "q", Steps: []fleet.Step{{Tasks: 22000, Demand: fleet.Capacity{Millicores: 3000, Memory: 10}, Estimate: time.Second}}}
	o := job.New(j, 0)
	e.jobs["j"] = &jobEntry{job: j, open: map[fleet.Occurrence]*job.Occurrence{0: o}}
	for n := range 1100 {
		w := e.newWorker(now, EndpointInfo{Endpoint: fleet.EndpointID(fmt.Sprint(n)), Rack: fleet.RackID(fmt.Sprint(n / 40)), Capacity: fleet.Capacity{Millicores: 62000, Memory: 10000}, StartMillis: 1})
		w.described, w.contacted, w.lastAnswerAt = true, true, now
		e.setWorker(w)
		for k := range 20 {
			w.add(&assignment{id: o.ID(0, fleet.TaskIndex(n*20+k)), step: j.Steps[0], phase: phaseStarted, startedAt: now.Add(-time.Duration(k) * 10 * time.Millisecond)})
		}
	}
	step := &fleet.Step{Tasks: 60, Demand: fleet.Capacity{Millicores: 3000, Memory: 10}, SameRack: true}
	var ids []fleet.TaskID
	for k := range 60 {
		ids = append(ids, o.ID(0, fleet.TaskIndex(k)))
	}
	b.Run("racks", func(b *testing.B) {
		for b.Loop() {
			e.racksFor(now, ids, step)
		}
	})
	b.Run("near", func(b *testing.B) {
		for b.Loop() {
			e.placesOn(now, "3", ids[0], step)
		}
	})
}
