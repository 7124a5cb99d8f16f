package gateway

import (
	"errors"
	"io"

	"github.com/cespare/xxhash/v2"
)

const (
	// firstPiece and maxPiece are the lengths in bytes of the first and of the longest pieces
	// of a body.
	firstPiece = 2 << 10
	maxPiece   = 64 << 10
)

// payload is the body of a request in pieces. It takes the memory of the bytes that have come, and
// does not copy them as it grows.
type payload struct {
	pieces [][]byte
	length int64
}

// readPayload reads a body to its end. length is the announced one in bytes; negative if it is not
// known.
func readPayload(body io.Reader, length int64) (payload, error) {
	var p payload
	size := int64(firstPiece)
	for {
		if length >= 0 {
			// One byte more, so that the end is found without another piece.
			size = min(size, length-p.length+1)
		}
		piece, err := readPiece(body, int(max(1, size)))
		if len(piece) > 0 {
			p.pieces = append(p.pieces, piece)
			p.length += int64(len(piece))
		}
		if errors.Is(err, io.EOF) {
			return p, nil
		}
		if err != nil {
			return payload{}, err
		}
		size = min(2*size, maxPiece)
	}
}

// readPiece reads until a piece of the size is full or the body ends.
func readPiece(body io.Reader, size int) ([]byte, error) {
	piece := make([]byte, 0, size)
	for len(piece) < size {
		n, err := body.Read(piece[len(piece):size])
		piece = piece[:len(piece)+n]
		if err != nil {
			return piece, err
		}
	}
	return piece, nil
}

// hash adds the body to a digest.
func (p payload) hash(h *xxhash.Digest) {
	for _, piece := range p.pieces {
		// A digest takes all bytes and has no errors.
		_, _ = h.Write(piece)
	}
}

// reader returns a reader of the body from its begin.
func (p payload) reader() io.Reader { return &payloadReader{pieces: p.pieces} }

// payloadReader reads a body from an offset in one of its pieces.
type payloadReader struct {
	pieces [][]byte
	offset int
}

// Read implements io.Reader.
func (r *payloadReader) Read(p []byte) (int, error) {
	if len(r.pieces) == 0 {
		return 0, io.EOF
	}
	n := copy(p, r.pieces[0][r.offset:])
	if r.offset += n; r.offset == len(r.pieces[0]) {
		r.pieces, r.offset = r.pieces[1:], 0
	}
	return n, nil
}
