package resultlog

import (
	"strconv"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a copy of an earlier answer that counts for a later call, and against a
// connection that is used on after an answer of which a copy would say nothing.
func TestJudge(t *testing.T) {
	var l Log
	assert.Equal(t, l.Judge("h1", 1), Latest)
	assert.Equal(t, l.Judge("h2", 2), Latest)
	assert.Equal(t, l.Judge("h1", 3), Earlier)
	assert.Equal(t, l.Judge("h2", 2), LatestUnmarked)
	assert.Equal(t, l.Judge("", 0), LatestUnmarked)
}

// Guards against a log that grows with the connection, or that forgets an answer of which a copy
// may still come.
func TestFullLogEndsItsConnection(t *testing.T) {
	var l Log
	for i := 1; i < maxAnswers; i++ {
		assert.Equal(t, l.Judge(strconv.Itoa(i), 1), Latest)
	}
	assert.Equal(t, l.Judge("0", 1), LatestUnmarked)
}
