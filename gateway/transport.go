package gateway

import (
	"net/http"
	"time"

	"github.com/mangostage/mangostage/internal/dialer"
)

const (
	// idleTimeout is how long a connection to an endpoint is kept unused.
	idleTimeout = 4 * time.Second
	// maxIdlePerHost bounds the kept connections to one endpoint.
	maxIdlePerHost = 16
	// maxAnswerHeader bounds the header of an endpoint's answer in bytes.
	maxAnswerHeader = 64 << 10
)

// endpointLimits: an endpoint that is cut off does not answer a new connection
// at all, the others do in milliseconds. Two seconds without an
// acknowledgement are many times what a lossy link needs.
var endpointLimits = dialer.Limits{
	Dial:           600 * time.Millisecond,
	Unacknowledged: 2 * time.Second,
	Probe:          2 * time.Second,
}

// NewTransport returns the transport to endpoints. It follows no proxy of the
// environment and asks for no encoding, since answers are relayed as they are.
func NewTransport() *http.Transport {
	return &http.Transport{
		DialContext:            endpointLimits.DialContext,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    maxIdlePerHost,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxAnswerHeader,
		ForceAttemptHTTP2:      false,
	}
}

// checkedTransport asks before each request whether the process was paused.
type checkedTransport struct {
	base  http.RoundTripper
	check func()
}

// Checked returns a transport that calls check before each request.
//
// It guards against kept connections that died while the process stood still: a
// request that may run once only and goes out on one has an unknown fate, and
// its client waits for nothing until its deadline. Dealing with the pause closes
// the connections that are idle, and check returns when that is done.
func Checked(base http.RoundTripper, check func()) http.RoundTripper {
	return &checkedTransport{base: base, check: check}
}

// RoundTrip implements http.RoundTripper.
func (t *checkedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	t.check()
	return t.base.RoundTrip(r)
}
