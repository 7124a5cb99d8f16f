package position_test

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mangostage/mangostage/position"
)

// An era counts more than any revision, and the order is total.
func TestOrder(t *testing.T) {
	old, returned := position.Position{Era: 1, Revision: 99}, position.Position{Era: 2, Revision: 3}
	assert.Assert(t, returned.After(old))
	assert.Equal(t, position.Latest(old, returned), returned)
	draw := rapid.Custom(func(t *rapid.T) position.Position {
		return position.Position{Era: rapid.Uint64Range(0, 3).Draw(t, "era"), Revision: rapid.Uint64Range(0, 3).Draw(t, "revision")}
	})
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := draw.Draw(t, "a"), draw.Draw(t, "b"), draw.Draw(t, "c")
		assert.Equal(t, a.Compare(b), -b.Compare(a))
		assert.Equal(t, a.Compare(b) == 0, a == b)
		assert.Assert(t, !a.After(b) || !b.After(c) || a.After(c))
		assert.Assert(t, !position.Latest(a, b).After(position.Latest(b, a)))
	})
}

// Only members that entered the same era know more of what was before it.
func TestLessInformed(t *testing.T) {
	started := position.Knowledge{At: position.Position{Era: 2, Revision: 5}}
	informed := position.Knowledge{At: position.Position{Era: 2, Revision: 4}, Before: position.Position{Era: 1, Revision: 9}}
	assert.Assert(t, started.LessInformed(informed))
	assert.Assert(t, !informed.LessInformed(started))
	assert.Assert(t, !informed.LessInformed(informed))
	later := position.Knowledge{At: position.Position{Era: 3, Revision: 1}}
	assert.Assert(t, !later.LessInformed(informed))
}
