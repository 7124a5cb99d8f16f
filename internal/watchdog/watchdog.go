// Package watchdog ends an exchange whose other side has gone silent, however
// long the exchange takes as a whole.
package watchdog

import (
	"context"
	"io"
	"time"

	"github.com/joomcode/errorx"
)

// ErrSilent is the cause of a context that a Watchdog has ended.
var ErrSilent = errorx.NewNamespace("watchdog").NewType("silent")

// Watchdog ends its context when nothing has come for the time that it allows.
type Watchdog struct {
	timer  *time.Timer
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
	w.cancel(context.Canceled)
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
