package part

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/catalog"
)

func prompt(ids ...string) []catalog.PrefixPart {
	var parts []catalog.PrefixPart
	for i, id := range ids {
		parts = append(parts, catalog.PrefixPart{ID: id, Tokens: 10 + i})
	}
	return parts
}

// Guards against a part that is taken for several because clients write it in different ways.
func TestPartsAreKnownHoweverTheyAreWritten(t *testing.T) {
	assert.Equal(t, IDOf("5C1e07a2"), IDOf("005c1E07A2"))
	assert.Equal(t, IDOf("00000000FFFFFFFFFFFFFFFFFF01"), IDOf("ffffffffffffffffff01"))
	assert.Assert(t, IDOf("5c1e07a2") != IDOf("5c1e07a3"))
	assert.Equal(t, IDOf("5C1e07a2").String(), "5c1e07a2")
}

// Guards against a request's own part that is taken for one that others may have, and
// against long prompts and repeated parts.
func TestLastPartIsNotShared(t *testing.T) {
	assert.Equal(t, len(Shared(nil)), 0)
	assert.Equal(t, len(Shared(prompt("1"))), 0)
	assert.DeepEqual(t, Shared(prompt("a", "b", "0A", "c")), []ID{10, 11})
	long := make([]string, 100)
	for i := range long {
		long[i] = ID(i).String()
	}
	assert.Equal(t, len(Shared(prompt(long...))), maxParts)
}
