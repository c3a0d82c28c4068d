// Package design_test compares the code with the tables of docs/design.md.
package design_test

import (
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/looplab/fsm"
	"github.com/matryer/is"

	"github.com/mimosawharf/mimosawharf/internal/daemon"
	"github.com/mimosawharf/mimosawharf/internal/maintenance"
	"github.com/mimosawharf/mimosawharf/internal/move"
	"github.com/mimosawharf/mimosawharf/internal/request"
)

// Guards against a transition table in the code that differs from the documented one.
func TestTransitionTablesMatchDesign(t *testing.T) {
	page, err := os.ReadFile("../../docs/design.md")
	is.New(t).NoErr(err)
	cases := []struct {
		name  string
		table fsm.Events
	}{
		{"VM", move.Transitions()},
		{"Wave", maintenance.Transitions()},
		{"Request", request.Transitions()},
		{"Daemon", daemon.Transitions()},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(transitionsOf(c.table), parseTransitions(string(page), c.name))
		})
	}
}

func transitionsOf(table fsm.Events) []string {
	var list []string
	for _, e := range table {
		for _, source := range e.Src {
			list = append(list, source+" "+e.Name+" "+e.Dst)
		}
	}
	slices.Sort(list)
	return list
}

// parseTransitions parses a line such as "**VM** (...): `a`|`b` -event-> `c` -event-> `d`; ...".
func parseTransitions(page, name string) []string {
	_, rest, _ := strings.Cut(page, "**"+name+"** (")
	line, _, _ := strings.Cut(rest, "\n")
	_, line, _ = strings.Cut(line, ": ")
	arrow := regexp.MustCompile(` -([a-z-]+)-> `)
	state := regexp.MustCompile("`([a-z-]+)`")
	var list []string
	for _, chain := range strings.Split(line, ";") {
		events := arrow.FindAllStringSubmatch(chain, -1)
		parts := arrow.Split(chain, -1)
		for i, e := range events {
			target := state.FindStringSubmatch(parts[i+1])[1]
			for _, source := range state.FindAllStringSubmatch(parts[i], -1) {
				list = append(list, source[1]+" "+e[1]+" "+target)
			}
		}
	}
	slices.Sort(list)
	return list
}
