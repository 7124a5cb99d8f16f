package agent

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/api"
	"github.com/mangostage/mangostage/bundle"
	"github.com/mangostage/mangostage/endpoint"
	"github.com/mangostage/mangostage/ledger"
	"github.com/mangostage/mangostage/peer"
	"github.com/mangostage/mangostage/wire"
)

const testWait = 10 * time.Second

// stubProtocol runs each call until the test releases it.
type stubProtocol struct {
	started chan endpoint.Call
	release chan struct{}
	ended   chan error
	chunks  int
}

func (p *stubProtocol) Run(ctx context.Context, call endpoint.Call, chunk func(int, string)) (endpoint.Result, error) {
	p.started <- call
	for i := range p.chunks {
		chunk(i, fmt.Sprint("piece ", i))
	}
	select {
	case <-p.release:
		p.ended <- nil
		return endpoint.Result{Output: json.RawMessage(`"of ` + call.ID + `"`)}, nil
	case <-ctx.Done():
		p.ended <- ctx.Err()
		return endpoint.Result{}, &endpoint.Error{Written: true, Lost: true, Err: ctx.Err()}
	}
}

func (p *stubProtocol) Health(context.Context) (endpoint.Health, error) {
	return endpoint.Health{Up: true}, nil
}

type lockedBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *lockedBuffer) contains(s string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return bytes.Contains(b.buf.Bytes(), []byte(s))
}

// fixture is an agent that is reached over a real connection.
type fixture struct {
	t        *testing.T
	agent    *Agent
	protocol *stubProtocol
	addr     string
	log      lockedBuffer
	records  *ledger.Store
}

func newFixture(t *testing.T) *fixture {
	r := &fixture{t: t, records: ledger.NewStore(ledger.DefaultStoreConfig)}
	r.protocol = &stubProtocol{started: make(chan endpoint.Call, 8), release: make(chan struct{}, 8), ended: make(chan error, 8)}
	process := wire.Process{Name: "ep-1", Incarnation: "i1", Role: wire.RoleAgent}
	r.agent = New(Config{Process: process, Endpoint: "ep-1", Pool: "orders", Protocol: r.protocol, Log: zerolog.New(&r.log), Records: r.records})
	r.agent.ApplyBundle(&bundle.Verified{Bundle: testBundle(1), Head: wire.BundleHead{Version: 1}})
	mux := peer.NewMux()
	r.agent.Register(mux)
	node := peer.NewNode(peer.Config{Hello: func() wire.Hello { return wire.Hello{Process: process} }}, mux)
	addr, err := node.Listen("127.0.0.1:0")
	assert.NilError(t, err)
	r.addr = addr.String()
	r.agent.Start()
	t.Cleanup(func() {
		r.agent.Stop()
		node.Close()
	})
	return r
}

// dial connects as an entry and returns the connection and the chunks received
// on it.
func (r *fixture) dial(name string) (*peer.Conn, *[]wire.StageChunk) {
	var chunks []wire.StageChunk
	mux := peer.NewMux()
	peer.HandleNotification(mux, wire.MethodStageChunk, func(_ *peer.Conn, c wire.StageChunk) { chunks = append(chunks, c) })
	hello := wire.Hello{Process: wire.Process{Name: name, Incarnation: name}}
	node := peer.NewNode(peer.Config{Hello: func() wire.Hello { return hello }}, mux)
	r.t.Cleanup(node.Close)
	conn, err := node.Dial(context.Background(), r.addr)
	assert.NilError(r.t, err)
	return conn, &chunks
}

func (r *fixture) call(stage string, attempt int) wire.StageCall {
	return wire.StageCall{
		ID:           wire.CallID{Request: "order-1", Stage: stage, Entry: "e", Attempt: attempt},
		Identity:     wire.Identity{Kind: wire.IdentityHeld, Value: "order-1", KeyTime: time.Now(), BodyHash: "body"},
		Binding:      &wire.Binding{Agent: "ep-1", Incarnation: "i1"},
		Pool:         "orders",
		Pipeline:     "order",
		Deadline:     time.Now().Add(testWait),
		Budget:       testWait,
		Unrepeatable: stage == "place",
		Input:        json.RawMessage(`"secret face measurements"`),
	}
}

type sendResult struct {
	result wire.StageResult
	err    error
}

func (r *fixture) send(conn *peer.Conn, call wire.StageCall) <-chan sendResult {
	done := make(chan sendResult, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), testWait)
		defer cancel()
		var o sendResult
		o.err = conn.Call(ctx, wire.MethodStageRun, call, &o.result)
		done <- o
	}()
	return done
}

