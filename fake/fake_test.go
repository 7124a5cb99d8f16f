package fake_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/mangostage/mangostage/confsvc"
	"github.com/mangostage/mangostage/endpoint"
	"github.com/mangostage/mangostage/fake"
	"github.com/mangostage/mangostage/internal/testwait"
	"gotest.tools/v3/assert"
)

const loopback = "127.0.0.1:0"

func ptr[T any](v T) *T { return &v }

func call(id string) endpoint.Call {
	input := json.RawMessage(fmt.Sprintf(`{"marker":%q}`, id))
	return endpoint.Call{ID: id, Stage: "s", Input: input}
}

func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	t.Cleanup(cancel)
	return ctx
}

func startEngine(t *testing.T, s fake.EngineSettings) (*fake.Engine, endpoint.Protocol) {
	e := fake.NewEngine(s)
	assert.NilError(t, e.Start(loopback))
	t.Cleanup(e.Close)
	p, err := endpoint.New("engine", e.URL())
	assert.NilError(t, err)
	return e, p
}

func startService(t *testing.T, s fake.ServiceSettings) (*fake.Service, endpoint.Protocol) {
	f := fake.NewService(s)
	assert.NilError(t, f.Start(loopback))
	t.Cleanup(f.Close)
	p, err := endpoint.New("service", f.URL())
	assert.NilError(t, err)
	return f, p
}

// waitTimeout limits each wait for a condition.
const waitTimeout = 10 * time.Second

func TestExpectedIgnoresEncoding(t *testing.T) {
	a := fake.ExpectedServiceOutput("s", json.RawMessage(`{"a": "<"}`), nil)
	b := fake.ExpectedServiceOutput("s", json.RawMessage(`{"a":"\u003c"}`), json.RawMessage(`null`))
	assert.Equal(t, string(a), string(b))
	other := fake.ExpectedServiceOutput("s", json.RawMessage(`{"a":">"}`), nil)
	assert.Assert(t, string(a) != string(other))
	var out fake.Output
	assert.NilError(t, json.Unmarshal(fake.ExpectedEngineOutput("s", nil, nil, 3), &out))
	assert.Equal(t, out.Tokens, 3)
}

func TestEngineBatches(t *testing.T) {
	e, p := startEngine(t, fake.EngineSettings{Batch: 4, TokenTime: time.Millisecond})
	var wg sync.WaitGroup
	for i := range 12 {
		wg.Go(func() {
			c := call(fmt.Sprint(i))
			got, err := p.Run(testContext(t), c, nil)
			assert.Check(t, err)
			assert.Check(t, string(got.Output) == string(fake.ExpectedEngineOutput("s", c.Input, nil, 0)))
			assert.Check(t, got.Cost > 0)
		})
	}
	wg.Wait()
	assert.Equal(t, e.Counts().TotalFinishes, 12)
	h, err := p.Health(testContext(t))
	assert.NilError(t, err)
	assert.Assert(t, h.Up && h.InFlight == 0 && h.Queued == 0)
}

func TestPrefixCacheSavesPrefill(t *testing.T) {
	e, p := startEngine(t, fake.EngineSettings{CacheBlocks: 4, PrefillPerByte: time.Microsecond})
	run := func(id, prompt string) time.Duration {
		input, err := json.Marshal(prompt)
		assert.NilError(t, err)
		got, err := p.Run(testContext(t), endpoint.Call{ID: id, Input: input}, nil)
		assert.NilError(t, err)
		return got.Cost
	}
	long := fmt.Sprintf("%0300d", 1)
	cold := run("cold", long)
	warm := run("warm", long)
	assert.Assert(t, warm < cold/2, "%v %v", warm, cold)
	run("other", fmt.Sprintf("%0300d", 2)[100:]+"x")
	assert.Assert(t, e.Counts().CacheHits >= 3)
}

