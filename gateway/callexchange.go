package gateway

import (
	"github.com/mangostage/mangostage/internal/resultlog"
	"github.com/mangostage/mangostage/platform"
)

// callExchange is a call to an endpoint of a stage, whose answer is known by the results that it
// names alone; it implements platform.CallExchange.
type callExchange struct {
	*exchange
	on *endpointConn
}

// BeginCall implements platform.CallConn.
func (c *endpointConn) BeginCall() platform.CallExchange {
	x := c.exchange.Load()
	x.settledByCaller.Store(true)
	return callExchange{x, c}
}

// Use implements platform.CallExchange.
func (x callExchange) Use() platform.ConnUse { return x.use() }

// Match implements platform.CallExchange.
func (x callExchange) Match(result, work string) bool {
	verdict := x.on.results.Judge(result, work)
	switch verdict {
	case resultlog.Latest:
		x.believe()
	case resultlog.Earlier:
		x.on.transport.countStray(x.on.endpoint)
		x.reject()
	default:
		x.reject()
	}
	return verdict != resultlog.Earlier
}

// Keep implements platform.CallExchange.
func (x callExchange) Keep() { x.believe() }

// Discard implements platform.CallExchange.
func (x callExchange) Discard() { x.reject() }
