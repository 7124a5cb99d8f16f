package discovery_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/discovery"
	"github.com/mangostage/mangostage/internal/testwait"
	"github.com/mangostage/mangostage/platform/standin"
)

// Guards against a view that is confirmed and lacks a change from before, at a process that
// reads the store and at one that follows it; and against a call for each that asks.
func TestConfirmedViewHasAllChanges(t *testing.T) {
	t.Parallel()
	store := standin.NewStore()
	putConfig(store, 1)
	for name, f := range followers(t, store) {
		for i := range 20 {
			id := fmt.Sprintf("%s-%d", name, i)
			putEndpoint(store, id)
			var asking sync.WaitGroup
			for range 50 {
				asking.Go(func() {
					ctx, cancel := context.WithTimeout(context.Background(), patience)
					defer cancel()
					assert.Check(t, f.Confirm(ctx, time.Now()))
					assert.Check(t, f.View().Endpoint(id) != nil, "%s lacks %s", name, id)
				})
			}
			calls := store.Calls()
			asking.Wait()
			assert.Check(t, store.Calls()-calls < 25, "%d calls", store.Calls()-calls)
		}
	}
}

// silencedReader returns a process that has read the store, which does not answer it as long as
// silent is true.
func silencedReader(t *testing.T) (f *discovery.Follower, silent *atomic.Bool) {
	t.Helper()
	store := standin.NewStore()
	putConfig(store, 1)
	f, silent = followers(t, store)["reader"], new(atomic.Bool)
	store.SetBeforeCall(func(string) bool { return !silent.Load() })
	silent.Store(true)
	return f, silent
}

// Guards against a member that is cut off from the store and says, before it notices, that its
// view has all changes.
func TestViewOfASilentStoreIsNotConfirmed(t *testing.T) {
	t.Parallel()
	f, silent := silencedReader(t)
	// A watch under way may still be answered.
	cut := time.Now().Add(2 * applyBound)
	ctx, cancel := context.WithTimeout(context.Background(), 3*applyBound)
	defer cancel()
	assert.Assert(t, !f.Confirm(ctx, cut))
	silent.Store(false)
	testwait.For(t, patience, func() bool { return f.Confirm(context.Background(), cut) })
}

// Guards against callers that all wait in vain for a store that is known not to answer, and
// against a silence that is known for longer than it lasts.
func TestSilenceOfTheStoreIsKnown(t *testing.T) {
	t.Parallel()
	f, silent := silencedReader(t)
	confirms := func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), 2*applyBound)
		defer cancel()
		return f.Confirm(ctx, time.Now().Add(applyBound))
	}
	assert.Assert(t, !f.StoreSilent())
	testwait.For(t, patience, func() bool { return !confirms() && f.StoreSilent() })
	testwait.For(t, patience, func() bool { return !f.StoreSilent() })
	assert.Assert(t, f.StoreSilent(), "it is left to more than one caller to ask")
	silent.Store(false)
	testwait.For(t, patience, confirms)
	assert.Assert(t, !f.StoreSilent())
}
