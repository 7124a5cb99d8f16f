// Package resultlog tells the answer to the latest call over a connection from a second copy of
// the answer to an earlier one, by the results that answers name. It does no I/O.
package resultlog

import "github.com/cespare/xxhash/v2"

// maxAnswers bounds the answers that a Log holds: 4 kB a connection.
const maxAnswers = 256

// Verdict says to which call an answer belongs.
type Verdict int

const (
	// Latest means that the answer is the one to the latest call.
	Latest Verdict = iota
	// LatestUnmarked is Latest of an answer of which a copy could be taken for the answer to a
	// later call: the connection must not carry another one.
	LatestUnmarked
	// Earlier means that the answer is the one to an earlier call.
	Earlier
)

// Log holds what the answers over one connection have named, as hashes. The zero value is empty.
// It is not safe for concurrent use.
//
// Each answer that a connection carries while it is used names a result that no answer before it
// has named. So a copy of it names a known result, and an answer without any is no copy.
type Log struct {
	answers []answer
}

// answer is an answer that named results.
type answer struct {
	// result is the first result that it named, work all that its call asked for.
	result, work uint64
}

// Judge returns the verdict on an answer and records it. result is the first result that it names,
// empty for none, and work is a hash of all that the latest call asked for.
func (l *Log) Judge(result string, work uint64) Verdict {
	if result == "" {
		return LatestUnmarked
	}
	latest := answer{result: xxhash.Sum64String(result), work: work}
	for _, earlier := range l.answers {
		switch {
		case earlier == latest:
			// An endpoint may name results after their pieces: they are right whichever call
			// made them.
			return LatestUnmarked
		case earlier.result == latest.result:
			return Earlier
		}
	}
	l.answers = append(l.answers, latest)
	if len(l.answers) == maxAnswers {
		return LatestUnmarked
	}
	return Latest
}
