// Command standin-2 plays a case of the second review: it stands in for the platform, its runners and its clients, and
// starts the project's entries as separate processes. It exits with 1 if a rule was broken, 0 if it held, and 2 if the
// case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// playLimit is the longest time that a case may take.
const playLimit = 110 * time.Second

const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// cases are what can be played, by name. A case returns false if it could not run.
var cases = map[string]func(w *world, trouble bool) bool{}

func main() { os.Exit(play()) }

func play() int {
	name := flag.String("case", "", "the case to play")
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	c := cases[*name]
	if c == nil {
		fmt.Fprintln(os.Stderr, "no such case:", *name)
		return exitCannotRun
	}
	w := newWorld(*record)
	abort := func(reason string) {
		w.record("the case is broken off", "reason", reason)
		w.stop()
		os.Exit(exitCannotRun)
	}
	time.AfterFunc(playLimit, func() { abort("it takes too long") })
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() { abort((<-signals).String()) }()
	defer func() { _ = w.out.Close() }()
	ran := c(w, os.Getenv("TROUBLE") != "0")
	w.stop()
	w.mu.Lock()
	defer w.mu.Unlock()
	if !ran {
		w.line("the case could not run")
		return exitCannotRun
	}
	for _, b := range w.breaches {
		fmt.Println("broken:", b)
	}
	if len(w.breaches) > 0 {
		return exitBroken
	}
	w.line("all rules held")
	fmt.Println("held")
	return exitHeld
}

// startEntries starts entries against the stand-ins and waits until they are ready.
func (w *world) startEntries(n int) bool {
	for i := range n {
		door := &storeDoor{store: w.store}
		e := w.addEntry(fmt.Sprintf("edge-%d", i+1), fmt.Sprintf("z%d", i%2+1), door.listen())
		e.storeDoor = door
	}
	if !w.waitReady() {
		return false
	}
	time.Sleep(2 * time.Second)
	return true
}
