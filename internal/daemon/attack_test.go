package daemon_test

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/mimosawharf/mimosawharf/internal/clock"
	"github.com/mimosawharf/mimosawharf/internal/credential"
	callerv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/caller/v1"
	"github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/caller/v1/callerv1connect"
	configv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/config/v1"
	operatorv1 "github.com/mimosawharf/mimosawharf/pkg/api/mimosawharf/operator/v1"
)

// attack is an unauthorized or malformed call and the result that it must get.
type attack struct {
	name string
	try  func(s *setup) string
	want string
}

// callResult returns "done", the code of the entry's error, or "no connection".
func callResult(err error) string {
	switch {
	case err == nil:
		return "done"
	case connect.IsWireError(err):
		return connect.CodeOf(err).String()
	default:
		return "no connection"
	}
}

// drainVM drains a VM, which viewers may not do.
func (s *setup) drainVM(source *credential.Source) string {
	_, err := s.operator(source).ChangeVM(s.ctx, connect.NewRequest(&operatorv1.ChangeVMRequest{Vm: "vm-1", Action: "drain"}))
	return callResult(err)
}

// addPool applies a change of the configuration, or makes a dry run of it.
func (s *setup) addPool(source *credential.Source, dryRun bool) string {
	_, err := s.operator(source).ApplyConfiguration(s.ctx, connect.NewRequest(&operatorv1.ApplyConfigurationRequest{
		DryRun: dryRun, Changes: []*configv1.Change{{Item: &configv1.Change_PutPool{PutPool: &configv1.Pool{Id: "new", Budget: &configv1.Budget{MaxUnavailableVms: 1}}}}},
	}))
	return callResult(err)
}

// issuedBy returns credentials of an admin that the authority a issued the given time ago.
func (s *setup) issuedBy(a *credential.Authority, ago time.Duration) *credential.Source {
	m, err := a.Material(clock.Real().Now().Add(-ago), "mallory", credential.RoleAdmin)
	s.is.NoErr(err)
	trusted := s.source("mallory", credential.RoleAdmin).Material.Get()
	source := &credential.Source{Clock: clock.Real()}
	source.Material.Set(&credential.Material{Certificate: m.Certificate, Authorities: trusted.Authorities})
	return source
}

func operatorAttacks() []attack {
	return []attack{
		{"viewer drains a VM", func(s *setup) string { return s.drainVM(s.source("victor", credential.RoleViewer)) }, "permission_denied"},
		{"viewer applies a configuration", func(s *setup) string { return s.addPool(s.source("victor", credential.RoleViewer), false) }, "permission_denied"},
		{"operator applies a configuration", func(s *setup) string { return s.addPool(s.source("oscar", credential.RoleOperator), false) }, "permission_denied"},
		{"viewer makes a dry run, which is allowed", func(s *setup) string { return s.addPool(s.source("victor", credential.RoleViewer), true) }, "done"},
		{"expired certificate", func(s *setup) string { return s.drainVM(s.issuedBy(s.authority, 3*time.Hour)) }, "no connection"},
		{"certificate of a foreign authority", func(s *setup) string {
			foreign, err := credential.NewAuthority(clock.Real().Now(), time.Hour)
			s.is.NoErr(err)
			return s.drainVM(s.issuedBy(foreign, 0))
		}, "no connection"},
		{"certificate of an entry", func(s *setup) string { return s.drainVM(s.source("entry-a", credential.RoleEntry)) }, "no connection"},
		{"forged operator headers", func(s *setup) string {
			api := s.operatorWith(s.source("victor", credential.RoleViewer), headers{credential.HeaderOperator: "alice", credential.HeaderRole: "admin"})
			_, err := api.ChangeVM(s.ctx, connect.NewRequest(&operatorv1.ChangeVMRequest{Vm: "vm-1", Action: "drain"}))
			return connect.CodeOf(err).String()
		}, "permission_denied"},
		{"forged operator in the audit trail", func(s *setup) string {
			api := s.operatorWith(s.source("oscar", credential.RoleOperator), headers{credential.HeaderOperator: "alice"})
			_, err := api.ChangeVM(s.ctx, connect.NewRequest(&operatorv1.ChangeVMRequest{
				Vm: "vm-1", Action: "drain", Operation: &operatorv1.Operation{Reason: "x\n{\"level\":\"error\",\"msg\":\"forged\"}"},
			}))
			s.is.NoErr(err)
			list, err := api.ListAudit(s.ctx, connect.NewRequest(&operatorv1.ListAuditRequest{Limit: 1}))
			s.is.NoErr(err)
			_, err = api.ChangeVM(s.ctx, connect.NewRequest(&operatorv1.ChangeVMRequest{Vm: "vm-1", Action: "cancel"}))
			s.is.NoErr(err)
			return list.Msg.GetRows()[0].GetActor()
		}, "oscar"},
	}
}

