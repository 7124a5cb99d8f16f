// Package delegation decides which member of the fleet makes a call to an endpoint for the owner
// of the queue, and which calls count as abandoned because their member is lost or silent. It
// does no I/O.
package delegation

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mangostage/mangostage/internal/hashmix"
)

const (
	// callsPerCore is the rate of calls, in a second and for each of the owner's cores, from
	// which calls are delegated. Below it they are cheaper where they are decided.
	callsPerCore = 300.0
	// endShare times that rate is the one below which calls are not delegated any more.
	endShare = 0.5
	// minCoresShare times the owner's cores is the least that a delegate has.
	minCoresShare = 0.5
	// delegatesPerDomain bounds the members that share the calls to a failure domain: few, so
	// that one message carries several calls, and more than one, as any may be silent.
	delegatesPerDomain = 2
	// silencePause is how long a member that was silent gets no calls.
	silencePause = 5 * time.Second
	// chosenTime is how long the candidates of a failure domain are kept; one that was silent returns
	// that much later.
	chosenTime = 500 * time.Millisecond
	// maxCheckGap is the longest time between two looks at overdue calls in which this process was
	// not paused itself.
	maxCheckGap = 300 * time.Millisecond
)

// Offer is what a member says that makes calls for the owner.
type Offer struct {
	Name, Domain string
	// Cores is the member's processor time, in cores.
	Cores float64
}

// Table holds the delegates of an owner and the calls that they make; M identifies a
// connection to a member. It is not safe for concurrent use.
type Table[M comparable] struct {
	cores   float64
	members map[M]*member
	// calls holds the calls under way, by ID.
	calls map[uint64]call[M]
	rate  rate
	// checkedAt is when overdue calls were last looked for.
	checkedAt time.Time
	// chosen caches the candidates of failure domains until chosenUntil, or a change.
	chosen      map[string][]M
	chosenUntil time.Time
}

// member is a delegate.
type member struct {
	Offer
	hash uint64
	// withdrawn is true once the member takes no more calls.
	withdrawn bool
	// pausedUntil is when a silent member gets calls again.
	pausedUntil time.Time
}

// call is a call under way.
type call[M comparable] struct {
	member M
	// at is when it was assigned, due the latest time at which its end is heard.
	at, due time.Time
}

// NewTable returns a Table without delegates, of an owner with the cores; with 0 cores nothing
// is delegated.
func NewTable[M comparable](cores float64) *Table[M] {
	return &Table[M]{cores: cores, members: make(map[M]*member), calls: make(map[uint64]call[M]), chosen: make(map[string][]M)}
}

// Join adds a delegate, or updates its offer, and reports whether it is new.
func (t *Table[M]) Join(m M, o Offer) (added bool) {
	added = t.members[m] == nil
	t.members[m] = &member{Offer: o, hash: xxhash.Sum64String(o.Name)}
	clear(t.chosen)
	return added
}

// Withdraw notes that a delegate takes no more calls. It still reports those under way.
func (t *Table[M]) Withdraw(m M) {
	if d := t.members[m]; d != nil {
		d.withdrawn = true
		clear(t.chosen)
	}
}

// Lost removes a delegate whose connection has ended, and returns its calls, which are abandoned.
func (t *Table[M]) Lost(m M) []uint64 {
	delete(t.members, m)
	clear(t.chosen)
	return t.abandon(m)
}

// Count counts a call that the owner has to make, by itself or through a delegate.
func (t *Table[M]) Count(now time.Time) { t.rate.count(now) }

// Choose returns the delegate for a call to an endpoint of the failure domain; ok is false if the
// owner makes it.
func (t *Table[M]) Choose(now time.Time, domain, endpoint string) (m M, ok bool) {
	if !t.rate.high(t.cores * callsPerCore) {
		return m, false
	}
	candidates := t.candidates(now, domain)
	hash := xxhash.Sum64String(endpoint)
	best := uint64(0)
	for _, c := range candidates {
		if score := hashmix.Mix(hash ^ t.members[c].hash); !ok || score > best {
			m, best, ok = c, score, true
		}
	}
	return m, ok
}

// candidates returns the delegates among which the calls to a failure domain are spread: those of the
// domain or, if it has none, of all.
func (t *Table[M]) candidates(now time.Time, domain string) []M {
	if now.After(t.chosenUntil) {
		clear(t.chosen)
		t.chosenUntil = now.Add(chosenTime)
	}
	chosen, ok := t.chosen[domain]
	if !ok {
		chosen = t.strongest(now, func(d *member) bool { return d.Domain == domain })
		if len(chosen) == 0 {
			chosen = t.strongest(now, func(*member) bool { return true })
		}
		t.chosen[domain] = chosen
	}
	return chosen
}

// strongest returns the delegates that want accepts with the most cores, at most
// delegatesPerDomain.
func (t *Table[M]) strongest(now time.Time, want func(*member) bool) []M {
	var found []M
	for m, d := range t.members {
		if !d.withdrawn && !now.Before(d.pausedUntil) && d.Cores >= minCoresShare*t.cores && want(d) {
			found = append(found, m)
		}
	}
	slices.SortFunc(found, func(a, b M) int {
		x, y := t.members[a], t.members[b]
		return cmp.Or(cmp.Compare(y.Cores, x.Cores), cmp.Compare(x.hash, y.hash))
	})
	return found[:min(len(found), delegatesPerDomain)]
}

// Assign records that a delegate makes a call from now on, whose end is heard by due.
func (t *Table[M]) Assign(now time.Time, id uint64, m M, due time.Time) {
	t.calls[id] = call[M]{member: m, at: now, due: due}
}

// End records the end of a call, and reports whether it was under way: an abandoned one is not.
func (t *Table[M]) End(id uint64) bool {
	_, ok := t.calls[id]
	delete(t.calls, id)
	return ok
}

// Overdue returns all calls of the delegates that have not reported the end of one by its due
// time. They are abandoned, and these delegates get no others for a while.
func (t *Table[M]) Overdue(now time.Time) []uint64 {
	t.excusePause(now)
	var abandoned []uint64
	for _, c := range t.calls {
		if !now.After(c.due) {
			continue
		}
		if d := t.members[c.member]; d != nil {
			d.pausedUntil = now.Add(silencePause)
			clear(t.chosen)
		}
		abandoned = append(abandoned, t.abandon(c.member)...)
	}
	slices.Sort(abandoned)
	return abandoned
}

// excusePause gives all calls the time for which this process was paused, if it was: reports that have
// come meanwhile have not been read.
func (t *Table[M]) excusePause(now time.Time) {
	checked := t.checkedAt
	t.checkedAt = now
	if now.Sub(checked) <= maxCheckGap {
		return
	}
	for id, c := range t.calls {
		if c.at.Before(checked) {
			c.due = c.due.Add(now.Sub(checked))
			t.calls[id] = c
		}
	}
}

// abandon removes the calls of a member and returns their IDs in order.
func (t *Table[M]) abandon(m M) []uint64 {
	var abandoned []uint64
	for id, c := range t.calls {
		if c.member == m {
			abandoned = append(abandoned, id)
			delete(t.calls, id)
		}
	}
	slices.Sort(abandoned)
	return abandoned
}

// Delegates returns the number of members that take calls.
func (t *Table[M]) Delegates() int {
	n := 0
	for _, d := range t.members {
		if !d.withdrawn {
			n++
		}
	}
	return n
}

// Delegated returns the number of calls under way at delegates.
func (t *Table[M]) Delegated() int { return len(t.calls) }
