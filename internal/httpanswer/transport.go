package httpanswer

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
)

// Transport is an HTTP/1 client's transport that reads answers through a [Conn].
type Transport struct {
	*http.Transport
}

// NewTransport has the transport read answers through a [Conn] and returns it. base must not be used
// by itself. Its DialContext is kept; a connection that embeds a [Conn] is taken as it is,
// and must not be dialled for TLS.
func NewTransport(base *http.Transport) *Transport {
	dial := base.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	t := &Transport{Transport: base}
	base.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return withParser(conn), nil
	}
	base.DialTLSContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return t.handshake(ctx, conn, addr)
	}
	return t
}

// judge is implemented by [Conn] and what embeds it.
type judge interface {
	Begin(method string)
	Judge(err error) error
}

// withParser returns the connection if it reads answers through a [Conn], or else one that does.
func withParser(conn net.Conn) net.Conn {
	if _, ok := conn.(judge); ok {
		return conn
	}
	return NewConn(conn)
}

// handshake returns the connection with TLS, over which HTTP/1 is spoken.
func (t *Transport) handshake(ctx context.Context, conn net.Conn, addr string) (net.Conn, error) {
	config := &tls.Config{}
	if t.TLSClientConfig != nil {
		config = t.TLSClientConfig.Clone()
	}
	if config.ServerName == "" {
		host, _, err := net.SplitHostPort(addr)
		if err != nil {
			_ = conn.Close()
			return nil, err
		}
		config.ServerName = host
	}
	config.NextProtos = []string{"http/1.1"}
	if t.TLSHandshakeTimeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, t.TLSHandshakeTimeout)
		defer cancel()
	}
	secure := tls.Client(conn, config)
	if err := secure.HandshakeContext(ctx); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return NewConn(secure), nil
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	var used atomic.Pointer[judge]
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(judge); ok {
			c.Begin(r.Method)
			used.Store(&c)
		}
	}}
	resp, err := t.Transport.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if c := used.Load(); c != nil && err != nil {
		err = (*c).Judge(err)
	}
	return resp, err
}

// NewClient returns a client with the standard library's default settings.
func NewClient() *http.Client {
	base, ok := http.DefaultTransport.(*http.Transport)
	if !ok {
		base = &http.Transport{Proxy: http.ProxyFromEnvironment}
	}
	return &http.Client{Transport: NewTransport(base.Clone())}
}
