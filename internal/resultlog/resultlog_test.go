package resultlog

import (
	"strconv"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a copy of an earlier answer that counts for a later call.
func TestKnownResultIsAnEarlierAnswer(t *testing.T) {
	var l Log
	assert.Equal(t, l.Judge("h1", Call{1, 1}), Latest)
	assert.Equal(t, l.Judge("h2", Call{1, 2}), Latest)
	assert.Equal(t, l.Judge("h1", Call{1, 3}), Earlier)
	assert.Equal(t, l.Judge("h2", Call{1, 2}), Last)
}

// Guards against an answer without results that was a copy, so that the next call gets the
// answer to the one before.
func TestCallAfterAnUnprovedAnswer(t *testing.T) {
	var l Log
	assert.Equal(t, l.Judge("", Call{2, 1}), Latest)
	assert.Assert(t, !l.Allows(2))
	assert.Assert(t, l.Allows(3))
	assert.Equal(t, l.Judge("", Call{3, 1}), Latest)
	assert.Assert(t, !l.Allows(2) && !l.Allows(3))
	assert.Equal(t, l.Judge("h1", Call{4, 1}), Latest)
	assert.Assert(t, l.Allows(2) && l.Allows(3))
	assert.Equal(t, l.Judge("", Call{2, 1}), Latest)
	l.Prove()
	assert.Assert(t, l.Allows(2))
}

// Guards against a log that grows with the connection, or that forgets an answer of which a copy
// may still come.
func TestFullLogEndsItsConnection(t *testing.T) {
	var l Log
	for i := 1; i < maxAnswers; i++ {
		assert.Equal(t, l.Judge(strconv.Itoa(i), Call{1, 1}), Latest)
	}
	assert.Equal(t, l.Judge("0", Call{1, 1}), Last)
	for i := 1; i < maxUnproved; i++ {
		assert.Equal(t, l.Judge("", Call{i, 1}), Latest)
	}
	assert.Equal(t, l.Judge("", Call{maxUnproved, 1}), Last)
}
