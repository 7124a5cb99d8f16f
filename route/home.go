package route

// homeGroup is how many neighbours in the entry's order a hash is weighed
// over. It bounds the time of a decision; within a group the choice is by
// rendezvous, so a lost endpoint moves only the hashes that it held.
const homeGroup = 24

// home returns the usable endpoint of the subset that a hash belongs to, or
// nil. It is the same for each call with that hash while the members stay.
func (q *Query) home(chain *Chain, hash uint64) *Endpoint {
	size := q.Pool.subset()
	if size == 0 {
		return nil
	}
	groups := (size + homeGroup - 1) / homeGroup
	first := int(mix(hash, uint64(groups))%uint64(groups)) * homeGroup
	var best *Endpoint
	var weight uint64
	for i := first; i < min(first+homeGroup, size); i++ {
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
