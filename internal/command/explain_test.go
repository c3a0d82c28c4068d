package command_test

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/mimosawharf/mimosawharf/internal/clock"
	"github.com/mimosawharf/mimosawharf/internal/command"
)

// Log lines of two entries, as they are written, with lines of other jobs and text that is not JSON.
const (
	entryLog = `entry-1 {"ts":"2026-01-01T00:00:01Z","msg":"front: request","method":"POST","job":"aa","status":200,"reason":"stored"}
entry-1 {"ts":"2026-01-01T00:00:01Z","msg":"front: request","method":"POST","job":"bb","status":503,"reason":"the store is not available"}
not a log line
`
	holderLog = `{"ts":"2026-01-01T00:00:02Z","msg":"shard: task assigned","service":"s","job":"aa","task":"aa.0.0.0","run":1,"endpoint":"i-1","since-due":1.5}
{"ts":"2026-01-01T00:00:03Z","msg":"lease: runs of an endpoint given up","service":"s","endpoint":"i-1","runs":1,"reason":"restarted"}
{"ts":"2026-01-01T00:00:03Z","msg":"lease: run given up","service":"s","job":"aa","task":"aa.0.0.0","run":1,"endpoint":"i-1","started-ms":2001,"assigned-started-ms":1001,"reason":"restarted","evidence":"start-answered","evidence-age":0.25,"since-answer":0.25,"lease-left":3.5}
{"ts":"2026-01-01T00:00:03Z","msg":"lease: endpoint restarted","service":"s","endpoint":"i-1","started-ms":2001,"previous-started-ms":1001,"runs":1,"kept":0}
{"ts":"2026-01-01T00:00:03.5Z","msg":"shard: endpoint set aside","service":"s","endpoint":"i-9"}
{"ts":"2026-01-01T00:00:04Z","msg":"shard: run ended","service":"s","job":"aa","task":"aa.0.0.0","run":2,"endpoint":"i-2","how":"done","ran":0.5}
{"ts":"2026-01-01T00:00:04Z","msg":"shard: job ended","service":"s","job":"aa","state":"completed","since-due":3}
{"ts":"2026-01-01T00:00:05Z","msg":"shard: task assigned","service":"s","job":"dd","task":"dd.0.0.0","run":2,"endpoint":"i-2","since-due":1}
{"ts":"2026-01-01T00:00:06Z","msg":"lease: foreign run listed","service":"s","job":"dd","task":"dd.0.0.0","run":1,"endpoint":"i-1","started-ms":2001,"clock":12.5,"current-run":2,"current-endpoint":"i-2","current-started-ms":3001,"evidence":"listed"}
{"ts":"2026-01-01T00:00:07Z","msg":"lasting: task waits","service":"s","job":"ee","task":"ee.0.0.1","run":1,"endpoint":"i-1","reason":"inherited-lease","waited":2,"lease-left":11.5}
{"ts":"2026-01-01T00:00:20Z","msg":"lasting: task runs again","service":"s","job":"ee","task":"ee.0.0.1","run":2,"endpoint":"i-2","reason":"inherited-lease","waited":15.5,"from-predecessor":true}
`
)

// Guards against explanations that leave out what happened to the endpoint of a run, or name no cause.
func TestExplainNamesTheCause(t *testing.T) {
	directory := t.TempDir()
	one, two := filepath.Join(directory, "one.log"), filepath.Join(directory, "two.log")
	is.New(t).NoErr(os.WriteFile(one, []byte(entryLog), 0o600))
	is.New(t).NoErr(os.WriteFile(two, []byte(holderLog), 0o600))
	for _, c := range []struct {
		name, job string
		want      []string
		not       string
	}{
		{"late", "aa", []string{"given up", "cause: completed after 3.0 s: first task after 1.5 s, 0 failed and 1 repeated runs"}, "i-9"},
		{"restarted", "aa", []string{"started-ms=2001 assigned-started-ms=1001", "reason=restarted evidence=start-answered", "lease-left=3.50s", "previous-started-ms=1001"}, "i-9"},
		{"twice", "dd", []string{"; 1 foreign runs, first: run 1 of dd.0.0.0 at i-1 while run 2 was assigned to i-2", "current-endpoint=i-2"}, "i-9"},
		{"waiting", "ee", []string{"; longest wait of a lasting task: ee.0.0.1 for 15.5 s (inherited-lease)", "lease-left=11.50s waited=2.00s"}, "aa"},
		{"refused", "bb", []string{"cause: never accepted: refused with 503: the store is not available"}, "aa"},
		{"unknown", "cc", []string{"cause: no line names the job"}, "front"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var out, problems bytes.Buffer
			code := command.Program{Output: &out, Errors: &problems, Clock: clock.Real()}.Run(context.Background(), []string{"explain", c.job, two, one})
			is.Equal(code, command.ExitOK)
			for _, want := range c.want {
				is.True(strings.Contains(out.String(), want))
			}
			is.True(!strings.Contains(out.String(), c.not))
		})
	}
}
