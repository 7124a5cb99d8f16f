// Package position orders the changes of a store that may return from a copy. The store
// then begins a new era, in which its latest changes are lost and their revisions are given
// out again: revisions can be compared only within one era.
package position

import (
	"cmp"
	"time"
)

// Position is the place of a change in the order of all changes of the store. The zero value
// comes before all of them. Era is 0 if the store, or a member of an earlier build, names
// none.
type Position struct {
	Era      uint64 `json:"era,omitempty"`
	Revision uint64 `json:"revision"`
}

// FirstEra is the era of a store that has never returned from a copy.
const FirstEra = 1

// Compare returns -1, 0 or 1 if p is before, equal to or after o.
func (p Position) Compare(o Position) int {
	return cmp.Or(cmp.Compare(p.Era, o.Era), cmp.Compare(p.Revision, o.Revision))
}

// After reports whether p is after o.
func (p Position) After(o Position) bool { return p.Compare(o) > 0 }

// IsZero reports whether p comes before all changes.
func (p Position) IsZero() bool { return p == Position{} }

// Latest returns the later of two positions.
func Latest(a, b Position) Position {
	if b.After(a) {
		return b
	}
	return a
}

// memoryMargin is the difference of memories from which one counts as longer: members enter
// an era within that time of each other.
const memoryMargin = time.Second

// Knowledge says what a process knows of the store.
type Knowledge struct {
	// At is the position up to which the process is complete.
	At Position
	// Before is the position up to which it was complete when it entered the era of At. A
	// process that was further then can better tell the changes of the era from those that
	// the copy only repeats.
	Before Position
	// Entered is the position up to which it was complete then, whether it remembers all that
	// the copy may repeat or not, and Memory how long it had seen all writes without a gap.
	// They decide between processes of which none remembers all.
	Entered Position
	Memory  time.Duration
	// Settled means that the process has read the store's items since its writers had time
	// to write again what a return had lost: it knows what is there, not only what a copy
	// says.
	Settled bool
}

// LessInformed reports whether o is in the same era with more knowledge than k.
func (k Knowledge) LessInformed(o Knowledge) bool {
	switch {
	case k.At.Era != o.At.Era:
		return false
	case k.Settled || o.Settled:
		return !k.Settled
	}
	if k.Before.IsZero() && o.Before.IsZero() {
		further, longer := o.Entered.After(k.Entered), o.Memory > k.Memory+memoryMargin
		return further && o.Memory+memoryMargin >= k.Memory || longer && !k.Entered.After(o.Entered)
	}
	return o.Before.After(k.Before)
}
