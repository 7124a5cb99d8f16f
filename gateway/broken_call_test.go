package gateway_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/gateway"
	"github.com/mangostage/mangostage/internal/rawhttp"
	"github.com/mangostage/mangostage/platform"
)

// Bodies that are whole answers to calls.
const (
	pieceBody = `{"entries":[{"handle":"10.0.0.1:80/a"}]}`
	storeBody = `{"entries":[{"key":"servers/a","value":"e30=","revision":5}],"events":[{"key":"servers/a","value":"e30=","revision":5}],` +
		`"key":"servers/a","value":"e30=","revision":5,"at":7}`
)

// callAnswer returns an answer to a call that carries the body.
func callAnswer(body string, fields ...string) func(*http.Request) rawhttp.Answer {
	return func(*http.Request) rawhttp.Answer { return rawhttp.Answer{Fields: fields, Body: body} }
}

// newCallClients returns clients for an address.
func newCallClients(t *testing.T, addr string) (*platform.StageClient, *platform.Store) {
	t.Helper()
	transport := gateway.NewTransport()
	t.Cleanup(transport.CloseIdleConnections)
	timeouts := platform.Timeouts{Read: giveUpTime, Watch: giveUpTime, Idle: giveUpTime, Total: giveUpTime}
	client := &http.Client{Transport: transport}
	return platform.NewStageClient(client), platform.NewStore(addr, client, timeouts)
}

// Guards against a piece that counts as done, or as not run, and results that count as freed,
// because of a broken answer.
func TestBrokenAnswersToCallsAreNotBelieved(t *testing.T) {
	t.Parallel()
	for _, c := range rawhttp.Broken() {
		for name, c := range map[string]rawhttp.Case{"success": c, "refusal": refusing(c)} {
			t.Run(name+" "+c.Name, func(t *testing.T) {
				t.Parallel()
				s := rawhttp.StartCase(t, c, callAnswer(pieceBody, claims[2:4]...))
				stages, _ := newCallClients(t, s.Addr)
				ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
				defer cancel()
				reply, err := stages.Run(ctx, "s-1", s.Addr, []platform.Piece{{Request: "a", Remaining: time.Second}})
				assert.Assert(t, err != nil && len(reply.Results) == 0, "%+v", reply)
				assert.Assert(t, !errorx.IsOfType(err, platform.ErrNotRun) && !errorx.IsOfType(err, platform.ErrOtherIncarnation), "%v", err)
				assert.Equal(t, reply.Signals, platform.Signals{})
				signals, err := stages.Free(ctx, "s-1", s.Addr, []string{"h"})
				assert.Assert(t, err != nil)
				assert.Equal(t, signals, platform.Signals{})
				assert.Equal(t, s.Carried.Load(), int64(1))
			})
		}
	}
}

// Guards against an entry that counts as read, a store that counts as heard or as returned from a
// copy, because of a broken answer.
func TestBrokenAnswersOfTheStoreAreNotBelieved(t *testing.T) {
	t.Parallel()
	for _, c := range rawhttp.Broken() {
		t.Run(c.Name, func(t *testing.T) {
			t.Parallel()
			s := rawhttp.StartCase(t, c, callAnswer(storeBody, "Store-Era: 9"))
			_, store := newCallClients(t, s.Addr)
			ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
			defer cancel()
			_, err := store.Get(ctx, "servers/a")
			assert.Assert(t, err != nil)
			page, err := store.Range(ctx, platform.PrefixEndpoints, "")
			assert.Assert(t, err != nil, "%+v", page)
			changes, err := store.Watch(ctx, platform.PrefixEndpoints, 1, time.Millisecond)
			assert.Assert(t, err != nil, "%+v", changes)
			assert.Equal(t, store.Era(), uint64(0))
			assert.Equal(t, s.Carried.Load(), int64(1))
		})
	}
}

// Guards against a refusal of the store that is believed although it is broken: that an item is
// missing, or its history.
func TestBrokenRefusalsOfTheStoreAreNotBelieved(t *testing.T) {
	t.Parallel()
	for _, status := range []int{http.StatusNotFound, http.StatusGone, http.StatusTooManyRequests} {
		for _, c := range rawhttp.Broken() {
			t.Run(fmt.Sprintf("%d %s", status, c.Name), func(t *testing.T) {
				t.Parallel()
				s := rawhttp.StartCase(t, c.WithStatus(status), callAnswer("refused", "Store-Era: 9"))
				_, store := newCallClients(t, s.Addr)
				ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
				defer cancel()
				_, err := store.Watch(ctx, platform.PrefixEndpoints, 1, time.Millisecond)
				believed := errorx.IsOfType(err, platform.ErrNotFound) || errorx.IsOfType(err, platform.ErrCompacted) || errorx.IsOfType(err, platform.ErrRateLimited)
				assert.Assert(t, err != nil && !believed, "%v", err)
				assert.Equal(t, store.Era(), uint64(0))
			})
		}
	}
}

// Guards against sound answers to calls that are given up.
func TestSoundAnswersToCallsAreBelieved(t *testing.T) {
	t.Parallel()
	for _, c := range rawhttp.Sound() {
		t.Run(c.Name, func(t *testing.T) {
			t.Parallel()
			status := strings.Contains(c.Name, "203") || strings.Contains(c.Name, "299")
			if status {
				return
			}
			ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
			defer cancel()
			s := rawhttp.StartCase(t, c, callAnswer(pieceBody, claims[2:4]...))
			stages, _ := newCallClients(t, s.Addr)
			reply, err := stages.Run(ctx, "s-1", s.Addr, []platform.Piece{{Request: "a", Remaining: time.Second}})
			assert.NilError(t, err)
			assert.Equal(t, reply.Results[0].Handle, "10.0.0.1:80/a")
			assert.Assert(t, reply.Signals.Leaving)
			empty := rawhttp.StartCase(t, c, callAnswer(`{}`))
			_, err = stages.Free(ctx, "s-1", empty.Addr, []string{"h"})
			assert.NilError(t, err)
			s = rawhttp.StartCase(t, c, callAnswer(storeBody, "Store-Era: 9"))
			_, store := newCallClients(t, s.Addr)
			page, err := store.Range(ctx, platform.PrefixEndpoints, "")
			assert.NilError(t, err)
			assert.Equal(t, len(page.Items), 1)
			assert.Equal(t, store.Era(), uint64(9))
		})
	}
}
