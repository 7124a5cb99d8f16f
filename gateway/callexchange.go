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

// Match implements platform.CallExchange.
func (x callExchange) Match(result string) bool {
	switch x.conn.results.Judge(result, resultlog.Call{Pieces: x.work.Pieces, Work: x.work.Hash}) {
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
func (x callExchange) Keep() {
	x.conn.results.Prove()
	x.keep()
}

// Discard implements platform.CallExchange.
func (x callExchange) Discard() { x.retire() }

// Stray implements platform.CallExchange.
func (x callExchange) Stray() {
	x.conn.transport.countStray(x.conn.endpoint)
	x.retire()
}
