// Package finding collects the errors in an input, each with its place, so that
// they can be reported together.
package finding

import (
	"fmt"
	"strings"
)

// Place is the location of a finding: a position in a file or the name of a
// setting.
type Place struct {
	File   string
	Line   int
	Column int
	// Name is a flag or field, used when there is no file.
	Name string
}

// String returns "file:line:column", or Name if there is no position.
func (p Place) String() string {
	if p.File == "" && p.Line == 0 {
		return p.Name
	}
	return fmt.Sprintf("%s:%d:%d", p.File, p.Line, p.Column)
}

// Finding is one error at one place.
type Finding struct {
	Place   Place
	Message string
}

// String returns "place: message".
func (f Finding) String() string { return f.Place.String() + ": " + f.Message }

// List is a list of findings that can be returned as an error; see Err.
type List []Finding

// Add appends a finding with a formatted message.
func (l *List) Add(place Place, format string, args ...any) {
	*l = append(*l, Finding{Place: place, Message: fmt.Sprintf(format, args...)})
}

// Error returns the findings, one per line.
func (l List) Error() string {
	lines := make([]string, len(l))
	for i, f := range l {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns l as an error, or nil if it is empty.
func (l List) Err() error {
	if len(l) == 0 {
		return nil
	}
	return l
}
