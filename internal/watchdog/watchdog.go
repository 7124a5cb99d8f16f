// Package watchdog ends an exchange whose other side has gone silent, however
// long the exchange takes as a whole.
package watchdog

import (
	"context"
	"io"
	"time"

	"github.com/joomcode/errorx"
)

var (
	errs = errorx.NewNamespace("watchdog")
	// ErrSilent is the cause of a context that ended because nothing came.
	ErrSilent = errs.NewType("silent")
	// ErrLong is the cause of one whose answer took too long as a whole.
	ErrLong = errs.NewType("long")
)

// Watchdog ends its context when nothing has come for the time that it allows.
type Watchdog struct {
	timer *time.Timer
	// whole bounds an answer altogether; nil before Answer.
	whole  *time.Timer
	cancel context.CancelCauseFunc
}

// New returns a context and the watchdog that ends it after allowed, unless it
// is fed before. Stop releases both.
func New(parent context.Context, allowed time.Duration) (context.Context, *Watchdog) {
	ctx, cancel := context.WithCancelCause(parent)
	timer := time.AfterFunc(allowed, func() { cancel(ErrSilent.New("nothing has come for the time allowed")) })
	return ctx, &Watchdog{timer: timer, cancel: cancel}
}

// Feed allows so much time from now on. A context that has ended stays so.
func (w *Watchdog) Feed(allowed time.Duration) {
	if w.timer.Stop() {
		w.timer.Reset(allowed)
	}
}

// Stop ends the context; nothing is waited for any more.
func (w *Watchdog) Stop() {
	w.timer.Stop()
	if w.whole != nil {
		w.whole.Stop()
	}
	w.cancel(context.Canceled)
}

// Answer returns the reader of an answer that has begun: it may be silent for so
// long, and take so long as a whole.
func (w *Watchdog) Answer(r io.Reader, silence, whole time.Duration) io.Reader {
	w.Feed(silence)
	w.whole = time.AfterFunc(whole, func() { w.cancel(ErrLong.New("the answer takes longer than allowed")) })
	return w.Reader(r, silence)
}

// Reader feeds the watchdog with each byte that comes from r.
func (w *Watchdog) Reader(r io.Reader, allowed time.Duration) io.Reader {
	return &fedReader{from: r, watchdog: w, allowed: allowed}
}

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
