// Package sse reads streams of server-sent events: where an event begins and ends, and
// whether a stream ended inside one.
package sse
