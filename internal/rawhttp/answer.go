package rawhttp

import (
	"fmt"
	"io"
	"net"
	"strings"
)

// Answer is what a sound answer would carry.
type Answer struct {
	// Fields are the lines of the head that don't frame the body, without their ends.
	Fields []string
	Body   string
}

// Case is a way to write an answer.
type Case struct {
	Name string
	// Bytes returns an answer as it is written in this way. It ends with its connection if
	// Closes is true.
	Bytes  func(a Answer) string
	Closes bool
}

// Write writes an answer in this way.
func (c Case) Write(conn *net.TCPConn, a Answer) {
	_, _ = io.WriteString(conn, c.Bytes(a))
	if c.Closes {
		_ = conn.CloseWrite()
		_, _ = io.Copy(io.Discard, conn)
	}
}

// WithStatus returns the case with this status where it would write 200.
func (c Case) WithStatus(status int) Case {
	whole := c.Bytes
	c.Bytes = func(a Answer) string {
		return strings.Replace(whole(a), " 200 OK\r\n", fmt.Sprintf(" %d X\r\n", status), 1)
	}
	return c
}

const (
	crlf       = "\r\n"
	statusLine = "HTTP/1.1 200 OK"
	// longValue is the length of a long value of a field in bytes.
	longValue = 8 << 10
)

// head returns a head of the lines.
func head(lines ...string) string { return strings.Join(lines, crlf) + crlf + crlf }

// length returns the field that frames the answer's body by its length.
func (a Answer) length() string { return fmt.Sprintf("Content-Length: %d", len(a.Body)) }

// Length returns the answer framed by its length, with the status line and the fields given.
func (a Answer) Length(status string, fields ...string) string {
	lines := append([]string{status}, a.Fields...)
	return head(append(append(lines, fields...), a.length())...) + a.Body
}

// Framed returns the answer with the framing fields given and the body as it is.
func (a Answer) Framed(status, body string, fields ...string) string {
	lines := append([]string{status}, a.Fields...)
	return head(append(lines, fields...)...) + body
}

// Chunked returns the answer in two chunks, whose size lines end with the extension, and with the
// lines given as trailers.
func (a Answer) Chunked(extension string, trailers ...string) string {
	text := a.Framed(statusLine, "", "Transfer-Encoding: chunked")
	half := len(a.Body) / 2
	for _, part := range []string{a.Body[:half], a.Body[half:]} {
		if part != "" {
			text += fmt.Sprintf("%x%s\r\n%s\r\n", len(part), extension, part)
		}
	}
	text += "0" + extension + crlf
	for _, line := range trailers {
		text += line + crlf
	}
	return text + crlf
}

// Connection returns the answer framed by the end of its connection.
func (a Answer) Connection() string { return a.Framed(statusLine, a.Body, "Connection: close") }

// status returns a case with the status line.
func status(line string) Case {
	return Case{Name: fmt.Sprintf("status line %q", line), Bytes: func(a Answer) string { return a.Length(line) }}
}

// field returns a case with one more line in the head.
func field(line string) Case {
	name := line[:min(len(line), 40)]
	return Case{Name: fmt.Sprintf("field %q", name), Bytes: func(a Answer) string { return a.Length(statusLine, line) }}
}

// framed returns a case with these framing fields, and the body in one chunk if chunked is true.
func framed(chunked bool, version string, fields ...string) Case {
	return Case{
		Name: fmt.Sprintf("framed %s %q", version, fields),
		Bytes: func(a Answer) string {
			body := a.Body
			if chunked {
				body = fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(a.Body), a.Body)
			}
			return a.Framed(version+" 200 OK", body, fields...)
		},
		Closes: true,
	}
}

// informational returns a case whose answer comes after an informational head.
func informational(lines ...string) Case {
	return Case{
		Name:  fmt.Sprintf("informational %q", lines),
		Bytes: func(a Answer) string { return head(lines...) + a.Length(statusLine) },
	}
}

// chunkedBody returns a case whose body is in chunks as the text says, in which %s stands for the
// body and %x for its length.
func chunkedBody(text string) Case {
	return Case{
		Name: fmt.Sprintf("chunks %q", text),
		Bytes: func(a Answer) string {
			body := strings.ReplaceAll(text, "%x", fmt.Sprintf("%x", len(a.Body)))
			return a.Framed(statusLine, strings.ReplaceAll(body, "%s", a.Body), "Transfer-Encoding: chunked")
		},
		Closes: true,
	}
}
