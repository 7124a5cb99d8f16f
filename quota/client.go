package quota

import (
	"context"
	"expvar"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"github.com/mangostage/mangostage/broadcast"
	"github.com/mangostage/mangostage/catalog"
	"github.com/mangostage/mangostage/peer"
	"github.com/mangostage/mangostage/platform"
)

// Methods between processes.
const (
	MethodReport  = "quota.report"
	MethodUpdate  = "quota.update"
	MethodReserve = "quota.reserve"
)

// reserveTimeout bounds a call to the owner: many round trips within a region.
const reserveTimeout = 250 * time.Millisecond

// Names of the counters beside the event names.
const (
	countReserved = "reserved"
	countRefused  = "refused"
	countNoOwner  = "no_owner"
)

// Client records the quotas that this process hears of, exchanges them with other
// members and reserves tokens at the owner of the queue.
type Client struct {
	table *Table
	fleet broadcast.Fleet
	log   zerolog.Logger
	topic broadcast.Topic[Update]
	// Counters counts changes of quotas, and reservations by outcome.
	Counters *expvar.Map
}

// NewClient returns a client that records quotas in the table.
func NewClient(table *Table, fleet broadcast.Fleet, log zerolog.Logger) *Client {
	c := &Client{table: table, fleet: fleet, log: log, Counters: new(expvar.Map).Init()}
	c.topic = broadcast.Topic[Update]{Report: MethodReport, Update: MethodUpdate, Fleet: fleet, Apply: c.apply, Known: table.Updates}
	return c
}

// Table returns the table of the quotas that this process knows of.
func (c *Client) Table() *Table { return c.table }

// reserveCall asks the owner for a token.
type reserveCall struct {
	Request string `json:"request"`
	// Wanted are the endpoints, with their quotas as the caller knows them.
	Wanted  []Update      `json:"wanted"`
	MaxWait time.Duration `json:"max_wait,omitempty"`
}

// Serve registers the methods by which other processes use the client.
func Serve(mux *peer.Mux, c *Client) {
	c.topic.Serve(mux)
	peer.HandleCall(mux, MethodReserve, func(_ context.Context, from *peer.Conn, call reserveCall) (Reservation, error) {
		return c.serveReserve(from, call), nil
	})
}

// Observe processes the signals in an endpoint's answer to a request that this
// process sent at sent, and reports a change. endpoint is the endpoint's Key.
func (c *Client) Observe(endpoint, request string, sent time.Time, s platform.Signals) {
	u, changed := c.table.Observe(time.Now(), sent, endpoint, s.Rate)
	if !changed {
		return
	}
	u.Request = request
	c.logChange(u, "")
	c.topic.Spread(u)
}

// apply records what the member of that name reported and reports whether it was unknown
// here.
func (c *Client) apply(u Update, from string) bool {
	if !c.table.Apply(time.Now(), u) {
		return false
	}
	c.logChange(u, from)
	return true
}

// Greet tells a member that has just connected which quotas are known here.
func (c *Client) Greet(conn *peer.Conn) { c.topic.Greet(conn) }

// Reserve reserves a token for a request to one of the endpoints at the owner of the
// queue, at most maxWait from now. Without an owner there are no tokens.
func (c *Client) Reserve(ctx context.Context, request string, endpoints []string, maxWait time.Duration) Reservation {
	r := c.reserve(ctx, request, endpoints, maxWait)
	if r.OK() {
		c.Counters.Add(countReserved, 1)
		return r
	}
	c.Counters.Add(countRefused, 1)
	c.table.recordRefused(time.Now(), endpoints, r)
	return r
}

func (c *Client) reserve(ctx context.Context, request string, endpoints []string, maxWait time.Duration) Reservation {
	now := time.Now()
	conn := c.fleet.OwnerConn()
	if conn == nil {
		return c.table.Reserve(now, endpoints, maxWait)
	}
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	call := reserveCall{Request: request, Wanted: c.table.updatesFor(now, endpoints), MaxWait: maxWait}
	var r Reservation
	if err := conn.Call(ctx, MethodReserve, call, &r); err != nil {
		c.Counters.Add(countNoOwner, 1)
		return Reservation{Wait: ownerlessRetry, RetryIn: ownerlessRetry}
	}
	return r
}

// serveReserve reserves a token for a request of another member. What that member
// knows and this process does not, as after a restart, is recorded first.
func (c *Client) serveReserve(from *peer.Conn, call reserveCall) Reservation {
	now := time.Now()
	endpoints := make([]string, 0, len(call.Wanted))
	for _, u := range call.Wanted {
		endpoints = append(endpoints, u.Endpoint)
		if !u.Lifted() && !c.table.Limited(now, u.Endpoint) {
			c.apply(u, from.Peer().Process.Name)
		}
	}
	return c.table.Reserve(now, endpoints, call.MaxWait)
}

// logChange logs and counts a change of a quota; from is the member that reported it,
// empty for this process.
func (c *Client) logChange(u Update, from string) {
	event, text := logNamed, "an endpoint names a request rate"
	if u.Lifted() {
		event, text = logLifted, "an endpoint names no request rate any more"
	}
	c.Counters.Add(event, 1)
	c.log.Warn().Str("event", event).Str("endpoint", u.Endpoint).Float64("rate", u.Rate).
		Str("request", u.Request).Str("from", from).Msg(text)
}

// Stats lists the quotas that this process knows of.
func (c *Client) Stats() []Stats { return c.table.Stats() }

// ProbeDue reports whether this process, one of a number of members, should send the
// endpoint a request to hear whether it still has a quota.
func (c *Client) ProbeDue(now time.Time, endpoint string, members int) bool {
	interval := time.Duration((0.5 + rand.Float64()) * float64(max(1, members)) * float64(ProbeInterval))
	if !c.table.ProbeDue(now, endpoint, interval) {
		return false
	}
	c.table.RecordProbe(now, endpoint)
	return true
}

// Limited reports whether the endpoint has a quota.
func (c *Client) Limited(now time.Time, endpoint string) bool { return c.table.Limited(now, endpoint) }

// Blocked reports whether, by a refusal of the owner, the endpoint has no token at
// the time at, and when a request that is refused should come back.
func (c *Client) Blocked(at time.Time, endpoint string) (retryAt time.Time, blocked bool) {
	return c.table.Blocked(at, endpoint)
}

// SetView drops the quotas of endpoints that have not been listed for a while.
func (c *Client) SetView(view *catalog.View) {
	c.table.SetListed(time.Now(), func(endpoint string) bool { return view.Endpoint(endpoint) != nil })
}
