// Package bounded gives up exchanges with endpoints that send bytes without end.
package bounded

import (
	"errors"

	"github.com/joomcode/errorx"
)

var (
	errs = errorx.NewNamespace("bounded")
	// ErrNoAnswer means that what came is no answer, or is not going to be one, and that this
	// process gave it up.
	ErrNoAnswer = errs.NewType("no_answer")
)

// GivenUp reports whether an error, or one that it wraps, says that this process gave an answer up.
func GivenUp(err error) bool {
	var typed *errorx.Error
	for errors.As(err, &typed) {
		if typed.IsOfType(ErrNoAnswer) {
			return true
		}
		err = typed.Cause()
	}
	return false
}
