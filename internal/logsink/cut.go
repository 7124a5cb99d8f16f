package logsink

import "unicode/utf8"

const (
	// longLine is the length in bytes from which on the texts of a line are looked at, and
	// maxText the length of a text beyond which it is cut.
	longLine = 1 << 10
	maxText  = 512
	// cutMark ends a text that was cut.
	cutMark = "..."
)

// cutTexts returns a copy of a line of JSON in which no text is much longer than maxText: some
// come from clients, and a few long ones would take the place of many lines.
func cutTexts(line []byte) []byte {
	if len(line) < longLine {
		return append([]byte(nil), line...)
	}
	short := make([]byte, 0, longLine)
	inText, length := false, 0
	for i := 0; i < len(line); {
		unit := unitLength(line[i:], inText)
		switch {
		case line[i] == '"':
			inText, length = !inText, 0
		case inText:
			length += unit
		}
		if length <= maxText {
			short = append(short, line[i:i+unit]...)
		} else if length-unit <= maxText {
			short = append(short, cutMark...)
		}
		i += unit
	}
	return short
}

// unitLength returns the length in bytes of what must not be cut apart at the begin of a line's
// rest: an escape, a rune, or else a byte.
func unitLength(rest []byte, inText bool) int {
	const escape, unicodeEscape = 2, 6
	switch {
	case !inText:
		return 1
	case rest[0] == '\\' && len(rest) >= unicodeEscape && rest[1] == 'u':
		return unicodeEscape
	case rest[0] == '\\' && len(rest) >= escape:
		return escape
	}
	_, size := utf8.DecodeRune(rest)
	return size
}
