package sumtree

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var epoch = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// TestSumsMatchNaiveSums compares the tree with a map that is iterated for each
// sum.
func TestSumsMatchNaiveSums(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var tree Tree
		naive := make(map[Key]Amount)
		at := func(label string) time.Time {
			return epoch.Add(time.Duration(rapid.IntRange(0, 12).Draw(t, label)) * time.Millisecond)
		}
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			key := Key{At: at("at"), ID: rapid.Uint64Range(0, 40).Draw(t, "id")}
			amount := Amount{Pieces: rapid.IntRange(0, 3).Draw(t, "pieces"), Bytes: int64(rapid.IntRange(0, 2).Draw(t, "bytes"))}
			tree.Set(key, amount)
			naive[key] = amount
			by := at("by")
			var sum, upTo Amount
			for k, a := range naive {
				sum = sum.Plus(a)
				if !k.At.After(by) {
					upTo = upTo.Plus(a)
				}
			}
			assert.Equal(t, tree.Sum(), sum)
			assert.Equal(t, tree.UpTo(by), upTo)
		}
	})
}

// TestDepthStaysSmall guards against a tree that degenerates to a list when keys
// are inserted in ascending order, as the latest start times of jobs are.
func TestDepthStaysSmall(t *testing.T) {
	const keys, most = 10_000, 60
	var tree Tree
	for i := range uint64(keys) {
		tree.Set(Key{At: epoch.Add(time.Duration(i)), ID: i}, Amount{Pieces: 1})
	}
	assert.Assert(t, tree.root.depth() < most, "depth %d", tree.root.depth())
}

func (n *node) depth() int {
	if n == nil {
		return 0
	}
	return 1 + max(n.left.depth(), n.right.depth())
}
