// Package catalog holds what a deployment publishes: its configuration and
// its list of endpoints. Values are immutable once they are part of a View.
package catalog

import (
	"strconv"
	"time"
)

// RouteKind tells what may be sent to an endpoint more than once.
type RouteKind string

// The route kinds.
const (
	// RouteIdempotent requests may run more than once.
	RouteIdempotent RouteKind = "idempotent"
	// RouteOnce requests may run at most once.
	RouteOnce RouteKind = "once"
	// RouteStream requests are answered by a series of events. They run at
	// most once unless the route is resumable.
	RouteStream RouteKind = "stream"
)

// Config is one version of the deployment's configuration.
type Config struct {
	Version  uint64    `json:"version"`
	Routes   []Route   `json:"routes"`
	Services []Service `json:"services"`
	Accounts []Account `json:"accounts"`
	Limits   Limits    `json:"limits"`
}

// ServiceNames lists the services that the configuration describes or sends
// requests and stages to; a name may stand there twice.
func (c *Config) ServiceNames() []string {
	var names []string
	for i := range c.Services {
		names = append(names, c.Services[i].Name)
	}
	for i := range c.Routes {
		for _, share := range c.Routes[i].Split {
			names = append(names, share.Service)
		}
		for _, stage := range c.Routes[i].Stages {
			names = append(names, stage.Service)
		}
	}
	return names
}

// Route says what becomes of the requests under one host and path prefix.
type Route struct {
	Name   string    `json:"name"`
	Host   string    `json:"host"`
	Prefix string    `json:"prefix"`
	Kind   RouteKind `json:"kind"`
	// Timeout is the longest time that a request may be kept waiting.
	Timeout time.Duration `json:"timeout"`
	// Objective is the latency within which an answer has its full worth.
	Objective time.Duration `json:"objective"`
	// EventGap is the longest pause between events of an answer in time.
	EventGap time.Duration `json:"event_gap,omitempty"`
	// Priority ranks the route; 0 is the most urgent.
	Priority int `json:"priority"`
	// Split lists the services of the route with their weights; never empty.
	Split []Share `json:"split"`
	// MaxAttempts bounds the endpoints to which one request may be sent.
	MaxAttempts int     `json:"max_attempts"`
	Stages      []Stage `json:"stages,omitempty"`
	// Public routes take requests without a key.
	Public bool `json:"public,omitempty"`
	// Model routes carry requests for model engines.
	Model bool `json:"model,omitempty"`
	// Resumable streams may go on at another endpoint.
	Resumable bool `json:"resumable,omitempty"`
}

// Repeatable tells whether a request that may have run may be sent again.
func (r *Route) Repeatable() bool {
	return r.Kind == RouteIdempotent || r.Kind == RouteStream && r.Resumable
}

// Share is one service of a route and its relative weight.
type Share struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

// Stage is work that is done before a request runs at its service.
type Stage struct {
	Service string `json:"service"`
	// After lists the stages, by index, whose results this one reads.
	After []int `json:"after,omitempty"`
	// ResultBytes is about the size of one result.
	ResultBytes int64 `json:"result_bytes"`
}

// Service is a group of equal endpoints.
type Service struct {
	Name string `json:"name"`
	// Model is set for model engines, Batch for services that run stages.
	Model *Model `json:"model,omitempty"`
	Batch *Batch `json:"batch,omitempty"`
	// ColdStart is how long an endpoint that has started is cold, ColdRate how
	// many requests a second it bears until then; 0 if there is no such bound.
	ColdStart time.Duration `json:"cold_start,omitempty"`
	ColdRate  float64       `json:"cold_rate,omitempty"`
}

// Model describes one model engine of a service.
type Model struct {
	// Slots is how many requests are decoded at once.
	Slots int `json:"slots"`
	// CacheTokens is the memory for running requests and cached prefixes.
	CacheTokens int `json:"cache_tokens"`
}

// Batch describes one endpoint of a service that runs stages.
type Batch struct {
	// Slots is how many calls run at once, Queue how many more may wait.
	Slots int `json:"slots"`
	Queue int `json:"queue"`
	// Items is how many pieces fit into a call.
	Items int `json:"items"`
	// CallTime and ItemTime are about what a call takes by itself and for each piece.
	CallTime time.Duration `json:"call_time"`
	ItemTime time.Duration `json:"item_time"`
	// Room is the memory for results in bytes.
	Room int64 `json:"room"`
	// ResultTTL is how long a result is kept that nobody frees.
	ResultTTL time.Duration `json:"result_ttl"`
}

// Account is a client account with its keys.
type Account struct {
	Name string   `json:"name"`
	Keys []string `json:"keys"`
	// Priority, when set, takes the place of the route's.
	Priority *int `json:"priority,omitempty"`
}

// Limits bound what a client may send.
type Limits struct {
	BodyBytes int64 `json:"body_bytes"`
}

// Incarnation is when an endpoint's process started, as the Unix millisecond
// that the endpoint states. It tells starts under one ID apart: a higher one is
// newer. 0 means that the endpoint did not say.
type Incarnation int64

// Time is the start of the process.
func (i Incarnation) Time() time.Time { return time.UnixMilli(int64(i)) }

// Endpoint is one process that serves a service.
type Endpoint struct {
	ID string `json:"id"`
	// Incarnation is the start of the process: with another one nothing that
	// was believed of the endpoint holds any more.
	Incarnation Incarnation `json:"incarnation,omitempty"`

	Service string `json:"service"`
	// Addr is "ip:port".
	Addr string `json:"addr"`
	// Domain is the failure domain.
	Domain string `json:"domain"`
	Slots  int    `json:"slots"`
	// Leaving endpoints will end; they take no new work.
	Leaving bool `json:"leaving,omitempty"`
	// Evacuated endpoints take no new work while the operator keeps their failure
	// domain empty. What runs there ends, and results there can be fetched.
	Evacuated bool `json:"evacuated,omitempty"`

	// ColdLeft is how much longer the endpoint is cold, when it last wrote its
	// entry: it is slow and bears few requests.
	ColdLeft time.Duration `json:"cold_left,omitempty"`
	// ColdUntil is when it is warm, by this process's clock; the zero time if it
	// is known to be. ColdRate is how many requests a second, from all members
	// together, it bears until then; 0 if its service names none.
	ColdUntil time.Time `json:"cold_until,omitzero"`
	ColdRate  float64   `json:"cold_rate,omitempty"`
}

// Cold tells whether the endpoint bears few requests yet.
func (e *Endpoint) Cold(now time.Time) bool { return now.Before(e.ColdUntil) }

// TakesWork tells whether new work may be sent to the endpoint.
func (e *Endpoint) TakesWork() bool { return !e.Leaving && !e.Evacuated }

// Key names one process of an endpoint among all that served under any ID: the
// ID alone if the endpoint does not state its start. It is for what is believed
// of an endpoint; endpoints themselves know their ID only.
func (e *Endpoint) Key() string {
	if e.Incarnation == 0 {
		return e.ID
	}
	return e.ID + "@" + strconv.FormatInt(int64(e.Incarnation), 10)
}

// PrefixPart is one part of a prompt that requests may share. A cached part
// saves its tokens only if all parts before it are cached too.
type PrefixPart struct {
	ID     string `json:"id"`
	Tokens int    `json:"tokens"`
}
