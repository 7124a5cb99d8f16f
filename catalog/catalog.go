// Package catalog defines the configuration and the endpoint list that a
// deployment publishes. Values are immutable once they are part of a View.
package catalog

import (
	"slices"
	"strconv"
	"strings"
	"time"
)

// RouteKind says whether a route's requests may run more than once and how they
// are answered.
type RouteKind string

// The route kinds.
const (
	// RouteIdempotent requests may run more than once.
	RouteIdempotent RouteKind = "idempotent"
	// RouteOnce requests may run at most once.
	RouteOnce RouteKind = "once"
	// RouteStream requests are answered by a stream of events. They may run at
	// most once unless the route is resumable.
	RouteStream RouteKind = "stream"
)

// Config is one version of the deployment's configuration.
type Config struct {
	Version  uint64    `json:"version"`
	Routes   []Route   `json:"routes"`
	Services []Service `json:"services"`
	Accounts []Account `json:"accounts"`
	// Open means that the configuration has no list of client accounts, so that requests need
	// no key. A list that is there and names nobody lets nobody in.
	Open   bool   `json:"open,omitempty"`
	Limits Limits `json:"limits"`
}

// ServiceNames returns the names of all services that the configuration describes
// or that its routes send requests and stages to. A name may occur more than once.
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

// Route configures how requests under one host and path prefix are served.
type Route struct {
	Name   string    `json:"name"`
	Host   string    `json:"host"`
	Prefix string    `json:"prefix"`
	Kind   RouteKind `json:"kind"`
	// Timeout is the longest time that a request may wait for its answer.
	Timeout time.Duration `json:"timeout"`
	// Objective is the latency objective: an answer within it has its full value.
	Objective time.Duration `json:"objective"`
	// EventGap is the longest pause between two events of a stream that still
	// counts as in time.
	EventGap time.Duration `json:"event_gap,omitempty"`
	// Priority ranks the route; 0 is the most urgent.
	Priority int `json:"priority"`
	// Split lists the services that serve the route, with their weights; never empty.
	Split []Share `json:"split"`
	// MaxAttempts is the largest number of endpoints that one request may be sent to.
	MaxAttempts int `json:"max_attempts"`
	// Stages run before a request is sent to its service.
	Stages []Stage `json:"stages,omitempty"`
	// Public means that requests need no key.
	Public bool `json:"public,omitempty"`
	// Model means that the route's requests are for model engines.
	Model bool `json:"model,omitempty"`
	// Resumable means that a stream that was cut off may continue at another endpoint.
	Resumable bool `json:"resumable,omitempty"`
}

// Repeatable reports whether a request that may have run may be sent again.
func (r *Route) Repeatable() bool {
	return r.Kind == RouteIdempotent || r.ResumableStream()
}

// ResumableStream reports whether the route's streams may continue at another endpoint.
func (r *Route) ResumableStream() bool { return r.Kind == RouteStream && r.Resumable }

// Serves reports whether the service is one of the route's.
func (r *Route) Serves(service string) bool {
	return slices.ContainsFunc(r.Split, func(s Share) bool { return s.Service == service })
}

// Share is a service of a route and its relative weight in the traffic split.
type Share struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

// Stage is one step of processing that runs before a request is sent to its service.
type Stage struct {
	Service string `json:"service"`
	// DependsOn lists the indexes of the stages whose results this one reads.
	DependsOn []int `json:"after,omitempty"`
	// ResultBytes is the approximate size of one result in bytes.
	ResultBytes int64 `json:"result_bytes"`
}

// Service is a group of interchangeable endpoints.
type Service struct {
	Name string `json:"name"`
	// Model is set for model engines.
	Model *Model `json:"model,omitempty"`
	// Batch is set for services that run stages.
	Batch *Batch `json:"batch,omitempty"`
	// ColdStart is how long an endpoint is cold after its start.
	ColdStart time.Duration `json:"cold_start,omitempty"`
	// ColdRate is how many requests per second a cold endpoint can handle; 0 if
	// there is no such limit.
	ColdRate float64 `json:"cold_rate,omitempty"`
}

// Model describes one model engine of a service.
type Model struct {
	// Slots is the number of requests that are decoded concurrently.
	Slots int `json:"slots"`
	// CacheTokens is the memory, in tokens, for running requests and cached prefixes.
	CacheTokens int `json:"cache_tokens"`
}

// Batch describes one endpoint of a service that runs stages.
type Batch struct {
	// Slots is the number of calls that run concurrently.
	Slots int `json:"slots"`
	// Queue is the number of calls that may wait in addition.
	Queue int `json:"queue"`
	// Items is the largest number of items in a call.
	Items int `json:"items"`
	// CallTime is the approximate fixed time of a call.
	CallTime time.Duration `json:"call_time"`
	// ItemTime is the approximate additional time for each item of a call.
	ItemTime time.Duration `json:"item_time"`
	// Room is the memory for results in bytes.
	Room int64 `json:"room"`
	// ResultTTL is how long a result is kept if it is not freed earlier.
	ResultTTL time.Duration `json:"result_ttl"`
}

