package holder_test

import (
	"fmt"
	"slices"
	"time"

	"github.com/mimosawharf/mimosawharf/internal/standin/runner"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

func (c *fakeCluster) violation(kind string, id fleet.TaskID, format string, args ...any) {
	if key := kind + id.String(); !c.reported[key] {
		c.reported[key] = true
		text := fmt.Sprintf("%s at %.3f s: %s: ", kind, time.Since(c.began).Seconds(), id) + fmt.Sprintf(format, args...)
		c.violations = append(c.violations, text)
		c.note("VIOLATION %s", text)
	}
}

// Started implements runner.Observer.
func (c *fakeCluster) Started(p fleet.EndpointProcess, id fleet.TaskID, run fleet.RunNumber, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.note("%s run %d begins on %s/%d", id, run, p.Endpoint, p.StartMillis)
	c.runs[id] = append(c.runs[id], &fakeRun{process: p, number: run, began: at})
}

// Ended implements runner.Observer.
func (c *fakeCluster) Ended(p fleet.EndpointProcess, id fleet.TaskID, run fleet.RunNumber, how fleet.RunEnd, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.runs[id] {
		if r.process == p && r.number == run && r.ended.IsZero() {
			r.ended, r.how = at, how
			c.note("%s run %d ended %s on %s/%d at %.3f", id, run, how, p.Endpoint, p.StartMillis, at.Sub(c.began).Seconds())
		}
	}
}

// Acknowledged implements runner.Observer.
func (c *fakeCluster) Acknowledged(p fleet.EndpointProcess, id fleet.TaskID, run fleet.RunNumber, _ time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.runs[id] {
		if r.process == p && r.number == run {
			r.isNoted = true
		}
	}
}

// check verifies that each lasting task runs or that the bound of rule LOST has not passed.
func (c *fakeCluster) check() {
	c.mu.Lock()
	var processes []*runner.Endpoint
	for _, e := range c.endpoints {
		if e.process != nil {
			processes = append(processes, e.process)
		}
	}
	c.mu.Unlock()
	for _, p := range processes {
		p.Advance()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for _, j := range c.jobs {
		for n := range j.Steps[0].Tasks {
			id := fleet.TaskID{Job: j.ID, Task: fleet.TaskIndex(n)}
			ended, runs := j.AcceptedAt, false
			for _, r := range c.runs[id] {
				runs = runs || r.ended.IsZero()
				if r.ended.After(ended) {
					ended = r.ended
				}
			}
			if !j.Steps[0].Lasting || runs {
				continue
			}
			if now.Sub(ended) > lastingRestart && now.Sub(c.disrupted) > calmTime {
				c.violation("LOST", id, "doesn't run, its last run ended at %.3f s, the last disruption was at %.3f s", ended.Sub(c.began).Seconds(), c.disrupted.Sub(c.began).Seconds())
			}
		}
	}
}

// checkRuns verifies at the end that no two runs of a task overlapped, and that none began after a noted end.
func (c *fakeCluster) checkRuns() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, runs := range c.runs {
		slices.SortStableFunc(runs, func(a, b *fakeRun) int { return a.began.Compare(b.began) })
		for i, r := range runs {
			for _, next := range runs[i+1:] {
				at := next.began.Sub(c.began).Seconds()
				if r.ended.IsZero() || next.began.Before(r.ended) {
					c.violation("TWICE", id, "run %d begins on %s at %.3f s, run %d runs on %s", next.number, next.process.Endpoint, at, r.number, r.process.Endpoint)
				}
				if r.how == fleet.RunEndDone && r.isNoted {
					c.violation("AGAIN", id, "run %d begins at %.3f s, the end of run %d has been noted", next.number, at, r.number)
				}
			}
		}
	}
}
