package rawhttp

import "strings"

// BrokenHeads returns the cases whose head is no head of an answer.
func BrokenHeads() []Case {
	cases := []Case{
		{Name: "line end first", Bytes: func(a Answer) string { return "\n" + a.Length(statusLine) }},
	}
	for _, line := range []string{
		"HTTP/1.1 000 OK", "HTTP/1.1 099 OK", "HTTP/1.1 600 OK", "HTTP/1.1 999 OK", "HTTP/1.1 +20 OK", "HTTP/1.1 -20 OK",
		"HTTP/1.1 20 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 2x0 OK", "HTTP/1.1 200OK", "HTTP/1.1  200 OK", "HTTP/1.1\t200 OK",
		"HTTP/1.1 \t200 OK", "HTTP/1.1", "HTTP/1.1 ", "HTTP/2.0 200 OK", "HTTP/0.9 200 OK", "HTTP/1.10 200 OK", "HTTP/11 200 OK",
		"HTTP/1 200 OK", "http/1.1 200 OK", "ICY 200 OK", " HTTP/1.1 200 OK", "HTTP/1.1 200 O\x01K", "HTTP/1.1 200 O\x00K",
		"HTTP/1.1 200 O\x7fK", "HTTP/1.1 200 O\rK", "HTTP/1.1 200\tOK", "", "garbage",
	} {
		cases = append(cases, status(line))
	}
	for _, line := range []string{
		"X Y: 1", "X-Y : 1", "X-Y\t: 1", " X-Y: 1", "\tX-Y: 1", "X\x01Y: 1", "X\x00Y: 1", "X\tY: 1", "X\x7fY: 1", "X\x80Y: 1",
		"X\rY: 1", "\rX-Y: 1", "X\vY: 1", ": 1", "X(Y): 1", "X/Y: 1", "X\"Y: 1", "no colon", "Content Length: 1", "Content-Length : 1",
		"Content-Length\t: 1", "Transfer-Encoding : chunked", "Transfer Encoding: chunked", "Set Cookie: a", "Retry-After : 9",
		"X-Y: a\x00b", "X-Y: a\x01b", "X-Y: a\x7fb", "X-Y: a\rb", "X-Y: a\vb", "X-Y: \x1b[0m",
	} {
		cases = append(cases, field(line))
	}
	for _, fields := range [][]string{
		{"Content-Length: 3", "Content-Length: 5"}, {"Content-Length: 3, 5"}, {"Content-Length: -1"}, {"Content-Length: +5"},
		{"Content-Length: 5x"}, {"Content-Length: 5 5"}, {"Content-Length: 0x5"}, {"Content-Length:"}, {"Content-Length: 5.0"},
		{"Content-Length: 99999999999999999999"}, {"Content-Length: 18446744073709551617"},
	} {
		cases = append(cases, framed(false, "HTTP/1.1", fields...))
	}
	for _, fields := range [][]string{
		{"Transfer-Encoding: gzip, chunked"}, {"Transfer-Encoding: identity"}, {"Transfer-Encoding: chunked, chunked"},
		{"Transfer-Encoding: chunked", "Transfer-Encoding: chunked"}, {"Transfer-Encoding: xchunked"}, {"Transfer-Encoding:"},
		{"Transfer-Encoding: chunked", "Content-Length: 3"}, {"Content-Length: 3", "Transfer-Encoding: chunked"},
		{"Transfer-Encoding: chunked;q=1"}, {"Transfer-Encoding: \"chunked\""},
	} {
		cases = append(cases, framed(true, "HTTP/1.1", fields...))
	}
	cases = append(cases, framed(true, "HTTP/1.0", "Transfer-Encoding: chunked"))
	return append(cases,
		informational("HTTP/1.1 103 Hints", "X Y: 1"), informational("HTTP/1.1 103 Hints", "X\x01Y: 1"),
		informational("HTTP/1.1 103 Hints", "no colon"), informational("HTTP/1.1 099 Hints"), informational("HTTP/1.1 000 Hints"),
		informational("HTTP/1.1 100 Con\x00tinue"), informational("HTTP/2.0 100 Continue"), informational("HTTP/1.1 101 Switching"),
	)
}

