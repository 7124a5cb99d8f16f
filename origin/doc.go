// Package origin keeps where streams began: the service and the software version of the
// endpoint that sent the first event. What two versions write does not fit together, so a
// stream goes on only at endpoints of its origin.
//
// A member that begins a stream tells a few others, chosen by the stream's hash, and a
// member that does not know a stream asks these, and then all that it reaches. Nothing is
// decided by what is not known: a stream of unknown origin goes on only if there was one
// origin that it can have had.
package origin
