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
	// runDuration keeps requests in flight when the entry gets SIGTERM.
	runDuration = 150 * time.Millisecond
	// balancerInterval is how often the fake load balancer probes the entries.
	balancerInterval = 50 * time.Millisecond
	drainWait        = 1500 * time.Millisecond
	// answersAfterStop is how many requests the other entry must answer after the
	// first has exited.
	answersAfterStop = 100
)

// balancer sends callers to the first entry that was ready at the last probe.
type balancer struct {
	fleet *harness.Fleet
	entry atomic.Int32
}

func (b *balancer) run(ctx context.Context) {
	ticker := time.NewTicker(balancerInterval)
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

// TestGracefulStopOfEntryLosesNoRequest guards against requests that are lost when
// an entry is stopped under load: it gets SIGTERM while requests are in flight, and
// the load balancer sends more until its next probe. All requests must be answered
// and the process must exit with code 0.
func TestGracefulStopOfEntryLosesNoRequest(t *testing.T) {
	fleet := harness.Start(t, harness.Config{
		Pools:     map[string]int{catalogue: 3},
		DrainWait: drainWait,
		Service:   func(_ *bundle.Pool, s *fake.ServiceSettings) { s.Time = runDuration },
	})
	ctx, cancel := context.WithCancel(t.Context())
	b := &balancer{fleet: fleet}
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	wg.Go(func() { b.run(ctx) })

	var sent, answered [2]atomic.Int64
	var lost failures
	for caller := range drainCallers {
		wg.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				entry := int(b.entry.Load())
				marker := fmt.Sprintf("%d-%d", caller, n)
				sent[entry].Add(1)
				// A request in flight is not cancelled when the test ends.
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
	harness.Wait(t, replyTimeout, atLeast(&answered[0], drainCallers))
	fleet.Entry(0).Term()
	code := fleet.Entry(0).WaitExit(replyTimeout)
	harness.Wait(t, replyTimeout, atLeast(&answered[1], answersAfterStop))
	cancel()
	wg.Wait()
	assert.Equal(t, code, 0)
	lost.report(t)
	t.Logf("sent %d and %d, answered %d and %d", sent[0].Load(), sent[1].Load(), answered[0].Load(), answered[1].Load())
	assert.Equal(t, sent[0].Load(), answered[0].Load())
}