// BrokenBodies returns the cases whose head is sound and whose body is not what the head says.
func BrokenBodies() []Case {
	cases := []Case{
		{Name: "length not reached", Closes: true, Bytes: func(a Answer) string { return strings.TrimSuffix(a.Length(statusLine), a.Body[1:]) }},
		{Name: "length without a body", Closes: true, Bytes: func(a Answer) string { return strings.TrimSuffix(a.Length(statusLine), a.Body) }},
	}
	for _, text := range []string{
		"%s", "%x\r\n%s", "%x\r\n%s\r\n", "%x\r\n%s\r\n0\r\n", "%x\r\n%s\r\n0", "%x\r\n%s\r\n0\r\nX: 1\r\n", "%x\r\n%sxx\r\n0\r\n\r\n",
		"%xx\r\n%s\r\n0\r\n\r\n", "-%x\r\n%s\r\n0\r\n\r\n", "+%x\r\n%s\r\n0\r\n\r\n", "0x%x\r\n%s\r\n0\r\n\r\n", "\r\n%s\r\n0\r\n\r\n",
		"%x;a=\x00\r\n%s\r\n0\r\n\r\n", "%x;a=\x01\r\n%s\r\n0\r\n\r\n", "%x;\x7f\r\n%s\r\n0\r\n\r\n", "%x a\r\n%s\r\n0\r\n\r\n",
		"%x\r\n%s\r\n0\r\nX Y: 1\r\n\r\n", "%x\r\n%s\r\n0\r\nX : 1\r\n\r\n", "%x\r\n%s\r\n0\r\n X: 1\r\n\r\n", "%x\r\n%s\r\n0\r\nX: 1\r\n Y: 1\r\n\r\n",
		"%x\r\n%s\r\n0\r\nno colon\r\n\r\n", "%x\r\n%s\r\n0\r\nX\x01Y: 1\r\n\r\n", "%x\r\n%s\r\n0\r\nX: a\x00b\r\n\r\n",
		"%x\r\n%s\r\n0\r\n: 1\r\n\r\n", "%x\r\n%s\r\n00000000000000001\r\n\r\n", "10000000000000001\r\n%s\r\n0\r\n\r\n", "%x\r\n%s\n0\r\nHTTP",
	} {
		cases = append(cases, chunkedBody(text))
	}
	return cases
}

// Broken returns all cases of broken answers.
func Broken() []Case { return append(BrokenHeads(), BrokenBodies()...) }

// Sound returns the cases whose answers are sound.
func Sound() []Case {
	cases := []Case{
		{Name: "length", Bytes: func(a Answer) string { return a.Length(statusLine) }},
		{Name: "chunks", Bytes: func(a Answer) string { return a.Chunked("") }},
		{Name: "connection", Bytes: func(a Answer) string { return a.Connection() }, Closes: true},
		{Name: "HTTP/1.0", Bytes: func(a Answer) string { return a.Framed("HTTP/1.0 200 OK", a.Body) }, Closes: true},
		{Name: "chunk extensions", Bytes: func(a Answer) string { return a.Chunked(`;a=b;c="d e;f";g`) }},
		{Name: "trailers", Bytes: func(a Answer) string { return a.Chunked("", "X-Sum: 1", "!#$%&'*+-.^_`|~: \x80\xff", "X-Empty:") }},
		{Name: "long trailers", Bytes: func(a Answer) string { return a.Chunked("", "X-Long: "+strings.Repeat("v", longValue)) }},
		{Name: "extensions and trailers", Bytes: func(a Answer) string { return a.Chunked(" ; a = b\t", "X-Sum: 1") }},
		{Name: "line ends without CR", Bytes: func(a Answer) string {
			return strings.ReplaceAll(strings.TrimSuffix(a.Length(statusLine), a.Body), crlf, "\n") + a.Body
		}},
		{Name: "same length twice", Bytes: func(a Answer) string { return a.Length(statusLine, a.length()) }},
		chunkedBody("%x\r\n%s\r\n0\r\n\r\n"), chunkedBody("000%x\r\n%s\r\n000\r\n\r\n"),
		framed(true, "HTTP/1.1", "TRANSFER-ENCODING:\tChunked "),
		informational("HTTP/1.1 103 Early Hints", "Link: </a>"), informational("HTTP/1.1 100 Continue"), informational("HTTP/1.1 102 "),
	}
	for _, line := range []string{
		"HTTP/1.1 200 ", "HTTP/1.1 200", "HTTP/1.1 200 All is well\t\x80\xff", "HTTP/1.1 203 Non-Authoritative", "HTTP/1.1 299 X",
	} {
		cases = append(cases, status(line))
	}
	for _, line := range []string{
		"!#$%&'*+-.^_`|~09azAZ: v", "X-Empty:", "X-Empty: \t ", "X-Long: " + strings.Repeat("v", longValue), "X-Text: \x80\xffé", "X-Tab:a\tb",
		"X-Spaces: \t a  b \t", "x-Colons: a:b: c", "x_under.score: 1", "0: 0",
	} {
		cases = append(cases, field(line))
	}
	return cases
}
