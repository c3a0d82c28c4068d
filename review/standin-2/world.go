package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// stepBody is a step of a job as a client sends it.
type stepBody struct {
	Count         int    `json:"count"`
	CPU           int64  `json:"cpu,omitempty"`
	Mem           int64  `json:"memory,omitempty"`
	GPU           int64  `json:"gpu,omitempty"`
	EstimateMs    int    `json:"estimate,omitempty"`
	After         []int  `json:"after,omitempty"`
	Checkpointing bool   `json:"checkpointing,omitempty"`
	Gang          bool   `json:"gang,omitempty"`
	SameRack      bool   `json:"same_rack,omitempty"`
	Constraints   string `json:"constraints,omitempty"`
	AntiAffinity  int    `json:"spread,omitempty"`
	LongRunning   bool   `json:"long_running,omitempty"`
	Fill          bool   `json:"fill,omitempty"`
	MayMiss       int    `json:"budget,omitempty"`
}

// jobBody is a job as a client sends it.
type jobBody struct {
	Spec           string     `json:"spec"`
	Steps          []stepBody `json:"steps"`
	InitialDelayMs int64      `json:"initial_delay_ms,omitempty"`
	IntervalMs     int64      `json:"interval_ms,omitempty"`
	Repeats        int        `json:"repeats,omitempty"`
}

type gang struct {
	members map[string]bool
	state   string
	// brokenAt is when the first member ended that broke the gang.
	brokenAt time.Time
}

// gangNews is how long the runners take to learn that a member of a gang on another runner has ended.
const gangNews = 10 * time.Millisecond

type event struct {
	at      time.Duration
	runner  string
	task    string
	run     uint32
	how     string
	isStart bool
}

// world holds the stand-ins of one case and what they have seen.
type world struct {
	store    *store
	holdMax  time.Duration
	stopTime time.Duration
	gangWait time.Duration
	folder   string
	began    time.Time

	// life guards the starts of processes: none follows once the case has ended.
	life  sync.Mutex
	ended bool

	mu   sync.Mutex
	out  *os.File
	jobs map[string]*jobBody
	// accepted is when jobs were accepted, since the start.
	accepted map[string]time.Duration
	gangs    map[string]*gang
	runners  map[string]*runner
	entries  []*entry
	events   []event
	breaches []string
}

func newWorld(record string) *world {
	out, err := os.Create(record)
	if err != nil {
		panic(err)
	}
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		panic(err)
	}
	w := &world{
		holdMax: 10 * time.Second, stopTime: 900 * time.Millisecond, gangWait: 3 * time.Second, folder: folder, began: time.Now(), out: out,
		jobs: map[string]*jobBody{}, accepted: map[string]time.Duration{}, gangs: map[string]*gang{}, runners: map[string]*runner{},
	}
	w.store = newStore(w, 65536)
	return w
}

// record writes a line to the record.
func (w *world) record(what string, fields ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.line(what, fields...)
}

func (w *world) line(what string, fields ...any) {
	var b strings.Builder
	fmt.Fprintf(&b, "%8.3f %s", time.Since(w.began).Seconds(), what)
	for i := 0; i+1 < len(fields); i += 2 {
		fmt.Fprintf(&b, " %v=%v", fields[i], fields[i+1])
	}
	b.WriteByte('\n')
	_, _ = w.out.WriteString(b.String())
}

// breach records that a rule was broken.
func (w *world) breach(rule, what string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.line("RULE BROKEN", "rule", rule, "what", what)
	w.breaches = append(w.breaches, rule+": "+what)
}

func (w *world) recordStart(r *runner, n *run, o order) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.events = append(w.events, event{at: time.Since(w.began), runner: r.id, task: n.task, run: n.number, isStart: true})
	w.line("start", "runner", r.id, "task", n.task, "run", n.number, "fence", o.Fence, "checkpoint", len(o.Checkpoint))
}

