// Package watchdog cancels an exchange whose other side has stopped sending,
// independent of the total duration of the exchange.
package watchdog

import (
	"context"
	"io"
	"time"

	"github.com/joomcode/errorx"
)

var (
	errs = errorx.NewNamespace("watchdog")
	// ErrSilent is the cause of a context that was cancelled because nothing was
	// received for too long.
	ErrSilent = errs.NewType("silent")
	// ErrTooLong is the cause of a context that was cancelled because its answer
	// took too long as a whole.
	ErrTooLong = errs.NewType("long")
)

// Watchdog cancels its context when it has not been fed for the allowed time.
type Watchdog struct {
	timer *time.Timer
	// whole limits the total duration of an answer; nil until an answer begins.
	whole  *time.Timer
	cancel context.CancelCauseFunc
}

// New returns a context and a watchdog that cancels it after allowed unless it
// is fed before. Stop releases the resources of both.
func New(parent context.Context, allowed time.Duration) (context.Context, *Watchdog) {
	ctx, cancel := context.WithCancelCause(parent)
	timer := time.AfterFunc(allowed, func() { cancel(ErrSilent.New("nothing has come for the time allowed")) })
	return ctx, &Watchdog{timer: timer, cancel: cancel}
}

// Feed restarts the watchdog with the time allowed. It has no effect once the
// context has been cancelled.
func (w *Watchdog) Feed(allowed time.Duration) {
	if w.timer.Stop() {
		w.timer.Reset(allowed)
	}
}

// Stop cancels the context and stops the timers.
func (w *Watchdog) Stop() {
	w.timer.Stop()
	if w.whole != nil {
		w.whole.Stop()
	}
	w.cancel(context.Canceled)
}

// AnswerReader returns a reader of r, the body of an answer that has begun. The context
// is cancelled if no byte arrives for the time silence, or if the answer takes
// longer than whole.
func (w *Watchdog) AnswerReader(r io.Reader, silence, whole time.Duration) io.Reader {
	w.Feed(silence)
	w.whole = time.AfterFunc(whole, func() { w.cancel(ErrTooLong.New("the answer takes longer than allowed")) })
	return w.Reader(r, silence)
}

// Reader returns a reader of r that feeds the watchdog, with the time allowed,
// whenever bytes arrive.
func (w *Watchdog) Reader(r io.Reader, allowed time.Duration) io.Reader {
	return &fedReader{from: r, watchdog: w, allowed: allowed}
}

// fedReader is a reader that feeds a watchdog.
type fedReader struct {
	from     io.Reader
	watchdog *Watchdog
	allowed  time.Duration
}

// Read implements io.Reader.
func (r *fedReader) Read(p []byte) (int, error) {
	n, err := r.from.Read(p)
	if n > 0 {
		r.watchdog.Feed(r.allowed)
	}
	return n, err
}
