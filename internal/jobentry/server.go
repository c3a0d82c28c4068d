package jobentry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/mimosawharf/mimosawharf/internal/door"
	"github.com/mimosawharf/mimosawharf/internal/door/httpdoor"
	"github.com/mimosawharf/mimosawharf/internal/jobpeer"
	"github.com/mimosawharf/mimosawharf/pkg/fleet"
)

// Limits of connections.
const (
	// headerTimeout bounds reading the headers of a request.
	headerTimeout = 3 * time.Second
	// idleTimeout is how long an idle connection stays open.
	idleTimeout = 60 * time.Second
	// dialTimeout bounds dialing another entry.
	dialTimeout = 300 * time.Millisecond
	// defaultHeaderBytes bounds the headers of a request to a server that sets no MaxHeaderBytes.
	defaultHeaderBytes = 16 << 10
)

// httpServer is a duty that serves HTTP on one listener.
type httpServer struct {
	name     fleet.DutyName
	listener net.Listener
	server   *http.Server
}

// Name implements duty.Duty.
func (s *httpServer) Name() fleet.DutyName { return s.name }

// Run implements duty.Duty.
func (s *httpServer) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = s.server.Close() }) // The process ends.
	defer stop()
	err := s.server.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) {
		<-ctx.Done()
		return trace.Wrap(ctx.Err())
	}
	return trace.Wrap(err)
}

// servers opens all listeners. It returns *ListenError.
func (e *Entry) servers() ([]*httpServer, error) {
	peerMux := http.NewServeMux()
	peerMux.Handle((&jobpeer.PeerHandler{Scheduler: e.feeds.Scheduler}).Path())
	peerMux.Handle((&jobpeer.Jobs{Feeds: jobpeer.JobFeeds{Config: e.feeds.Config, Intakes: e.feeds.Intakes, JobRequests: e.feeds.JobRequests}, Clock: e.Clock}).Path())
	peerMux.Handle((&jobpeer.RelayHandler{
		Sessions: e.relaySessions, Clock: e.Clock, MemoryOf: httpdoor.BudgetOf, Ready: func() bool { return e.drainCtx.Err() == nil },
	}).Path())
	metricsMux := http.NewServeMux()
	metricsMux.Handle("GET /metrics", e.registry.Page)
	all := append(e.Platform.Servers(e.feeds), Server{
		Duty: "http-peer", Address: e.self.Address, Handler: peerMux, Audience: AudiencePeers,
		MaxBody: func() fleet.Bytes { return jobpeer.MaxMessage }, NewScanner: jobpeer.NewScanner,
	})
	if e.MetricsAddress != "" {
		all = append(all, Server{Duty: "http-metrics", Address: e.MetricsAddress, Handler: metricsMux, Audience: AudienceProbes})
	}
	limits := door.LimitsOf(e.Memory, e.Descriptors)
	var list []*httpServer
	for _, s := range all {
		l, err := net.Listen("tcp4", string(s.Address))
		if err != nil {
			return nil, trace.Wrap(&ListenError{Address: s.Address, Cause: err})
		}
		maxHeader := s.MaxHeaderBytes
		if maxHeader == 0 {
			maxHeader = defaultHeaderBytes
		}
		server := &http.Server{
			Handler: s.Handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeader, ErrorLog: zap.NewStdLog(e.Log),
		}
		list = append(list, &httpServer{name: s.Duty, server: server, listener: e.door(s, limits).Attach(server, l)})
	}
	return list, nil
}

// door returns the bounds of one server.
func (e *Entry) door(s Server, limits door.Limits) *httpdoor.Door {
	d := &httpdoor.Door{Name: s.Duty, Clock: e.Clock, Log: e.Log, Scope: e.registry.Scope, NewScanner: s.NewScanner, MaxBody: s.MaxBody, Admits: s.Admits}
	places, bytes := limits.CallerPlaces, limits.CallerBytes
	switch s.Audience {
	case AudiencePeers:
		places, bytes = limits.PeerPlaces, limits.PeerBytes
	case AudienceProbes:
		places, bytes = limits.ProbePlaces, probeBytes
	}
	d.Places, d.Budget = door.NewPlaces(places), door.NewBudget(bytes, places)
	if d.MaxBody == nil {
		d.MaxBody = func() fleet.Bytes { return probeBytes }
	}
	return d
}

// ListenError reports an address that cannot be listened on.
type ListenError struct {
	Address fleet.Address
	Cause   error
}

// Error implements error.
func (e *ListenError) Error() string {
	return "listen on " + string(e.Address) + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Cause }
