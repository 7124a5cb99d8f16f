package scheduler_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/catalog"
	"github.com/mangostage/mangostage/dispatch"
	"github.com/mangostage/mangostage/internal/testwait"
	"github.com/mangostage/mangostage/peer"
	"github.com/mangostage/mangostage/platform"
	"github.com/mangostage/mangostage/platform/standin"
	"github.com/mangostage/mangostage/quota"
	"github.com/mangostage/mangostage/scheduler"
	"github.com/mangostage/mangostage/wire"
)

// waitTimeout bounds each wait of these tests.
const waitTimeout = 10 * time.Second

// process is one member of a fleet with its scheduler.
type process struct {
	node      *peer.Node
	scheduler *scheduler.Scheduler
	addr      string
}

func newProcess(t *testing.T, name string) *process {
	t.Helper()
	mux := peer.NewMux()
	quotas := quota.NewClient(quota.NewTable(func() quota.Allowance { return quota.Allowance{Share: 1} }), newStubOwners(nil), zerolog.Nop())
	p := &process{scheduler: scheduler.New("test", platform.NewStageClient(http.DefaultClient), quotas.Table(), nil, nil, quotas, zerolog.Nop())}
	scheduler.Serve(mux, p.scheduler)
	p.node = peer.NewNode(peer.Config{Hello: func() wire.Hello {
		return wire.Hello{Process: wire.Process{Name: name, Incarnation: name}}
	}}, mux)
	addr, err := p.node.Listen("127.0.0.1:0")
	assert.NilError(t, err)
	p.addr = addr.String()
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { p.scheduler.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		running.Wait()
		p.node.Close()
	})
	return p
}

func (p *process) dial(t *testing.T, to *process) *peer.Conn {
	t.Helper()
	conn, err := p.node.Dial(context.Background(), to.addr)
	assert.NilError(t, err)
	return conn
}

// stubOwners is a scheduler.Owners whose owner the test sets.
type stubOwners struct {
	mu   sync.Mutex
	conn *peer.Conn
	lost chan struct{}
}

func newStubOwners(conn *peer.Conn) *stubOwners {
	return &stubOwners{conn: conn, lost: make(chan struct{})}
}

func (o *stubOwners) OwnerConn() *peer.Conn {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.conn
}

func (o *stubOwners) Broadcast(string, any) {}

func (o *stubOwners) Owns() bool { return o.OwnerConn() == nil }

func (o *stubOwners) Lost(*peer.Conn) <-chan struct{} {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.lost
}

func (o *stubOwners) OwnerKnown() <-chan struct{} {
	settled := make(chan struct{})
	close(settled)
	return settled
}

// set sets the connection to the owner; lose also declares the former owner lost.
func (o *stubOwners) set(conn *peer.Conn, lose bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.conn = conn
	if lose {
		close(o.lost)
		o.lost = make(chan struct{})
	}
}

// testView returns a view with a model engine and one endpoint of a stage.
func testView(stageAddr string) *catalog.View {
	c := &catalog.Config{Version: 1, Services: []catalog.Service{
		{Name: "model", Model: &catalog.Model{Slots: 8, CacheTokens: 1000}},
		{Name: "stage", Batch: &catalog.Batch{Slots: 1, Items: 4, CallTime: time.Second, ItemTime: time.Millisecond, Room: 1000, ResultTTL: time.Minute}},
	}}
	return catalog.NewView(catalog.NewIndex(c), []*catalog.Endpoint{
		{ID: "m-1", Service: "model", Addr: "m"},
		{ID: "s-1", Service: "stage", Addr: stageAddr},
	}, 1)
}

// testJob returns a job with one piece for the stage of testView.
func testJob(ticket string) dispatch.Job {
	return dispatch.Job{
		Ticket: ticket, Request: ticket, Service: "model", Route: "r", PieceKey: "k",
		Stages:    []dispatch.StageWork{{Service: "stage", Pieces: 1, ResultBytes: 10}},
		Objective: 5 * time.Second, RouteObjective: 5 * time.Second, Deadline: 8 * time.Second,
	}
}

