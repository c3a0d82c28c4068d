package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// record writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  io.Writer
	clean func()
}

func (r *record) print(format string, a ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(started).Seconds(), fmt.Sprintf(format, a...))
}

// fail ends a case that cannot run.
func (r *record) fail(format string, a ...any) {
	r.print("not run: "+format, a...)
	fmt.Fprintf(os.Stderr, format+"\n", a...)
	if r.clean != nil {
		r.clean()
	}
	os.Exit(exitNotRun)
}

// job is what a client submitted.
type job struct {
	id, spec string
	steps    []step
	// takes is how long a task works.
	takes time.Duration

	// acceptedAt is when a client was told that the job is stored; startedAt is that of its first task.
	acceptedAt, startedAt time.Time
	// open counts the runs at work, done the tasks that ended so.
	open, done int
	// lasts is set for a job whose tasks run until it is cancelled.
	lasts bool
	// poison is set for a job whose tasks always fail.
	poison bool
	// at is the runner on which a task is at work, noted holds the tasks whose end done was taken note of.
	at    map[string]string
	noted map[string]bool
	// failed counts the failed ends of each task that were acknowledged, startsAfter its starts after the last attempt.
	failed, startsAfter map[string]int
}

// step is a step of a job on the wire.
type step struct {
	Count         int    `json:"count"`
	CPU           int64  `json:"cpu"`
	Mem           int64  `json:"memory"`
	EstimateMs    int64  `json:"estimate"`
	After         []int  `json:"after,omitempty"`
	Checkpointing bool   `json:"checkpointing,omitempty"`
	SameRack      bool   `json:"same_rack,omitempty"`
	Constraints   string `json:"constraints,omitempty"`
	Affinity      string `json:"affinity,omitempty"`
	LongRunning   bool   `json:"long_running,omitempty"`
}

func (j *job) tasks() int {
	n := 0
	for _, s := range j.steps {
		n += s.Count
	}
	return n
}

// world is the platform on loopback with the entries under test.
type world struct {
	record  *record
	store   *store
	address string
	advice  string
	cloud   string
	entries []*entry
	folder  string
	client  *http.Client

	mu   sync.Mutex
	jobs map[string]*job
	// reborn holds the incarnations of runners that another one has followed.
	reborn map[*runner]bool
	// current is the present incarnation of each runner.
	current map[string]*runner
	// lateShare is the share of orders that get no answer and are carried out late.
	lateShare float64
	// lateStarts counts the starts at each runner that are still to be carried out late.
	lateStarts map[string]int
	// twice counts the starts of a task that was at work, or done.
	twice int
	// misplaced counts the starts on a runner without the label that the step needs.
	misplaced int
	// policy returns whether a runner may run a job's steps; nil when no queue has a policy.
	policy  func(runner string) bool
	adviser *adviser
	calls   int
}

func newWorld(r *record) *world {
	folder, err := os.MkdirTemp("", "mimosawharf-review-")
	if err != nil {
		r.fail("no temporary folder: %v", err)
	}
	d := &world{record: r, store: newStore(r), folder: folder, jobs: map[string]*job{}, reborn: map[*runner]bool{}, current: map[string]*runner{}, lateStarts: map[string]int{}, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}}
	r.clean = d.close
	d.address = d.serve(d.store)
	return d
}

// serve serves a handler on a free port.
func (d *world) serve(h http.Handler) string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		d.record.fail("cannot listen: %v", err)
	}
	go func() { _ = http.Serve(l, h) }()
	return l.Addr().String()
}

// close ends all processes that the case started.
func (d *world) close() {
	for _, e := range d.entries {
		e.end()
	}
	_ = os.RemoveAll(d.folder)
}

// lastingTime is longer than any case.
const lastingTime = time.Hour

// lasts reports whether a task runs until its job is cancelled.
func (d *world) lasts(task string) bool {
	id, _ := taskJob(task)
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.jobs[id].lasts
}

