package gateway_test

import (
	"bytes"
	"net/http"
	"slices"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/internal/testwait"
	"github.com/mangostage/mangostage/platform/standin"
	"github.com/mangostage/mangostage/reqlog"
)

// logBuffer keeps log lines; it is safe for concurrent use.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

// has waits for a line with all of the texts.
func (b *logBuffer) has(t *testing.T, texts ...string) {
	t.Helper()
	testwait.For(t, patience, func() bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		for line := range bytes.Lines(b.text.Bytes()) {
			if !slices.ContainsFunc(texts, func(text string) bool { return !bytes.Contains(line, []byte(text)) }) {
				return true
			}
		}
		return false
	})
}

// story is what the logs say of a request.
func (r *rig) story(id string) reqlog.Story {
	r.logs.mu.Lock()
	defer r.logs.mu.Unlock()
	c := reqlog.NewCollector(id)
	assert.NilError(r.t, c.Read(bytes.NewReader(r.logs.text.Bytes())))
	return c.Story()
}

// A user complains about a request. From its ID and the logs support must be
// able to say what became of it, whichever way it went.
func TestLogsTellWhatBecameOfARequest(t *testing.T) {
	r := newRig(t)
	stage := &standin.StageEndpoint{ID: "s-1", Addr: "s"}
	r.add("stage", "s-1", serve(t, stage))
	r.endpoint("model", "m-1", func(w http.ResponseWriter, run standin.Run) {
		standin.Seal(w)
		standin.Events(w, 1, 2)
		if string(run.Body) == "break" {
			standin.Break()
		}
	})
	ask := func(path, body string) string {
		req := r.request(http.MethodPost, path, body)
		if path == "/staged/" {
			req.Header.Set("Mangostage-Segments", "2")
		}
		r.do(req)
		return req.Header.Get("Mangostage-Attempt-Id")
	}
	tests := map[string]struct {
		path, body string
		want       reqlog.Verdict
		events     []string
	}{
		"answered":    {"/staged/", "prompt", reqlog.Answered, []string{"stage_call", "granted", "sent", "answered"}},
		"refused":     {"/once/", "order", reqlog.Refused, []string{"answered"}},
		"cut short":   {"/stream/", "break", reqlog.CutShort, []string{"granted", "sent", "answered"}},
		"no route":    {"/nowhere/", "", reqlog.Refused, []string{"answered"}},
		"not in logs": {"", "", reqlog.NotFound, nil},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			id := "never-sent"
			if test.path != "" {
				id = ask(test.path, test.body)
			}
			// The line is written after the last byte of the answer.
			testwait.For(t, patience, func() bool { return r.story(id).Verdict == test.want })
			var events []string
			for _, line := range r.story(id).Lines {
				events = append(events, line.Event)
			}
			assert.DeepEqual(t, events, test.events)
		})
	}
}
