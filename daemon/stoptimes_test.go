package daemon

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The operator gives a gateway 60 s to stop, or only one. With the first, the
// process is gone after 30 s, while its streams believe that they have 59; with
// the second most of the time goes to the end of the process. In both cases a
// customer's stream is cut that could have ended, or been told.
func TestStopTimes(t *testing.T) {
	const limit = 30 * time.Second
	began := time.Now()
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(limit))
	defer cancel()
	for _, grace := range []time.Duration{200 * time.Millisecond, time.Second, 3 * time.Second, 8 * time.Second, time.Minute} {
		end, last := stopTimes(ctx, began, grace)
		ends := began.Add(min(grace, limit))
		assert.Check(t, end.Sub(began) >= min(grace, limit)*4/5, "%v: requests have %v", grace, end.Sub(began))
		assert.Check(t, last.After(end) && last.Before(ends), "%v: the last answers must be out %v after their end", grace, last.Sub(end))
		assert.Check(t, ends.Sub(last) >= min(grace/20, stopReserve-lastAnswers), "%v: %v for the process to end", grace, ends.Sub(last))
	}
	end, last := stopTimes(context.Background(), began, 8*time.Second)
	assert.Equal(t, end.Sub(began), 8*time.Second-stopReserve)
	assert.Equal(t, last.Sub(end), lastAnswers)
}
