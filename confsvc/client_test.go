package confsvc_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/confsvc"
	"github.com/mangostage/mangostage/fake"
)

const timeout = 5 * time.Second

func start(t *testing.T, s fake.PlatformSettings) (*fake.Platform, confsvc.Source) {
	p := fake.NewPlatform(s)
	assert.NilError(t, p.Start("127.0.0.1:0"))
	t.Cleanup(p.Close)
	source, err := confsvc.Open("http", p.URL(), timeout)
	assert.NilError(t, err)
	return p, source
}

func ptr[T any](v T) *T { return &v }

func TestReadAndWatch(t *testing.T) {
	p, source := start(t, fake.PlatformSettings{})
	_, err := source.Read(t.Context(), confsvc.ValueBundle)
	assert.Assert(t, errorx.IsOfType(err, confsvc.ErrNotFound), "%v", err)

	p.Config.Publish(confsvc.ValueBundle, []byte("one"))
	v, err := source.Read(t.Context(), confsvc.ValueBundle)
	assert.NilError(t, err)
	assert.DeepEqual(t, v, confsvc.Value{Name: confsvc.ValueBundle, Revision: 1, Data: []byte("one")})

	unchanged, err := source.Watch(t.Context(), confsvc.ValueBundle, 1, time.Millisecond)
	assert.NilError(t, err)
	assert.DeepEqual(t, unchanged, v)

	got := make(chan confsvc.Value, 1)
	go func() {
		v, _ := source.Watch(t.Context(), confsvc.ValueBundle, 1, time.Minute)
		got <- v
	}()
	p.Config.Publish(confsvc.ValueBundle, []byte("two"))
	select {
	case v := <-got:
		assert.Equal(t, string(v.Data), "two")
	case <-time.After(timeout):
		t.Fatal("the watch did not return")
	}
	assert.Equal(t, p.Counts().Total, 4)
}

func TestFaultsHaveTypes(t *testing.T) {
	p, source := start(t, fake.PlatformSettings{ConfigLimit: 3})
	p.Config.Publish("v", []byte("data"))
	p.Config.Apply(fake.ConfigControl{Stale: ptr(true), HalfWritten: ptr(true)})
	p.Config.Publish("v", []byte("newer"))
	v, err := source.Read(t.Context(), "v")
	assert.NilError(t, err)
	assert.Equal(t, string(v.Data), "da")

	p.Config.Apply(fake.ConfigControl{Down: ptr(true)})
	p.VMs.Apply(fake.VMControl{Down: ptr(true)})
	_, err = source.Watch(t.Context(), "v", 1, time.Minute)
	assert.Assert(t, errorx.IsOfType(err, confsvc.ErrUnavailable), "%v", err)
	_, err = source.List(t.Context())
	assert.Assert(t, errorx.IsOfType(err, confsvc.ErrUnavailable), "%v", err)

	p.Config.Apply(fake.ConfigControl{Down: ptr(false)})
	for err == nil || !errorx.IsOfType(err, confsvc.ErrRateLimited) {
		_, err = source.Read(t.Context(), "v")
	}
	assert.Assert(t, p.Counts().MaxPerSecond > 3)
	assert.Equal(t, p.Counts().Refused, 1)
}

func TestListLags(t *testing.T) {
	p, source := start(t, fake.PlatformSettings{VMLag: time.Hour})
	vms := []confsvc.VM{{Name: "a", Address: "127.0.0.1:1", State: confsvc.VMLive}}
	p.VMs.Set(vms)
	assert.Assert(t, p.VMs.SetState("a", confsvc.VMLeaving))
	got, err := source.List(t.Context())
	assert.NilError(t, err)
	assert.DeepEqual(t, got, vms)

	p.VMs.Apply(fake.VMControl{LagMS: ptr(0)})
	got, err = source.List(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, got[0].State, confsvc.VMLeaving)
}

func TestMalformedAnswers(t *testing.T) {
	cases := map[string]string{
		"not JSON":      `{"name":`,
		"another value": `{"name":"other","revision":1}`,
		"no revision":   `{"name":"v"}`,
		"too large":     `{"name":"v","revision":1,"data":"` + strings.Repeat("A", confsvc.MaxValueReply) + `"}`,
	}
	for name, body := range cases {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = w.Write([]byte(body))
			}))
			defer server.Close()
			_, err := confsvc.NewClient(server.URL, timeout).Read(t.Context(), "v")
			assert.Assert(t, errorx.IsOfType(err, confsvc.ErrMalformed), "%v", err)
		})
	}
}

func TestTimeoutIsUnavailable(t *testing.T) {
	p, _ := start(t, fake.PlatformSettings{})
	p.Config.Publish("v", nil)
	p.Config.Apply(fake.ConfigControl{DelayMS: ptr(60_000)})
	_, err := confsvc.NewClient(p.URL(), 10*time.Millisecond).Read(context.Background(), "v")
	assert.Assert(t, errorx.IsOfType(err, confsvc.ErrUnavailable), "%v", err)
}

// Over a slow link, an answer with a bundle of 1 MB takes longer than the client's
// timeout. If the timeout bounded the whole answer, every retry would start from the
// beginning and the bundle would never arrive. An answer must be waited for while
// its bytes keep arriving, and given up when they stop.
func TestLongAnswerIsWaitedFor(t *testing.T) {
	const brief = 200 * time.Millisecond
	for name, pieces := range map[string]int{"keeps coming": 12, "ceases to come": 3} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				text := `{"name":"v","revision":1,"data":"` + strings.Repeat("QUJD", 3) + `"}`
				size := len(text) / 12
				for i := range pieces {
					end := (i + 1) * size
					if i == 11 {
						end = len(text)
					}
					_, _ = w.Write([]byte(text[i*size : end]))
					_ = http.NewResponseController(w).Flush()
					time.Sleep(brief / 4)
				}
				if pieces < 12 {
					<-r.Context().Done()
				}
			}))
			defer server.Close()
			_, err := confsvc.NewClient(server.URL, brief).Read(t.Context(), "v")
			if pieces == 12 {
				assert.NilError(t, err)
				return
			}
			assert.Assert(t, errorx.IsOfType(err, confsvc.ErrUnavailable), "%v", err)
		})
	}
}
