package load

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/mangostage/mangostage/fake"
)

// Names of the server-sent events that entries send.
const (
	eventToken   = "token"
	eventAnswer  = "answer"
	eventProblem = "problem"
)

const (
	eventPrefix = "event: "
	dataPrefix  = "data: "
	// maxEventLine is the maximum length of a line of a stream in bytes.
	maxEventLine = 1 << 20
)

// token is the data of a token event: a part of the answer's text.
type token struct {
	Seq  int    `json:"seq"`
	Text string `json:"text"`
}

// readStream reads server-sent events up to the final event.
func (r *replyReader) readStream(body io.Reader) {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxEventLine)
	event := ""
	for lines.Scan() {
		line := lines.Text()
		if name, ok := strings.CutPrefix(line, eventPrefix); ok {
			event = name
			continue
		}
		data, ok := strings.CutPrefix(line, dataPrefix)
		if ok && r.handleEvent(event, []byte(data)) {
			return
		}
	}
	r.sample.Err = errNoFinalEvent
	if err := lines.Err(); err != nil {
		r.sample.Err = errIncomplete + err.Error()
	}
}

// handleEvent processes an event. It returns true if the event ends the reply.
func (r *replyReader) handleEvent(name string, data []byte) bool {
	switch name {
	case eventToken:
		return r.handleToken(data)
	case eventAnswer:
		r.parseAnswer(data)
		return true
	case eventProblem:
		r.parseProblem(data)
		return true
	}
	return false
}

// handleToken records a token and its time. It returns true if the token cannot
// be decoded, which ends the reply.
func (r *replyReader) handleToken(data []byte) bool {
	var t token
	if err := json.Unmarshal(data, &t); err != nil {
		r.sample.Err = errUnreadable + err.Error()
		return true
	}
	now := time.Now()
	if len(r.tokens) == 0 {
		r.sample.FirstToken = now.Sub(r.due)
	} else {
		r.sample.TokenGaps = append(r.sample.TokenGaps, now.Sub(r.lastTokenAt))
	}
	r.lastTokenAt = now
	r.tokens = append(r.tokens, t)
	return false
}

// checkTokens compares streamed tokens with the text of the complete answer. It
// describes the first difference; "" means none, or that nothing was streamed.
func checkTokens(tokens []token, want json.RawMessage) string {
	if len(tokens) == 0 {
		return ""
	}
	var text strings.Builder
	for i, t := range tokens {
		if t.Seq != i {
			return fmt.Sprintf("token %d came as number %d", t.Seq, i)
		}
		text.WriteString(t.Text)
	}
	var output fake.Output
	if err := json.Unmarshal(want, &output); err != nil {
		return err.Error()
	}
	if text.String() != output.Text {
		return fmt.Sprintf("streamed %q, want %q", text.String(), output.Text)
	}
	return ""
}
