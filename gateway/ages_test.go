package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Half of all requests were taken for ones that come back, and so for late: a
// few clients wait longer than the others, and the longest deadline seen was
// taken for that of a first try.
func TestPatientClientsDoNotAgeTheOthers(t *testing.T) {
	a := newAges()
	for range 20 {
		a.of("r", 6*time.Second)
	}
	assert.Equal(t, a.of("r", 12*time.Second), time.Duration(0))
	for range 5 {
		assert.Equal(t, a.of("r", 6*time.Second), time.Duration(0))
	}
}

func TestAge(t *testing.T) {
	a := newAges()
	for range 10 {
		a.of("r", 6*time.Second)
	}
	for i := range 200 {
		left := 6*time.Second - time.Duration(i+200)*time.Millisecond
		assert.Equal(t, a.of("r", left), time.Duration(i+200)*time.Millisecond)
		assert.Equal(t, a.of("r", 6*time.Second), time.Duration(0))
	}
	assert.Equal(t, a.of("r", 0), time.Duration(0))
	assert.Equal(t, a.of("other", time.Second), time.Duration(0))
	assert.Assert(t, len(a.routes["r"].counts) <= maxDeadlines)
}

// A new configuration shortens the deadline that clients have: they are first
// tries again as soon as they are the most.
func TestDeadlineChanges(t *testing.T) {
	a := newAges()
	for range 10 {
		a.of("r", 6*time.Second)
	}
	for range 30 {
		a.of("r", 4*time.Second)
	}
	assert.Equal(t, a.of("r", 4*time.Second), time.Duration(0))
}
