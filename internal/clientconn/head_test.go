package clientconn

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against heads whose end is missed, or found too early, where they are read in parts.
func TestHeadIsFollowedInParts(t *testing.T) {
	tests := map[string]struct {
		text  string
		bytes int64
		lines int64
		ended bool
	}{
		"whole":             {"GET / HTTP/1.1\r\nHost: a\r\n\r\nbody", 27, 2, true},
		"line feeds":        {"GET / HTTP/1.1\nHost: a\n\nbody", 24, 2, true},
		"empty lines first": {"\r\n\n\r\nGET / HTTP/1.1\r\nHost: a\r\n\r\nx", 32, 2, true},
		"no end":            {"GET / HTTP/1.1\r\nHost: a\r\n", 25, 2, false},
		"carriage returns":  {"GET / HTTP/1.1\r\n\r\r\nx", 19, 1, true},
		"one line":          {strings.Repeat("x", 50), 50, 0, false},
	}
	for name, test := range tests {
		for size := 1; size <= len(test.text); size++ {
			var h head
			for rest := test.text; len(rest) > 0; rest = rest[min(size, len(rest)):] {
				h.read([]byte(rest[:min(size, len(rest))]))
			}
			assert.Equal(t, h.first+h.fields, test.bytes, "%s in parts of %d", name, size)
			assert.Equal(t, h.lines, test.lines, "%s in parts of %d", name, size)
			assert.Equal(t, h.ended, test.ended, "%s in parts of %d", name, size)
		}
	}
}

// Guards against limits on headers that a long request line uses up, and against request lines
// without a limit.
func TestRequestLineHasTheLimitForItself(t *testing.T) {
	const limit = 100
	line := func(bytes int) string { return strings.Repeat("x", bytes-1) + "\n" }
	for text, exceeds := range map[string]bool{
		line(limit) + line(limit) + "\n":                   true,
		line(limit) + line(limit-1) + "\n":                 false,
		line(limit) + line(limit/2) + line(limit/2):        false,
		line(limit) + line(limit/2) + line(limit/2) + "\n": true,
		line(limit + 1):               true,
		strings.Repeat("\r\n", limit): true,
	} {
		var h head
		h.read([]byte(text))
		assert.Equal(t, h.exceeds(limit), exceeds, "%q", text)
	}
}