func receive[T any](t *testing.T, from <-chan T) T {
	t.Helper()
	select {
	case v := <-from:
		return v
	case <-time.After(testWait):
		t.Fatal("timed out waiting for a value")
		panic("unreachable")
	}
}

// The final reply must not overtake chunks of the stream that are still being
// written; otherwise the reader sees an answer without its end. The payload
// must not appear in the log.
func TestChunksPrecedeTheReply(t *testing.T) {
	r := newFixture(t)
	r.protocol.chunks = 200
	conn, chunks := r.dial("e")
	done := r.send(conn, r.call("quote", 1))
	receive(t, r.protocol.started)
	r.protocol.release <- struct{}{}
	got := receive(t, done)
	assert.NilError(t, got.err)
	assert.Equal(t, got.result.Status, wire.StatusDone)
	assert.Equal(t, len(*chunks), 200)
	for i, c := range *chunks {
		assert.Equal(t, c.Seq, i)
	}
	assert.Equal(t, got.result.Report.Endpoint, "ep-1")
	assert.Assert(t, r.log.contains(`"decision":"done","request":"order-1","stage":"quote"`))
	assert.Assert(t, !r.log.contains("secret"))
	assert.Equal(t, r.records.Get("order-1")[0].Kind, ledger.KindReceived)
}

// An entry dies while an unrepeatable call is on the endpoint. The client
// resends it through another entry, whose call must get the result of the
// single run.
func TestUnrepeatableCallSurvivesDisconnect(t *testing.T) {
	r := newFixture(t)
	first, _ := r.dial("e1")
	second, _ := r.dial("e2")
	lost := r.send(first, r.call("place", 1))
	receive(t, r.protocol.started)
	first.Close()
	assert.Assert(t, receive(t, lost).err != nil)
	again := r.send(second, r.call("place", 2))
	r.protocol.release <- struct{}{}
	assert.NilError(t, receive(t, r.protocol.ended))
	got := receive(t, again)
	assert.Equal(t, got.result.Status, wire.StatusDone)
	assert.Assert(t, got.result.Replayed)
	assert.Equal(t, string(got.result.Output), `"of order-1/place/e/1"`)
	assert.Equal(t, len(r.protocol.started), 0)
}

// A repeatable call that nobody waits for any more must be cancelled, so that
// it causes no further cost.
func TestRepeatableCallIsCancelled(t *testing.T) {
	r := newFixture(t)
	conn, _ := r.dial("e")
	r.send(conn, r.call("quote", 1))
	receive(t, r.protocol.started)
	conn.Close()
	assert.ErrorIs(t, receive(t, r.protocol.ended), context.Canceled)
}

func TestRevokeOverAnotherConnection(t *testing.T) {
	r := newFixture(t)
	first, _ := r.dial("e1")
	second, _ := r.dial("e2")
	call := r.call("quote", 1)
	done := r.send(first, call)
	receive(t, r.protocol.started)
	var ack wire.RevokeResult
	err := second.Call(context.Background(), wire.MethodStageRevoke, wire.Revoke{ID: call.ID, Until: call.Deadline, Incarnation: "i1"}, &ack)
	assert.NilError(t, err)
	assert.Equal(t, ack.State, wire.RevokedRunning)
	assert.ErrorIs(t, receive(t, r.protocol.ended), context.Canceled)
	assert.Equal(t, receive(t, done).result.Reason, api.ReasonRevoked)
}

// A VM is replaced while a call is on its endpoint. Drain must wait for the
// answer and refuse new calls meanwhile.
func TestDrainWaitsForRunningCalls(t *testing.T) {
	r := newFixture(t)
	conn, _ := r.dial("e")
	done := r.send(conn, r.call("quote", 1))
	receive(t, r.protocol.started)
	r.agent.core.Drain()
	drained := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), testWait)
		defer cancel()
		drained <- r.agent.Drain(ctx)
	}()
	late := r.call("quote", 2)
	late.ID.Request, late.Identity.Value = "order-2", "order-2"
	assert.Equal(t, receive(t, r.send(conn, late)).result.Reason, api.ReasonDraining)
	assert.Equal(t, len(drained), 0)
	r.protocol.release <- struct{}{}
	assert.Equal(t, receive(t, done).result.Status, wire.StatusDone)
	assert.NilError(t, receive(t, drained))
	var status wire.Status
	assert.NilError(t, conn.Call(context.Background(), wire.MethodStatus, struct{}{}, &status))
	assert.Assert(t, status.Draining && !status.Ready && status.Bundle.Version == 1)
}
