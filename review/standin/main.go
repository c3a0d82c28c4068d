// Command standin plays the cases of the review that are scripts: it starts the entries as separate processes beside
// stand-ins of the platform, of runners and of clients, all on loopback.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// cases are the cases by name. Each reports whether the rule held.
var cases = map[string]func(r *record, trouble bool) bool{
	"advice":   caseAdvice,
	"attempts": caseAttempts,
	"kind":     caseKind,
	"late":     caseLate,
	"label":    caseLabel,
	"rack":     caseRack,
	"waves":    caseWaves,
}

// caseLimit is the longest time that a case may take.
const caseLimit = 115 * time.Second

func main() {
	name := flag.String("case", "", "name of the case")
	path := flag.String("record", "record.txt", "file for what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "play the disruption")
	flag.Parse()
	play, ok := cases[*name]
	file, err := os.Create(*path)
	if !ok || err != nil {
		fmt.Fprintln(os.Stderr, "unknown case, or no record:", *name, err)
		os.Exit(exitNotRun)
	}
	r := &record{file: file}
	// Entries are started with the default action for these signals, whatever this process inherited.
	interrupts := make(chan os.Signal, 1)
	signal.Notify(interrupts, syscall.SIGHUP, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case s := <-interrupts:
			r.fail("ended by %v", s)
		case <-time.After(caseLimit):
			r.fail("the case takes too long")
		}
	}()
	r.print("case %s, with the disruption: %v", *name, *trouble)
	held := play(r, *trouble)
	r.print("the rule held: %v", held)
	fmt.Printf("case %s, with the disruption: %v; the rule held: %v\n", *name, *trouble, held)
	if !held {
		os.Exit(exitBroken)
	}
	os.Exit(exitHeld)
}
