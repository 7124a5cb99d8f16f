// Package broadcast spreads what one member of a fleet has learned to all others. The
// member tells the owner of the queue, which each member is connected to, and the owner
// tells the others. A message may be lost or overtaken: receivers must bear that.
package broadcast

import (
	"slices"

	"github.com/mangostage/mangostage/peer"
)

// maxUpdates bounds the updates of one message.
const maxUpdates = 256

// Fleet tells which process owns the queue and reaches all members.
type Fleet interface {
	// OwnerConn returns the connection to the owner; nil if this process owns the queue or
	// has no connection to the owner.
	OwnerConn() *peer.Conn
	// Owns reports whether this process owns the queue.
	Owns() bool
	// Broadcast sends a notification to all connected members.
	Broadcast(method string, params any)
}

// Topic spreads updates of one type.
type Topic[U any] struct {
	// Report and Update are the methods by which a member tells the owner and the owner
	// tells a member.
	Report, Update string
	Fleet          Fleet
	// Apply records an update from the member of that name and reports whether it was
	// unknown here.
	Apply func(u U, from string) bool
	// Known returns up to most updates that tell a new member what is known here.
	Known func(most int) []U
}

// Serve registers the methods of the topic.
func (t *Topic[U]) Serve(mux *peer.Mux) {
	peer.HandleNotification(mux, t.Report, func(from *peer.Conn, updates []U) {
		if unknown := t.apply(from, updates); len(unknown) > 0 && t.Fleet.Owns() {
			t.Fleet.Broadcast(t.Update, unknown)
		}
	})
	peer.HandleNotification(mux, t.Update, func(from *peer.Conn, updates []U) { t.apply(from, updates) })
}

// apply records updates of another member and returns those that were unknown here.
func (t *Topic[U]) apply(from *peer.Conn, updates []U) []U {
	var unknown []U
	for _, u := range updates[:min(len(updates), maxUpdates)] {
		if t.Apply(u, from.Peer().Process.Name) {
			unknown = append(unknown, u)
		}
	}
	return unknown
}

// Spread tells the other members what this process has learned.
func (t *Topic[U]) Spread(u U) { t.SpreadAll([]U{u}) }

// SpreadAll tells the other members several things that this process has learned.
func (t *Topic[U]) SpreadAll(updates []U) {
	conn, owns := t.Fleet.OwnerConn(), t.Fleet.Owns()
	for part := range slices.Chunk(updates, maxUpdates) {
		switch {
		case conn != nil:
			// A connection on which this fails is closed.
			go func() { _ = conn.Notify(t.Report, part) }()
		case owns:
			t.Fleet.Broadcast(t.Update, part)
		}
	}
}

// Greet tells a member that has just connected what is known here.
func (t *Topic[U]) Greet(conn *peer.Conn) {
	if updates := t.Known(maxUpdates); len(updates) > 0 {
		_ = conn.Notify(t.Update, updates)
	}
}
