package gateway_test

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/platform/standin"
)

// Guards against a request that takes the memory of the queue's owner by the number of pieces that
// its header names.
func TestPiecesOfARequestAreBounded(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	r.add("stage", "s-1", serve(t, &standin.StageEndpoint{ID: "s-1", Addr: "s"}))
	r.startEndpoint("model", "m-1", nil)
	for path, want := range map[string]int{"/staged/": http.StatusBadRequest, "/stream/": http.StatusOK} {
		for _, pieces := range []string{"10001", "100000000", "9223372036854775807"} {
			req := r.request(http.MethodPost, path, "prompt")
			req.Header.Set("Mangostage-Segments", pieces)
			assert.Equal(t, r.do(req).status, want, "%s of a route %s", pieces, path)
		}
	}
}
