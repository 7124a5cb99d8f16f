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
		a.of("r", 0, 6*time.Second)
	}
	assert.Equal(t, a.of("r", 0, 12*time.Second), time.Duration(0))
	for range 5 {
		assert.Equal(t, a.of("r", 0, 6*time.Second), time.Duration(0))
	}
}

func TestAge(t *testing.T) {
	a := newAges()
	for range 10 {
		a.of("r", 0, 6*time.Second)
	}
	for i := range 200 {
		left := 6*time.Second - time.Duration(i+200)*time.Millisecond
		assert.Equal(t, a.of("r", 0, left), time.Duration(i+200)*time.Millisecond)
		assert.Equal(t, a.of("r", 0, 6*time.Second), time.Duration(0))
	}
	assert.Equal(t, a.of("r", 0, 0), time.Duration(0))
	assert.Equal(t, a.of("other", 0, time.Second), time.Duration(0))
	assert.Assert(t, len(a.routes["r"].counts) <= maxDeadlines)
}

// A new configuration shortens the deadline that clients have: they are first
// tries again as soon as they are the most.
func TestDeadlineChanges(t *testing.T) {
	a := newAges()
	for range 10 {
		a.of("r", 0, 6*time.Second)
	}
	for range 30 {
		a.of("r", 0, 4*time.Second)
	}
	assert.Equal(t, a.of("r", 0, 4*time.Second), time.Duration(0))
}

// All gateways are lost for two seconds. The first requests that reach them again
// have come back; they were taken for new, so went before those that really were,
// and both missed their objective.
func TestReturnsAreKnownAtTheStart(t *testing.T) {
	a := newAges()
	for i := range 5 {
		passed := 1400*time.Millisecond + time.Duration(i)*time.Millisecond
		assert.Equal(t, a.of("r", 6*time.Second, 6*time.Second-passed), passed)
		assert.Equal(t, a.of("r", 6*time.Second, 6*time.Second), time.Duration(0))
	}
}

// The clients of a route wait less long than its timeout: a few requests show it.
func TestTimeoutIsOnlyAFirstGuess(t *testing.T) {
	a := newAges()
	for range priorCount {
		a.of("r", 10*time.Second, 6*time.Second)
	}
	assert.Equal(t, a.of("r", 10*time.Second, 6*time.Second), time.Duration(0))
}
