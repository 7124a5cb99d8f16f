package watchdog_test

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/internal/watchdog"
)

const allowed = 200 * time.Millisecond

// An answer that takes longer than the allowed time is not cancelled while its
// bytes keep arriving.
func TestFedWatchdogWaits(t *testing.T) {
	ctx, guard := watchdog.New(context.Background(), allowed)
	defer guard.Stop()
	from, to := io.Pipe()
	go func() {
		for range 8 {
			time.Sleep(allowed / 4)
			_, _ = to.Write([]byte("x"))
		}
		_ = to.Close()
	}()
	data, err := io.ReadAll(guard.Reader(from, allowed))
	assert.NilError(t, err)
	assert.Equal(t, len(data), 8)
	assert.NilError(t, ctx.Err())
}

// A context whose watchdog is not fed is cancelled with the cause ErrSilent, and
// feeding the watchdog afterwards does not revive it.
func TestUnfedWatchdogEndsItsContext(t *testing.T) {
	ctx, guard := watchdog.New(context.Background(), allowed)
	defer guard.Stop()
	guard.Feed(allowed)
	<-ctx.Done()
	assert.Assert(t, errorx.IsOfType(context.Cause(ctx), watchdog.ErrSilent))
	guard.Feed(allowed)
	assert.Assert(t, ctx.Err() != nil)
}

// An answer that never ends is cancelled although its bytes keep arriving.
func TestEndlessAnswerIsCancelled(t *testing.T) {
	ctx, guard := watchdog.New(context.Background(), allowed)
	defer guard.Stop()
	from, to := io.Pipe()
	defer func() { _ = from.Close() }()
	go func() {
		for {
			if _, err := to.Write([]byte("x")); err != nil {
				return
			}
			time.Sleep(allowed / 20)
		}
	}()
	answer := guard.AnswerReader(from, allowed, 2*allowed)
	for ctx.Err() == nil {
		_, err := answer.Read(make([]byte, 1))
		assert.NilError(t, err)
	}
	assert.Assert(t, errorx.IsOfType(context.Cause(ctx), watchdog.ErrTooLong))
}
