package reqlog_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/reqlog"
)

const (
	granted  = `{"process":"g1","event":"granted","request":"a","endpoint":"i-1","waited_ms":227.9,"owner":"g2","slack_ms":411.2,"time":"2026-01-02T03:04:05.300Z"}`
	sent     = `{"process":"g1","event":"sent","request":"a","endpoint":"i-1","status":200,"took_ms":48.8,"time":"2026-01-02T03:04:05.350Z"}`
	call     = `{"process":"g2","event":"stage_call","call":7,"service":"encode","endpoint":"i-9","requests":["b","a"],"pieces":3,"failed":0,"time":"2026-01-02T03:04:05.100Z"}`
	relayed  = `{"process":"g1","event":"answered","request":"a","status":200,"reason":"relayed","time":"2026-01-02T03:04:06Z"}`
	broken   = `{"process":"g1","event":"answered","request":"a","reason":"broken_off","client_left":false,"expired":false,"error":"unexpected EOF","time":"2026-01-02T03:04:06Z"}`
	left     = `{"process":"g1","event":"answered","request":"a","reason":"broken_off","client_left":true,"time":"2026-01-02T03:04:06Z"}`
	refused  = `{"process":"g1","event":"answered","request":"a","status":503,"reason":"overload","offered":false,"may_have_run":false,"queue":"encode","behind_ms":3.9,"time":"2026-01-02T03:04:06Z"}`
	silent   = `{"process":"g1","event":"answered","request":"a","status":504,"reason":"no_endpoint_served","offered":true,"may_have_run":true,"time":"2026-01-02T03:04:06Z"}`
	own      = `{"process":"g1","event":"answered","request":"a","status":500,"reason":"endpoint_error","time":"2026-01-02T03:04:06Z"}`
	restart  = `{"process":"g1","event":"started","time":"2026-01-02T03:04:07Z"}`
	earlier  = `{"process":"g1","event":"started","time":"2026-01-02T03:04:00Z"}`
	other    = `{"process":"g2","event":"started","time":"2026-01-02T03:04:07Z"}`
	stranger = `{"process":"g1","event":"answered","request":"b","status":200,"reason":"relayed","time":"2026-01-02T03:04:06Z"}`
)

// The outcome reported for a request must be what the logs of all processes
// prove, and no more: an operator who investigates a complaint has nothing else.
func TestVerdict(t *testing.T) {
	tests := map[string]struct {
		logs   []string
		want   reqlog.Outcome
		reason string
	}{
		"answered":                  {[]string{granted, sent, relayed}, reqlog.Answered, "relayed"},
		"endpoint's own error":      {[]string{sent, own}, reqlog.Failed, "endpoint_error"},
		"refused":                   {[]string{refused}, reqlog.Refused, "overload"},
		"silent endpoint":           {[]string{sent, silent}, reqlog.Unknown, "no_endpoint_served"},
		"cut stream":                {[]string{granted, sent, broken}, reqlog.CutShort, "broken_off"},
		"client left":               {[]string{granted, sent, left}, reqlog.ClientLeft, "broken_off"},
		"gateway killed":            {[]string{earlier, granted, sent, restart}, reqlog.Lost, ""},
		"queue's owner killed":      {[]string{call, granted, sent, other}, reqlog.Unfinished, ""},
		"under way":                 {[]string{earlier, granted, sent}, reqlog.Unfinished, ""},
		"only others":               {[]string{stranger}, reqlog.NotFound, ""},
		"end before the grant line": {[]string{relayed, sent, granted}, reqlog.Answered, "relayed"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := reqlog.NewCollector("a")
			assert.NilError(t, c.Read(strings.NewReader(strings.Join(test.logs, "\n"))))
			story := c.History()
			assert.Equal(t, story.Outcome, test.want)
			assert.Equal(t, story.Reason, test.reason)
		})
	}
}

// Logs of several processes come from tools that put times and names before
// the lines. Lines that are not JSON are skipped and counted.
func TestReadCollectsLines(t *testing.T) {
	c := reqlog.NewCollector("a")
	assert.NilError(t, c.Read(strings.NewReader("   0.45 g1 "+relayed+"\npanic: no JSON\n{broken\n\n"+stranger)))
	assert.NilError(t, c.Read(strings.NewReader("   0.40 g2 "+call)))
	story := c.History()
	assert.Equal(t, len(story.Lines), 2)
	assert.Equal(t, story.Lines[0].Event, "stage_call")
	assert.Equal(t, story.Lines[0].Service, "encode")
	assert.Equal(t, story.Skipped, 2)
}

func FuzzRead(f *testing.F) {
	f.Add(granted + "\n" + relayed)
	f.Add("x {\"request\":\"a\",\"time\":5}")
	f.Fuzz(func(t *testing.T, text string) {
		c := reqlog.NewCollector("a")
		if c.Read(strings.NewReader(text)) != nil {
			return
		}
		assert.Assert(t, c.History().Outcome != "")
	})
}
