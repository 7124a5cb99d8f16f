// Package intake bounds what the clients of a process hold of it: connections, and the memory of
// requests that are not ordinary. It decides whether there is room and, when there is none, which
// client pays. It does no I/O.
//
// An ordinary request, of a few kilobytes, is part of the price of its connection. What a request
// needs beyond that is reserved as it comes and released when the request has its answer.
package intake