func callerAttacks() []attack {
	return []attack{
		{"wrong secret", func(s *setup) string { return s.submit(s.caller("newsroom", "guess"), planRequest("")) }, "unauthenticated not-run not-permitted"},
		{"unknown account", func(s *setup) string { return s.submit(s.caller("nobody", ""), planRequest("")) }, "unauthenticated not-run not-permitted"},
		{"ticket of another account", func(s *setup) string {
			return s.submit(s.caller("weather", "other"), s.swapRequest("stolen", s.issueTicket()))
		}, "not-run ticket-invalid"},
		{"altered ticket", func(s *setup) string {
			altered := bytes.Clone(s.issueTicket())
			altered[len(altered)-1] ^= 1
			return s.submit(s.caller("newsroom", newsroomSecret), s.swapRequest("altered", altered))
		}, "not-run ticket-invalid"},
		{"no ticket", func(s *setup) string {
			return s.submit(s.caller("newsroom", newsroomSecret), s.swapRequest("bare", nil))
		}, "not-run ticket-required"},
		{"replayed ticket", func(s *setup) string {
			ticket := s.issueTicket()
			first := s.submit(s.caller("newsroom", newsroomSecret), s.swapRequest("replay", ticket))
			return first + " " + s.submit(s.caller("newsroom", newsroomSecret), s.swapRequest("replay-2", ticket))
		}, "ok ok"},
		{"replayed ticket asks for the answer of another account", func(s *setup) string {
			ticket := s.issueTicket()
			s.is.Equal(s.submit(s.caller("newsroom", newsroomSecret), s.swapRequest("private", ticket)), "ok")
			return s.submit(s.caller("weather", "other"), s.swapRequest("private", ticket))
		}, "not-run ticket-invalid"},
		{"log injection through a request id", func(s *setup) string {
			return s.submit(s.caller("newsroom", newsroomSecret), planRequest("a\n{\"level\":\"error\",\"msg\":\"forged\"}"))
		}, "invalid_argument not-run malformed"},
		{"log injection through the name of an account", func(s *setup) string {
			return s.postSubmit("Mimosawharf-Account", "x\"}\\n{\"msg\":\"forged\"", "application/json", "{}")
		}, "401 not-permitted"},
		{"deeply nested message", func(s *setup) string {
			return s.postSubmit("X-Any", "", "application/json", strings.Repeat(`{"x":`, 20_000)+"1"+strings.Repeat("}", 20_000))
		}, "400 malformed"},
		{"deeply nested groups", func(s *setup) string {
			return s.postSubmit("X-Any", "", "application/proto", strings.Repeat("\x7b", 20_000)+strings.Repeat("\x7c", 20_000))
		}, "400 malformed"},
		{"bytes that are not a message", func(s *setup) string { return s.postSubmit("X-Any", "", "application/proto", "\x0a\xff\xff") }, "400 malformed"},
		{"oversized message", func(s *setup) string {
			return s.postSubmit("X-Any", "", "application/json", strings.Repeat(" ", 3<<20))
		}, "429 body-too-large"},
		{"oversized header", func(s *setup) string {
			return s.postSubmit("X-Any", strings.Repeat("x", 64<<10), "application/json", "{}")
		}, "431 "},
		{"priority claimed by the caller", func(s *setup) string {
			return s.postSubmit("Mimosawharf-Class", "urgent", "application/json", `{"service":"shifts","request-type":"storm","class":"urgent"}`)
		}, "200 "},
	}
}

