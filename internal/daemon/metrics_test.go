package daemon_test

import (
	"encoding/json"
	"net/http"
	"regexp"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"

	"github.com/mimosawharf/mimosawharf/internal/credential"
	operatorv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/operator/v1"
)

// Guards against metrics that are missing or that scrapers cannot parse, and against an urgent request
// that is counted for an account without a priority grant.
func TestMetricsPageOfARunningEntry(t *testing.T) {
	s := newSetup(t, time.Millisecond)
	s.configure()
	newsroom, weather := s.caller("newsroom", newsroomSecret), s.caller("weather", "other")
	s.is.Equal(s.submit(s.caller("newsroom", "guess"), planRequest("")), "unauthenticated not-run not-permitted")
	s.is.Equal(s.submit(newsroom, s.swapRequest("bare", nil)), "not-run ticket-required")
	storm := planRequest("storm-1")
	storm.RequestType = "storm"
	s.is.Equal(s.submit(newsroom, storm), "ok")
	_, err := s.operator(s.source("oscar", credential.RoleOperator)).ChangeVM(s.ctx, connect.NewRequest(&operatorv1.ChangeVMRequest{Vm: "vm-1", Action: "drain"}))
	s.is.NoErr(err)
	page := ""
	pageShows := func(patterns ...string) func() bool {
		return func() bool {
			page, _, err = get(http.DefaultClient, "http://"+string(s.settings.HealthAddress)+"/metrics")
			s.is.NoErr(err)
			for _, p := range patterns {
				if !regexp.MustCompile("(?m)^mimosawharf_" + p).MatchString(page) {
					s.missing = p
					return false
				}
			}
			return true
		}
	}
	s.until(pageShows(
		`ring_depth{ring="dispatcher"} 0`, `ring_capacity{ring="dispatcher"} \d{4}`, `ring_refusals{ring="dispatcher"} 0`,
		`ring_depth{ring="table-writer"}`, `ring_depth{ring="calls"}`, `requests_in_flight 0`,
		`requests{outcome="answer",reason=""} \d`, `requests{outcome="not-run",reason="not-permitted"} 1`,
		`requests{outcome="not-run",reason="ticket-required"} 1`,
		`wait_seconds_count{class="normal"} \d`, `wait_seconds_bucket{class="normal",le="0.001"}`, `retries{class="normal"} \d`,
		`ejected_endpoints 0`, `slots_lent 0`, `slots_borrowed 0`, `short_wait_p99_seconds \d`,
		`config_revision 1`, `table_revision \d`, `view_age_seconds \d`, `vm_list_age_seconds \d`,
		`grants{pool="desk"} 1`, `buffer_cost_vm_hours \d`, `vm_moves 0`,
	))
	s.is.True(!strings.Contains(page, `wait_seconds_count{class="urgent"} 1`))
	_, err = s.operator(s.source("oscar", credential.RoleOperator)).ChangeVM(s.ctx, connect.NewRequest(&operatorv1.ChangeVMRequest{Vm: "vm-1", Action: "cancel"}))
	s.is.NoErr(err)
	s.until(pageShows(`grants{pool="desk"} 0`))
	s.until(func() bool { return s.submit(weather, storm) == "ok" })
	s.until(pageShows(`wait_seconds_count{class="urgent"} 1`))
	s.until(pageShows(`ring_depth{ring="dispatcher"}`))
}

// Guards against log lines without the prefix of their part, and against requests that cannot be traced
// through the log by their id.
func TestLogLinesNamePartAndRequest(t *testing.T) {
	s := newSetup(t, time.Millisecond)
	s.configure()
	s.is.Equal(s.submit(s.caller("newsroom", newsroomSecret), planRequest("rota-7")), "ok")
	s.stop()
	followed := map[string]bool{}
	for _, line := range strings.Split(strings.TrimSpace(s.logs.String()), "\n") {
		var entry struct{ Msg, Request string }
		s.is.NoErr(json.Unmarshal([]byte(line), &entry))
		part, sentence, _ := strings.Cut(entry.Msg, ": ")
		s.is.True(regexp.MustCompile("^[a-z-]+$").MatchString(part))
		s.is.True(sentence != "" && len(sentence) < 80)
		if entry.Request == "rota-7" {
			followed[part] = true
		}
	}
	s.is.True(followed["caller"] && followed["endpoint"])
}