// stageServer starts a server and returns its address.
func stageServer(t *testing.T, h http.Handler) string {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

func TestJobGoesToTheOwner(t *testing.T) {
	a, b := newProcess(t, "a"), newProcess(t, "b")
	stage := &standin.StageEndpoint{ID: "s-1", Addr: "s"}
	b.scheduler.SetView(testView(stageServer(t, stage)))
	client := scheduler.NewClient(a.scheduler, newStubOwners(a.dial(t, b)), zerolog.Nop())
	lease, err := client.Submit(context.Background(), testJob("1"))
	assert.NilError(t, err)
	assert.Equal(t, lease.Grant.Endpoint, "m-1")
	assert.Equal(t, lease.Owner, "b")
	assert.Equal(t, len(lease.Grant.Inputs), 1)
	lease.FirstEvent()
	lease.Done(true)
	deadline := time.Now().Add(waitTimeout)
	for stage.ResultCount() > 0 {
		assert.Assert(t, time.Now().Before(deadline), "the result was not freed")
	}
}

// The owner's VM freezes while a request waits for its stages: the job must move to the
// next owner, and the request must not wait for its deadline.
func TestLostOwner(t *testing.T) {
	a, b, c := newProcess(t, "a"), newProcess(t, "b"), newProcess(t, "c")
	began := make(chan struct{})
	var once sync.Once
	hangs := stageServer(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		// The server notices that a caller has left only once the body is read.
		_, _ = io.Copy(io.Discard, r.Body)
		once.Do(func() { close(began) })
		<-r.Context().Done()
	}))
	b.scheduler.SetView(testView(hangs))
	c.scheduler.SetView(testView(stageServer(t, &standin.StageEndpoint{ID: "s-1", Addr: "s"})))
	owners := newStubOwners(a.dial(t, b))
	next := a.dial(t, c)
	client := scheduler.NewClient(a.scheduler, owners, zerolog.Nop())
	go func() {
		<-began
		owners.set(next, true)
	}()
	lease, err := client.Submit(context.Background(), testJob("1"))
	assert.NilError(t, err)
	assert.Equal(t, lease.Owner, "c")
	b.node.DropAll()
}

// The owner is replaced as planned: jobs without a started piece move to the next one.
func TestHandOverMovesJobs(t *testing.T) {
	a, b, c := newProcess(t, "a"), newProcess(t, "b"), newProcess(t, "c")
	began := make(chan struct{}, 8)
	release := make(chan struct{})
	inner := &standin.StageEndpoint{ID: "s-1", Addr: "s"}
	b.scheduler.SetView(testView(stageServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		began <- struct{}{}
		<-release
		inner.ServeHTTP(w, r)
	}))))
	c.scheduler.SetView(testView(stageServer(t, &standin.StageEndpoint{ID: "s-1", Addr: "s"})))
	owners := newStubOwners(a.dial(t, b))
	next := a.dial(t, c)
	client := scheduler.NewClient(a.scheduler, owners, zerolog.Nop())
	granted := make(chan string, 2)
	submit := func(ticket string) {
		lease, err := client.Submit(context.Background(), testJob(ticket))
		if err == nil && lease.Grant != nil {
			granted <- ticket + " " + lease.Owner
		}
	}
	go submit("first")
	<-began
	go submit("second")
	testwait.For(t, waitTimeout, func() bool { return b.scheduler.Stats().Jobs == 2 })
	owners.set(next, false)
	b.scheduler.HandOver()
	assert.Equal(t, <-granted, "second c")
	close(release)
	assert.Equal(t, <-granted, "first b")
}

// This process owns the queue and serves its own requests.
func TestSingleProcess(t *testing.T) {
	a := newProcess(t, "a")
	a.scheduler.SetView(testView(stageServer(t, &standin.StageEndpoint{ID: "s-1", Addr: "s"})))
	client := scheduler.NewClient(a.scheduler, newStubOwners(nil), zerolog.Nop())
	lease, err := client.Submit(context.Background(), testJob("1"))
	assert.NilError(t, err)
	assert.Equal(t, lease.Owner, "")
	assert.Assert(t, lease.Grant != nil)
}

