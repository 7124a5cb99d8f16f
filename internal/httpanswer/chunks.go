package httpanswer

import (
	"bytes"
	"math"
)

const (
	// chunkAllowance is how many bytes of framing each chunk may have for free, and
	// maxChunkOverhead how many beyond that and its length an answer may have.
	chunkAllowance   = 16
	maxChunkOverhead = 16 << 10
)

// chunks is what has come of a body in chunks.
type chunks struct {
	// size is the length of the chunk, digits how many digits of it have come.
	size   int64
	digits int
	// extended is true once an extension of the chunk has begun.
	extended bool
	// overhead is how many bytes of framing have come beyond those that are allowed.
	overhead int64
	// trailers is how many bytes of trailers have come.
	trailers int
}

// stepChunk takes a part of a chunk.
func (p *Parser) stepChunk(rest []byte) (used, kept int, err error) {
	switch p.state {
	case stateChunkSize:
		return p.stepChunkSize(rest)
	case stateChunkExtension:
		return p.stepChunkExtension(rest)
	case stateChunkLineEnd:
		return p.stepChunkLineEnd(rest)
	case stateChunkDataEnd:
		return p.stepChunkDataEnd(rest)
	}
	n := int(min(p.left, int64(len(rest))))
	if p.left -= int64(n); p.left == 0 {
		p.state = stateChunkDataEnd
	}
	return n, n, nil
}

// stepChunkSize reads digits of the size of a chunk.
func (p *Parser) stepChunkSize(rest []byte) (used, kept int, err error) {
	for n, c := range rest {
		value, ok := hexValue(c)
		switch {
		case !ok && p.chunks.digits == 0:
			return n, n, ErrMalformed.New("chunk size begins with %q", c)
		case !ok:
			p.state = stateChunkExtension
			return n, n, nil
		case p.chunks.size > math.MaxInt64>>4:
			return n, n, ErrMalformed.New("chunk size of more than 63 bits")
		}
		p.chunks.size = p.chunks.size<<4 | value
		p.chunks.digits++
		if err := p.chunks.addOverhead(1); err != nil {
			return n, n, err
		}
	}
	return len(rest), len(rest), nil
}

// stepChunkExtension removes the rest of the line with the size of a chunk.
func (p *Parser) stepChunkExtension(rest []byte) (used, kept int, err error) {
	for n, c := range rest {
		switch {
		case c == '\r':
			p.state = stateChunkLineEnd
			return n, 0, nil
		case c == ';':
			p.chunks.extended = true
		case !textBytes[c], !p.chunks.extended && c != ' ' && c != '\t':
			return n, 0, ErrMalformed.New("chunk size is followed by %q", c)
		}
		if err := p.chunks.addOverhead(1); err != nil {
			return n, 0, err
		}
	}
	return len(rest), 0, nil
}

// addOverhead counts n bytes of framing.
func (c *chunks) addOverhead(n int64) error {
	if c.overhead += n; c.overhead > maxChunkOverhead {
		return ErrMalformed.New("more than %d bytes of framing of chunks", maxChunkOverhead)
	}
	return nil
}

// stepChunkLineEnd reads the end of the line with the size of a chunk.
func (p *Parser) stepChunkLineEnd(rest []byte) (used, kept int, err error) {
	n, complete, err := p.takeCRLF(rest)
	if !complete {
		return n, n, err
	}
	size, overhead := p.chunks.size, p.chunks.overhead
	if size > 0 {
		p.state, p.left = stateChunkData, size
	} else {
		p.state = stateTrailerStart
	}
	p.chunks = chunks{overhead: max(0, overhead-min(size, maxChunkOverhead)-chunkAllowance)}
	return n, n, nil
}

// stepChunkDataEnd reads the end of the line after the bytes of a chunk.
func (p *Parser) stepChunkDataEnd(rest []byte) (used, kept int, err error) {
	n, complete, err := p.takeCRLF(rest)
	if complete {
		p.state = stateChunkSize
	}
	return n, n, err
}

// crlf ends a line.
const crlf = "\r\n"

// takeCRLF takes a line end, or the part of it that has come, and returns how many bytes of rest
// belong to it.
func (p *Parser) takeCRLF(rest []byte) (n int, complete bool, err error) {
	for n < len(rest) {
		if rest[n] != crlf[len(p.line)] {
			return n, false, ErrMalformed.New("no line end after a chunk or its size")
		}
		p.line = append(p.line, rest[n])
		n++
		if len(p.line) == len(crlf) {
			p.line = p.line[:0]
			return n, true, nil
		}
	}
	return n, false, nil
}

// stepTrailer removes trailers, up to the empty line that ends the answer.
func (p *Parser) stepTrailer(rest []byte) (used, kept int, err error) {
	if p.state == stateTrailerStart {
		p.state = stateTrailer
		if rest[0] == '\r' {
			p.state = stateTrailersEnd
		}
	}
	if p.state == stateTrailersEnd {
		n, complete, err := p.takeCRLF(rest)
		if complete {
			p.endAnswer()
		}
		return n, n, err
	}
	line, length, complete, err := p.takeLine(rest)
	if p.chunks.trailers += length; p.chunks.trailers > maxLine {
		return length, 0, ErrMalformed.New("trailers of more than %d bytes", maxLine)
	}
	if err != nil || !complete {
		return length, 0, err
	}
	p.state = stateTrailerStart
	text, found := bytes.CutSuffix(line, []byte("\r"))
	if !found {
		return length, 0, ErrMalformed.New("trailer without a line end")
	}
	name, value, found := bytes.Cut(text, []byte(":"))
	return length, 0, checkField(name, value, found)
}
