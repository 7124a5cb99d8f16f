package discovery_test

import (
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

// followers returns a process that reads the store and one that follows it.
func followers(t *testing.T, store *standin.Store) map[string]*discovery.Follower {
	t.Helper()
	reader, views := follow(t, store, nil)
	await(t, views, hasVersion(1))
	follower, views := follow(t, store, readerRelay{follower: reader, lost: new(atomic.Bool)})
	await(t, views, hasVersion(1))
	return map[string]*discovery.Follower{"reader": reader, "follower": follower}
}

// Guards against a view that is said to have all changes as of a time and lacks one from
// before.
func TestViewHasAllChangesAsOf(t *testing.T) {
	t.Parallel()
	store := standin.NewStore()
	putConfig(store, 1)
	var mu sync.Mutex
	written := make(map[string]time.Time)
	all := followers(t, store)
	var checks sync.WaitGroup
	stop := make(chan struct{})
	for name, f := range all {
		checks.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				asOf := f.AsOf()
				view := f.View()
				mu.Lock()
				for id, at := range written {
					assert.Check(t, !at.Before(asOf) || view.Endpoint(id) != nil, "%s lacks %s, %v before", name, id, asOf.Sub(at))
				}
				mu.Unlock()
			}
		})
	}
	for i := range 60 {
		id := fmt.Sprintf("e-%d", i)
		putEndpoint(store, id)
		mu.Lock()
		written[id] = time.Now()
		mu.Unlock()
		testwait.For(t, patience, func() bool { return all["follower"].View().Endpoint(id) != nil })
		pause := time.NewTimer(time.Duration(i) * time.Millisecond)
		<-pause.C
	}
	close(stop)
	checks.Wait()
}

// Guards against a view that is said to be old although the store answers, and one that is
// said to be new although it does not.
func TestAgeOfTheView(t *testing.T) {
	t.Parallel()
	store := standin.NewStore()
	putConfig(store, 1)
	all := followers(t, store)
	for _, f := range all {
		began := time.Now()
		testwait.For(t, patience, func() bool { return f.AsOf().After(began) })
	}
	var silent atomic.Bool
	store.SetBeforeCall(func(string) bool { return !silent.Load() })
	silent.Store(true)
	// A watch under way may still be answered.
	testwait.For(t, patience, func() bool { return !all["reader"].Healthy() })
	before := time.Now()
	testwait.For(t, patience, func() bool { return time.Since(before) > time.Second })
	for name, f := range all {
		assert.Check(t, f.AsOf().Before(before), "%s", name)
	}
}
