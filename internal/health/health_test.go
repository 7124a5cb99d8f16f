package health_test

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/internal/health"
)

var epoch = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func TestRate(t *testing.T) {
	var r health.Rate
	assert.Equal(t, r.At(time.Second, epoch), 0.0)
	r.Learn(true, 0.5, time.Second, epoch)
	assert.Equal(t, r.At(time.Second, epoch), 0.5)
	r.Learn(true, 0.5, time.Second, epoch)
	assert.Equal(t, r.At(time.Second, epoch), 0.75)
	r.Learn(false, 0.5, time.Second, epoch)
	assert.Equal(t, r.At(time.Second, epoch), 0.375)
	decayed := r.At(time.Second, epoch.Add(time.Second))
	assert.Assert(t, math.Abs(decayed-0.1875) < 1e-9, "%v", decayed)
}

func TestPause(t *testing.T) {
	var p health.Pause
	assert.Assert(t, !p.Active(epoch))
	p.Fail(100*time.Millisecond, 300*time.Millisecond, epoch)
	assert.Assert(t, p.Active(epoch.Add(99*time.Millisecond)))
	assert.Assert(t, !p.Active(epoch.Add(100*time.Millisecond)))
	p.Fail(100*time.Millisecond, 300*time.Millisecond, epoch)
	assert.Assert(t, p.Active(epoch.Add(199*time.Millisecond)))
	for range 100 {
		p.Fail(100*time.Millisecond, 300*time.Millisecond, epoch)
	}
	assert.Assert(t, !p.Active(epoch.Add(300*time.Millisecond)))
	p.Clear()
	p.Fail(100*time.Millisecond, 300*time.Millisecond, epoch)
	assert.Assert(t, !p.Active(epoch.Add(100*time.Millisecond)))
	p.Hold(time.Second, epoch)
	assert.Assert(t, p.Active(epoch.Add(900*time.Millisecond)))
}
