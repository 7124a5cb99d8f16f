package discovery

import (
	"encoding/binary"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/mangostage/mangostage/platform"
)

// maxWrites bounds the writes that are remembered. A copy of the store is some seconds old,
// and a fleet of thousands of endpoints writes tens of items per second.
const maxWrites = 1 << 12

// writes remembers the latest writes to the store by revision, key and value, whatever their
// era. After the store has returned from a copy, it tells the items that the copy repeats
// from those that were written since at the same revisions.
type writes struct {
	// known holds the hashes of the writes, and order the same hashes in a ring.
	known map[uint64]struct{}
	order []uint64
	next  int
}

func newWrites() *writes { return &writes{known: make(map[uint64]struct{})} }

// add remembers the write of an item.
func (w *writes) add(item platform.Item) {
	hash := hashWrite(item)
	if _, ok := w.known[hash]; ok {
		return
	}
	w.known[hash] = struct{}{}
	if len(w.order) < maxWrites {
		w.order = append(w.order, hash)
		return
	}
	delete(w.known, w.order[w.next])
	w.order[w.next] = hash
	w.next = (w.next + 1) % maxWrites
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
