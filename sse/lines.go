package sse

import (
	"bytes"
	"iter"
)

// Lines returns the lines of data without their ends. A last line without an end is a line
// too; an empty one is not.
func Lines(data []byte) iter.Seq[[]byte] {
	return func(yield func([]byte) bool) {
		for len(data) > 0 {
			line, rest := cutLine(data)
			if !yield(line) {
				return
			}
			data = rest
		}
	}
}

// cutLine returns the first line without its end, and what follows.
func cutLine(data []byte) (line, rest []byte) {
	i := bytes.IndexAny(data, "\r\n")
	if i < 0 {
		return data, nil
	}
	end := i + 1
	if data[i] == '\r' && end < len(data) && data[end] == '\n' {
		end++
	}
	return data[:i], data[end:]
}
