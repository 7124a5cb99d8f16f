package bundle

import (
	"fmt"
	"time"

	"github.com/joomcode/errorx"

	"github.com/mangostage/mangostage/wire"
)

// AdoptionResult says what became of an offered bundle.
type AdoptionResult string

const (
	// ResultAdopted means: the offered bundle is now in force here.
	ResultAdopted AdoptionResult = "adopted"
	// ResultCollected means: the bundle is a candidate until Settle chooses.
	ResultCollected AdoptionResult = "collected"
	// ResultHeld means: the same bundle is held already.
	ResultHeld AdoptionResult = "already_held"
	// ResultOlder means: a higher version is held.
	ResultOlder AdoptionResult = "older_refused"
	// ResultConflictRefused means: another content of the same version is held and stays.
	ResultConflictRefused AdoptionResult = "conflict_refused"
	// ResultConflictReplaced means: the offered content takes the place of
	// another one of the same version.
	ResultConflictReplaced AdoptionResult = "conflict_replaced"
	// ResultBadSignature means: no accepted key signed this content.
	ResultBadSignature AdoptionResult = "bad_signature"
	// ResultMalformed means: the value is no signed bundle, or only a part of one.
	ResultMalformed AdoptionResult = "malformed"
	// ResultBadContent means: the bundle is signed but fails its check.
	ResultBadContent AdoptionResult = "bad_content"
	// ResultNothing means: Settle had no candidate to choose.
	ResultNothing AdoptionResult = "nothing_collected"
)

// Adoption is the outcome of one offer, as logged.
type Adoption struct {
	Result AdoptionResult
	// At is when the offer was judged.
	At time.Time
	// Source is who offered, as given to Offer.
	Source string
	// Offered names the offered bundle; zero if it could not be verified.
	Offered wire.BundleHead
	// Held names the bundle in force after the offer, or the best candidate
	// while settling; zero if there is none.
	Held wire.BundleHead
	// Conflict is set if two contents were signed under one version. It asks
	// for an operator's attention: only a new, higher version ends it.
	Conflict bool
	// Reason explains the result in one sentence.
	Reason string
	// Err is why the offer could not be verified.
	Err error
}

// Changed tells whether the offer changed what is in force.
func (a Adoption) Changed() bool {
	return a.Result == ResultAdopted || a.Result == ResultConflictReplaced
}

// resultOf classifies an error of Verify.
func resultOf(err error) AdoptionResult {
	switch {
	case errorx.IsOfType(err, ErrSignature), errorx.IsOfType(err, ErrUnknownKey):
		return ResultBadSignature
	case errorx.IsOfType(err, ErrContent):
		return ResultBadContent
	}
	return ResultMalformed
}

// describe returns the sentence for an offer that passed verification.
func (a Adoption) describe() string {
	offered, held := name(a.Offered), name(a.Held)
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
	case ResultNothing:
		return "no verified bundle has been offered yet"
	}
	return string(a.Result)
}

// shownHash is how many digits of a hash a sentence shows.
const shownHash = 12

func name(head wire.BundleHead) string {
	return fmt.Sprintf("version %d (%.*s)", head.Version, shownHash, head.Hash)
}
