package gateway

import (
	"context"
	"net"
	"sync/atomic"
)

// connKey is the context key of a client's connection.
type connKey struct{}

// ConnContext is the http.Server hook that lets requests on one connection be
// counted: a request that reaches a stopping process over a kept connection
// has come past the balancer, one on a new connection by its choice.
func ConnContext(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, new(atomic.Int64))
}

// earlierRequests counts a request on its connection and returns how many came
// before it; 0 on servers without ConnContext.
func earlierRequests(ctx context.Context) int64 {
	served, ok := ctx.Value(connKey{}).(*atomic.Int64)
	if !ok {
		return 0
	}
	return served.Add(1) - 1
}
