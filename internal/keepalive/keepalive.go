// Package keepalive closes the idle connections of an HTTP server without
// losing a request.
package keepalive

import (
	"net"
	"net/http"
)

// Conns are the connections of one server.
type Conns struct {
	server *http.Server
}

// Attach returns the connections of a server that has not begun to serve.
func Attach(server *http.Server) *Conns { return &Conns{server: server} }

// Listener returns what the server has to serve in place of l.
func (c *Conns) Listener(l net.Listener) net.Listener { return l }

// CloseIdle closes the connections on which no request is under way.
func (c *Conns) CloseIdle() { c.server.SetKeepAlivesEnabled(false) }
