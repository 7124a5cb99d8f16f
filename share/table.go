package share

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// HalfLife is the half-life of the demand and the use of accounts.
	HalfLife = time.Second
	// divideInterval is how long a division is used.
	divideInterval = 50 * time.Millisecond
	// MaxAccounts bounds the accounts of a table with state of their own, and
	// foldedAccounts the states that further accounts of one rank share.
	MaxAccounts    = 2048
	foldedAccounts = 2048
	// maxFolded bounds the shared states of all ranks; accounts beyond it are not held.
	maxFolded = 2 * foldedAccounts
	// idleAmount is the demand and use below which an account is forgotten.
	idleAmount = 0.01
	// tolerance is the fraction of its part that an account may have above it: parts
	// change with each request.
	tolerance = 0.02
	// shortage is the fraction of the room by which the demand must exceed it before any
	// account is held: a single request that was refused is no shortage.
	shortage = 0.05
	// maxInterval bounds the time between two amounts of 1 that a held account is given.
	maxInterval = 2 * time.Second
	// DefaultWeight is the weight of an account without one.
	DefaultWeight = 1
)

// Key identifies an account at a rank: accounts ask for room at each rank separately.
type Key struct {
	// Name is the account's name; all requests without one count as one account.
	Name string
	Rank int
}

// Table keeps what accounts ask for and what they get, and divides room among them.
// It is not safe for concurrent use.
type Table struct {
	own    map[Key]*Account
	folded map[foldedKey]*Account
	// all holds the values of both maps in the order in which they were added.
	all []*Account
	// dividedAt is when the room was last divided.
	dividedAt time.Time
	// forgotAt is when idle accounts were last forgotten.
	forgotAt time.Time
	claims   []*Claim
}

// foldedKey identifies a state that several accounts share.
type foldedKey struct {
	bucket uint64
	rank   int
}

// Account is the state of an account at a rank, or of several that share it. All
// methods accept nil, an account without state, which is never above its part.
type Account struct {
	claim  Claim
	key    Key
	demand Decayed
	used   Decayed
	// nextAt is when a held account is given something again.
	nextAt time.Time
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{own: make(map[Key]*Account), folded: make(map[foldedKey]*Account)}
}

// Ask records that an account of the weight asks for an amount, and returns the
// account's state, to be used until what was asked for has ended.
func (t *Table) Ask(now time.Time, key Key, weight, amount float64) *Account {
	if len(t.own) >= MaxAccounts && now.Sub(t.forgotAt) >= HalfLife {
		t.forgetIdle(now)
	}
	a := t.find(key)
	if a == nil {
		a = t.add(key)
	}
	if a == nil {
		return nil
	}
	a.claim.Weight = weight
	a.demand.Add(now, HalfLife, amount)
	return a
}

// find returns the state for the key, or nil.
func (t *Table) find(key Key) *Account {
	if a := t.own[key]; a != nil || len(t.folded) == 0 {
		return a
	}
	return t.folded[foldedKeyOf(key)]
}

// add adds a state for the key, which it shares with others if there are too many; nil
// if no more are kept.
func (t *Table) add(key Key) *Account {
	a := &Account{claim: Claim{Rank: key.Rank}, key: key}
	switch {
	case len(t.own) < MaxAccounts:
		t.own[key] = a
	case len(t.folded) < maxFolded:
		t.folded[foldedKeyOf(key)] = a
	default:
		return nil
	}
	t.all = append(t.all, a)
	return a
}

func foldedKeyOf(key Key) foldedKey {
	return foldedKey{bucket: xxhash.Sum64String(key.Name) % foldedAccounts, rank: key.Rank}
}

// Len returns the number of states.
func (t *Table) Len() int { return len(t.all) }

// Stale reports whether the latest division is too old to be used.
func (t *Table) Stale(now time.Time) bool {
	age := now.Sub(t.dividedAt)
	return age >= divideInterval || age < 0
}

// DivideAmongSeveral is Divide, but gives the only account of a rank all that it asks for:
// there is nobody to share with.
func (t *Table) DivideAmongSeveral(now time.Time, room float64) {
	t.Divide(now, room)
	for first := 0; first < len(t.claims); {
		next := endOfRank(t.claims, first)
		if next == first+1 {
			grantAll(t.claims[first:next])
		}
		first = next
	}
}

