package endpoint

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

const readBufferSize = 4 << 10

// event is one server-sent event.
type event struct {
	name string
	data []byte
}

// eventReader reads server-sent events of bounded size.
type eventReader struct {
	r *bufio.Reader
	// remaining is the number of bytes left of MaxStream.
	remaining int
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{r: bufio.NewReaderSize(r, readBufferSize), remaining: MaxStream}
}

// next returns the next event. An event without its terminating blank line was
// cut off and is an error.
func (r *eventReader) next() (event, error) {
	var ev event
	for {
		line, err := r.line()
		if err != nil {
			return event{}, err
		}
		if len(line) == 0 {
			if ev.name == "" && ev.data == nil {
				continue
			}
			return ev, nil
		}
		ev.add(line)
		if len(ev.data) > MaxReply {
			return event{}, ErrMalformed.New("event is longer than %d bytes", MaxReply)
		}
	}
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

// line returns the next line without its ending.
func (r *eventReader) line() ([]byte, error) {
	var line []byte
	for {
		part, err := r.r.ReadSlice('\n')
		r.remaining -= len(part)
		line = append(line, part...)
		if r.remaining < 0 || len(line) > MaxReply {
			return nil, ErrMalformed.New("stream is too long")
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			return nil, err
		}
		return bytes.TrimRight(line, "\r\n"), nil
	}
}
