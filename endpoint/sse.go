package endpoint

import (
	"bytes"
	"io"

	"github.com/mangostage/mangostage/sse"
)

// event is one server-sent event.
type event struct {
	name string
	data []byte
}

// eventReader reads server-sent events of bounded size.
type eventReader struct {
	stream *sse.Reader
	// remaining is the number of bytes left of MaxStream.
	remaining int
	// complete holds the events that were read and not yet returned.
	complete []event
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{stream: sse.NewReader(r, MaxReply), remaining: MaxStream}
}

// next returns the next event. An event without its terminating blank line was
// cut off and is an error.
func (r *eventReader) next() (event, error) {
	for len(r.complete) == 0 {
		block, err := r.stream.Next()
		if err != nil {
			return event{}, err
		}
		if r.remaining -= len(block); r.remaining < 0 {
			return event{}, ErrMalformed.New("stream is too long")
		}
		if r.stream.Split() {
			return event{}, ErrMalformed.New("event is longer than %d bytes", MaxReply)
		}
		if r.complete, err = parseEvents(block); err != nil {
			return event{}, err
		}
	}
	ev := r.complete[0]
	r.complete = r.complete[1:]
	return ev, nil
}

// parseEvents returns the events in the bytes of complete ones.
func parseEvents(block []byte) ([]event, error) {
	var events []event
	var ev event
	size := 0
	for line := range sse.Lines(block) {
		if size += len(line); size > MaxReply {
			return nil, ErrMalformed.New("event is longer than %d bytes", MaxReply)
		}
		if len(line) > 0 {
			ev.add(line)
			continue
		}
		if ev.name != "" || ev.data != nil {
			events = append(events, ev)
		}
		ev, size = event{}, 0
	}
	return events, nil
}

func (e *event) add(line []byte) {
	field, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(field) {
	case "event":
		e.name = string(value)
	case "data":
		if e.data != nil {
			e.data = append(e.data, '\n')
		}
		e.data = append(e.data, value...)
	}
}
