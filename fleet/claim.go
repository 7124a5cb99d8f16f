package fleet

// Claim says who owns the queue. Of two claims that with the higher term
// holds, so that all processes that hear of each other end up with one owner.
type Claim struct {
	Term  uint64 `json:"term"`
	Owner string `json:"owner"`
	// Incarnation, Cores and Started are the owner's.
	Incarnation string  `json:"incarnation"`
	Cores       float64 `json:"cores,omitempty"`
	Started     int64   `json:"started,omitempty"`
}

// claimOf returns the claim of a member to own the queue.
func claimOf(m Member, term uint64) Claim {
	return Claim{Term: term, Owner: m.Name, Incarnation: m.Incarnation, Cores: m.Cores, Started: m.Started}
}

// newer tells whether c takes the place of o: by the term, and in a fleet that
// starts by the stronger owner, then by the one that started first.
//
// The failure that the last guards against: all processes are lost and come back
// within half a second, each claiming the queue for itself. If each that starts
// could displace those before it, the queue would change hands with every start,
// and each owner would leave begun jobs behind whose calls stand in the way of
// the next one's.
func (c Claim) newer(o Claim) bool {
	switch {
	case c.Term != o.Term:
		return c.Term > o.Term
	case c.Term > 0:
		return c.Owner < o.Owner
	case c.Cores != o.Cores:
		return c.Cores > o.Cores
	case c.Started != o.Started:
		return c.Started < o.Started
	}
	return c.Owner < o.Owner
}
