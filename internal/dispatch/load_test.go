package dispatch_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mimosawharf/mimosawharf/internal/dispatch"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// smallLoop returns a loop of n engines with one endpoint for each pool, its fleet, and a function that
// creates short requests of the first service.
func smallLoop(latency time.Duration, n int) (*fleetLoop, *fleet.View, func(number int) *job) {
	d, random := deployment{endpoints: 1, latency: latency}, rand.New(rand.NewPCG(1, 1))
	v, means := d.configuration(random)
	return newFleetLoop(d, v, n), v, func(number int) *job { return d.job(random, means, 0, 0, 0, number) }
}

// Guards against maintenance waves that continue under a high urgent load, and against a spare driver that
// sees no queues: the load includes the work of this entry and of its peers, except peers that no longer
// report.
func TestFleetLoad(t *testing.T) {
	is := is.New(t)
	f, _, newJob := smallLoop(0, 1)
	e := f.engines[0]
	for number := range 30 {
		j := newJob(number)
		j.request.Account = "account-0" // has a priority grant
		f.submit(e, j)
	}
	f.run(epoch)
	// 8 of 30 run; 40 slots in all pools.
	load := e.FleetLoad(f.now)
	is.Equal(load.Urgent, fleet.Percent(75))
	is.True(load.Queued["service-0"] > 0)
	e.PeerReported(f.now, dispatch.PeerReported{Peer: "other", Services: []dispatch.ServiceLoad{
		{Service: "service-0", QueuedUrgent: 6}, {Service: "service-1", QueuedNormal: 3},
	}})
	both := e.FleetLoad(f.now)
	is.Equal(both.Urgent, fleet.Percent(90))
	is.True(both.Queued["service-0"] > load.Queued["service-0"])
	is.True(both.Queued["service-1"] > 0)
	is.Equal(e.FleetLoad(f.now.Add(4*time.Second)), load)
	is.Equal(e.ServiceStatuses()[0].QueuedUrgent, 22)
	is.Equal(e.ServiceStatuses()[0].Running, fleet.Slots(8))
}

// Guards against a release of a VM on which this entry still runs work, and against an acknowledgement
// that never comes.
func TestAcknowledgedRevisionFollowsDrains(t *testing.T) {
	is := is.New(t)
	f, v, newJob := smallLoop(time.Millisecond, 1)
	e := f.engines[0]
	j := newJob(1)
	f.submit(e, j)
	f.run(epoch)
	drained := *v
	drained.Revision, drained.VMs = 10, map[fleet.VMID]fleet.VM{}
	for id, vm := range v.VMs {
		drained.VMs[id] = vm
	}
	vm := drained.VMs["service-0-vm-0"]
	vm.State, vm.RowVersion = fleet.VMStateDraining, 8
	drained.VMs[vm.ID] = vm
	e.SetView(f.now, &drained, 1)
	is.Equal(e.AcknowledgedRevision(), fleet.TableRevision(7))
	f.run(epoch.Add(5 * time.Second))
	is.Equal(j.outcomes, 1)
	is.Equal(e.AcknowledgedRevision(), fleet.TableRevision(10))
}

// Guards against a loan request that is dropped when the lender has no free slot yet, and against a
// lender that keeps lending after the request was withdrawn.
func TestLoanRequestStaysUntilSlotIsFree(t *testing.T) {
	cases := []struct {
		name     string
		withdraw bool
		// want counts the bytes of the loan and of its return, as nothing waits at the borrower any more.
		want int
	}{{"stands", false, loanBytes + slotsBytes + loanBytes}, {"withdrawn", true, 0}}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f, _, newJob := smallLoop(0, 2)
			e := f.engines[0]
			for number := range 4 { // its share is half of 8 slots
				j := newJob(number)
				j.left = 50 * time.Millisecond
				f.submit(e, j)
			}
			f.run(epoch)
			message := dispatch.PeerReported{Peer: "entry-1", Services: []dispatch.ServiceLoad{{Service: "service-0", QueuedNormal: 1, Wanted: 1}}}
			e.PeerReported(f.now, message)
			is.Equal(len(e.Take().Grants), 0)
			if c.withdraw {
				e.PeerReported(f.now, dispatch.PeerReported{Peer: "entry-1"})
			}
			f.links[e].peers = nil
			f.links[f.engines[1]].reports = []time.Time{epoch}
			f.run(epoch.Add(60 * time.Millisecond))
			is.Equal(f.bytes, c.want)
		})
	}
}
