package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"
)

// Parts of the case late: orders that are carried out late, and a runner that is cut off and restarts behind the cut.
const (
	lateRunners = 8
	// lateShare, lateMin and lateMax are those of `applied_late` in `fleetbench kinds`.
	lateShare        = 0.5
	lateMin, lateMax = 2 * time.Second, 12 * time.Second
	lateFrom         = 5 * time.Second
	lateTime         = 5500 * time.Millisecond
	// The cut lasts as long as the site's node_cut of runners; 1 of 8 runners is under its share of 0.17.
	lateCutAt   = 9 * time.Second
	lateCutTime = 5500 * time.Millisecond
	lateCrashAt = time.Second
	lateDown    = 500 * time.Millisecond
	// Both come twice, lateEach apart.
	lateRounds    = 2
	lateEach      = 22 * time.Second
	lateTraffic   = 44 * time.Second
	latePause     = 200 * time.Millisecond
	lateJobTasks  = 4
	lateSettle    = 12 * time.Second
	lateTaskTakes = 850 * time.Millisecond
)

// isLate reports whether an order gets no answer and is carried out late.
func (d *world) isLate(path string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !strings.HasSuffix(path, "/hold") && rand.Float64() < d.lateShare
}

// carryOutLate carries out an order later, at the incarnation that there is then.
func (d *world) carryOutLate(id, path string, o order) {
	delay := lateMin + rand.N(lateMax-lateMin)
	d.record.print("the order %s %s run %d to runner %s gets no answer and is carried out %.1f s later", path, o.Task, o.Run, id, delay.Seconds())
	starts := 0
	if strings.HasSuffix(path, "/start") {
		starts = 1
	}
	d.mu.Lock()
	d.lateStarts[id] += starts
	d.mu.Unlock()
	go func() {
		time.Sleep(delay)
		d.mu.Lock()
		r := d.current[id]
		d.lateStarts[id] -= starts
		d.mu.Unlock()
		if r.isGone() {
			return
		}
		q := httptest.NewRequest(http.MethodPost, path, nil)
		answered := httptest.NewRecorder()
		r.handle(answered, q, path, o)
		d.record.print("the late order %s %s run %d to runner %s is carried out: %d", path, o.Task, o.Run, id, answered.Code)
	}()
}

// mostLate returns the number of the runner for which the most starts are to be carried out late.
func (d *world) mostLate(runners []*runner) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	best := 0
	for i, r := range runners {
		if d.lateStarts[r.id] > d.lateStarts[runners[best].id] {
			best = i
		}
	}
	return best
}

// caseLate plays late orders and a runner that restarts behind a cut.
func caseLate(r *record, trouble bool) bool {
	d := newWorld(r)
	defer d.close()
	var runners []*runner
	for n := range lateRunners {
		runners = append(runners, d.startRunner(fmt.Sprintf("i-%08x", 0x60000000+n*0x03000000), "desk", capacity{CPU: 64000, Mem: 131072}, "a", fmt.Sprintf("r1-%d", n/4)))
	}
	d.configure(placementConfig)
	d.startEntries(3)
	d.untilReady("/desk/")
	began := time.Now()
	if trouble {
		for round := range time.Duration(lateRounds) {
			go func() {
				time.Sleep(round*lateEach + lateFrom)
				d.setLate(lateShare)
				time.Sleep(lateTime)
				d.setLate(0)
			}()
			go func() {
				time.Sleep(round*lateEach + lateCutAt)
				n := d.mostLate(runners)
				target := runners[n]
				target.setCut(true)
				time.Sleep(lateCrashAt)
				target.crash()
				time.Sleep(lateDown)
				next := target.restartCut()
				time.Sleep(lateCutTime - lateCrashAt - lateDown)
				next.setCut(false)
				runners[n] = next
			}()
		}
	}
	for time.Since(began) < lateTraffic {
		j := &job{id: newID(), spec: "plan", steps: []step{{Count: lateJobTasks, CPU: 3500, Mem: 5100, EstimateMs: 850}}, takes: lateTaskTakes}
		d.submit(j, "/desk/")
		time.Sleep(latePause)
	}
	r.print("the traffic ends")
	time.Sleep(lateSettle)
	d.mu.Lock()
	defer d.mu.Unlock()
	r.print("%d tasks were started while they were at work, or after their end had been taken note of", d.twice)
	return d.twice == 0
}

// setLate sets the share of orders that are carried out late.
func (d *world) setLate(share float64) {
	d.record.print("the share of orders that are carried out late is %.2f", share)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lateShare = share
}

// restartCut starts the next incarnation of a crashed runner, cut off from the entries.
func (r *runner) restartCut() *runner {
	next := r.world.prepareRunner(r.listener.Addr().String(), r.id, r.service, r.room, r.labels...)
	next.cut = true
	next.begin()
	r.world.mu.Lock()
	defer r.world.mu.Unlock()
	r.world.reborn[r] = true
	r.world.record.print("runner %s is back behind the cut", r.id)
	return next
}