// task returns what a task needs and how long it works.
func (d *world) task(o order) (capacity, time.Duration, bool) {
	id, number := taskJob(o.Task)
	d.mu.Lock()
	defer d.mu.Unlock()
	j := d.jobs[id]
	if j == nil || number >= len(j.steps) || j.spec != o.Spec {
		return capacity{}, 0, false
	}
	takes := j.takes
	if j.lasts {
		takes = lastingTime
	}
	return capacity{CPU: j.steps[number].CPU, Mem: j.steps[number].Mem}, takes, true
}

func (d *world) began(r *runner, task string, number int64) {
	id, stepNumber := taskJob(task)
	d.mu.Lock()
	j := d.jobs[id]
	if need := j.steps[stepNumber].Constraints; need != "" && !slices.Contains(r.labels, need) {
		d.misplaced++
		d.record.print("runner %s with the labels %v starts %s run %d, which needs the label %q", r.id, r.labels, task, number, need)
	}
	if at := j.at[task]; at != "" || j.noted[task] {
		d.twice++
		d.record.print("TWICE: runner %s starts %s run %d; at work on %q, done and taken note of: %v", r.id, task, number, at, j.noted[task])
	}
	j.at[task] = r.id
	j.open++
	if j.failed[task] >= attemptsMax {
		if j.startsAfter == nil {
			j.startsAfter = map[string]int{}
		}
		j.startsAfter[task]++
	}
	first := j.startedAt.IsZero()
	if first {
		j.startedAt = time.Now()
	}
	d.mu.Unlock()
	if first || number > 1 {
		d.record.print("runner %s starts %s run %d", r.id, task, number)
	}
}

func (d *world) ended(r *runner, task string, number int64, how string) {
	id, _ := taskJob(task)
	d.mu.Lock()
	j := d.jobs[id]
	j.open--
	if j.at[task] == r.id {
		delete(j.at, task)
	}
	if how == "done" {
		j.done++
	}
	finished := j.done == j.tasks()
	d.mu.Unlock()
	if finished || how != "done" {
		d.record.print("runner %s ends %s run %d: %s", r.id, task, number, how)
	}
}

// acknowledged records that a holder has taken note of an end.
func (d *world) acknowledged(r *runner, task string, number int64, how string, held bool) {
	id, _ := taskJob(task)
	d.mu.Lock()
	j := d.jobs[id]
	if how == "done" && held {
		j.noted[task] = true
	}
	if how != "failed" {
		d.mu.Unlock()
		return
	}
	if j.failed == nil {
		j.failed = map[string]int{}
	}
	j.failed[task]++
	d.mu.Unlock()
	d.record.print("runner %s: the end of %s run %d (failed) is acknowledged", r.id, task, number)
}

// fails reports whether the runs of a task fail.
func (d *world) fails(task string) bool {
	id, _ := taskJob(task)
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.jobs[id].poison
}

// entry is one machine of the system: the program of the deploy file, which is started again when it ends.
type entry struct {
	world    *world
	name, ip string
	settings string
	port     int

	mu      sync.Mutex
	command *exec.Cmd
	closing bool
	ends    []time.Time
	how     []string
	done    chan struct{}
}

// restartDelay is the pause before a process that has ended is started again.
const restartDelay = 500 * time.Millisecond

// startEntries starts the entries on loopback addresses of their own. Ports are the same on all machines.
func (d *world) startEntries(count int) {
	front, ready, peer := 8624, 8622, 7060
	net2, net3 := 16+rand.IntN(200), 1+rand.IntN(250)
	program, err := filepath.Abs("target/mimosawharf-entry")
	if err != nil {
		d.record.fail("%v", err)
	}
	if _, err := os.Stat(program); err != nil {
		d.record.fail("the build of the deploy file is missing: %v", err)
	}
	for n := range count {
		e := &entry{world: d, name: fmt.Sprintf("edge-z%d-%d", n%2, n), ip: fmt.Sprintf("127.%d.%d.%d", net2, net3, n+2), port: front, done: make(chan struct{})}
		for _, port := range []int{front, ready, peer, 9464} {
			l, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", e.ip, port))
			if err != nil {
				d.record.fail("port %d of %s is not free: %v", port, e.ip, err)
			}
			_ = l.Close()
		}
		e.settings = filepath.Join(d.folder, e.name+".toml")
		e.write()
		d.entries = append(d.entries, e)
		go e.run(program)
	}
}

