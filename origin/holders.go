package origin

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/mangostage/mangostage/internal/hashmix"
)

// copies is the number of other members that hold the origin of a stream: two gateways that
// are killed at the same moment leave one, and a member that has just restarted has none.
const copies = 3

// firstHolders returns the first n members that are to hold a stream, by rendezvous hashing.
// All that know the same members agree; one member more or less changes the holders of few
// streams.
func firstHolders(s Stream, members []string, n int) []string {
	type ranked struct {
		name   string
		weight uint64
	}
	order := make([]ranked, len(members))
	for i, name := range members {
		order[i] = ranked{name, hashmix.Mix(xxhash.Sum64String(name) ^ uint64(s))}
	}
	slices.SortFunc(order, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.name, b.name))
	})
	var first []string
	for _, r := range order[:min(n, len(order))] {
		first = append(first, r.name)
	}
	return first
}
