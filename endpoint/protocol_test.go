package endpoint_test

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/mangostage/mangostage/endpoint"
	"github.com/mangostage/mangostage/fake"
)

var input = json.RawMessage(`{"marker":"m1","prompt":"a <b> & c"}`)

func startEngine(t *testing.T, s fake.EngineSettings) (*fake.Engine, endpoint.Protocol) {
	e := fake.NewEngine(s)
	assert.NilError(t, e.Start("127.0.0.1:0"))
	t.Cleanup(e.Close)
	p, err := endpoint.New("engine", e.URL())
	assert.NilError(t, err)
	return e, p
}

func startService(t *testing.T, s fake.ServiceSettings) (*fake.Service, endpoint.Protocol) {
	f := fake.NewService(s)
	assert.NilError(t, f.Start("127.0.0.1:0"))
	t.Cleanup(f.Close)
	p, err := endpoint.New("service", f.URL())
	assert.NilError(t, err)
	return f, p
}

func ptr[T any](v T) *T { return &v }

func TestUnknownProtocolAndAddress(t *testing.T) {
	_, err := endpoint.New("carrier-pigeon", "http://127.0.0.1:1")
	assert.ErrorContains(t, err, "carrier-pigeon")
	_, err = endpoint.New("service", "127.0.0.1:1")
	assert.Assert(t, err != nil)
}

func TestChainOfServiceAndEngine(t *testing.T) {
	_, service := startService(t, fake.ServiceSettings{})
	_, engine := startEngine(t, fake.EngineSettings{})
	first, err := service.Run(withDeadline(t), endpoint.Call{ID: "a", Stage: "encode", Input: input}, nil)
	assert.NilError(t, err)
	assert.Equal(t, string(first.Output), string(fake.ExpectedServiceOutput("encode", input, nil)))

	var text strings.Builder
	call := endpoint.Call{ID: "b", Stage: "generate", Input: input, Previous: first.Output, Stream: true}
	second, err := engine.Run(withDeadline(t), call, func(_ int, piece string) { text.WriteString(piece) })
	assert.NilError(t, err)
	assert.Equal(t, string(second.Output), string(fake.ExpectedEngineOutput("generate", input, first.Output, 0)))
	var out fake.Output
	assert.NilError(t, json.Unmarshal(second.Output, &out))
	assert.Equal(t, out.Text, text.String())
	assert.Equal(t, out.Tokens, second.Tokens)
}

// Guards against a caller that gets half an answer or that of another call,
// because the endpoint's reply was truncated, duplicated, reordered or mixed up
// with another one. Every such call must fail as lost.
func TestDamagedRepliesAreLost(t *testing.T) {
	cases := []struct {
		protocol     string
		fault        fake.ReplyFault
		unrepeatable bool
	}{
		{"service", fake.ReplyTruncate, false},
		{"service", fake.ReplyForeign, true},
		{"engine", fake.ReplyTruncate, true},
		{"engine", fake.ReplyForeign, false},
		{"engine", fake.ReplyDuplicate, false},
		{"engine", fake.ReplyReorder, false},
		{"engine", fake.ReplyGap, false},
		{"engine", fake.ReplyUnclosed, true},
	}
	for _, c := range cases {
		t.Run(c.protocol+" "+string(c.fault), func(t *testing.T) {
			control := fake.Control{Reply: &c.fault}
			service, p := startService(t, fake.ServiceSettings{})
			service.Apply(control)
			if c.protocol == "engine" {
				var engine *fake.Engine
				engine, p = startEngine(t, fake.EngineSettings{})
				engine.Apply(control)
			}
			_, err := p.Run(withDeadline(t), endpoint.Call{ID: "x", Input: input, Unrepeatable: c.unrepeatable}, nil)
			var failed *endpoint.Error
			assert.Assert(t, errors.As(err, &failed), "%v", err)
			assert.Assert(t, failed.Lost && bool(failed.Written), "%v", err)
		})
	}
}

