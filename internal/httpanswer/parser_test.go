package httpanswer_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/internal/httpanswer"
	"github.com/mangostage/mangostage/internal/rawhttp"
)

const body = "whole answer"

// parsed is what a parser makes of the bytes of a connection.
type parsed struct {
	kept string
	err  error
	// end is what it says of an end of the connection after them.
	end error
}

// parse has the text parsed in parts of the size given.
func parse(method, text string, size int) parsed {
	var p httpanswer.Parser
	p.Begin(method)
	var kept strings.Builder
	for len(text) > 0 {
		part := []byte(text[:min(size, len(text))])
		text = text[len(part):]
		n, err := p.Parse(part)
		kept.Write(part[:n])
		if err != nil {
			return parsed{kept.String(), err, p.End()}
		}
	}
	return parsed{kept.String(), nil, p.End()}
}

// partSizes are the sizes in bytes of the parts in which answers come.
var partSizes = []int{1, 2, 3, 5, 7, 64, 1 << 20}

// Guards against a broken answer that passes, or a sound one that doesn't, for the parts in which it
// comes.
func TestCasesInParts(t *testing.T) {
	answer := rawhttp.Answer{Fields: []string{"X-Id: 1"}, Body: body}
	for _, size := range partSizes {
		for _, c := range rawhttp.Broken() {
			got := parse(http.MethodPost, c.Bytes(answer), size)
			assert.Assert(t, got.end != nil, "%s in parts of %d: %q", c.Name, size, got.kept)
			assert.Assert(t, !isWhole(got.kept), "%s in parts of %d: %q", c.Name, size, got.kept)
		}
		for _, c := range rawhttp.Sound() {
			got := parse(http.MethodPost, c.Bytes(answer), size)
			assert.NilError(t, got.end, "%s in parts of %d", c.Name, size)
			assert.Equal(t, readAll(t, got.kept), body, "%s in parts of %d", c.Name, size)
		}
	}
}

// isWhole reports whether an HTTP client takes the text for a whole answer before its connection
// ends.
func isWhole(text string) bool {
	resp, err := read(text)
	if err != nil || resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil
}

// read reads the head of an answer, after informational ones.
func read(text string) (*http.Response, error) {
	reader := bufio.NewReader(strings.NewReader(text))
	for {
		resp, err := http.ReadResponse(reader, nil)
		if err != nil || resp.StatusCode >= http.StatusOK {
			return resp, err
		}
		_ = resp.Body.Close()
	}
}

// readAll reads the body of an answer.
func readAll(t *testing.T, text string) string {
	t.Helper()
	resp, err := read(text)
	assert.NilError(t, err, "%q", text)
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	assert.NilError(t, err, "%q", text)
	return string(data)
}

