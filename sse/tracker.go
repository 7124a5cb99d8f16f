package sse

import "bytes"

// maxIDLine is the longest line, in bytes, from which an ID is taken.
const maxIDLine = 256

// fieldID begins a line with the ID of an event.
var fieldID = []byte("id:")

// lineKind is what is known of the line that is being read.
type lineKind int

const (
	// lineEmpty is a line without a byte so far.
	lineEmpty lineKind = iota
	// lineField is a line of an event.
	lineField
	// lineComment is a line that belongs to no event.
	lineComment
)

// Tracker follows a stream of events by its bytes. Lines end with LF, CR LF or CR; a blank
// line ends an event; comments and blank lines alone are no events. The zero value is at
// the start of a stream.
type Tracker struct {
	line lineKind
	// text is the beginning of a line of an event.
	text []byte
	// inEvent is true from an event's first byte until the end of its blank line.
	inEvent bool
	// afterCR is true if the last byte was a CR, which an LF may follow.
	afterCR bool
	// bareCR is true if the line before the current one ended with a CR alone.
	bareCR bool
	// held is true if the last byte was the CR of a blank line in a stream whose lines end
	// with more than a CR: the event ends with the next byte.
	held bool
	// events is the number of complete events.
	events int
	// id is the ID of the event that is being read, if hasID is true; lastID is that of the
	// last complete event that had one.
	id     string
	hasID  bool
	lastID string
	// firstID and endID are the IDs of the first and of the last complete event, each empty
	// without one.
	firstID, endID string
}

// Events returns the number of complete events.
func (t *Tracker) Events() int { return t.events }

// LastID returns the ID of the last complete event that had one; empty if none had.
func (t *Tracker) LastID() string { return t.lastID }

// EndID returns the ID of the last complete event; empty if it had none.
func (t *Tracker) EndID() string { return t.endID }

// FirstID returns the ID of the first event, which may be incomplete; empty if it has none, or
// none so far.
func (t *Tracker) FirstID() string {
	if t.events == 0 && t.hasID {
		return t.id
	}
	return t.firstID
}

// InsideEvent reports whether the stream, if it ended now, would end inside an event.
func (t *Tracker) InsideEvent() bool { return t.inEvent }

// Scan follows the next bytes of the stream. It returns the length of the part that ends
// between two lines and outside an event, where another stream may go on; -1 if there is
// no such place after the first of the bytes.
func (t *Tracker) Scan(data []byte) int {
	end := -1
	for i, c := range data {
		if t.held && c != '\n' {
			t.endEvent()
			end = i
		}
		t.next(c)
		if t.line == lineEmpty && !t.inEvent {
			end = i + 1
		}
	}
	return end
}

// next follows one byte.
func (t *Tracker) next(c byte) {
	switch {
	case c == '\n' && t.afterCR:
		t.afterCR, t.bareCR = false, false
		if t.held {
			t.endEvent()
		}
	case c == '\n':
		t.bareCR = false
		t.endLine(false)
	case c == '\r':
		t.endLine(!t.bareCR)
		t.afterCR, t.bareCR = true, true
	default:
		t.afterCR = false
		t.addToLine(c)
	}
}

// endLine ends a line. The event that a blank line ends is held if the end of that line may
// go on.
func (t *Tracker) endLine(mayGoOn bool) {
	blank := t.line == lineEmpty
	if t.line == lineField {
		t.recordID()
	}
	t.line = lineEmpty
	t.afterCR = false
	switch {
	case !blank || !t.inEvent:
	case mayGoOn:
		t.held = true
	default:
		t.endEvent()
	}
}

// endEvent completes the event that is being read.
func (t *Tracker) endEvent() {
	t.inEvent, t.held = false, false
	t.events++
	t.endID = ""
	if t.hasID {
		t.lastID, t.endID = t.id, t.id
	}
	if t.events == 1 {
		t.firstID = t.endID
	}
	t.hasID = false
}

// addToLine adds a byte that does not end a line.
func (t *Tracker) addToLine(c byte) {
	if t.line == lineEmpty {
		t.line = lineField
		t.text = t.text[:0]
		if c == ':' {
			t.line = lineComment
		}
	}
	if t.line == lineComment {
		return
	}
	t.inEvent = true
	if len(t.text) <= maxIDLine {
		t.text = append(t.text, c)
	}
}

// recordID takes the ID from a line of an event.
func (t *Tracker) recordID() {
	if id, ok := bytes.CutPrefix(t.text, fieldID); ok && len(t.text) <= maxIDLine {
		t.id = string(bytes.TrimSpace(id))
		t.hasID = true
	}
}
