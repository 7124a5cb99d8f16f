package bundle

import (
	"fmt"
	"time"

	"github.com/joomcode/errorx"

	"github.com/mangostage/mangostage/wire"
)

// AdoptionResult is the result of offering a bundle to a Holder.
type AdoptionResult string

const (
	// ResultAdopted means that the offered bundle is now in force.
	ResultAdopted AdoptionResult = "adopted"
	// ResultCollected means that the bundle is the best candidate so far; the
	// holder is still collecting.
	ResultCollected AdoptionResult = "collected"
	// ResultHeld means that the same bundle is already held.
	ResultHeld AdoptionResult = "already_held"
	// ResultOlder means that the offer was refused because a higher version is held.
	ResultOlder AdoptionResult = "older_refused"
	// ResultConflictRefused means that different content of the same version is
	// held and wins.
	ResultConflictRefused AdoptionResult = "conflict_refused"
	// ResultConflictReplaced means that the offered content replaced different
	// content of the same version.
	ResultConflictReplaced AdoptionResult = "conflict_replaced"
	// ResultBadSignature means that no accepted key signed the content.
	ResultBadSignature AdoptionResult = "bad_signature"
	// ResultMalformed means that the value is not a complete signed bundle.
	ResultMalformed AdoptionResult = "malformed"
	// ResultBadContent means that the bundle is correctly signed but fails Check.
	ResultBadContent AdoptionResult = "bad_content"
	// ResultNoCandidate means that the collection did not end because there is no
	// candidate.
	ResultNoCandidate AdoptionResult = "nothing_collected"
)

// Adoption is the outcome of one offer, or of the end of the collection, as logged.
type Adoption struct {
	Result AdoptionResult
	// At is the time of the call, as given by the caller.
	At time.Time
	// Source names the origin of the bundle, as given to Offer.
	Source string
	// Offered identifies the offered bundle; zero if it could not be verified.
	Offered wire.BundleHead
	// Held identifies the bundle in force after the offer, or the best candidate
	// while the holder is collecting; zero if there is none.
	Held wire.BundleHead
	// Conflict is true if two different contents were signed under one version.
	// It needs an operator's attention: only a new, higher version resolves it.
	Conflict bool
	// Reason explains the result in one sentence.
	Reason string
	// Err is the error of Verify; nil if the offer passed verification.
	Err error
}

// Changed reports whether the bundle in force changed.
func (a Adoption) Changed() bool {
	return a.Result == ResultAdopted || a.Result == ResultConflictReplaced
}

// classifyError maps an error of Verify to a result.
func classifyError(err error) AdoptionResult {
	switch {
	case errorx.IsOfType(err, ErrSignature), errorx.IsOfType(err, ErrUnknownKey):
		return ResultBadSignature
	case errorx.IsOfType(err, ErrContent):
		return ResultBadContent
	}
	return ResultMalformed
}

// describe returns the Reason of an offer that passed verification.
func (a Adoption) describe() string {
	offered, held := formatHead(a.Offered), formatHead(a.Held)
	switch a.Result {
	case ResultAdopted:
		return fmt.Sprintf("%s is in force", offered)
	case ResultCollected:
		return fmt.Sprintf("%s is a candidate until this process settles; the best is %s", offered, held)
	case ResultHeld:
		return fmt.Sprintf("%s is held already", offered)
	case ResultOlder:
		return fmt.Sprintf("%s is older than %s", offered, held)
	case ResultConflictRefused:
		return fmt.Sprintf("CONFLICT: version %d was signed with two contents; %s stays, %s is refused; publish a higher version",
			a.Offered.Version, held, offered)
	case ResultConflictReplaced:
		return fmt.Sprintf("CONFLICT: version %d was signed with two contents; all processes converge on %s; publish a higher version",
			a.Offered.Version, offered)
	case ResultNoCandidate:
		return "no verified bundle has been offered yet"
	}
	return string(a.Result)
}

// shownHashDigits is the number of hash digits that Reason shows.
const shownHashDigits = 12

func formatHead(head wire.BundleHead) string {
	return fmt.Sprintf("version %d (%.*s)", head.Version, shownHashDigits, head.Hash)
}
