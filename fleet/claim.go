package fleet

import "time"

// Claim names the owner of the queue in a term. Of two claims the one with the higher
// term wins, so that all processes that reach each other converge on one owner.
type Claim struct {
	Term  uint64 `json:"term"`
	Owner string `json:"owner"`
	// Incarnation, Cores and Started are the owner's.
	Incarnation string  `json:"incarnation"`
	Cores       float64 `json:"cores,omitempty"`
	Started     int64   `json:"started,omitempty"`
}

// Cause is the reason why a process adopted its current claim.
type Cause string

// Causes of a claim.
const (
	// CauseStart means that a starting process knows of no owner and claims the queue.
	CauseStart Cause = "start"
	// CauseConfirmed means that another process shares this process's first claim.
	CauseConfirmed Cause = "confirmed"
	// CauseNewer means that a heartbeat carried a claim that supersedes the old one.
	CauseNewer Cause = "newer_claim"
	// CauseStronger means that this process, with more processor cores than the owner,
	// has taken the queue from it while starting.
	CauseStronger Cause = "stronger"
	// CauseReasserted means that this process keeps the queue against a newer claim,
	// whose owner does not receive its heartbeats.
	CauseReasserted Cause = "held_against"
	// CauseSilent means that the owner's heartbeats ceased, CauseDeaf that the owner
	// did not receive those of this process, CauseGone that it has ended or is leaving.
	CauseSilent Cause = "owner_silent"
	CauseDeaf   Cause = "owner_deaf"
	CauseGone   Cause = "owner_gone"
)

// Cause returns why the current claim was adopted.
func (c *Core) Cause() Cause { return c.cause }

// claimOf returns the claim that the member owns the queue in the term.
func claimOf(m Member, term uint64) Claim {
	return Claim{Term: term, Owner: m.Name, Incarnation: m.Incarnation, Cores: m.Cores, Started: m.Started}
}

// supersedes reports whether c replaces o: the higher term wins, then the owner with
// more cores, then, in term 0, the owner that started first.
//
// The last rule guards against churn when all processes are lost and restart within
// half a second, each claiming the queue for itself. If each new process could
// displace the earlier ones, the owner would change with every start, and each former
// owner would leave running jobs behind whose calls compete with the next owner's.
func (c Claim) supersedes(o Claim) bool {
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

// Confirmed reports whether another process shares the current claim. When all
// processes of a fleet start at once, each first claims the queue for itself.
func (c *Core) Confirmed() bool { return c.claim.Term > 0 }

// startupPeriod is how long after its start a process may take the queue from a weaker
// owner.
const startupPeriod = 3 * time.Second

// displacesWeakerOwner reports whether this process, while starting, takes the queue
// from an owner with fewer cores.
//
// It guards against a weak VM that owns the queue for good because it was ready first.
// After the startup period the owner stays: a change costs the jobs that have begun.
func (c *Core) displacesWeakerOwner(now time.Time) bool {
	starting := now.Sub(c.startedAt) < startupPeriod
	return starting && !c.leaving && c.claim.Owner != c.self.Name && c.claim.Cores < c.self.Cores
}
