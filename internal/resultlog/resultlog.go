// Package resultlog tells the answer to the latest call over a connection from a second copy of
// the answer to an earlier one, by the results that answers name. It does no I/O.
package resultlog

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxAnswers bounds the answers that a Log holds: 4 kB a connection.
	maxAnswers = 256
	// maxUnproved bounds the answers in a row that name no result.
	maxUnproved = 16
)

// Verdict says to which call an answer belongs.
type Verdict int

const (
	// Latest means that the answer is taken for the one to the latest call.
	Latest Verdict = iota
	// Last is Latest of an answer after which the connection must not carry another call.
	Last
	// Earlier means that the answer is the one to an earlier call.
	Earlier
)

// Log holds what the answers over one connection have named, as hashes. The zero value is empty.
// It is not safe for concurrent use.
//
// A result that no answer has named proves an answer: a copy names a known one. An answer without
// results proves nothing: if it was a copy, the call's own answer is the next that comes. That one
// would be taken for the answer to the next call only if both are for as many pieces, so such a
// call is not sent before another answer has proved that none is due.
type Log struct {
	answers []answer
	// unproved holds the numbers of pieces of the calls since the latest proof.
	unproved []int
}

// answer is an answer that named results.
type answer struct {
	// result is the first result that it named, work all that its call asked for.
	result, work uint64
}

// Call is what a call asks for.
type Call struct {
	// Pieces is the number of pieces; 0 for a release of results. Work is a hash of them.
	Pieces int
	Work   uint64
}

// Allows reports whether a call for a number of pieces may be sent.
func (l *Log) Allows(pieces int) bool { return !slices.Contains(l.unproved, pieces) }

// Prove records an answer that no call for pieces can have got: none of theirs is due.
func (l *Log) Prove() { l.unproved = l.unproved[:0] }

// Judge returns the verdict on an answer, which has an entry for each piece of the latest call or
// refuses it, and records it. result is the first result that it names, empty for none.
func (l *Log) Judge(result string, latest Call) Verdict {
	if result == "" {
		l.unproved = append(l.unproved, latest.Pieces)
		return lastIf(len(l.unproved) == maxUnproved)
	}
	a := answer{result: xxhash.Sum64String(result), work: latest.Work}
	for _, earlier := range l.answers {
		switch {
		case earlier == a:
			// An endpoint may name results after their pieces: they are right whichever call
			// made them.
			return Last
		case earlier.result == a.result:
			return Earlier
		}
	}
	l.Prove()
	l.answers = append(l.answers, a)
	return lastIf(len(l.answers) == maxAnswers)
}

// lastIf returns Last if full is true, else Latest.
func lastIf(full bool) Verdict {
	if full {
		return Last
	}
	return Latest
}
