// Package finding collects what is wrong with an input, each with its place,
// so that all of it is reported together.
package finding

import (
	"fmt"
	"strings"
)

// Place is where a finding lies: a file position or the name of a setting.
type Place struct {
	File   string
	Line   int
	Column int
	// Name is a flag or field, used when there is no file.
	Name string
}

// String writes file:line:column, or the name.
func (p Place) String() string {
	if p.File == "" && p.Line == 0 {
		return p.Name
	}
	return fmt.Sprintf("%s:%d:%d", p.File, p.Line, p.Column)
}

// Finding is one thing wrong at one place.
type Finding struct {
	Place   Place
	Message string
}

// String writes "place: message".
func (f Finding) String() string { return f.Place.String() + ": " + f.Message }

// List is an error made of findings; an empty one is no error.
type List []Finding

// Add appends a finding.
func (l *List) Add(place Place, format string, args ...any) {
	*l = append(*l, Finding{Place: place, Message: fmt.Sprintf(format, args...)})
}

// Error writes one finding a line.
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
