// Package owner maps idempotency keys to the endpoints that own them. Entries and
// agents compute the same owner from the same slot list without communicating.
package owner

import "github.com/cespare/xxhash/v2"

// Owner returns the slot that owns an identity at a stage, by rendezvous hashing, or ""
// if there are no slots. The order of slots does not matter, and a change of the list
// moves only the identities of the slots that changed.
func Owner(slots []string, identity, stage string) string {
	var best string
	var bestScore uint64
	for _, slot := range slots {
		s := score(slot, identity, stage)
		if best == "" || s > bestScore || (s == bestScore && slot < best) {
			best, bestScore = slot, s
		}
	}
	return best
}

// score hashes the slot, stage and identity. Neither a slot nor a stage contains the
// separator, so that no two different triples give the same input.
func score(slot, identity, stage string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(slot)
	_, _ = d.Write(separator)
	_, _ = d.WriteString(stage)
	_, _ = d.Write(separator)
	_, _ = d.WriteString(identity)
	return d.Sum64()
}

var separator = []byte{0}
