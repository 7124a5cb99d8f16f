package route

// rendezvousGroup is the number of consecutive endpoints in the entry's order
// among which rendezvous hashing chooses. It bounds the time of a decision.
// Within a group, a lost endpoint moves only the hashes that were mapped to it.
const rendezvousGroup = 24

// rendezvous returns the usable live endpoint of the subset to which a hash
// maps, or nil. The same hash always maps to the same endpoint while the
// members and their usability stay the same.
func (q *Query) rendezvous(chain *Chain, hash uint64) *Endpoint {
	size := q.Pool.subset()
	if size == 0 {
		return nil
	}
	groups := (size + rendezvousGroup - 1) / rendezvousGroup
	first := int(mix(hash, uint64(groups))%uint64(groups)) * rendezvousGroup
	var best *Endpoint
	var weight uint64
	for i := first; i < min(first+rendezvousGroup, size); i++ {
		w := mix(hash, q.Pool.hash(i))
		if best != nil && w <= weight {
			continue
		}
		if e := q.Pool.at(i); e.State == StateLive && chain.Keep(q, e) {
			best, weight = e, w
		}
	}
	return best
}
