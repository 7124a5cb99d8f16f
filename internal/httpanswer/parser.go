package httpanswer

import (
	"bytes"
	"net/http"

	"github.com/mangostage/mangostage/internal/bounded"
)

// state is what the next byte of a connection belongs to.
type state int

const (
	// stateStart is before the first byte of an answer, or of another head after an
	// informational one.
	stateStart state = iota
	stateHead
	stateBodyByLength
	// stateBodyByConnection is inside a body that only the end of the connection ends.
	stateBodyByConnection
	stateChunkSize
	// stateChunkExtension is between the size of a chunk and the end of its line.
	stateChunkExtension
	stateChunkLineEnd
	stateChunkData
	stateChunkDataEnd
	// stateTrailerStart is at the begin of a line after the last chunk.
	stateTrailerStart
	stateTrailer
	stateTrailersEnd
)

// maxLine is the maximum length in bytes of a line of a head, and of all trailers of an answer.
const maxLine = bounded.MaxHead

// maxKeptLine is the maximum size in bytes of the buffer that is kept between two answers.
const maxKeptLine = 4 << 10

// Parser checks the answers that come over one connection, one after the other. It does no I/O. The
// zero value is ready for the first answer to a request other than HEAD.
type Parser struct {
	state state
	// method is that of the request whose answer comes.
	method string
	// line holds the begin of a line whose end has not come.
	line []byte
	head head
	// left is how many bytes of the body or chunk are still to come.
	left   int64
	chunks chunks
	err    error
}

// Begin tells the method of the request whose answer comes next.
func (p *Parser) Begin(method string) { p.method = method }

// Parse checks the next bytes of the connection. It removes from data what a client does not need,
// extensions of chunks and trailers, and returns how many bytes are left. After an error, which is
// of type [ErrMalformed] and stays, no more bytes are parts of answers. The bytes returned with it
// don't end an answer.
func (p *Parser) Parse(data []byte) (n int, err error) {
	for rest := data; p.err == nil && len(rest) > 0; {
		used, kept, err := p.step(rest)
		if n < len(data)-len(rest) {
			copy(data[n:], rest[:kept])
		}
		n += kept
		rest = rest[used:]
		p.err = err
	}
	return n, p.err
}

// End returns an error of type [ErrIncomplete] if an end of the connection now is not the end of an
// answer, or does not lie between two.
func (p *Parser) End() error {
	switch {
	case p.err != nil:
		return p.err
	case p.state == stateHead:
		return ErrIncomplete.New("the connection ended inside a head")
	case p.state != stateStart && p.state != stateBodyByConnection:
		return ErrIncomplete.New("the connection ended inside a body")
	}
	return nil
}

// step checks the first bytes of rest, which is not empty. It uses some of them, the first kept of
// which are to be passed on.
func (p *Parser) step(rest []byte) (used, kept int, err error) {
	switch p.state {
	case stateStart, stateHead:
		return p.stepHead(rest)
	case stateBodyByLength:
		return p.stepBody(rest)
	case stateBodyByConnection:
		return len(rest), len(rest), nil
	case stateTrailerStart, stateTrailer, stateTrailersEnd:
		return p.stepTrailer(rest)
	}
	return p.stepChunk(rest)
}

// stepHead checks a line of a head, or the part of it that has come.
func (p *Parser) stepHead(rest []byte) (used, kept int, err error) {
	if p.state == stateStart {
		p.state, p.head = stateHead, head{}
	}
	line, length, complete, err := p.takeLine(rest)
	if err != nil {
		return length, 0, err
	}
	if !complete {
		return length, length, nil
	}
	line = bytes.TrimSuffix(line, []byte("\r"))
	switch {
	case !p.head.started:
		err = p.head.parseStatusLine(line)
	case len(line) > 0:
		err = p.head.parseField(line)
	default:
		err = p.endHead()
	}
	if err != nil {
		// Without its end, no reader takes the line for one.
		return length, length - 1, err
	}
	return length, length, nil
}

// takeLine returns the line that rest, after what has come before, begins with, without its line
// feed. length is how many bytes of rest belong to it.
func (p *Parser) takeLine(rest []byte) (line []byte, length int, complete bool, err error) {
	end := bytes.IndexByte(rest, '\n')
	part, length := rest, len(rest)
	if end >= 0 {
		part, length = rest[:end], end+1
	}
	if len(p.line)+len(part) > maxLine {
		return nil, length, false, ErrMalformed.New("a line of more than %d bytes", maxLine)
	}
	switch {
	case end < 0:
		p.line = append(p.line, part...)
		return nil, length, false, nil
	case len(p.line) == 0:
		return part, length, true, nil
	}
	line = append(p.line, part...)
	p.line = line[:0]
	return line, length, true, nil
}

// endHead decides how the body ends whose head has ended.
func (p *Parser) endHead() error {
	if err := p.head.checkFraming(); err != nil {
		return err
	}
	switch {
	case p.head.informational():
		p.state = stateStart
	case p.method == http.MethodHead || !p.head.mayHaveBody():
		p.endAnswer()
	case p.head.chunked:
		p.state, p.chunks = stateChunkSize, chunks{}
	case !p.head.hasLength:
		p.state = stateBodyByConnection
	case p.head.length == 0:
		p.endAnswer()
	default:
		p.state, p.left = stateBodyByLength, p.head.length
	}
	return nil
}

// endAnswer ends the answer.
func (p *Parser) endAnswer() {
	p.state, p.method = stateStart, ""
	if cap(p.line) > maxKeptLine {
		p.line = nil
	}
}

// stepBody takes the bytes of a body with a length.
func (p *Parser) stepBody(rest []byte) (used, kept int, err error) {
	n := int(min(p.left, int64(len(rest))))
	if p.left -= int64(n); p.left == 0 {
		p.endAnswer()
	}
	return n, n, nil
}