// Divide divides room, an amount that decays like the use, among the accounts. All
// get what they ask for if that is hardly more than the room.
func (t *Table) Divide(now time.Time, room float64) {
	t.dividedAt = now
	t.forgetIdle(now)
	clear(t.claims)
	t.claims = t.claims[:0]
	demand := 0.0
	for _, a := range t.all {
		a.claim.Demand = a.demand.At(now, HalfLife)
		demand += a.claim.Demand
		t.claims = append(t.claims, &a.claim)
	}
	if demand <= (1+shortage)*room {
		grantAll(t.claims)
		return
	}
	Divide(t.claims, room, 0)
}

// grantAll gives the claims all that they ask for.
func grantAll(claims []*Claim) {
	for _, c := range claims {
		c.Part = c.Demand
	}
}

// forgetIdle drops the states of accounts that no longer ask for anything.
func (t *Table) forgetIdle(now time.Time) {
	t.forgotAt = now
	kept := t.all[:0]
	for _, a := range t.all {
		switch {
		case a.demand.At(now, HalfLife) >= idleAmount || a.used.At(now, HalfLife) >= idleAmount:
			kept = append(kept, a)
		case t.own[a.key] == a:
			delete(t.own, a.key)
		default:
			delete(t.folded, foldedKeyOf(a.key))
		}
	}
	clear(t.all[len(kept):])
	t.all = kept
}

// Use records that the account was given an amount.
func (a *Account) Use(now time.Time, amount float64) {
	if a != nil {
		a.used.Add(now, HalfLife, amount)
	}
}

// GiveBack takes back an amount that was given at the given time and was not used.
func (a *Account) GiveBack(now time.Time, amount float64, given time.Time) {
	if a != nil {
		a.used.Remove(now, HalfLife, amount, given)
	}
}

// Over reports whether the account has more than its part, as of the latest division.
// An account whose part is all that it asks for never has.
func (a *Account) Over(now time.Time) bool { return a.Excess(now) > 0 }

// Excess returns how much the account has above its part, for each unit of weight; 0
// if it is not above it.
func (a *Account) Excess(now time.Time) float64 {
	if a == nil || !a.claim.Held() {
		return 0
	}
	return max(0, a.used.At(now, HalfLife)-(1+tolerance)*a.claim.Part) / a.claim.Weight
}

// Unmet returns the fraction of its demand by which the account's part is smaller, as
// of the latest division.
func (a *Account) Unmet() float64 {
	if a == nil || !a.claim.Held() {
		return 0
	}
	return 1 - a.claim.Part/a.claim.Demand
}

// Multiple returns how many times its even part the account asks for, as of the latest
// division; 0 if it gets all that it asks for.
func (a *Account) Multiple() float64 {
	if a == nil || !a.claim.Held() {
		return 0
	}
	return a.claim.Demand / a.claim.Even
}

// Key returns the account and the rank.
func (a *Account) Key() Key { return a.key }

// Demand returns what the account asked for, as of the latest division.
func (a *Account) Demand() float64 { return a.claim.Demand }

// Part returns what the latest division gave the account.
func (a *Account) Part() float64 { return a.claim.Part }

// Held returns the accounts, at most so many, that the latest division gave less than they
// asked for, those that asked for most first.
func (t *Table) Held(most int) []*Account {
	var held []*Account
	for _, a := range t.all {
		if a.claim.Held() {
			held = append(held, a)
		}
	}
	slices.SortFunc(held, func(a, b *Account) int { return cmp.Compare(b.claim.Demand, a.claim.Demand) })
	return held[:min(most, len(held))]
}

// TryUse reports whether the account may be given an amount of 1 now, and counts it as
// given. A held account may have its part and bursts of so many standard deviations of
// requests that come at random; beyond that it is given its part evenly. If it may not,
// TryUse returns the time until it may.
func (a *Account) TryUse(now time.Time, deviations float64) (wait time.Duration, ok bool) {
	if a.Unmet() > 0 && a.used.At(now, HalfLife)+1 > a.claim.Part+deviations*math.Sqrt(max(1, a.claim.Part)) {
		if now.Before(a.nextAt) {
			return a.nextAt.Sub(now), false
		}
		interval := Steady(1) / max(a.claim.Part, idleAmount)
		a.nextAt = now.Add(min(maxInterval, time.Duration(interval*float64(time.Second))))
	}
	a.Use(now, 1)
	return 0, true
}
