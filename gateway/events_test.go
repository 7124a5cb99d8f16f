package gateway

import (
	"bytes"
	"errors"
	"io"
	"testing"

	"gotest.tools/v3/assert"
)

var errCut = errors.New("cut")

// cutReader returns data in reads of at most size bytes and then err.
type cutReader struct {
	data []byte
	size int
	err  error
}

func (r *cutReader) Read(p []byte) (int, error) {
	if len(r.data) == 0 {
		return 0, r.err
	}
	n := copy(p[:min(len(p), r.size)], r.data)
	r.data = r.data[n:]
	return n, nil
}

// readEvents returns the bytes that a client would get.
func readEvents(data []byte, size int, end error) ([]byte, error) {
	stream := newEventReader(&cutReader{data: data, size: size, err: end})
	var out []byte
	for {
		part, err := stream.next()
		if err == nil || errors.Is(err, io.EOF) {
			out = append(out, part...)
		}
		if err != nil {
			return out, err
		}
	}
}

// An engine's events arrive in reads of any size, or its connection breaks in the
// middle of one. A stream that ends is relayed byte for byte; of one that breaks, the
// client gets the complete events and nothing of the incomplete one.
func FuzzEvents(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"), 3)
	f.Add([]byte("id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata"), 1)
	f.Add([]byte("\n\n\r\n\r\n\n"), 2)
	f.Add([]byte("data without an end"), 100)
	f.Fuzz(func(t *testing.T, data []byte, size int) {
		size = max(1, size)
		whole, err := readEvents(data, size, io.EOF)
		assert.Assert(t, errors.Is(err, io.EOF))
		assert.Assert(t, bytes.Equal(whole, data))
		cut, err := readEvents(data, size, errCut)
		assert.Assert(t, errors.Is(err, errCut))
		assert.Assert(t, bytes.HasPrefix(data, cut))
		// Blank lines alone are no event; how many of them are relayed depends on the reads.
		complete := data[:completeLen(data)]
		assert.Assert(t, bytes.Equal(bytes.TrimRight(cut, "\r\n"), bytes.TrimRight(complete, "\r\n")), "all complete events and nothing else")
	})
}