func (s *setup) swapRequest(id string, ticket []byte) *callerv1.SubmitRequest {
	return &callerv1.SubmitRequest{Service: "shifts", RequestType: "swap", RequestId: id, Ticket: ticket, Body: []byte("swap")}
}

// issueTicket returns a new ticket of account newsroom.
func (s *setup) issueTicket() []byte {
	response, err := s.caller("newsroom", newsroomSecret).IssueTickets(s.ctx, connect.NewRequest(&callerv1.IssueTicketsRequest{Count: 1}))
	s.is.NoErr(err)
	return response.Msg.GetTickets()[0]
}

// postSubmit submits raw bytes as account newsroom over HTTP/1.1 and returns the status code and the
// reason of a refusal.
func (s *setup) postSubmit(header, value, contentType, body string) string {
	r, err := http.NewRequest(http.MethodPost, "https://"+string(s.settings.CallerAddress)+callerv1connect.CallerServiceSubmitProcedure, strings.NewReader(body))
	s.is.NoErr(err)
	r.Header.Set("Mimosawharf-Account", "newsroom")
	r.Header.Set("Authorization", "Bearer "+newsroomSecret)
	r.Header.Set("Content-Type", contentType)
	r.Header.Set(header, value)
	c := httpClient(s.callerTLS(), false)
	defer c.CloseIdleConnections()
	response, err := c.Do(r)
	s.is.NoErr(err)
	data, err := io.ReadAll(response.Body)
	s.is.NoErr(err)
	s.is.NoErr(response.Body.Close())
	var problem struct {
		Details []struct{ Value string }
	}
	_ = json.Unmarshal(data, &problem)
	status, _, _ := strings.Cut(response.Status, " ")
	for _, d := range problem.Details {
		var refusal callerv1.Refusal
		value, err := base64.RawStdEncoding.DecodeString(d.Value)
		s.is.NoErr(err)
		s.is.NoErr(proto.Unmarshal(value, &refusal))
		return status + " " + refusal.GetReason()
	}
	return status + " "
}

// Guards against access beyond what a certificate, secret or ticket allows, against a refusal that does
// not say whether the request ran, and against untrusted text that forges log lines.
func TestAttacks(t *testing.T) {
	s := newSetup(t, time.Millisecond)
	s.configure()
	for _, a := range append(operatorAttacks(), callerAttacks()...) {
		t.Run(a.name, func(t *testing.T) {
			is.New(t).Equal(a.try(s), a.want)
		})
	}
	runs, err := s.endpoint.Observe(s.ctx)
	s.is.NoErr(err)
	for id, n := range runs.Runs {
		s.is.Equal(n, 1)
		s.is.True(id != "stolen" && id != "altered" && id != "bare" && id != "replay-2")
	}
	s.stop()
	for _, line := range strings.Split(strings.TrimSpace(s.logs.String()), "\n") {
		var entry struct{ Msg string }
		s.is.NoErr(json.Unmarshal([]byte(line), &entry))
		s.is.True(entry.Msg != "forged")
	}
	s.is.True(!strings.Contains(s.logs.String(), newsroomSecret))
}

// Guards against an account that cancels, reads or blocks a request of another account by its id.
func TestAccountsCannotReachEachOther(t *testing.T) {
	s := newSetup(t, 300*time.Millisecond)
	s.configure()
	outcomes := make(chan string, 2)
	go func() { outcomes <- s.submit(s.caller("newsroom", newsroomSecret), planRequest("rota-49")) }()
	s.until(func() bool {
		o, err := s.endpoint.Observe(s.ctx)
		return err == nil && o.Runs["rota-49"] == 1
	})
	weather := s.caller("weather", "other")
	cancelled, err := weather.Cancel(s.ctx, connect.NewRequest(&callerv1.CancelRequest{RequestIds: []string{"rota-49"}}))
	s.is.NoErr(err)
	s.is.Equal(cancelled.Msg.GetDequeued()+cancelled.Msg.GetStopping(), uint32(0))
	other := planRequest("rota-49")
	other.Body = []byte("other body")
	response, err := weather.Submit(s.ctx, connect.NewRequest(other))
	s.is.NoErr(err)
	s.is.Equal(string(response.Msg.GetAnswer().GetBody()), "other body")
	s.is.Equal(<-outcomes, "ok")
}
