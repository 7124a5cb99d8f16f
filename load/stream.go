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

// Names of the entries' server-sent events.
const (
	eventToken   = "token"
	eventAnswer  = "answer"
	eventProblem = "problem"
)

const (
	eventPrefix = "event: "
	dataPrefix  = "data: "
	// maxEvent is the longest line of a stream in bytes.
	maxEvent = 1 << 20
)

// token is one streamed piece of an answer.
type token struct {
	Seq  int    `json:"seq"`
	Text string `json:"text"`
}

// readStream reads server-sent events up to the one that ends the reply.
func (r *reply) readStream(body io.Reader) {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxEvent)
	event := ""
	for lines.Scan() {
		line := lines.Text()
		if name, ok := strings.CutPrefix(line, eventPrefix); ok {
			event = name
			continue
		}
		data, ok := strings.CutPrefix(line, dataPrefix)
		if ok && r.takeEvent(event, []byte(data)) {
			return
		}
	}
	r.sample.Err = errNoFinal
	if err := lines.Err(); err != nil {
		r.sample.Err = errIncomplete + err.Error()
	}
}

// takeEvent tells whether the event ends the reply.
func (r *reply) takeEvent(name string, data []byte) bool {
	switch name {
	case eventToken:
		return r.takeToken(data)
	case eventAnswer:
		r.takeAnswer(data)
		return true
	case eventProblem:
		r.takeProblem(data)
		return true
	}
	return false
}

func (r *reply) takeToken(data []byte) bool {
	var t token
	if err := json.Unmarshal(data, &t); err != nil {
		r.sample.Err = errUnreadable + err.Error()
		return true
	}
	now := time.Now()
	if len(r.tokens) == 0 {
		r.sample.FirstToken = now.Sub(r.due)
	} else {
		r.sample.TokenGaps = append(r.sample.TokenGaps, now.Sub(r.last))
	}
	r.last = now
	r.tokens = append(r.tokens, t)
	return false
}

// checkTokens compares streamed tokens with the whole answer. It returns the
// difference, or nothing.
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
