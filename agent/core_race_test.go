package agent

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/endpoint"
	"github.com/mangostage/mangostage/wire"
)

// concurrentHarness executes one core's effects in many goroutines.
type concurrentHarness struct {
	core    *Core
	wg      sync.WaitGroup
	mu      sync.Mutex
	starts  map[string]int
	replies map[Token]int
}

func (c *concurrentHarness) do(list []Effect) {
	for _, e := range list {
		switch e := e.(type) {
		case Start:
			c.wg.Add(1)
			go c.run(e.Run)
		case Reply:
			c.mu.Lock()
			c.replies[e.Token]++
			c.mu.Unlock()
		}
	}
}

func (c *concurrentHarness) run(run *Run) {
	defer c.wg.Done()
	call, ok, list := c.core.Commit(testStart, run)
	c.do(list)
	if !ok {
		return
	}
	c.mu.Lock()
	c.starts[run.call.Identity.Value]++
	c.mu.Unlock()
	c.do(c.core.Chunk(run, 0, "piece"))
	var err error
	if rand.IntN(4) == 0 {
		err = &endpoint.Error{Written: true, Err: errors.New("broken")}
	}
	c.do(c.core.Finish(testStart, run, endpoint.Result{Output: json.RawMessage(call.ID)}, err))
}

// Many entries send, resend, revoke and disconnect concurrently. However the
// goroutines interleave, no order may start twice and every arrival must get a
// reply.
func TestConcurrentEvents(t *testing.T) {
	core := NewCore(CoreConfig{Process: wire.Process{Name: "agent-1", Incarnation: "i1"}, Endpoint: "ep-1", Pool: "orders", Start: testStart.Add(-time.Hour)})
	core.Configure(testStart, testBundle(1))
	c := &concurrentHarness{core: core, starts: make(map[string]int), replies: make(map[Token]int)}
	b := coreHarness{now: testStart}
	const workers, rounds = 8, 400
	for w := range workers {
		c.wg.Add(1)
		go func() {
			defer c.wg.Done()
			for i := range rounds {
				token := Token(w*rounds + i)
				call := b.order(fmt.Sprint("k", rand.IntN(rounds)), int(token))
				call.Priority = rand.IntN(3)
				c.do(core.Arrive(testStart, token, call))
				switch rand.IntN(4) {
				case 0:
					_, list := core.Revoke(testStart, wire.Revoke{ID: call.ID, Until: call.Deadline, Incarnation: "i1"})
					c.do(list)
				case 1:
					c.do(core.Disconnected(testStart, token, call.ID))
				}
				core.Report()
				if i%50 == 0 {
					c.do(core.Tick(testStart))
				}
			}
		}()
	}
	done := make(chan struct{})
	go func() {
		c.wg.Wait()
		close(done)
	}()
	receive(t, done)
	for token := range Token(workers * rounds) {
		assert.Equal(t, c.replies[token], 1, "arrival %d", token)
	}
	assert.Assert(t, len(c.starts) > rounds/4, "%d", len(c.starts))
	for key, n := range c.starts {
		assert.Equal(t, n, 1, key)
	}
	assert.Assert(t, core.Idle())
}