// The client leaves while its pieces run: no job is left at the owner, and the result
// that arrives later is freed.
func TestCallerLeaves(t *testing.T) {
	a := newProcess(t, "a")
	began, left := make(chan struct{}, 4), make(chan struct{})
	inner := &standin.StageEndpoint{ID: "s-1", Addr: "s"}
	a.scheduler.SetView(testView(stageServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "stage-run") {
			began <- struct{}{}
			<-left
		}
		inner.ServeHTTP(w, r)
	}))))
	client := scheduler.NewClient(a.scheduler, newStubOwners(nil), zerolog.Nop())
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-began
		cancel()
	}()
	_, err := client.Submit(ctx, testJob("1"))
	assert.Assert(t, errorx.IsOfType(err, scheduler.ErrCallerLeft))
	assert.Equal(t, a.scheduler.Stats().Jobs, 0)
	close(left)
	testwait.For(t, waitTimeout, func() bool { return len(inner.CompletedPieces()) == 1 && inner.ResultCount() == 0 })
}

// Guards against a job that is submitted twice: the second submission is refused, and the
// first caller still gets its decision.
func TestDuplicateSubmission(t *testing.T) {
	p := newProcess(t, "a")
	release := make(chan struct{})
	began := make(chan struct{})
	var once sync.Once
	stage := &standin.StageEndpoint{ID: "s-1", Addr: "s"}
	p.scheduler.SetView(testView(stageServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		once.Do(func() { close(began) })
		<-release
		stage.ServeHTTP(w, r)
	}))))
	client := scheduler.NewClient(p.scheduler, newStubOwners(nil), zerolog.Nop())
	first := make(chan error, 1)
	go func() {
		_, err := client.Submit(context.Background(), testJob("1"))
		first <- err
	}()
	<-began
	_, err := client.Submit(context.Background(), testJob("1"))
	assert.Assert(t, errorx.IsOfType(err, dispatch.ErrDuplicate), "%v", err)
	close(release)
	select {
	case err := <-first:
		assert.NilError(t, err)
	case <-time.After(waitTimeout):
		t.Fatal("the first caller gets no decision")
	}
}

// Guards against a decision that goes to another job, or to none: jobs wait in parallel over one
// connection, and some are refused.
func TestDecisionsReachTheirJobs(t *testing.T) {
	a, b := newProcess(t, "a"), newProcess(t, "b")
	b.scheduler.SetView(testView(stageServer(t, &standin.StageEndpoint{ID: "s-1", Addr: "s"})))
	client := scheduler.NewClient(a.scheduler, newStubOwners(a.dial(t, b)), zerolog.Nop())
	var waiting sync.WaitGroup
	for i := range 40 {
		waiting.Go(func() {
			j := testJob(fmt.Sprint(i))
			j.Objective, j.RouteObjective, j.Deadline = time.Minute, time.Minute, time.Minute
			if i%4 == 0 {
				j.Service = "unknown"
			}
			lease, err := client.Submit(t.Context(), j)
			assert.Check(t, err == nil, "%v", err)
			if err != nil {
				return
			}
			assert.Check(t, (lease.Refuse != nil) == (i%4 == 0), "%d: %+v", i, lease.Decision)
			assert.Check(t, lease.Refuse != nil || lease.Grant.Ticket == j.Ticket)
			lease.Done(true)
		})
	}
	waiting.Wait()
}

// Guards against a job that waits for a decision on a connection that has ended.
func TestConnectionThatEndsMovesItsJobs(t *testing.T) {
	a, b, c := newProcess(t, "a"), newProcess(t, "b"), newProcess(t, "c")
	began := make(chan struct{})
	var once sync.Once
	b.scheduler.SetView(testView(stageServer(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		once.Do(func() { close(began) })
		<-r.Context().Done()
	}))))
	c.scheduler.SetView(testView(stageServer(t, &standin.StageEndpoint{ID: "s-1", Addr: "s"})))
	owners := newStubOwners(a.dial(t, b))
	next := a.dial(t, c)
	go func() {
		<-began
		owners.set(next, false)
		b.node.DropAll()
	}()
	lease, err := scheduler.NewClient(a.scheduler, owners, zerolog.Nop()).Submit(t.Context(), testJob("1"))
	assert.NilError(t, err)
	assert.Equal(t, lease.Owner, "c")
	testwait.For(t, waitTimeout, func() bool { return b.scheduler.Stats().Jobs == 0 })
}
