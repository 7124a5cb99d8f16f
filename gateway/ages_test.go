package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against requests that are taken for retries, and therefore for late, because
// a few clients send longer deadlines than all others.
func TestLongDeadlinesDoNotAgeOtherRequests(t *testing.T) {
	a := newAgeEstimator()
	for range 20 {
		a.estimate("r", 6*time.Second)
	}
	assert.Equal(t, a.estimate("r", 12*time.Second), time.Duration(0))
	for range 5 {
		assert.Equal(t, a.estimate("r", 6*time.Second), time.Duration(0))
	}
}

func TestAge(t *testing.T) {
	a := newAgeEstimator()
	for range 10 {
		a.estimate("r", 6*time.Second)
	}
	for i := range 200 {
		left := 6*time.Second - time.Duration(i+200)*time.Millisecond
		assert.Equal(t, a.estimate("r", left), time.Duration(i+200)*time.Millisecond)
		assert.Equal(t, a.estimate("r", 6*time.Second), time.Duration(0))
	}
	assert.Equal(t, a.estimate("r", 0), time.Duration(0))
	assert.Equal(t, a.estimate("other", time.Second), time.Duration(0))
	assert.Assert(t, len(a.routes["r"].counts) <= maxDeadlines)
}

// A new configuration shortens the clients' deadline: requests with the new deadline
// count as first attempts as soon as it is the most frequent.
func TestDeadlineChanges(t *testing.T) {
	a := newAgeEstimator()
	for range 10 {
		a.estimate("r", 6*time.Second)
	}
	for range 30 {
		a.estimate("r", 4*time.Second)
	}
	assert.Equal(t, a.estimate("r", 4*time.Second), time.Duration(0))
}
