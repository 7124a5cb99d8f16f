package gateway_test

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/gateway"
	"github.com/mangostage/mangostage/platform"
	"github.com/mangostage/mangostage/platform/standin"
)

// stageSeeds is the number of series of calls.
const stageSeeds = 40

// copyingStage is an endpoint of a stage that sends some of its answers a second time, when the
// answer to the next call over the connection is due.
type copyingStage struct {
	mu sync.Mutex
	// rng draws the answers and what is copied.
	rng *rand.Rand
	// made counts the results, conns the connections.
	made, conns int
	// sameHandles makes it name a result after its piece, so that a piece that is made twice
	// has one handle.
	sameHandles bool
}

// draw returns a number below n.
func (s *copyingStage) draw(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.IntN(n)
}

// serve answers the calls over one connection.
func (s *copyingStage) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	last := ""
	for reader := bufio.NewReader(conn); ; {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		var message struct{ Entries []standin.Piece }
		if json.NewDecoder(req.Body).Decode(&message) != nil {
			return
		}
		if last != "" && s.draw(3) == 0 {
			_, _ = io.WriteString(conn, last)
			// The answer to the call itself comes once it is done.
			time.Sleep(time.Millisecond)
		}
		last = s.answer(message.Entries)
		if _, err := io.WriteString(conn, last); err != nil {
			return
		}
	}
}

// answer returns the answer to a call, or to a release of results.
func (s *copyingStage) answer(pieces []standin.Piece) string {
	how := s.draw(8)
	switch {
	case how == 0:
		return "HTTP/1.1 503 X\r\nMangostage-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	case len(pieces) == 0:
		return "HTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\n"
	}
	entries := make([]map[string]string, len(pieces))
	for i, p := range pieces {
		if how == 1 || how == 2 && i == 0 {
			entries[i] = map[string]string{"reason": "room"}
			continue
		}
		s.mu.Lock()
		s.made++
		handle := fmt.Sprintf("h/%s-%d", p.ID, s.made)
		s.mu.Unlock()
		if s.sameHandles {
			handle = fmt.Sprintf("h/%s-piece-%d", p.ID, p.Segment)
		}
		entries[i] = map[string]string{"handle": handle}
	}
	body, _ := json.Marshal(map[string]any{"entries": entries})
	return fmt.Sprintf("HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// startCopyingStage starts the endpoint and returns its address.
func startCopyingStage(t *testing.T, s *copyingStage) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if errors.Is(err, net.ErrClosed) {
				return
			}
			s.mu.Lock()
			s.conns++
			s.mu.Unlock()
			go s.serve(conn)
		}
	}()
	return listener.Addr().String()
}

// Guards against a second answer of a stage's endpoint that is taken for the answer to the next
// call: a request gets the results of another one as its inputs.
func TestCopiedStageAnswerGivesNoForeignResults(t *testing.T) {
	for _, same := range []bool{false, true} {
		t.Run(fmt.Sprintf("same handles=%v", same), func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(stageSeeds) {
				checkCopyingStage(t, &copyingStage{rng: rand.New(rand.NewPCG(seed, seed)), sameHandles: same})
			}
		})
	}
}

func checkCopyingStage(t *testing.T, s *copyingStage) {
	t.Helper()
	const calls, requests = 40, 10
	addr := startCopyingStage(t, s)
	transport := gateway.NewTransport()
	defer transport.CloseIdleConnections()
	client := platform.NewStageClient(&http.Client{Transport: transport})
	for range calls {
		if s.draw(3) == 0 {
			_, _ = client.Free(t.Context(), "s-1", addr, []string{"h"})
			continue
		}
		pieces := make([]platform.Piece, 1+s.draw(2))
		for i := range pieces {
			pieces[i] = platform.Piece{Request: fmt.Sprintf("r%d", s.draw(requests)), Index: i, Remaining: time.Second}
		}
		reply, err := client.Run(t.Context(), "s-1", addr, pieces)
		if err != nil {
			continue
		}
		for i, result := range reply.Results {
			own := "h/" + pieces[i].Request + "-"
			assert.Assert(t, result.Handle == "" || strings.HasPrefix(result.Handle, own), "a piece of %s gets the result %s", pieces[i].Request, result.Handle)
		}
	}
}

// Guards against a connection for each call: a proof by the connection alone would cost one.
func TestStageCallsShareAConnection(t *testing.T) {
	t.Parallel()
	const calls = 50
	var server *standin.StageEndpoint
	var mu sync.Mutex
	conns := make(map[string]bool)
	server = &standin.StageEndpoint{ID: "s-1", Addr: "s"}
	addr := serve(t, http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		mu.Lock()
		conns[req.RemoteAddr] = true
		mu.Unlock()
		server.ServeHTTP(w, req)
	}))
	transport := gateway.NewTransport()
	defer transport.CloseIdleConnections()
	client := platform.NewStageClient(&http.Client{Transport: transport})
	for i := range calls {
		reply, err := client.Run(t.Context(), "s-1", addr, []platform.Piece{{Request: fmt.Sprintf("r%d", i), Remaining: time.Second}})
		assert.NilError(t, err)
		_, err = client.Free(t.Context(), "s-1", addr, []string{reply.Results[0].Handle})
		assert.NilError(t, err)
	}
	mu.Lock()
	defer mu.Unlock()
	assert.Equal(t, len(conns), 1)
}

// Guards against an endpoint that redirects a call, and a connection on which the next call then
// waits for ever.
func TestRedirectedStageCallHoldsNoConnection(t *testing.T) {
	t.Parallel()
	stage := &standin.StageEndpoint{ID: "s-1", Addr: "s"}
	redirects := 0
	addr := serve(t, http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if redirects++; redirects == 1 {
			http.Redirect(w, req, "/stage-run", http.StatusTemporaryRedirect)
			return
		}
		stage.ServeHTTP(w, req)
	}))
	transport := gateway.NewTransport()
	defer transport.CloseIdleConnections()
	client := platform.NewStageClient(&http.Client{Transport: transport})
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	for i := range 3 {
		_, _ = client.Run(ctx, "s-1", addr, []platform.Piece{{Request: fmt.Sprint(i), Remaining: time.Second}})
	}
	assert.NilError(t, ctx.Err())
	assert.Equal(t, len(stage.CompletedPieces()), 3)
}
