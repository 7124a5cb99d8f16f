package fleet

import "time"

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

// Cause tells why a process believes in a claim.
type Cause string

// The causes.
const (
	// CauseStart is a process that knows of no owner yet.
	CauseStart Cause = "start"
	// CauseConfirmed is a first claim that another process shares.
	CauseConfirmed Cause = "confirmed"
	// CauseNewer is a claim that was heard of.
	CauseNewer Cause = "newer_claim"
	// CauseStronger is a stronger process that starts.
	CauseStronger Cause = "stronger"
	// CauseHeld is an owner that is cut off from a newer one.
	CauseHeld Cause = "held_against"
	// CauseSilent is an owner that was heard no more, CauseDeaf one that did not
	// hear this process, CauseGone one that has ended or leaves.
	CauseSilent Cause = "owner_silent"
	CauseDeaf   Cause = "owner_deaf"
	CauseGone   Cause = "owner_gone"
)

// Cause is why the present claim was taken up.
func (c *Core) Cause() Cause { return c.cause }

// claimOf returns the claim of a member to own the queue.
func claimOf(m Member, term uint64) Claim {
	return Claim{Term: term, Owner: m.Name, Incarnation: m.Incarnation, Cores: m.Cores, Started: m.Started}
}

// newer tells whether c takes the place of o: by the term, then by the stronger
// owner, and in a fleet that starts by the one that started first.
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
	case c.Cores != o.Cores:
		return c.Cores > o.Cores
	case c.Term == 0 && c.Started != o.Started:
		return c.Started < o.Started
	}
	return c.Owner < o.Owner
}

// Confirmed tells whether another process shares the present claim. While a
// fleet starts as one, each process first claims the queue for itself.
func (c *Core) Confirmed() bool { return c.claim.Term > 0 }

// startSpan is how long a process that starts takes the queue from a weaker owner.
const startSpan = 3 * time.Second

// outmatched tells whether this process takes the queue from the owner that it
// has found at its start.
//
// It guards against a weak VM that owns the queue for good because it was ready
// first. Later the queue stays where it is: a change costs the jobs that have begun.
func (c *Core) outmatched(now time.Time) bool {
	starting := now.Sub(c.began) < startSpan
	return starting && !c.leaving && c.claim.Owner != c.self.Name && c.claim.Cores < c.self.Cores
}
