package gateway

import "github.com/mangostage/mangostage/sse"

// maxComments is the maximum number of bytes of comments and blank lines between two events
// of a stream; a comment that keeps a connection open has a few.
const maxComments = 128 << 10

// commentCounter counts the bytes of a stream since its last event.
type commentCounter struct {
	// events is the number of events when the last bytes came.
	events int
	bytes  int
}

// receive counts n bytes that the stream returned. It returns an error of type errNoAnswer if
// too many have come without an event.
func (c *commentCounter) receive(n int, stream *sse.Reader) error {
	if stream.Events() != c.events || stream.InsideEvent() {
		c.events, c.bytes = stream.Events(), 0
		return nil
	}
	if c.bytes += n; c.bytes > maxComments {
		return errNoAnswer.New("%d bytes without an event", c.bytes)
	}
	return nil
}