// A reply sent twice on a kept connection must not be used for the next call.
func TestDuplicateReplyStaysWithItsCall(t *testing.T) {
	f, p := startService(t, fake.ServiceSettings{})
	f.Apply(fake.Control{Reply: ptr(fake.ReplyDuplicate), ReplyCount: ptr(1)})
	for _, id := range []string{"one", "two", "three"} {
		in := json.RawMessage(`{"marker":"` + id + `"}`)
		got, err := p.Run(withDeadline(t), endpoint.Call{ID: id, Input: in}, nil)
		var failed *endpoint.Error
		if errors.As(err, &failed) {
			assert.Assert(t, failed.Lost && id != "one")
			continue
		}
		assert.Equal(t, string(got.Output), string(fake.ExpectedServiceOutput("", in, nil)))
	}
}

// The connection to the engine is cut while it generates. The rest of the stream
// must be fetched from the engine, which runs the call only once.
func TestCutStreamIsResumed(t *testing.T) {
	e, p := startEngine(t, fake.EngineSettings{})
	e.Apply(fake.Control{Reply: ptr(fake.ReplyTruncate), ReplyCount: ptr(1)})
	var pieces []string
	call := endpoint.Call{ID: "x", Stage: "s", Input: input, Stream: true}
	got, err := p.Run(withDeadline(t), call, func(_ int, text string) { pieces = append(pieces, text) })
	assert.NilError(t, err)
	assert.Equal(t, string(got.Output), string(fake.ExpectedEngineOutput("s", input, nil, 0)))
	assert.Equal(t, len(pieces), got.Tokens)
	counts := e.Counts()
	assert.Equal(t, counts.Starts["m1"], 1)
	assert.Equal(t, counts.Resumed, 1)
}

// A crashed engine has lost the generation: it cannot be resumed and must not be
// started again.
func TestCrashedEngineIsNotResumed(t *testing.T) {
	e, p := startEngine(t, fake.EngineSettings{})
	e.Apply(fake.Control{CrashOn: ptr(`"m1"`)})
	_, err := p.Run(withDeadline(t), endpoint.Call{ID: "x", Input: input}, nil)
	var failed *endpoint.Error
	assert.Assert(t, errors.As(err, &failed))
	assert.Assert(t, failed.Lost)
	assert.Equal(t, e.Counts().Starts["m1"], 1)
	assert.Equal(t, e.Counts().Crashes, 1)
}

func TestRefusalAndFailure(t *testing.T) {
	f, service := startService(t, fake.ServiceSettings{})
	e, engine := startEngine(t, fake.EngineSettings{})
	for name, c := range map[string]struct {
		apply  func(fake.Control)
		run    endpoint.Protocol
		counts func() fake.Counts
	}{
		"service": {f.Apply, service, f.Counts},
		"engine":  {e.Apply, engine, e.Counts},
	} {
		t.Run(name, func(t *testing.T) {
			var failed *endpoint.Error
			c.apply(fake.Control{RefuseRate: ptr(1.0)})
			_, err := c.run.Run(withDeadline(t), endpoint.Call{ID: "x", Input: input}, nil)
			assert.Assert(t, errors.As(err, &failed))
			assert.Assert(t, failed.Refused && !failed.Lost, "%v", err)
			assert.Equal(t, c.counts().TotalStarts, 0)

			c.apply(fake.Control{RefuseRate: ptr(0.0), FailRate: ptr(1.0)})
			_, err = c.run.Run(withDeadline(t), endpoint.Call{ID: "y", Input: input}, nil)
			assert.Assert(t, errors.As(err, &failed))
			assert.Assert(t, bool(failed.Written) && !failed.Refused && !failed.Lost, "%v", err)
		})
	}
}

