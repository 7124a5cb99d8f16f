package sse

import "io"

// readSize is the size in bytes of one read from a stream.
const readSize = 8 << 10

// Reader reads a stream of events and returns them as soon as they are complete.
type Reader struct {
	body    io.Reader
	maxHeld int
	tracker Tracker
	// pending holds the bytes that were read and not yet returned; the first complete of
	// them may be returned.
	pending  []byte
	complete int
	// chunk is the read buffer.
	chunk []byte
	// split is true if the bytes returned so far end inside an event.
	split bool
	// err is the error that ended the body.
	err error
}

// NewReader returns a reader of the stream in body. It holds up to maxHeld bytes of an
// event until the event is complete.
func NewReader(body io.Reader, maxHeld int) *Reader {
	return &Reader{body: body, maxHeld: maxHeld, chunk: make([]byte, readSize)}
}

// Next returns the bytes of one or more complete events. An event that is too long to be
// held is returned in parts. At the end of the stream Next returns the remaining bytes and
// io.EOF. Any other error means that the stream broke; the bytes returned with it belong to
// an incomplete event.
func (r *Reader) Next() ([]byte, error) {
	for {
		if r.complete > 0 {
			r.split = false
			return r.take(r.complete), nil
		}
		if r.err != nil {
			return r.take(len(r.pending)), r.err
		}
		if len(r.pending) > r.maxHeld {
			r.split = true
			return r.take(len(r.pending)), nil
		}
		r.read()
	}
}

// read reads once from the body.
func (r *Reader) read() {
	n, err := r.body.Read(r.chunk)
	data := r.chunk[:n]
	if end := r.tracker.Scan(data); end >= 0 {
		r.complete = len(r.pending) + end
	}
	r.pending = append(r.pending, data...)
	r.err = err
}

// take removes the first n bytes of pending and returns them.
func (r *Reader) take(n int) []byte {
	out := r.pending[:n:n]
	r.pending = r.pending[n:]
	r.complete = 0
	return out
}

// LastID returns the ID of the last complete event that had one; empty if none had.
func (r *Reader) LastID() string { return r.tracker.LastID() }

// FirstID returns the ID of the first event, which may be incomplete; empty if it has none, or
// none so far.
func (r *Reader) FirstID() string { return r.tracker.FirstID() }

// EndID returns the ID of the last complete event; empty if it had none.
func (r *Reader) EndID() string { return r.tracker.EndID() }

// Events returns the number of complete events.
func (r *Reader) Events() int { return r.tracker.Events() }

// InsideEvent reports whether what was read ends inside an event.
func (r *Reader) InsideEvent() bool { return r.tracker.InsideEvent() }

// Split reports whether the bytes that Next returned so far, those with an error apart, end
// inside an event: no other stream can go on after them.
func (r *Reader) Split() bool { return r.split }