// CallTimeFor returns the approximate time of a call with a number of items.
func (b *Batch) CallTimeFor(items int) time.Duration {
	return b.CallTime + time.Duration(items)*b.ItemTime
}

// Account is a client account with its keys.
type Account struct {
	Name string   `json:"name"`
	Keys []string `json:"keys"`
	// Priority, if set, overrides the route's priority.
	Priority *int `json:"priority,omitempty"`
}

// Limits are the limits on what a client may send, and on how long it may take. Zero means the
// default.
type Limits struct {
	// HeaderBytes is the largest head of a request in bytes.
	HeaderBytes int64 `json:"header_bytes"`
	// BodyBytes is the largest request body in bytes.
	BodyBytes int64 `json:"body_bytes"`
	// HeaderTimeout is how long a head may take from its first byte to its end.
	HeaderTimeout time.Duration `json:"header_timeout"`
	// IdleTimeout is how long a connection without a request is kept.
	IdleTimeout time.Duration `json:"idle_timeout"`
}

// Incarnation is the start time of an endpoint's process in Unix milliseconds, as
// reported by the endpoint. It distinguishes successive processes with the same
// ID: a higher one is newer. 0 means that the endpoint did not report it.
type Incarnation int64

// Time returns the start time of the process.
func (i Incarnation) Time() time.Time { return time.UnixMilli(int64(i)) }

// Endpoint is one process that serves a service.
type Endpoint struct {
	ID string `json:"id"`
	// Incarnation identifies the process. When it changes, everything that was
	// known about the endpoint's state is obsolete.
	Incarnation Incarnation `json:"incarnation,omitempty"`

	Service string `json:"service"`
	// Version is that of the endpoint's software; empty if the endpoint does not report
	// it. What two versions write does not fit together.
	Version string `json:"version,omitempty"`
	// VersionUnclear means that the process may not be the one that reported Version.
	VersionUnclear bool `json:"version_unclear,omitempty"`
	// Addr is "ip:port".
	Addr string `json:"addr"`
	// Domain is the failure domain.
	Domain string `json:"domain"`
	// Slots is the number of requests that the endpoint serves concurrently.
	Slots int `json:"slots"`
	// Leaving means that the endpoint is about to stop; it takes no new work.
	Leaving bool `json:"leaving,omitempty"`
	// ContinuesUntil is until when a leaving endpoint may still be sent the rest of streams,
	// by this process's clock.
	ContinuesUntil time.Time `json:"continues_until,omitzero"`
	// Evacuated means that an operator has evacuated the endpoint's failure domain:
	// the endpoint takes no new work. Running work is completed, and results there
	// can still be fetched.
	Evacuated bool `json:"evacuated,omitempty"`

	// ColdLeft is how much longer the endpoint was going to be cold when it last
	// wrote its entry. A cold endpoint is slow and can handle few requests.
	ColdLeft time.Duration `json:"cold_left,omitempty"`
	// ColdUntil is when the endpoint becomes warm, by this process's clock; the
	// zero time if it is known to be warm.
	ColdUntil time.Time `json:"cold_until,omitzero"`
	// ColdRate is how many requests per second, from all members together, the
	// endpoint can handle until then; 0 if its service sets no limit.
	ColdRate float64 `json:"cold_rate,omitempty"`
}

// Cold reports whether the endpoint is still cold.
func (e *Endpoint) Cold(now time.Time) bool { return now.Before(e.ColdUntil) }

// TakesWork reports whether new work may be sent to the endpoint.
func (e *Endpoint) TakesWork() bool { return !e.Leaving && !e.Evacuated }

// TakesRest reports whether the rest of a stream of its version may be sent to the endpoint:
// for a while also to one that leaves.
func (e *Endpoint) TakesRest(now time.Time) bool {
	return e.TakesWork() || !e.Evacuated && now.Before(e.ContinuesUntil)
}

// Runs reports whether the endpoint is known to run the software version.
func (e *Endpoint) Runs(version string) bool { return e.Version == version && !e.VersionUnclear }

// Key identifies one process of an endpoint, by ID and incarnation; it is the ID
// alone if the endpoint does not report its start. It is the key for state that
// other processes keep about the endpoint; endpoints know only their own ID.
func (e *Endpoint) Key() string {
	if e.Incarnation == 0 {
		return e.ID
	}
	return e.ID + "@" + strconv.FormatInt(int64(e.Incarnation), 10)
}

// IDOfKey returns the ID of the endpoint with the Key.
func IDOfKey(key string) string {
	id, _, _ := strings.Cut(key, "@")
	return id
}

// PrefixPart is one part of a prompt that requests may share. A cached part
// saves its tokens only if all parts before it are cached too.
type PrefixPart struct {
	ID     string `json:"id"`
	Tokens int    `json:"tokens"`
}
