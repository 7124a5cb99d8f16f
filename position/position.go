// Package position orders the changes of a store that may return from a copy. The store
// then begins a new era, in which its latest changes are lost and their revisions are given
// out again: revisions can be compared only within one era.
package position

import "cmp"

// Position is the place of a change in the order of all changes of the store. The zero value
// comes before all of them. Era is 0 if the store, or a member of an earlier build, names
// none.
type Position struct {
	Era      uint64 `json:"era,omitempty"`
	Revision uint64 `json:"revision"`
}

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

// Knowledge says what a process knows of the store.
type Knowledge struct {
	// At is the position up to which the process is complete.
	At Position
	// Before is the position up to which it was complete when it entered the era of At. A
	// process that was further then can better tell the changes of the era from those that
	// the copy only repeats.
	Before Position
}

// LessInformed reports whether o has entered the same era with more knowledge than k.
func (k Knowledge) LessInformed(o Knowledge) bool {
	return k.At.Era == o.At.Era && o.Before.After(k.Before)
}
