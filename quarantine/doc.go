// Package quarantine stops content that crashes the endpoints that run it.
//
// Content is what stays the same when a request comes again; it is known by a hash. A
// connection that breaks under a request is a possible loss of the endpoint under the
// request's content. It counts as a crash if the endpoint's process has ended: a new
// connection is refused, or the store lists another process, or none, in its place. It
// does not count if the process lives, if it was leaving for longer than it promised to
// serve, or if its address is silent, which a partition looks like too.
//
// Content with a crash is suspect: fewer copies of it may run at the same time in the whole
// fleet, so that at most crashLimit endpoints are lost. The owner of the queue grants the
// runs, because it is the one member that all others reach; a member without a connection
// to an owner grants its own. After crashLimit crashes the content is quarantined, that is
// refused, until a trial is due: one run in the fleet, whose complete answer clears the
// content.
//
// Complete answers forgive crashes, answersToForgive for each, because content that merely
// ran beside the cause is answered elsewhere. A quarantine that may have another cause has
// its first trial soon: other endpoints were lost at the same time without the content, all
// endpoints of the service were lost, other content is quarantined for the same crashes,
// or the content was answered shortly before. Else trials are minutes apart.
//
// Bound: one content crashes crashLimit endpoints, plus those on which copies were running
// when its first crash became known, plus one for each trial. It holds for each part of
// a fleet that is cut.
package quarantine
