package gateway

import (
	"bytes"
	"io"
	"math/rand/v2"
	"testing"
	"testing/iotest"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"
)

// Guards against a body in pieces that loses, repeats or moves bytes on the way to an endpoint, or
// to the second one.
func TestPayloadIsTheWholeBody(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for _, length := range []int{0, 1, firstPiece - 1, firstPiece, firstPiece + 1, maxPiece, 3*maxPiece + 5} {
		body := make([]byte, length)
		for i := range body {
			body[i] = byte(random.Uint32())
		}
		for _, announced := range []int64{int64(length), -1} {
			for _, from := range []io.Reader{bytes.NewReader(body), iotest.OneByteReader(bytes.NewReader(body)), iotest.DataErrReader(bytes.NewReader(body))} {
				p, err := readPayload(from, announced)
				assert.NilError(t, err)
				assert.Equal(t, p.length, int64(length))
				for range 2 {
					got, err := io.ReadAll(p.reader())
					assert.NilError(t, err)
					assert.Assert(t, bytes.Equal(got, body), "%d bytes, announced %d", length, announced)
				}
				h := xxhash.New()
				p.hash(h)
				assert.Equal(t, h.Sum64(), xxhash.Sum64(body))
			}
		}
	}
	_, err := readPayload(iotest.TimeoutReader(bytes.NewReader(make([]byte, maxPiece))), maxPiece)
	assert.Assert(t, err != nil, "a body that ends early")
}
