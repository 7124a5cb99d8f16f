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
	r.Record(true, 0.5, time.Second, epoch)
	assert.Equal(t, r.At(time.Second, epoch), 0.5)
	r.Record(true, 0.5, time.Second, epoch)
	assert.Equal(t, r.At(time.Second, epoch), 0.75)
	r.Record(false, 0.5, time.Second, epoch)
	assert.Equal(t, r.At(time.Second, epoch), 0.375)
	decayed := r.At(time.Second, epoch.Add(time.Second))
	assert.Assert(t, math.Abs(decayed-0.1875) < 1e-9, "%v", decayed)
}

func TestPause(t *testing.T) {
	var p health.Backoff
	assert.Assert(t, !p.Active(epoch))
	p.RecordFailure(100*time.Millisecond, 300*time.Millisecond, epoch)
	assert.Assert(t, p.Active(epoch.Add(99*time.Millisecond)))
	assert.Assert(t, !p.Active(epoch.Add(100*time.Millisecond)))
	p.RecordFailure(100*time.Millisecond, 300*time.Millisecond, epoch)
	assert.Assert(t, p.Active(epoch.Add(199*time.Millisecond)))
	for range 100 {
		p.RecordFailure(100*time.Millisecond, 300*time.Millisecond, epoch)
	}
	assert.Assert(t, !p.Active(epoch.Add(300*time.Millisecond)))
	p.ResetFailures()
	p.RecordFailure(100*time.Millisecond, 300*time.Millisecond, epoch)
	assert.Assert(t, !p.Active(epoch.Add(100*time.Millisecond)))
	p.BlockFor(time.Second, epoch)
	assert.Assert(t, p.Active(epoch.Add(900*time.Millisecond)))
}
