package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["restarts"] = playRestarts }

// playRestarts lets the store be silent for five seconds, in which a runner with a task that lasts is lost for good and all
// entries are killed and started again, and looks when the task runs again.
func playRestarts(w *world, trouble bool) bool {
	const (
		prefix  = "/puxa400/"
		down    = 5 * time.Second
		restart = 2 * time.Second
		// calm is how long there has to be no disruption before the rule holds, and how long the task may then be away.
		calm, away = 4 * time.Second, 3 * time.Second
		afterRun   = 6 * time.Second
	)
	for i := range 8 {
		w.addRunner(fmt.Sprintf("i-7f3a91c%d", i), "huvo11a", fmt.Sprintf("r1-%d", i/4), resources{CPU: 64000, Mem: 131072})
	}
	w.store.operator("op", "config", newConfig(3, []route{newRoute("r-u6wsjnb", prefix, "huvo11a")}, "huvo11a"))
	if !w.startEntries(3) {
		return false
	}
	if !w.submit(w.entries[0], host, prefix, jobID(0), &jobBody{Spec: "lasts", Steps: []stepBody{{Count: 1, CPU: 5200, Mem: 9700, LongRunning: true}}}) {
		return false
	}
	time.Sleep(3 * time.Second)
	list := w.runnersOf(jobID(0))
	if len(list) == 0 {
		return false
	}
	if trouble {
		w.record("the store is silent, a runner is lost, all entries are killed", "runner", list[0].id)
		for _, e := range w.entries {
			e.storeDoor.set(true, 0)
		}
		list[0].crash()
		for _, e := range w.entries {
			_ = e.command.Process.Kill()
			<-e.done
		}
		time.Sleep(restart)
		for _, e := range w.entries {
			w.start(e, freePort())
		}
		time.Sleep(down - restart)
		for _, e := range w.entries {
			e.storeDoor.set(false, 0)
		}
		w.record("the store answers again")
	}
	calmSince := time.Since(w.began)
	time.Sleep(16 * time.Second)
	w.mu.Lock()
	var ended, again time.Duration
	for _, e := range w.events {
		switch {
		case e.task[:16] != jobID(0):
		case !e.isStart:
			ended, again = e.at, 0
		case ended > 0 && again == 0:
			again = e.at
		}
	}
	w.mu.Unlock()
	w.record("the task that lasts", "ended", ended, "runs-again", again, "calm-since", calmSince)
	if due := max(calmSince+calm+away, ended+afterRun+away); ended > 0 && (again == 0 || again > due) {
		w.breach("LOST", fmt.Sprintf("a task that lasts ended at %.2f s, was due by %.2f s and runs again at %.2f s", ended.Seconds(), due.Seconds(), again.Seconds()))
	}
	w.call(w.entries[0], http.MethodGet, host, prefix+jobID(0), nil)
	return true
}

// crash ends the runner without a word, for good.
func (r *runner) crash() {
	_ = r.server.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.gone = true
	for task, n := range r.running {
		r.world.recordEnd(r, task, n.number, "lost")
		delete(r.running, task)
	}
}
