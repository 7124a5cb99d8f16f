package stops

import (
	"flag"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/internal/testwait"
)

// Flags of longer runs, which are started by hand.
var (
	gateways = flag.Int("stops.gateways", 2, "number of gateways")
	rounds   = flag.Int("stops.rounds", 1, "how often each gateway is stopped")
	gap      = flag.Duration("stops.gap", 0, "time from one SIGTERM to the next; 0: until the one before is back")
)

// Guards against requests that are cut, or refused without need, while gateways are stopped
// one after the other and clients go on to use their connections.
func TestStopsInSeries(t *testing.T) {
	r := newRig(t, *gateways)
	done := make(chan struct{})
	var running, clients sync.WaitGroup
	for _, g := range r.gateways {
		running.Go(func() { g.probe(done) })
	}
	counts := newTally()
	for i := range clientsPerGateway * *gateways {
		clients.Go(func() { (&client{r: r}).run(kinds[i%len(kinds)], done, counts) })
	}
	<-time.After(3 * time.Second)
	var restarts sync.WaitGroup
	for range *rounds {
		for _, g := range r.gateways {
			restarts.Go(func() { g.restart(t) })
			if *gap > 0 {
				<-time.After(*gap)
				continue
			}
			restarts.Wait()
		}
		restarts.Wait()
	}
	close(done)
	clients.Wait()
	running.Wait()
	counts.log(t)
	assert.Check(t, counts.count(cutLate) == 0, "%d cut", counts.count(cutLate))
	assert.Check(t, counts.count(served) > 0)
	if *gap == 0 {
		assert.Check(t, counts.count(cut) == 0, "%d cut", counts.count(cut))
	}
}

// restart stops the gateway as planned and starts it again.
func (g *gateway) restart(t *testing.T) {
	g.mu.Lock()
	g.stopped = time.Now()
	g.mu.Unlock()
	g.Term()
	assert.Check(t, g.WaitExit(stopGrace+2*time.Second) == 0)
	g.Restart()
	testwait.For(t, startTimeout, g.isReady)
	g.mu.Lock()
	g.stopped = time.Time{}
	g.mu.Unlock()
}
