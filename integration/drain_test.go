package integration

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/api"
	"github.com/mangostage/mangostage/bundle"
	"github.com/mangostage/mangostage/fake"
	"github.com/mangostage/mangostage/internal/harness"
)

const (
	drainCallers = 24
	// slowRun keeps requests in flight when the signal comes.
	slowRun = 150 * time.Millisecond
	// balancerCheck is how often the stand-in for the balancer looks.
	balancerCheck = 50 * time.Millisecond
	drainWait     = 1500 * time.Millisecond
	// afterwards is how many requests are answered after the entry has gone.
	afterwards = 100
)

// balancer sends callers to the first entry that it last saw ready.
type balancer struct {
	fleet *harness.Fleet
	entry atomic.Int32
}

func (b *balancer) run(ctx context.Context) {
	ticker := time.NewTicker(balancerCheck)
	defer ticker.Stop()
	for ctx.Err() == nil {
		for i := range b.fleet.Entries() {
			reply := b.fleet.Get(ctx, i, "/readyz", "")
			if reply.Err == nil && reply.Status == http.StatusOK {
				b.entry.Store(int32(i))
				break
			}
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}

// An operator replaces an entry under load: it gets SIGTERM while requests are
// in flight and the balancer, which looks only now and then, still sends it
// more. No caller notices, and the process ends in good order.
func TestTermOfAnEntryCutsNoRequest(t *testing.T) {
	fleet := harness.Start(t, harness.Config{
		Pools:     map[string]int{catalogue: 3},
		DrainWait: drainWait,
		Service:   func(_ *bundle.Pool, s *fake.ServiceSettings) { s.Time = slowRun },
	})
	ctx, cancel := context.WithCancel(t.Context())
	b := &balancer{fleet: fleet}
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	wg.Go(func() { b.run(ctx) })

	var sent, answered [2]atomic.Int64
	var lost complaints
	for caller := range drainCallers {
		wg.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				entry := int(b.entry.Load())
				marker := fmt.Sprintf("%d-%d", caller, n)
				sent[entry].Add(1)
				// A request that was begun is seen to its end.
				reply := fleet.Send(context.WithoutCancel(ctx), entry, harness.Call{Pipeline: catalogue, Input: harness.Marker(marker)})
				if reply.Outcome() != api.OutcomeAnswered {
					lost.add("not answered", "%s through entry-%d: %v, status %d, %s", marker, entry+1, reply.Err, reply.Status, reply.Body)
					return
				}
				answered[entry].Add(1)
			}
		})
	}
	atLeast := func(count *atomic.Int64, n int64) func() error {
		return func() error {
			if got := count.Load(); got < n {
				return errorx.IllegalState.New("%d of %d", got, n)
			}
			return nil
		}
	}
	harness.Wait(t, replyWait, atLeast(&answered[0], drainCallers))
	fleet.Entry(0).Term()
	code := fleet.Entry(0).WaitExit(replyWait)
	harness.Wait(t, replyWait, atLeast(&answered[1], afterwards))
	cancel()
	wg.Wait()
	assert.Equal(t, code, 0)
	lost.report(t)
	t.Logf("sent %d and %d, answered %d and %d", sent[0].Load(), sent[1].Load(), answered[0].Load(), answered[1].Load())
	assert.Equal(t, sent[0].Load(), answered[0].Load())
}
