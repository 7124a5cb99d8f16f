package bounded

import (
	"context"
	"io"
	"time"
)

// ReadAll reads a body of at most limit bytes that ends within the time. ctx is the context
// of the exchange, which giveUp ends. An error of type [ErrNoAnswer] says that the body was
// given up.
func ReadAll(ctx context.Context, giveUp context.CancelCauseFunc, body io.Reader, limit int64, within time.Duration) ([]byte, error) {
	slow := time.AfterFunc(within, func() { giveUp(ErrNoAnswer.New("no end of the body within %s", within)) })
	defer slow.Stop()
	data, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err == nil && int64(len(data)) > limit {
		err = ErrNoAnswer.New("a body of more than %d bytes", limit)
		giveUp(err)
	}
	if cause := context.Cause(ctx); err != nil && GivenUp(cause) {
		err = cause
	}
	return data, err
}
