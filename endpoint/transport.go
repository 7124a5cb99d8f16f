package endpoint

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/mangostage/mangostage/internal/httpanswer"
)

// Limits of the connections to an endpoint; maxReplyHeader is in bytes.
const (
	maxReplyHeader = 64 << 10
	dialTimeout    = 2 * time.Second
	maxIdleConns   = 64
	idleTimeout    = 30 * time.Second
)

// client returns an HTTP client over the transport that follows no redirects.
func client(t *http.Transport) *http.Client {
	return &http.Client{
		Transport: httpanswer.NewTransport(t),
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
}

type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

func dial(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	return d.DialContext(ctx, network, address)
}

func dialGated(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return newGatedConn(conn, nil), nil
}

// transport returns an HTTP/1 transport without proxy and compression.
func transport(d dialFunc) *http.Transport {
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	return &http.Transport{
		DialContext:            d,
		Protocols:              &protocols,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    maxIdleConns,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxReplyHeader,
	}
}

// dialedOnce returns a dial function that returns conn on its first use and an
// error on every later one.
func dialedOnce(conn net.Conn) dialFunc {
	var used atomic.Bool
	return func(context.Context, string, string) (net.Conn, error) {
		if used.Swap(true) {
			return nil, errSealed.New("a call that runs at most once is not sent again")
		}
		return conn, nil
	}
}
