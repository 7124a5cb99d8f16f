package daemon

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The platform's grace may be longer than stopTimeout, which ends the process
// after 30 s, or very short. With a grace of 60 s, streams must not be granted 59 s;
// with 1 s, most of the time must go to the requests, not to the exit of the
// process. Else streams are cut that could have ended or been answered.
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
		assert.Check(t, ends.Sub(last) >= min(grace/20, exitReserve-finalAnswerTime), "%v: %v for the process to end", grace, ends.Sub(last))
	}
	end, last := stopTimes(context.Background(), began, 8*time.Second)
	assert.Equal(t, end.Sub(began), 8*time.Second-exitReserve)
	assert.Equal(t, last.Sub(end), finalAnswerTime)
}
