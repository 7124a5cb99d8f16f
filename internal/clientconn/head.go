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
	// bytes is its length so far, lines the number of its lines that are not empty.
	bytes, lines int64
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
			h.bytes += int64(len(data))
			h.text = h.text || len(bytes.Trim(data, "\r")) > 0
			return
		}
		h.bytes += int64(end) + 1
		if h.text || len(bytes.Trim(data[:end], "\r")) > 0 {
			h.lines++
		} else if h.lines > 0 {
			h.ended = true
		}
		h.text = false
		data = data[end+1:]
	}
}

// cost is about the memory in bytes that the head takes.
func (h *head) cost() int64 { return byteCost*h.bytes + fieldCost*h.lines }
