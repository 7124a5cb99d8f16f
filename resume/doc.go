// Package resume decides whether the answer of one endpoint may go on with what a client has got
// of another one: by what the client has, what was asked for, and what the endpoint sends. It
// does no I/O.
package resume