// write writes the settings file, as the platform does at a start and when the settings change.
func (e *entry) write() {
	advice := ""
	if e.world.advice != "" {
		advice = fmt.Sprintf("advice = %q\n", e.world.advice)
	}
	cloud := ""
	if e.world.cloud != "" {
		cloud = fmt.Sprintf("[cloud]\naddress = %q\nrate_per_s = 64.0\nduties = []\nduty_per_s = 64.0\n", e.world.cloud)
	}
	text := fmt.Sprintf(`node = %q
role = "entry"
machine_class = "edge"
serves = ["edge"]
ip = %q
zone = %q
region = "mauricie"
%s = [7060,7075]
seeds = []
bootstrap = true
in_tolerance = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1500
contracts = ["base","drain","config","cost","recover","sched","platform","advice","upkeep","sharing"]
commands = "rpc"
%s[zones]
z0 = "mauricie"
z1 = "mauricie"
[listen]
front = "%s:8624"
ready = "%s:8622"
[limits]
cpu_share = 0.4
cores = 1
memory_mb = 284
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 2
zones = 1
regions = 0
[bounds]
contact_ms = 3000
ack_ms = 4000
drain_ms = 2000
grace_s = 6
lost_ms = 200
config_ms = 2000
recover_s = 12
%s = 10000
stop_ms = 900
gang_ms = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
notice_ms = 4500
lease_ms = 3000
[platform]
address = %q
form = "table"
writes_per_s = 800
reads_per_s = 2000
tx_ms = 4.0
part_writes_s = 250
row_bytes = 65536
across = true
history_s = 20
%s`, e.name, e.ip, strings.SplitN(e.name, "-", 3)[1], wireNames.Names["ports"], advice, e.ip, e.ip, wireNames.Names["longest-hold"], e.world.address, cloud)
	next := e.settings + ".next"
	if err := errors.Join(os.WriteFile(next, []byte(text), 0o600), os.Rename(next, e.settings)); err != nil {
		e.world.record.fail("settings cannot be written: %v", err)
	}
}

// run keeps the program running.
func (e *entry) run(program string) {
	defer close(e.done)
	for {
		log, err := os.OpenFile(filepath.Join(e.world.folder, e.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			e.world.record.fail("%v", err)
		}
		command := exec.Command(program)
		command.Env = []string{"MIMOSAWHARF_CONFIG=" + e.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
		command.Stdout, command.Stderr = log, log
		e.mu.Lock()
		if e.closing {
			e.mu.Unlock()
			return
		}
		if err := command.Start(); err != nil {
			e.mu.Unlock()
			e.world.record.fail("the entry cannot be started: %v", err)
		}
		e.command = command
		e.mu.Unlock()
		e.world.record.print("%s is started", e.name)
		_ = command.Wait()
		_ = log.Close()
		e.mu.Lock()
		closing := e.closing
		if !closing {
			e.ends, e.how = append(e.ends, time.Now()), append(e.how, command.ProcessState.String())
		}
		e.mu.Unlock()
		if closing {
			return
		}
		e.world.record.print("%s ends: %s", e.name, command.ProcessState)
		time.Sleep(restartDelay)
	}
}

// end ends the process.
func (e *entry) end() {
	e.mu.Lock()
	e.closing = true
	if e.command != nil {
		_ = e.command.Process.Kill()
	}
	e.mu.Unlock()
	select {
	case <-e.done:
	case <-time.After(5 * time.Second):
	}
}

// graceTime is how long a process may take after SIGTERM.
const graceTime = 6 * time.Second

// terminate stops the process as the platform does, and waits until it has been started again.
func (e *entry) terminate() {
	ends := e.endCount()
	e.signal(syscall.SIGTERM)
	for end := time.Now().Add(graceTime); e.endCount() == ends && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
	if e.endCount() == ends {
		e.signal(syscall.SIGKILL)
	}
	time.Sleep(2 * restartDelay)
}

// signal sends a signal to the current process.
func (e *entry) signal(s syscall.Signal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.command != nil {
		_ = e.command.Process.Signal(s) // It may have ended.
	}
}

// endCount returns how often the process has ended.
func (e *entry) endCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.ends)
}

