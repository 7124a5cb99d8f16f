package gateway

import (
	"github.com/mangostage/mangostage/internal/resultlog"
	"github.com/mangostage/mangostage/platform"
)

// callExchange is a call to an endpoint of a stage, whose answer is known by the results that it
// names alone; it implements platform.CallExchange.
type callExchange struct{ *exchange }

// Use implements platform.CallExchange.
func (x callExchange) Use() platform.ConnUse { return x.use() }

// Match implements platform.CallExchange. An answer that came before a byte of the call was written
// is not the one to it.
func (x callExchange) Match(result string) bool {
	if x.abandon() {
		x.Stray()
		return false
	}
	switch x.conn.results.Judge(result, x.rules.work) {
	case resultlog.Latest:
		x.keep()
	case resultlog.Last:
		x.retire()
	case resultlog.Earlier:
		x.Stray()
		return false
	}
	return true
}

// Keep implements platform.CallExchange.
func (x callExchange) Keep() bool {
	if x.abandon() {
		x.Stray()
		return false
	}
	x.conn.results.Prove()
	x.keep()
	return true
}

// Discard implements platform.CallExchange.
func (x callExchange) Discard() { x.retire() }

// Stray implements platform.CallExchange.
func (x callExchange) Stray() {
	x.conn.transport.countStray(x.conn.endpoint)
	x.retire()
}
