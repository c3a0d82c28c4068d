package main

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
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

func encode(value []byte) string { return base64.StdEncoding.EncodeToString(value) }

// cluster is a small deployment on loopback: the platform's stand-ins in this process, and entries as processes.
type cluster struct {
	store   *store
	dir     string
	binary  string
	entries []*entry
	record  *record
	runners []*runner
	// tenants is set if the deployment has tenants.
	tenants bool
	// statusS is how many seconds the state of an ended job is to be kept.
	statusS int
}

// record writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	out   io.Writer
	began time.Time
	// brief is set while runs are counted, not logged one by one.
	brief  bool
	counts map[string]int
}

// setBrief says whether runs are counted from now on, and logs what has been counted.
func (r *record) setBrief(brief bool) {
	r.mu.Lock()
	counts := r.counts
	r.brief, r.counts = brief, map[string]int{}
	r.mu.Unlock()
	if len(counts) > 0 {
		r.log("runs", "counts", counts)
	}
}

// run logs or counts what a runner has begun or ended.
func (r *record) run(event string, fields ...any) {
	r.mu.Lock()
	brief := r.brief
	if brief {
		r.counts[event]++
	}
	r.mu.Unlock()
	if !brief {
		r.log(event, fields...)
	}
}

func (r *record) log(event string, fields ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%9.3f %s", time.Since(r.began).Seconds(), event)
	for i := 0; i+1 < len(fields); i += 2 {
		fmt.Fprintf(r.out, " %v=%v", fields[i], fields[i+1])
	}
	fmt.Fprintln(r.out)
}

// entry is one entry machine and its process.
type entry struct {
	Name, Zone, IP string
	MemoryMB       int
	Share          float64
	c              *cluster
	// store is the address at which the process reaches the store.
	store string

	mu      sync.Mutex
	command *exec.Cmd
	// down is set while the machine has no power.
	down bool
	// overs counts the processes that were killed because they exceeded the memory of their machine.
	overs int
	peak  int
	ended chan struct{}
}

func (e *entry) front() string { return e.IP + ":18080" }
func (e *entry) ready() string { return e.IP + ":18081" }

func (e *entry) settings() string {
	return fmt.Sprintf(settings, e.Name, e.IP, e.Zone, e.c.contracts(), e.front(), e.ready(), e.IP, e.Share, e.MemoryMB, max(1, e.c.statusS), e.store, e.c.store.writes.rate, e.c.store.reads.rate)
}

// contracts returns the contracts of the settings.
func (c *cluster) contracts() string {
	list := `"base","drain","config","cost","recover","sched","platform","advice","upkeep","sharing"`
	if c.tenants {
		list += `,"health","tenants","quota","pressure"`
	}
	return list
}

// setRates sets how many calls the store takes each second. It is called before the entries start.
func (c *cluster) setRates(writes, reads float64) {
	c.store.writes.rate, c.store.reads.rate = writes, reads
}

// run starts the process, and starts it again after it has ended, as the platform does.
func (e *entry) run() {
	path := filepath.Join(e.c.dir, e.Name+".toml")
	_ = os.WriteFile(path, []byte(e.settings()), 0o600)
	for {
		e.mu.Lock()
		if e.down {
			e.mu.Unlock()
			return
		}
		command := exec.Command(e.c.binary)
		command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + e.c.dir, "MIMOSAWHARF_CONFIG=" + path}
		if logs := os.Getenv("ENTRY_LOGS"); logs != "" {
			f, _ := os.OpenFile(filepath.Join(logs, e.Name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
			command.Stdout, command.Stderr = f, f
		}
		command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		if err := command.Start(); err != nil {
			e.mu.Unlock()
			e.c.record.log("entry-not-started", "entry", e.Name, "error", err)
			return
		}
		e.command, e.ended = command, make(chan struct{})
		ended := e.ended
		e.mu.Unlock()
		e.c.record.log("entry-started", "entry", e.Name, "pid", command.Process.Pid)
		err := command.Wait()
		close(ended)
		e.c.record.log("entry-ended", "entry", e.Name, "pid", command.Process.Pid, "state", fmt.Sprint(err))
		time.Sleep(500 * time.Millisecond)
	}
}

// signal sends a signal to the process.
func (e *entry) signal(s syscall.Signal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.command != nil && e.command.Process != nil {
		_ = e.command.Process.Signal(s)
	}
}

// remove takes the machine away for good.
func (e *entry) remove() {
	e.mu.Lock()
	e.down = true
	e.mu.Unlock()
	e.c.record.log("entry-removed", "entry", e.Name)
	e.signal(syscall.SIGKILL)
}

// memory returns the resident memory of the process in MB.
func (e *entry) memory() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.command == nil || e.command.Process == nil {
		return 0
	}
	data, err := os.ReadFile("/proc/" + strconv.Itoa(e.command.Process.Pid) + "/status")
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(rest), " kB"))
			return kb / 1024
		}
	}
	return 0
}