// A refusal proves that a call did not run only if it names that call, the
// size of a reply is bounded, and no redirect leads a call elsewhere.
func TestRepliesOutsideTheProtocol(t *testing.T) {
	big := `{"call":"x","output":"` + strings.Repeat("a", endpoint.MaxReply) + `"}`
	cases := map[string]struct {
		status int
		body   string
		lost   bool
	}{
		"refusal of another call": {http.StatusServiceUnavailable, `{"call":"y","refused":true}`, true},
		"refusal without a call":  {http.StatusServiceUnavailable, `{"refused":true}`, false},
		"redirect":                {http.StatusTemporaryRedirect, ``, true},
		"too large":               {http.StatusOK, big, true},
		"no output":               {http.StatusOK, `{"call":"x"}`, true},
		"trailing data":           {http.StatusOK, `{"call":"x","output":1}{}`, true},
		"plain failure":           {http.StatusInternalServerError, `oops`, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			calls := 0
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				calls++
				w.Header().Set("Location", "/elsewhere")
				w.WriteHeader(c.status)
				_, _ = w.Write([]byte(c.body))
			}))
			defer server.Close()
			p, err := endpoint.New("service", server.URL)
			assert.NilError(t, err)
			_, err = p.Run(withDeadline(t), endpoint.Call{ID: "x"}, nil)
			var failed *endpoint.Error
			assert.Assert(t, errors.As(err, &failed), "%v", err)
			assert.Equal(t, failed.Lost, c.lost, "%v", err)
			assert.Assert(t, bool(failed.Written) && !failed.Refused)
			assert.Equal(t, calls, 1)
		})
	}
}

func TestCancelReachesTheEndpoint(t *testing.T) {
	e, p := startEngine(t, fake.EngineSettings{TokenTime: time.Hour})
	ctx, cancel := context.WithCancel(withDeadline(t))
	ended := make(chan error, 1)
	go func() {
		_, err := p.Run(ctx, endpoint.Call{ID: "x", Input: input}, nil)
		ended <- err
	}()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if e.Counts().TotalStarts == 1 {
			return poll.Success()
		}
		return poll.Continue("the call has not started")
	})
	cancel()
	assert.ErrorIs(t, <-ended, context.Canceled)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if e.Counts().Cancelled == 1 {
			return poll.Success()
		}
		return poll.Continue("the call has not been cancelled")
	})
	assert.Equal(t, e.Counts().TotalFinishes, 0)
}

func TestOrdersAndFencing(t *testing.T) {
	for _, ignore := range []bool{false, true} {
		e, p := startEngine(t, fake.EngineSettings{IgnoreFence: ignore, Models: []string{"old"}})
		orders := p.(endpoint.Orderer)
		load := endpoint.Order{Fence: 7, Kind: endpoint.OrderLoad, Model: "new", Controller: "agent"}
		assert.NilError(t, orders.Order(withDeadline(t), load))
		stale := endpoint.Order{Fence: 6, Kind: endpoint.OrderUnload, Model: "old", Controller: "agent"}
		err := orders.Order(withDeadline(t), stale)
		if ignore {
			assert.NilError(t, err)
			assert.Equal(t, e.Counts().StaleAccepted, 1)
			continue
		}
		var refused *endpoint.StaleFenceError
		assert.Assert(t, errors.As(err, &refused))
		assert.Equal(t, refused.Highest, uint64(7))
		assert.Equal(t, e.Counts().OrdersToLoad, 1)
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			h, err := p.Health(withDeadline(t))
			if err == nil && len(h.Models) == 2 {
				return poll.Success()
			}
			return poll.Continue("%v %v", h, err)
		})
	}
}

func TestCacheEventsMatchPrefixHashes(t *testing.T) {
	_, p := startEngine(t, fake.EngineSettings{CacheBlocks: 8})
	prompt := json.RawMessage(`"` + strings.Repeat("x", 3*endpoint.PrefixBlock) + `"`)
	_, err := p.Run(withDeadline(t), endpoint.Call{ID: "x", Model: "m", Input: prompt}, nil)
	assert.NilError(t, err)
	events, err := p.(endpoint.CacheEventSource).CacheEvents(withDeadline(t), 0)
	assert.NilError(t, err)
	hashes := endpoint.PrefixHashes("m", prompt)
	assert.Equal(t, len(events), len(hashes))
	assert.Equal(t, events[len(events)-1].Prefix, hashes[0])
}
