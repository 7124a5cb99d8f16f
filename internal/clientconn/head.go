package clientconn

import "bytes"

const (
	// fieldCost is what a header line takes in memory beside its bytes, and byteCost how often
	// these are held: as read, and as text.
	fieldCost = 128
	byteCost  = 2
)

// head follows the head of a request as it is read.
type head struct {
	// first is the length of the request line so far, with what comes before it, fields that of
	// the lines after it; lines is the number of lines that are not empty.
	first, fields, lines int64
	// text is true once a byte of the current line has come that does not end it.
	text bool
	// ended is true once the empty line at the end of the head has come.
	ended bool
}

// read adds bytes that have come; those after the end of the head do not count.
func (h *head) read(data []byte) {
	for len(data) > 0 && !h.ended {
		end := bytes.IndexByte(data, '\n')
		if end < 0 {
			h.count(len(data))
			h.text = h.text || len(bytes.Trim(data, "\r")) > 0
			return
		}
		h.count(end + 1)
		if h.text || len(bytes.Trim(data[:end], "\r")) > 0 {
			h.lines++
		} else if h.lines > 0 {
			h.ended = true
		}
		h.text = false
		data = data[end+1:]
	}
}

// count adds bytes of the current line.
func (h *head) count(bytes int) {
	if h.lines == 0 {
		h.first += int64(bytes)
	} else {
		h.fields += int64(bytes)
	}
}

// exceeds reports whether the head is over a limit in bytes: its header lines are, or its request
// line, which limits on headers may or may not include.
func (h *head) exceeds(limit int64) bool { return h.first > limit || h.fields > limit }

// cost is about the memory in bytes that the head takes.
func (h *head) cost() int64 { return byteCost*(h.first+h.fields) + fieldCost*h.lines }