// clientDeadline is how long clients wait for a response.
const clientDeadline = 3 * time.Second

// call sends one request of a client to an entry.
func (d *world) call(e *entry, method, path string, body any) (int, map[string]any, error) {
	ctx, cancel := context.WithTimeout(context.Background(), clientDeadline)
	defer cancel()
	var reader io.Reader
	if body != nil {
		encoded, err := wireNames.encode(body)
		if err != nil {
			return 0, nil, err
		}
		reader = bytes.NewReader(encoded)
	}
	q, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s:%d%s", e.ip, e.port, path), reader)
	if err != nil {
		return 0, nil, err
	}
	q.Host = "jobs.example"
	q.Header.Set("Content-Type", "application/json")
	q.Header.Set("Mimosawharf-Deadline-Ms", "3000")
	r, err := d.client.Do(q)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = r.Body.Close() }()
	decoded := map[string]any{}
	if err := wireNames.decode(r.Body, &decoded); err != nil {
		return 0, nil, err
	}
	return r.StatusCode, decoded, nil
}

// clientTries is the number of attempts of a client.
const clientTries = 5

// submit hands a job in as a client does, at changing entries.
func (d *world) submit(j *job, prefix string) bool {
	d.mu.Lock()
	j.at, j.noted = map[string]string{}, map[string]bool{}
	d.jobs[j.id] = j
	d.calls++
	first := d.calls
	d.mu.Unlock()
	for try := range clientTries {
		e := d.entries[(first+try)%len(d.entries)]
		status, _, err := d.call(e, http.MethodPost, prefix+j.id, map[string]any{"spec": j.spec, "steps": j.steps})
		if err != nil {
			d.record.print("job %s (%d tasks) sent to %s: no answer (%v)", j.id, j.tasks(), e.name, err)
		} else {
			d.record.print("job %s (%d tasks) sent to %s: %d", j.id, j.tasks(), e.name, status)
		}
		if status == http.StatusOK {
			d.mu.Lock()
			j.acceptedAt = time.Now()
			d.mu.Unlock()
			return true
		}
		time.Sleep(500 * time.Millisecond)
	}
	return false
}

// state asks for a job at all entries until one answers.
func (d *world) state(id, prefix string) string {
	for _, e := range d.entries {
		status, body, err := d.call(e, http.MethodGet, prefix+id, nil)
		if err == nil && status == http.StatusOK {
			state, _ := body["state"].(string)
			return state
		}
		if err == nil && status == http.StatusGone {
			return "410"
		}
	}
	return "no answer"
}

// newID returns an id as clients choose it.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// untilReady waits until an entry accepts jobs.
func (d *world) untilReady(prefix string) {
	end := time.Now().Add(20 * time.Second)
	for time.Now().Before(end) {
		ready := 0
		for _, e := range d.entries {
			if status, _, err := d.call(e, http.MethodGet, prefix, nil); err == nil && status == http.StatusOK {
				ready++
			}
		}
		if ready == len(d.entries) {
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
	d.record.fail("the entries don't serve within 20 s")
}
