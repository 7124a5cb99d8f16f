package httpanswer

import (
	"bytes"
	"net/http"
	"strconv"
)

// maxQuoted is the maximum number of bytes of an answer that an error quotes.
const maxQuoted = 32

const (
	httpVersion = "HTTP/1."
	// versionLength and statusLength are the lengths in bytes of "HTTP/1.1" and of a status.
	versionLength = len(httpVersion) + 1
	statusLength  = 3
	// minStatus and maxStatus are the range of the protocol.
	minStatus, maxStatus = 100, 599
)

// Names of the fields that frame a body.
var (
	nameLength   = []byte("Content-Length")
	nameEncoding = []byte("Transfer-Encoding")
	chunkedCode  = []byte("chunked")
)

// head holds what a head says that decides how its body ends.
type head struct {
	// started is true once the status line has come.
	started bool
	// minor is the minor version of the protocol.
	minor  byte
	status int
	// hasLength is true if a length is named, encoded if a transfer coding is, which is chunked
	// if that is true.
	hasLength, encoded, chunked bool
	length                      int64
}

// quoted returns the begin of a text for an error.
func quoted(text []byte) string { return strconv.Quote(string(text[:min(len(text), maxQuoted)])) }

// parseStatusLine reads the status line, without its end.
func (h *head) parseStatusLine(line []byte) error {
	if len(line) < versionLength+1+statusLength || string(line[:len(httpVersion)]) != httpVersion ||
		!isDigit(line[len(httpVersion)]) || line[versionLength] != ' ' {
		return ErrMalformed.New("status line %s", quoted(line))
	}
	status, reason := line[versionLength+1:][:statusLength], line[versionLength+1+statusLength:]
	h.started, h.minor, h.status = true, line[len(httpVersion)]-'0', 0
	for _, c := range status {
		if !isDigit(c) {
			return ErrMalformed.New("status %s", quoted(status))
		}
		h.status = 10*h.status + int(c-'0')
	}
	switch {
	case h.status < minStatus || h.status > maxStatus:
		return ErrMalformed.New("status %s is none", status)
	case len(reason) > 0 && reason[0] != ' ', !isFieldText(reason):
		return ErrMalformed.New("status line %s", quoted(line))
	}
	return nil
}

// parseField reads one field, without the end of its line.
func (h *head) parseField(line []byte) error {
	name, value, found := bytes.Cut(line, []byte(":"))
	if err := checkField(name, value, found); err != nil {
		return err
	}
	value = bytes.Trim(value, " \t")
	switch {
	case bytes.EqualFold(name, nameLength):
		return h.parseLength(value)
	case bytes.EqualFold(name, nameEncoding):
		if h.encoded {
			return ErrMalformed.New("Transfer-Encoding twice")
		}
		h.encoded, h.chunked = true, bytes.EqualFold(value, chunkedCode)
		if !h.chunked {
			return ErrMalformed.New("Transfer-Encoding %s", quoted(value))
		}
	}
	return nil
}

// checkField returns an error if the name and the value don't follow the grammar of fields. A line
// that begins with a blank has no name.
func checkField(name, value []byte, found bool) error {
	switch {
	case !found:
		return ErrMalformed.New("a field without a colon: %s", quoted(name))
	case !isToken(name):
		return ErrMalformed.New("field name %s", quoted(name))
	case !isFieldText(value):
		return ErrMalformed.New("field value of %s", quoted(name))
	}
	return nil
}

// parseLength reads the value of a Content-Length. It may be named twice if both are the same.
func (h *head) parseLength(value []byte) error {
	for _, c := range value {
		if !isDigit(c) {
			return ErrMalformed.New("Content-Length %s", quoted(value))
		}
	}
	length, err := strconv.ParseInt(string(value), 10, 64)
	switch {
	case err != nil:
		return ErrMalformed.New("Content-Length %s", quoted(value))
	case h.hasLength && h.length != length:
		return ErrMalformed.New("Content-Length %d and %d", h.length, length)
	}
	h.hasLength, h.length = true, length
	return nil
}

// informational reports whether another head follows.
func (h *head) informational() bool { return h.status < http.StatusOK }

// mayHaveBody reports whether an answer with the status may have a body.
func (h *head) mayHaveBody() bool {
	return h.status != http.StatusNoContent && h.status != http.StatusNotModified
}

// checkFraming returns an error if the head leaves open where its answer ends.
func (h *head) checkFraming() error {
	switch {
	case h.status == http.StatusSwitchingProtocols:
		return ErrMalformed.New("status 101: no other protocol was asked for")
	case h.encoded && h.hasLength:
		return ErrMalformed.New("Transfer-Encoding and Content-Length")
	case h.encoded && h.minor == 0:
		return ErrMalformed.New("Transfer-Encoding in HTTP/1.0")
	}
	return nil
}