// Guards against answers over one connection of which one is taken for a part of another.
func TestAnswersInSequence(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n"
	sequence := []struct{ method, text string }{
		{http.MethodPost, head + "Content-Length: 2\r\n\r\nok"},
		{http.MethodHead, head + "Content-Length: 2\r\n\r\n"},
		{http.MethodHead, head + "Transfer-Encoding: chunked\r\n\r\n"},
		{http.MethodGet, "HTTP/1.1 304 X\r\nContent-Length: 2\r\n\r\n"},
		{http.MethodPost, "HTTP/1.1 204 X\r\n\r\n"},
		{http.MethodPost, head + "Transfer-Encoding: chunked\r\n\r\n2;a\r\nok\r\n0\r\nX: 1\r\n\r\n"},
		{http.MethodPost, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nX: 1\r\n\r\n" + head + "Content-Length: 0\r\n\r\n"},
		{http.MethodPost, head + "Connection: close\r\n\r\nok"},
	}
	for _, size := range partSizes {
		var p httpanswer.Parser
		for i, answer := range sequence {
			p.Begin(answer.method)
			for text := answer.text; len(text) > 0; {
				part := []byte(text[:min(size, len(text))])
				text = text[len(part):]
				_, err := p.Parse(part)
				assert.NilError(t, err, "%q in parts of %d", answer.text, size)
			}
			assert.NilError(t, p.End(), "%q", answer.text)
			// Only the last one takes what follows for a part of its body.
			next := p
			_, err := next.Parse([]byte("\n"))
			assert.Equal(t, err == nil, i == len(sequence)-1, "%q", answer.text)
		}
	}
}

// Guards against framing without end that is neither passed on nor given up.
func TestFramingIsBounded(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	long := strings.Repeat("x", 1<<20)
	tests := map[string]string{
		"line":       "HTTP/1.1 200 OK\r\nX: " + long,
		"extension":  head + "1;" + long,
		"extensions": head + strings.Repeat("1;"+long[:1000]+"\r\nx\r\n", 100),
		"size":       head + strings.Repeat("0", 1<<20),
		"trailer":    head + "0\r\nX: " + long,
		"trailers":   head + "0\r\n" + strings.Repeat("X: 1\r\n", 1<<16),
	}
	for name, text := range tests {
		for _, size := range []int{1, 100, 1 << 21} {
			got := parse(http.MethodPost, text, size)
			assert.Assert(t, got.err != nil, "%s in parts of %d", name, size)
			assert.Assert(t, len(got.err.Error()) < 200, "%s", got.err)
		}
	}
}

// Guards against a sound answer that is given up for many small chunks.
func TestManyChunksAreSound(t *testing.T) {
	text := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1;a=b\r\nx\r\n", 1<<17) + "0\r\n\r\n"
	got := parse(http.MethodPost, text, 4096)
	assert.NilError(t, got.end)
	assert.Equal(t, readAll(t, got.kept), strings.Repeat("x", 1<<17))
}

// Guards against bytes whose meaning depends on the parts in which they come, and against bytes
// that pass although an HTTP client reads them otherwise.
func FuzzParser(f *testing.F) {
	answer := rawhttp.Answer{Fields: []string{"X-Id: 1"}, Body: body}
	for _, cases := range [][]rawhttp.Case{rawhttp.BrokenHeads(), rawhttp.BrokenBodies(), rawhttp.Sound()} {
		for _, c := range cases {
			f.Add([]byte(c.Bytes(answer)), 3, false)
		}
	}
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"), 1, true)
	f.Fuzz(func(t *testing.T, data []byte, size int, head bool) {
		method := http.MethodPost
		if head {
			method = http.MethodHead
		}
		whole := parse(method, string(data), max(1, len(data)))
		parts := parse(method, string(data), min(max(1, size), 1<<10))
		assert.Equal(t, whole.kept, parts.kept)
		assert.Equal(t, fmt.Sprint(whole.end), fmt.Sprint(parts.end))
		if whole.end == nil && len(data) > 0 {
			checkReadAlike(t, method, whole.kept)
		}
	})
}

// checkReadAlike checks that an HTTP client reads each of the answers that passed, or refuses it.
func checkReadAlike(t *testing.T, method, text string) {
	t.Helper()
	reader := bufio.NewReader(strings.NewReader(text))
	for {
		if _, err := reader.Peek(1); err != nil {
			return
		}
		resp, err := http.ReadResponse(reader, &http.Request{Method: method})
		if err != nil {
			return
		}
		for name := range resp.Header {
			assert.Assert(t, !strings.ContainsAny(name, " \t\r\n:\x00"), "%q in %q", name, text)
		}
		assert.Assert(t, resp.StatusCode >= 100 && resp.StatusCode <= 599, "%q", text)
		_, err = io.Copy(io.Discard, resp.Body)
		assert.NilError(t, err, "%q", text)
		assert.NilError(t, resp.Body.Close())
		if resp.StatusCode >= http.StatusOK {
			method = http.MethodPost
		}
	}
}

// BenchmarkParser measures an ordinary answer.
func BenchmarkParser(b *testing.B) {
	text := []byte("HTTP/1.1 200 OK\r\nMangostage-Attempt-Id: 9c41d07be2a35f68\r\nMangostage-Server-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\n" +
		"Mangostage-Instance-Load: 3,0,8\r\nKeep-Alive: timeout=5\r\nDate: Mon, 07 Dec 2026 04:00:00 GMT\r\n" +
		"Content-Type: application/json\r\nContent-Length: 512\r\n\r\n" + strings.Repeat("x", 512))
	buffer := make([]byte, len(text))
	b.SetBytes(int64(len(text)))
	b.ReportAllocs()
	var p httpanswer.Parser
	for b.Loop() {
		p.Begin(http.MethodPost)
		if n, err := p.Parse(buffer[:copy(buffer, text)]); err != nil || !bytes.Equal(buffer[:n], text) {
			b.Fatal(n, err)
		}
	}
}
