package discovery

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mangostage/mangostage/platform"
	"github.com/mangostage/mangostage/position"
)

// drawItems draws changes, some with the same position, some in a new era at a lower
// revision, some with large values.
func drawItems(t *rapid.T) []platform.Item {
	n := rapid.IntRange(0, 400).Draw(t, "items")
	items := make([]platform.Item, n)
	era, revision := uint64(1), uint64(50)
	for i := range items {
		switch rapid.IntRange(0, 40).Draw(t, "next") {
		case 0:
			era, revision = era+1, revision-rapid.Uint64Range(0, revision-1).Draw(t, "lost")
		case 1, 3, 5, 7, 9, 11, 13, 15, 17, 19, 21, 23, 25, 27, 29, 31, 33, 35, 37, 39:
			revision++
		}
		size := rapid.SampledFrom([]int{0, 250, 250, 250, maxInlineValue, maxInlineValue + 1}).Draw(t, "size")
		items[i] = platform.Item{Key: fmt.Sprintf("servers/i-%d", i), Era: era, Revision: revision, Value: bytes.Repeat([]byte("v"), size)}
	}
	return items
}

// changesAfter is the naive model of pages: it returns all changes after a position.
func changesAfter(items []platform.Item, after position.Position) []platform.Item {
	var later []platform.Item
	for _, item := range items {
		if item.Position().After(after) {
			later = append(later, item)
		}
	}
	return later
}

// A member that reads page after page must get each change, and an answer must contain all
// changes up to the position that it states.
func TestPagesAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		items := drawItems(t)
		at := position.Position{Era: uint64(len(items) + 2), Revision: 1}
		received := make(map[string]bool)
		var known position.Position
		for more := true; more; {
			reply, err := changesPage(changesAfter(items, known), at, newPacker())
			assert.NilError(t, err)
			for _, item := range reply.Items {
				received[item.Key] = true
			}
			for _, item := range items {
				assert.Assert(t, item.Position().After(reply.position()) || received[item.Key], "%s is missing below %v", item.Key, reply.position())
			}
			assert.Assert(t, !reply.More || reply.position().After(known))
			assert.Equal(t, reply.position() == at, !reply.More)
			known, more = reply.position(), reply.More
		}
		assert.Equal(t, len(received), len(items))
	})
}

// Whatever calls fail, arrive late or are repeated, the value must be the one that was
// packed.
func TestAssemblyIsTheValue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		value := rapid.SliceOfN(rapid.Byte(), 1, 3*partBytes).Draw(t, "value")
		sent, err := pack(platform.Item{Key: "op/config", Revision: 7, Value: value})
		assert.NilError(t, err)
		a := &assembly{want: sent.largeValue}
		for !a.complete() {
			offset := len(a.data)
			if rapid.Bool().Draw(t, "late") {
				offset = rapid.IntRange(0, sent.Size).Draw(t, "offset")
			}
			a.add(offset, sent.part(offset))
		}
		got, err := a.value()
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(got, value))
	})
}

// A value that was damaged in transit, or is a decompression bomb, is refused.
func TestDamagedValue(t *testing.T) {
	sent, err := pack(platform.Item{Key: "op/config", Revision: 7, Value: bytes.Repeat([]byte("ab"), 1000)})
	assert.NilError(t, err)
	damaged := append([]byte(nil), sent.data...)
	damaged[len(damaged)/2] ^= 1
	a := &assembly{want: sent.largeValue}
	assert.Assert(t, a.add(0, damaged))
	_, err = a.value()
	assert.Assert(t, errorx.IsOfType(err, ErrDamaged))

	bomb, err := pack(platform.Item{Key: "op/config", Value: make([]byte, platform.MaxReplyBytes+1)})
	assert.NilError(t, err)
	_, err = unpack(bomb.data)
	assert.Assert(t, errorx.IsOfType(err, ErrDamaged))
}

// Many large values of a foreign writer must not fill a process's memory.
func TestPackerIsBounded(t *testing.T) {
	packs := newPacker()
	for i := range 10 * maxPackedValues {
		_, err := packs.pack(platform.Item{Key: fmt.Sprint(i), Revision: 1, Value: make([]byte, 2*maxInlineValue)})
		assert.NilError(t, err)
		assert.Assert(t, len(packs.values) <= maxPackedValues)
	}
}