func (w *world) recordEnd(r *runner, task string, number uint32, how string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.events = append(w.events, event{at: time.Since(w.began), runner: r.id, task: task, run: number, how: how})
	w.line("end", "runner", r.id, "task", task, "run", number, "how", how)
}

// stepOf returns the step of a task and its job's spec.
func (w *world) stepOf(task string) (*stepBody, string) {
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return nil, ""
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	j := w.jobs[parts[0]]
	step, err := strconv.Atoi(parts[2])
	if j == nil || err != nil || step >= len(j.Steps) {
		return nil, ""
	}
	return &j.Steps[step], j.Spec
}

// checkpoint returns the value that a task saves, the digits of a digest of 32 bytes.
func checkpoint(task string, saves int) string {
	var b strings.Builder
	for i := range 8 {
		h := uint32(2166136261) + uint32(i)
		for _, c := range []byte(task + strconv.Itoa(saves)) {
			h = (h ^ uint32(c)) * 16777619
		}
		fmt.Fprintf(&b, "%08x", h)
	}
	return b.String()
}

func gangKey(n *run) string {
	return n.task[:strings.LastIndex(n.task, ".")] + "#" + strconv.Itoa(int(n.number))
}

func (w *world) joinGang(n *run) {
	w.mu.Lock()
	defer w.mu.Unlock()
	g := w.gangs[gangKey(n)]
	if g == nil {
		g = &gang{members: map[string]bool{}, state: "waiting"}
		w.gangs[gangKey(n)] = g
	}
	g.members[n.task] = true
	if len(g.members) == n.step.Count && g.state == "waiting" {
		g.state = "present"
	}
}

func (w *world) gangState(n *run) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	g := w.gangs[gangKey(n)]
	if g.state == "broken" && time.Since(g.brokenAt) < gangNews {
		return "present"
	}
	return g.state
}

func (w *world) breakGang(n *run) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if g := w.gangs[gangKey(n)]; g.state != "done" && g.state != "broken" {
		g.state, g.brokenAt = "broken", time.Now()
	}
}

func (w *world) gangDone(n *run) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.gangs[gangKey(n)].state = "done"
}

// entry is a process of the project's program.
type entry struct {
	name, front, ready string
	settings, log      string
	command            *exec.Cmd
	storeDoor          *storeDoor
	done               chan struct{}
}

// ports are those that freePort has returned.
var (
	ports     = map[int]bool{}
	portsLock sync.Mutex
)

// freePort returns a port that is free now, out of the range from which the kernel takes ports for connections. Each
// process that plays a case looks in a block of its own first, so that several can play at a time.
func freePort() int {
	const low, blocks, size = 10000, 300, 64
	portsLock.Lock()
	defer portsLock.Unlock()
	for n := 0; ; n++ {
		port := low + os.Getpid()%blocks*size + n
		if n >= size {
			port = low + rand.IntN(blocks*size)
		}
		if ports[port] {
			continue
		}
		l, err := net.Listen("tcp4", "127.0.0.1:"+strconv.Itoa(port))
		if err != nil {
			continue
		}
		_ = l.Close()
		ports[port] = true
		return port
	}
}

// addEntry writes the settings of an entry and starts it with the command of the deploy file.
func (w *world) addEntry(name, zone, storeAddress string) *entry {
	metrics := freePort()
	e := &entry{name: name, front: "127.0.0.1:" + strconv.Itoa(freePort()), ready: "127.0.0.1:" + strconv.Itoa(freePort())}
	internal := freePort()
	text := fmt.Sprintf(settingsFile, name, zone, internal, internal+15, e.front, e.ready, storeAddress)
	e.settings = filepath.Join(w.folder, name+".toml")
	e.log = filepath.Join(w.folder, name+".log")
	if err := os.WriteFile(e.settings, []byte(text), 0o600); err != nil {
		panic(err)
	}
	w.mu.Lock()
	w.entries = append(w.entries, e)
	w.mu.Unlock()
	w.start(e, metrics)
	return e
}

