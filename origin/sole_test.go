package origin

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/catalog"
)

// lone is a member without others, whose view a test sets.
type lone struct {
	*Client
	view atomic.Pointer[catalog.View]
	// next is the view that the store has, and that is seen when the view is confirmed; nil if
	// the store does not answer.
	next atomic.Pointer[catalog.View]
	// asOf is as of when the view has all changes.
	asOf atomic.Pointer[time.Time]
}

// newLone returns a member that has seen one version for longer than a stream lives.
func newLone() *lone {
	m := &lone{}
	m.view.Store(viewOf(1, []string{"llm"}, "v1"))
	long := time.Now().Add(-time.Hour)
	m.asOf.Store(&long)
	m.Client = NewClient(Config{
		View: m.view.Load, Log: zerolog.Nop(),
		SeenSince: func() (time.Time, bool) { return long, true },
		AsOf:      func() time.Time { return *m.asOf.Load() },
		Confirm: func(ctx context.Context, t time.Time) bool {
			next := m.next.Load()
			if next == nil {
				<-ctx.Done()
				return false
			}
			m.view.Store(next)
			m.asOf.Store(&t)
			return true
		},
	})
	m.history.SetView(long, m.view.Load())
	return m
}

// takeUp finds the origin of a stream that nobody knows.
func (m *lone) takeUp() Finding {
	return m.Find(context.Background(), "request", "attempt", Question{Route: "chat", Lifetime: lifetime})
}

// Guards against a stream that goes on at the only version that a member knows of, which is
// cut off or has just woken while another one joined.
func TestSoleOriginIsProved(t *testing.T) {
	m := newLone()
	began := time.Now()
	assert.Equal(t, m.takeUp().Verdict, Unreached, "the store does not answer")
	assert.Assert(t, time.Since(began) < time.Second)
	m.next.Store(viewOf(1, []string{"llm"}, "v1"))
	f := m.takeUp()
	assert.Equal(t, f.Verdict, Sole, "one version all the while")
	assert.Equal(t, f.Origin, v1)
	m.next.Store(viewOf(2, []string{"llm"}, "v1", "v2"))
	assert.Equal(t, m.takeUp().Verdict, Unknown, "another version has joined")
}

// Guards against a member that tells others of its past, or of a sole origin, from a view that
// may be old.
func TestNothingIsToldFromAnOldView(t *testing.T) {
	m := newLone()
	call := askCall{Stream: StreamOf("attempt"), Question: Question{Route: "chat", Lifetime: lifetime}, Prove: true}
	assert.Assert(t, !m.answer(t.Context(), time.Now(), call).Sole)
	assert.Equal(t, m.tellPast(t.Context()).Covered, time.Duration(0))
	m.next.Store(viewOf(1, []string{"llm"}, "v1"))
	assert.Assert(t, m.answer(t.Context(), time.Now(), call).Sole)
	assert.Assert(t, m.tellPast(t.Context()).Covered > lifetime)
}

// Guards against a version that a dead member believed of the next process under an endpoint's
// ID, and that a member believes whose view is too old to have that process.
func TestToldVersionIsProved(t *testing.T) {
	m := newLone()
	now := time.Now()
	group := told{Origin: v1, Proof: toldProof{Endpoint: "llmv1", Age: time.Millisecond}, Left: lifetime}
	group.add(StreamOf("attempt"))
	m.learn(now, []told{group}, "other")
	assert.Equal(t, m.takeUp().Verdict, Unreached)
}

// Guards against an older view that takes the place of a newer one: one that was published
// late would hide a version from the history.
func TestHistoryIgnoresOlderViews(t *testing.T) {
	h := NewHistory()
	h.SetView(epoch, viewOf(2, []string{"llm"}, "v1", "v2"))
	h.SetView(epoch.Add(time.Millisecond), viewOf(1, []string{"llm"}, "v1"))
	_, verdict := h.Sole(epoch.Add(2*lifetime), epoch, "chat", lifetime)
	assert.Equal(t, verdict, Unknown)
}
