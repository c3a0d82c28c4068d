package endpoint_test

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/mimosawharf/mimosawharf/internal/request"
	standin "github.com/mimosawharf/mimosawharf/internal/standin/endpoint"
)

// replayer forwards connections to an endpoint and can send its last answer on the first of them again.
type replayer struct {
	endpoint string

	mu     sync.Mutex
	first  net.Conn
	answer []byte
}

func startReplayer(t *testing.T, endpoint string) (*replayer, string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	p := &replayer{endpoint: endpoint}
	var forwarders sync.WaitGroup
	ctx, cancel := context.WithCancel(context.Background())
	forwarders.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			p.mu.Lock()
			if p.first == nil {
				p.first = conn
			}
			isFirst := p.first == conn
			p.mu.Unlock()
			forwarders.Go(func() { p.forward(ctx, conn, isFirst) })
		}
	})
	t.Cleanup(func() { cancel(); _ = listener.Close(); forwarders.Wait() })
	return p, listener.Addr().String()
}

func (p *replayer) forward(ctx context.Context, conn net.Conn, isFirst bool) {
	target, err := net.Dial("tcp", p.endpoint)
	if err != nil {
		_ = conn.Close()
		return
	}
	end := func() { _ = conn.Close(); _ = target.Close() }
	defer context.AfterFunc(ctx, end)()
	var requests sync.WaitGroup
	requests.Go(func() {
		defer end()
		copyTo(target, conn, func([]byte) {})
	})
	copyTo(conn, target, func(part []byte) {
		p.mu.Lock()
		defer p.mu.Unlock()
		if isFirst {
			p.answer = append(p.answer, part...)
		}
	})
	end()
	requests.Wait()
}

func copyTo(to, from net.Conn, saw func([]byte)) {
	part := make([]byte, 4096)
	for {
		n, err := from.Read(part)
		if err != nil {
			return
		}
		saw(part[:n])
		if _, err := to.Write(part[:n]); err != nil {
			return
		}
	}
}

func (p *replayer) replay() {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, _ = p.first.Write(p.answer)
}

// Guards against a repeated answer on a kept connection that counts as the answer to the next attempt, which would then
// be "not run" although it runs.
func TestRepeatedAnswerIsNotTakenForTheNextAttempt(t *testing.T) {
	is := is.New(t)
	var p *replayer
	var attempts int
	var repeated sync.Once
	answered := make(chan struct{}, 8)
	f := newFixtureWithContext(httptrace.WithClientTrace(context.Background(), &httptrace.ClientTrace{
		GotConn:              func(httptrace.GotConnInfo) { attempts++ },
		GotFirstResponseByte: func() { answered <- struct{}{} },
		// The request is still in the buffer of net/http.
		WroteHeaderField: func(string, []string) {
			if attempts == 2 {
				repeated.Do(func() { p.replay(); <-answered })
			}
		},
	}), t)
	e, address := f.startEndpoint(t)
	p, address = startReplayer(t, address)
	e.SetFault(standin.InjectedFault{Fault: standin.FaultBusy})
	is.Equal(f.call(is, address, "one", 10*time.Second).Kind, request.ResultNotRun)
	<-answered
	e.SetFault(standin.InjectedFault{})
	is.Equal(f.call(is, address, "one", 10*time.Second).Kind, request.ResultAnswered)
}