func TestServiceQueueAndConcurrency(t *testing.T) {
	f, p := startService(t, fake.ServiceSettings{
		EndpointSettings: fake.EndpointSettings{MaxQueue: 1},
		Concurrency:      1,
		Time:             time.Hour,
	})
	ctx, cancel := context.WithCancel(testContext(t))
	var wg sync.WaitGroup
	for i := range 2 {
		wg.Go(func() { _, _ = p.Run(ctx, call(fmt.Sprint(i)), nil) })
		testwait.For(t, waitTimeout, func() bool { h, _ := p.Health(ctx); return h.InFlight+h.Queued == i+1 })
	}
	_, err := p.Run(ctx, call("third"), nil)
	var failed *endpoint.Error
	assert.Assert(t, errors.As(err, &failed))
	assert.Assert(t, failed.Refused)
	cancel()
	wg.Wait()
	testwait.For(t, waitTimeout, func() bool { h, _ := p.Health(testContext(t)); return h.InFlight+h.Queued == 0 })
	assert.Equal(t, f.Counts().TotalFinishes, 0)
}

func TestCrashComesBackOnTheSameAddress(t *testing.T) {
	f, p := startService(t, fake.ServiceSettings{EndpointSettings: fake.EndpointSettings{RestartAfter: time.Millisecond}})
	url := f.URL()
	remote := fake.Remote{URL: url}
	_, err := p.Run(testContext(t), call("before"), nil)
	assert.NilError(t, err)
	assert.NilError(t, remote.Apply(testContext(t), fake.Control{CrashOn: ptr("poison")}))
	_, err = p.Run(testContext(t), call("poison"), nil)
	assert.Assert(t, err != nil)
	testwait.For(t, waitTimeout, func() bool {
		_, err := p.Run(testContext(t), call("after"), nil)
		return err == nil
	})
	counts, err := remote.Counts(testContext(t))
	assert.NilError(t, err)
	assert.Equal(t, f.URL(), url)
	assert.Equal(t, counts.Crashes, 1)
	assert.Equal(t, counts.Starts["poison"], 1)
	assert.Equal(t, counts.Finishes["poison"], 0)
	assert.Equal(t, counts.Finishes["before"], 1)
}

func TestStallHoldsWorkBack(t *testing.T) {
	f, p := startService(t, fake.ServiceSettings{})
	f.Apply(fake.Control{Stall: ptr(true)})
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	_, err := p.Run(ctx, call("x"), nil)
	assert.ErrorIs(t, err, context.DeadlineExceeded)
	assert.Equal(t, f.Counts().TotalStarts, 0)
	f.Apply(fake.Control{Stall: ptr(false)})
	_, err = p.Run(testContext(t), call("y"), nil)
	assert.NilError(t, err)
}

func TestHealthLags(t *testing.T) {
	f, p := startService(t, fake.ServiceSettings{EndpointSettings: fake.EndpointSettings{HealthLag: time.Hour}, Time: time.Hour})
	ctx, cancel := context.WithCancel(testContext(t))
	var wg sync.WaitGroup
	wg.Go(func() { _, _ = p.Run(ctx, call("x"), nil) })
	testwait.For(t, waitTimeout, func() bool { return f.Counts().TotalStarts == 1 })
	h, err := p.Health(ctx)
	assert.NilError(t, err)
	assert.Equal(t, h.InFlight, 0)
	cancel()
	wg.Wait()
}

func TestRemotePlatform(t *testing.T) {
	p := fake.NewPlatform(fake.PlatformSettings{})
	assert.NilError(t, p.Start(loopback))
	defer p.Close()
	remote := fake.Remote{URL: p.URL()}
	revision, err := remote.Publish(testContext(t), confsvc.ValueBundle, []byte("data"))
	assert.NilError(t, err)
	assert.Equal(t, revision, uint64(1))
	_, err = remote.Publish(testContext(t), "big", make([]byte, fake.MaxValue+1))
	assert.ErrorContains(t, err, "413")
	assert.NilError(t, remote.SetVMs(testContext(t), []confsvc.VM{{Name: "a", Address: "b"}}))
	assert.NilError(t, remote.ApplyVMs(testContext(t), fake.VMControl{Stale: ptr(true)}))
	assert.NilError(t, remote.SetVMs(testContext(t), nil))
	client := confsvc.NewClient(p.URL(), time.Second)
	vms, err := client.List(testContext(t))
	assert.NilError(t, err)
	assert.Equal(t, len(vms), 1)
	counts, err := remote.PlatformCounts(testContext(t))
	assert.NilError(t, err)
	assert.Equal(t, counts.VMs.Total, 1)
	assert.Equal(t, counts.Total, 0)
}