func (w *world) start(e *entry, metrics int) {
	w.life.Lock()
	defer w.life.Unlock()
	if w.ended {
		return
	}
	log, err := os.OpenFile(e.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		panic(err)
	}
	// The command of the deploy file; its default port of metrics is one for all processes of a machine.
	e.command = exec.Command("target/mimosawharf-entry")
	e.command.Env = append(os.Environ(), "MIMOSAWHARF_CONFIG="+e.settings, "MIMOSAWHARF_METRICS_PORT="+strconv.Itoa(metrics))
	e.command.Stdout, e.command.Stderr = log, log
	e.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := e.command.Start(); err != nil {
		panic(err)
	}
	e.done = make(chan struct{})
	done, command := e.done, e.command
	w.record("process started", "entry", e.name, "pid", command.Process.Pid)
	go func() {
		err := command.Wait()
		w.record("process ended", "entry", e.name, "result", err)
		_ = log.Close()
		close(done)
	}()
}

// stop ends all processes that the case started. It may be called more than once.
func (w *world) stop() {
	w.life.Lock()
	defer w.life.Unlock()
	w.ended = true
	for _, e := range w.entries {
		if e.command != nil && e.command.Process != nil {
			_ = e.command.Process.Kill()
			<-e.done
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.folder)
	} else {
		fmt.Println("logs in", w.folder)
	}
}

// waitReady waits until all entries are ready.
func (w *world) waitReady() bool {
	end := time.Now().Add(20 * time.Second)
	for _, e := range w.entries {
		for {
			r, err := http.Get("http://" + e.ready + "/mimosawharf/readyz")
			if err == nil {
				_ = r.Body.Close()
				if r.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(end) {
				return false
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return true
}

// response is the answer to a client; status 0 means none.
type response struct {
	status int
	body   map[string]any
}

// call sends a client's request to an entry.
func (w *world) call(e *entry, method, host, path string, body any) response {
	var reader io.Reader
	if body != nil {
		data, err := wireNames.encode(body)
		if err != nil {
			panic(err)
		}
		reader = bytes.NewReader(data)
	}
	q, err := http.NewRequest(method, "http://"+e.front+path, reader)
	if err != nil {
		panic(err)
	}
	q.Host = host
	q.Header.Set("Content-Type", "application/json")
	q.Header.Set("Mimosawharf-Deadline-Ms", "3000")
	client := http.Client{Timeout: 3 * time.Second}
	began := time.Now()
	r, err := client.Do(q)
	if err != nil {
		w.record("call", "entry", e.name, "method", method, "path", path, "error", "no answer", "took", time.Since(began).Milliseconds())
		return response{}
	}
	defer func() { _ = r.Body.Close() }()
	got := response{status: r.StatusCode, body: map[string]any{}}
	_ = json.NewDecoder(r.Body).Decode(&got.body)
	w.record("call", "entry", e.name, "method", method, "path", path, "status", r.StatusCode, "body", got.body, "took", time.Since(began).Milliseconds())
	return got
}

// submit hands a job in, and again as clients do, until it is accepted or the time is over.
func (w *world) submit(e *entry, host, path, id string, j *jobBody) bool {
	w.mu.Lock()
	w.jobs[id] = j
	w.mu.Unlock()
	for range 5 {
		r := w.call(e, http.MethodPost, host, path+id, j)
		if r.status/100 == 2 {
			w.mu.Lock()
			w.accepted[id] = time.Since(w.began)
			w.mu.Unlock()
			return true
		}
		time.Sleep(time.Second)
	}
	return false
}

func jobID(n int) string { return fmt.Sprintf("%016x", 0x5c0e7a21d9400000+n) }

// holder returns the entry that wrote last to the store under a condition for a duty, as far as the store's rows show.
func (w *world) holder(part string) string {
	w.store.mu.Lock()
	defer w.store.mu.Unlock()
	for n, row := range w.store.rows {
		if n.part != part {
			continue
		}
		for _, e := range w.entries {
			if bytes.Contains(row.value, []byte(e.name)) {
				return e.name
			}
		}
	}
	return ""
}
