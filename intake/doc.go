// Package intake bounds what the clients of a process hold of it: connections, and the memory of
// requests that are not ordinary. It decides whether there is room and, when there is none, which
// client is evicted. It does no I/O.
//
// The memory of an ordinary request, of a few kilobytes, counts with its connection. What a request
// needs beyond that is reserved as it comes and released when the request has its answer.
package intake
