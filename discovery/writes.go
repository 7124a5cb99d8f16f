package discovery

import (
	"encoding/binary"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/mangostage/mangostage/platform"
	"github.com/mangostage/mangostage/position"
)

// maxWrites bounds the writes that are remembered. A copy of the store is some seconds old,
// and a fleet of thousands of endpoints writes tens of items per second.
const maxWrites = 1 << 12

// maxToldWrites bounds the writes that a peer is told of.
const maxToldWrites = 1 << 11

// writes remembers the latest writes to the store by revision, key and value, whatever their
// era. After the store has returned from a copy, it tells the items that the copy repeats
// from those that were written since at the same revisions.
type writes struct {
	// known holds the hashes of the writes, and order the writes in a ring.
	known map[uint64]struct{}
	order []write
	next  int
}

// write is a write to the store by its hash, and the position by which this process had
// heard of it.
type write struct {
	hash uint64
	at   position.Position
}

func newWrites() *writes { return &writes{known: make(map[uint64]struct{})} }

// add remembers the write of an item.
func (w *writes) add(item platform.Item) { w.addHash(hashWrite(item), item.Position()) }

// addHash remembers a write by its hash, heard of by a position.
func (w *writes) addHash(hash uint64, at position.Position) {
	if _, ok := w.known[hash]; ok {
		return
	}
	w.known[hash] = struct{}{}
	if len(w.order) < maxWrites {
		w.order = append(w.order, write{hash, at})
		return
	}
	delete(w.known, w.order[w.next].hash)
	w.order[w.next] = write{hash, at}
	w.next = (w.next + 1) % maxWrites
}

// after returns the hashes of up to most of the latest writes that were heard of after a
// position, the oldest first, without those of the items.
func (w *writes) after(after position.Position, items []platform.Item, most int) []uint64 {
	told := make(map[uint64]bool, len(items))
	for _, item := range items {
		told[hashWrite(item)] = true
	}
	var hashes []uint64
	for _, write := range slices.Concat(w.order[w.next:], w.order[:w.next]) {
		if write.at.After(after) && !told[write.hash] {
			hashes = append(hashes, write.hash)
		}
	}
	return hashes[max(0, len(hashes)-most):]
}

// has reports whether the write of an item is remembered.
func (w *writes) has(item platform.Item) bool {
	_, ok := w.known[hashWrite(item)]
	return ok
}

// hashWrite returns a hash of an item's revision, key and value. Values of evacuations have
// no meaning and are not passed on to peers.
func hashWrite(item platform.Item) uint64 {
	var h xxhash.Digest
	h.Reset()
	var number [9]byte
	binary.LittleEndian.PutUint64(number[:], item.Revision)
	if item.Gone {
		number[8] = 1
	}
	// Write of a Digest never fails.
	_, _ = h.Write(number[:])
	_, _ = h.WriteString(item.Key)
	if !strings.HasPrefix(item.Key, platform.PrefixEvacuations) {
		_, _ = h.Write(item.Value)
	}
	return h.Sum64()
}
