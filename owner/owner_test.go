package owner

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestOwnersShareEvenly(t *testing.T) {
	slots := []string{"ep-1", "ep-2", "ep-3"}
	count := make(map[string]int)
	for i := range 3000 {
		count[Owner(slots, fmt.Sprint("account\x00key", i), "place")]++
	}
	for _, slot := range slots {
		assert.Assert(t, count[slot] > 850 && count[slot] < 1150, "%v", count)
	}
	assert.Equal(t, Owner(nil, "k", "place"), "")
}

// Two processes with the same slots must agree, whatever the order, and a removed slot
// must not move the keys of the others.
func TestOwnerIsStable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.SliceOfNDistinct(rapid.StringMatching(`ep-[0-9]{1,3}`), 2, 8, rapid.ID).Draw(t, "slots")
		key := rapid.String().Draw(t, "key")
		chosen := Owner(slots, key, "place")
		shuffled := rapid.Permutation(slots).Draw(t, "shuffled")
		assert.Equal(t, Owner(shuffled, key, "place"), chosen)
		removed := slots[rapid.IntRange(0, len(slots)-1).Draw(t, "gone")]
		remaining := slices.DeleteFunc(slices.Clone(slots), func(s string) bool { return s == removed })
		if removed != chosen {
			assert.Equal(t, Owner(remaining, key, "place"), chosen)
		}
	})
}
