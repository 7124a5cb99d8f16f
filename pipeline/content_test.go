package pipeline

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/suspect"
	"github.com/mangostage/mangostage/wire"
)

// recordingSuspects records the keys that the core reports to Suspects.
type recordingSuspects struct {
	noSuspects
	crashed, succeeded, ended []string
}

func (s *recordingSuspects) Crashed(key string, _ suspect.Crash, _ time.Time) {
	s.crashed = append(s.crashed, key)
}
func (s *recordingSuspects) Succeeded(key string, _ time.Time) {
	s.succeeded = append(s.succeeded, key)
}
func (s *recordingSuspects) Ended(key string, _ time.Time) { s.ended = append(s.ended, key) }

// Guards against counting crashes of all stages under one key: a request that
// passes its first stage and crashes the endpoint of its second, submitted
// again and again, would then clear its crashes with each success of the first
// stage, and would never be refused.
func TestSuccessOfOneStageDoesNotClearAnother(t *testing.T) {
	s := &recordingSuspects{}
	d := newDriver(Config{Suspects: s})
	d.run(send(admit(minted, one, two)), done(1), func(d *driver) Event {
		return StageResult{wire.StageResult{ID: d.calls[1].ID, Status: wire.StatusLost, Crashed: true}}
	})
	assert.DeepEqual(t, s.succeeded, []string{suspect.Key("content", "one")})
	assert.DeepEqual(t, s.crashed, []string{suspect.Key("content", "two")})

	core := newDriver(Config{Suspects: suspect.New("entry", 2)}).core
	crashes := 0
	for i := range 10 {
		crashes += crashAtTwo(core, fmt.Sprint(i))
	}
	assert.Equal(t, crashes, 2)
}

// crashAtTwo takes a request through the core, crashes each endpoint that runs
// its second stage, and returns the number of crashes.
func crashAtTwo(core *Core, id string) int {
	a := admit(minted, one, two)
	a.RequestID = id
	crashes := 0
	for pending := core.Handle(epoch, a); len(pending) > 0; pending = pending[1:] {
		c, ok := pending[0].(Call)
		if !ok {
			continue
		}
		res := wire.StageResult{ID: c.ID, Status: wire.StatusDone, Output: a.Input}
		if c.ID.Stage == two.Name {
			res = wire.StageResult{ID: c.ID, Status: wire.StatusLost, Crashed: true}
			crashes++
		}
		pending = append(pending, core.Handle(epoch, StageResult{res})...)
	}
	return crashes
}
