package resume

import (
	"net/http"
	"strconv"
)

// Refusal says why an answer does not go on with what the client has; empty if it may.
type Refusal string

// Why no endpoint may go on with what the client has.
const (
	// NotResumable means that the route's answers may not be resumed.
	NotResumable Refusal = "not_resumable"
	// NoStream means that the answer that has begun is no stream of events.
	NoStream Refusal = "no_stream"
	// InsideEvent means that the client has a part of an event.
	InsideEvent Refusal = "inside_event"
	// NoEventID means that the last event that the client has, or the first that is to follow
	// it, has no ID: nothing says what comes next.
	NoEventID Refusal = "no_event_id"
	// VersionUnclear means that it is not known which version of the endpoints' software has
	// sent the events.
	VersionUnclear Refusal = "version_unclear"
)

// Why what an endpoint sends may not go on with what the client has.
const (
	// OtherStatus means that its status is not that of the head that the client has.
	OtherStatus Refusal = "other_status"
	// OtherType means that its answer is no stream of events.
	OtherType Refusal = "other_type"
	// EventRepeated means that its first event does not come after the last one that the
	// client has.
	EventRepeated Refusal = "event_repeated"
)

// Head is the head of an endpoint's answer.
type Head struct {
	Status int
	// Stream is true if the answer is a stream of events.
	Stream bool
}

// mayHoldEvents reports whether the body of an answer with the head is a stream of events.
func (h Head) mayHoldEvents() bool {
	return h.Stream && h.Status != http.StatusNoContent && h.Status != http.StatusResetContent
}

// Sent is what a client has of the answer to its request. The zero value is a client that has
// nothing.
type Sent struct {
	// Begun is true once Head has been written.
	Begun bool
	Head  Head
	// Split is true if the client has a part of an event.
	Split bool
	// Unnamed is true if the last event that the client has, has no ID.
	Unnamed bool
	// LastID is the ID of the last event that the client has, or the one after which it asked
	// to resume.
	LastID string
}

// Begin records that the head of an answer is written to the client.
func (s *Sent) Begin(h Head) { s.Begun, s.Head = true, h }

// Relayed records that events have been written to the client. lastID is the ID of the last of
// them, empty without one; split is true if they end inside an event.
func (s *Sent) Relayed(lastID string, split bool) {
	s.Split, s.Unnamed = split, lastID == ""
	if lastID != "" {
		s.LastID = lastID
	}
}

// CheckContinue returns why no endpoint may go on with what the client has. resumable is true if
// the streams of the route may be resumed, versionKnown if it is known which version of the
// endpoints' software has sent the events.
func (s *Sent) CheckContinue(resumable, versionKnown bool) Refusal {
	switch {
	case !s.Begun:
		return ""
	case !resumable:
		return NotResumable
	case !s.Head.mayHoldEvents():
		return NoStream
	case s.Split:
		return InsideEvent
	case s.Unnamed:
		return NoEventID
	case !versionKnown:
		return VersionUnclear
	}
	return ""
}

// CheckHead returns why an answer with the head may not go on with what the client has.
func (s *Sent) CheckHead(h Head) Refusal {
	switch {
	case !s.Begun:
		return ""
	case h.Status != s.Head.Status:
		return OtherStatus
	case !h.mayHoldEvents():
		return OtherType
	}
	return ""
}

// CheckFirst returns why an answer whose first event has the ID, empty without one, may not go
// on with what the client has.
func (s *Sent) CheckFirst(id string) Refusal {
	switch {
	case !s.Begun:
		return ""
	case id == "":
		return NoEventID
	case s.LastID != "" && !follows(id, s.LastID):
		return EventRepeated
	}
	return ""
}

// follows reports whether an event with the ID may come after the one with the ID last. IDs that
// are no numbers have no order: then only the same one is known not to.
func follows(id, last string) bool {
	n, err := strconv.ParseUint(id, 10, 64)
	m, errLast := strconv.ParseUint(last, 10, 64)
	if err != nil || errLast != nil {
		return id != last
	}
	return n > m
}
