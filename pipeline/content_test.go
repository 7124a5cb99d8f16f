package pipeline

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/suspect"
	"github.com/mangostage/mangostage/wire"
)

// told notes the keys that Suspects is told of.
type told struct {
	noSuspects
	crashed, succeeded, ended []string
}

func (s *told) Crashed(key string, _ suspect.Crash, _ time.Time) { s.crashed = append(s.crashed, key) }
func (s *told) Succeeded(key string, _ time.Time)                { s.succeeded = append(s.succeeded, key) }
func (s *told) Ended(key string, _ time.Time)                    { s.ended = append(s.ended, key) }

// A request passes its first stage and kills the endpoint of its second, and
// its caller sends it again and again. If both stages were counted under one
// key, each success of the first would clear what the second has done, and the
// crashes would never end.
func TestSuccessOfOneStageDoesNotClearAnother(t *testing.T) {
	s := &told{}
	p := newPlayer(Config{Suspects: s})
	p.play(send(admit(minted, one, two)), done(1), func(p *player) Event {
		return StageResult{wire.StageResult{ID: p.calls[1].ID, Status: wire.StatusLost, Crashed: true}}
	})
	assert.DeepEqual(t, s.succeeded, []string{suspect.Key("content", "one")})
	assert.DeepEqual(t, s.crashed, []string{suspect.Key("content", "two")})

	core := newPlayer(Config{Suspects: suspect.New("entry", 2)}).core
	crashes := 0
	for i := range 10 {
		crashes += crashAtTwo(core, fmt.Sprint(i))
	}
	assert.Equal(t, crashes, 2)
}

// crashAtTwo carries a request through the core, and crashes each endpoint that
// runs its second stage.
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
