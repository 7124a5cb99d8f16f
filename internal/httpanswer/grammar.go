package httpanswer

import "strings"

// tokenSpecials are the characters of a token that are neither letters nor digits.
const tokenSpecials = "!#$%&'*+-.^_`|~"

// tokenBytes and textBytes are the bytes that tokens and the values of fields consist of.
var tokenBytes, textBytes [256]bool

func init() {
	for c := range tokenBytes {
		b := byte(c)
		isLetter := b|0x20 >= 'a' && b|0x20 <= 'z'
		tokenBytes[c] = isLetter || isDigit(b) || strings.IndexByte(tokenSpecials, b) >= 0
		textBytes[c] = b == '\t' || b >= ' ' && b != 0x7f
	}
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

// isToken reports whether the text is a token, as names of fields are.
func isToken(text []byte) bool {
	for _, c := range text {
		if !tokenBytes[c] {
			return false
		}
	}
	return len(text) > 0
}

// isFieldText reports whether the text may stand in the value of a field.
func isFieldText(text []byte) bool {
	for _, c := range text {
		if !textBytes[c] {
			return false
		}
	}
	return true
}

// hexValue returns the value of a hexadecimal digit.
func hexValue(c byte) (value int64, ok bool) {
	switch {
	case isDigit(c):
		return int64(c - '0'), true
	case c|0x20 >= 'a' && c|0x20 <= 'f':
		return int64(c|0x20-'a') + 10, true
	}
	return 0, false
}