// cpu returns the processor time that the process has used.
func (e *entry) cpu() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.command == nil || e.command.Process == nil {
		return 0
	}
	data, _ := os.ReadFile("/proc/" + strconv.Itoa(e.command.Process.Pid) + "/stat")
	fields := strings.Fields(string(data[bytes.LastIndexByte(data, ')')+1:]))
	if len(fields) < 13 {
		return 0
	}
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	return time.Duration(user+system) * 10 * time.Millisecond
}

// guardMemory kills each process that exceeds the memory of its machine, as the platform does.
func (c *cluster) guardMemory() {
	for tick := 0; ; tick++ {
		for _, e := range c.entries {
			mb := e.memory()
			e.mu.Lock()
			e.peak = max(e.peak, mb)
			e.mu.Unlock()
			if tick%40 == 0 && mb > 0 {
				c.record.log("memory", "entry", e.Name, "mb", mb, "of", e.MemoryMB)
			}
			if mb > e.MemoryMB {
				e.mu.Lock()
				e.overs++
				n := e.overs
				e.mu.Unlock()
				c.record.log("entry-over-memory", "entry", e.Name, "mb", mb, "of", e.MemoryMB, "times", n)
				e.signal(syscall.SIGKILL)
				time.Sleep(20 * time.Millisecond)
			}
		}
		time.Sleep(25 * time.Millisecond)
	}
}

// listen serves a handler on a free port of an address and returns the address with the port.
func listen(ip string, h http.Handler) string {
	l, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		fail("listen", err)
	}
	go func() { _ = http.Serve(l, h) }()
	return l.Addr().String()
}

// cleanUp ends what has been started.
var cleanUp = func() {}

// end ends all processes that the case has started, and removes its folder.
func (c *cluster) end() {
	c.stop()
	_ = os.RemoveAll(c.dir)
}

// fail ends the case as one that couldn't run.
func fail(what string, err error) {
	cleanUp()
	fmt.Fprintln(os.Stderr, "standin-3:", what, err)
	os.Exit(2)
}

var client = &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64, MaxConnsPerHost: 64}}

// call sends a caller's request to an entry and returns the status, 0 without an answer, and the body.
func (c *cluster) call(e *entry, method, host, path string, body any) (int, []byte) {
	return c.callAs(e, "", method, host, path, body)
}

// callAs sends a request with the key of a tenant.
func (c *cluster) callAs(e *entry, key, method, host, path string, body any) (int, []byte) {
	var data []byte
	if body != nil {
		data, _ = json.Marshal(body)
	}
	r, err := http.NewRequest(method, "http://"+e.front()+path, bytes.NewReader(data))
	if err != nil {
		return 0, nil
	}
	r.Host = host
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Mimosawharf-Deadline-Ms", "3000")
	if key != "" {
		r.Header.Set("Authorization", "Token "+key)
	}
	response, err := client.Do(r)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	text, _ := io.ReadAll(response.Body)
	return response.StatusCode, text
}

// isReady asks an entry whether it takes callers.
func (c *cluster) isReady(e *entry) bool {
	response, err := client.Get("http://" + e.ready() + "/mimosawharf/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// stop ends all processes that the case has started.
func (c *cluster) stop() {
	for _, e := range c.entries {
		e.mu.Lock()
		e.down = true
		e.mu.Unlock()
		e.signal(syscall.SIGKILL)
	}
	for _, e := range c.entries {
		e.mu.Lock()
		ended := e.ended
		e.mu.Unlock()
		if ended != nil {
			<-ended
		}
	}
}
