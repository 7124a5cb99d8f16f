// Package reqlog reads the log lines of gateways and tells what became of one
// request. Processes keep nothing, so their logs are all that is left of a
// request after it has ended.
package reqlog

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"slices"
	"sort"
	"time"

	"github.com/joomcode/errorx"
)

// maxLine is the longest line that is read, in bytes; gateways write a few hundred.
const maxLine = 1 << 20

var errs = errorx.NewNamespace("reqlog")

// ErrUnreadable is returned for input that cannot be read.
var ErrUnreadable = errs.NewType("unreadable")

// Line is one log line of a gateway, with the fields that a story needs.
type Line struct {
	Time    time.Time `json:"time"`
	Process string    `json:"process"`
	Event   string    `json:"event"`
	// Request is the ID of the request that a line is about; Requests are those
	// whose pieces one call for a stage carried.
	Request  string   `json:"request,omitempty"`
	Requests []string `json:"requests,omitempty"`
	Route    string   `json:"route,omitempty"`
	Service  string   `json:"service,omitempty"`
	Endpoint string   `json:"endpoint,omitempty"`
	// Owner is the process that owned the stage queue.
	Owner  string `json:"owner,omitempty"`
	Status int    `json:"status,omitempty"`
	Reason string `json:"reason,omitempty"`
	// Offered says that an endpoint was sent the request.
	Offered bool `json:"offered,omitempty"`
	// MayHaveRun is nil on lines that do not say.
	MayHaveRun *bool  `json:"may_have_run,omitempty"`
	ClientLeft bool   `json:"client_left,omitempty"`
	Expired    bool   `json:"expired,omitempty"`
	Error      string `json:"error,omitempty"`
	Fault      string `json:"fault,omitempty"`
	// Queue is the service that was short of something, Short of what, and Behind
	// by how many milliseconds the request would have been late.
	Queue  string  `json:"queue,omitempty"`
	Short  string  `json:"short,omitempty"`
	Behind float64 `json:"behind_ms,omitempty"`
	Pieces int     `json:"pieces,omitempty"`
	Failed int     `json:"failed,omitempty"`
	Config uint64  `json:"config,omitempty"`
	// Took, Waited, Slack and RetryAfter are in milliseconds.
	Took       float64  `json:"took_ms,omitempty"`
	Waited     float64  `json:"waited_ms,omitempty"`
	Slack      *float64 `json:"slack_ms,omitempty"`
	RetryAfter float64  `json:"retry_after_ms,omitempty"`
}

// Events of gateways that a story is made of.
const (
	eventAnswered = "answered"
	eventStarted  = "started"
)

// Verdict is what became of a request.
type Verdict string

// The verdicts.
const (
	// Answered requests got an endpoint's whole answer.
	Answered Verdict = "answered"
	// Failed requests got an endpoint's own error, whole.
	Failed Verdict = "failed at the endpoint"
	// Refused requests have not run.
	Refused Verdict = "refused: it has not run"
	// CutShort answers ended before they were whole.
	CutShort Verdict = "cut short"
	// ClientLeft requests were given up by their client.
	ClientLeft Verdict = "given up by its client"
	// Unknown requests may have run and got no answer.
	Unknown Verdict = "unknown: it may have run"
	// Lost requests ended with the gateway that held them.
	Lost Verdict = "lost with its gateway: it may have run"
	// NotFound requests are in no line, which proves nothing.
	NotFound Verdict = "not found in these logs"
	// Open requests have lines and no end.
	Open Verdict = "no end in these logs: it is under way, or lines are missing"
)

// Story is what the logs say of one request.
type Story struct {
	Request string  `json:"request"`
	Verdict Verdict `json:"verdict"`
	// Reason is the word of the gateway's last line, if it has one.
	Reason string `json:"reason,omitempty"`
	Lines  []Line `json:"lines"`
	// Skipped counts lines of the input that are no JSON.
	Skipped int `json:"skipped,omitempty"`
}

// Collector gathers the lines of one request from any number of logs.
type Collector struct {
	story Story
	// starts holds the starts of each process.
	starts map[string][]time.Time
}

// NewCollector returns a Collector for the request.
func NewCollector(request string) *Collector {
	return &Collector{story: Story{Request: request}, starts: make(map[string][]time.Time)}
}

// Read takes one log. What stands before the JSON of a line is ignored, as
// tools that gather logs put times and names there.
func (c *Collector) Read(r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		c.take(scanner.Bytes())
	}
	if err := scanner.Err(); err != nil {
		return ErrUnreadable.Wrap(err, "read a log")
	}
	return nil
}

func (c *Collector) take(text []byte) {
	at := bytes.IndexByte(text, '{')
	if at < 0 {
		if len(bytes.TrimSpace(text)) > 0 {
			c.story.Skipped++
		}
		return
	}
	var line Line
	if err := json.Unmarshal(text[at:], &line); err != nil {
		c.story.Skipped++
		return
	}
	if line.Event == eventStarted {
		c.starts[line.Process] = append(c.starts[line.Process], line.Time)
	}
	if line.Request == c.story.Request || slices.Contains(line.Requests, c.story.Request) {
		line.Requests = nil
		c.story.Lines = append(c.story.Lines, line)
	}
}

// Story returns what was gathered, with the verdict. Lines are in the order of
// their times; the clocks of processes may differ by some milliseconds.
func (c *Collector) Story() Story {
	s := c.story
	sort.SliceStable(s.Lines, func(i, j int) bool { return s.Lines[i].Time.Before(s.Lines[j].Time) })
	s.Verdict, s.Reason = c.judge(s.Lines)
	return s
}

// judge goes by the last line on the request's end. Without one, a later start
// of the process that held the request tells that it was lost with it.
func (c *Collector) judge(lines []Line) (Verdict, string) {
	if len(lines) == 0 {
		return NotFound, ""
	}
	for i := len(lines) - 1; i >= 0; i-- {
		if l := lines[i]; l.Event == eventAnswered {
			return l.verdict(), l.Reason
		}
	}
	for i := len(lines) - 1; i >= 0; i-- {
		if l := lines[i]; l.Request != "" && c.startedAfter(l.Process, l.Time) {
			return Lost, ""
		}
	}
	return Open, ""
}

func (c *Collector) startedAfter(process string, at time.Time) bool {
	for _, start := range c.starts[process] {
		if start.After(at) {
			return true
		}
	}
	return false
}

// Reasons of a gateway's last line that are answers of an endpoint.
const (
	reasonRelayed       = "relayed"
	reasonEndpointError = "endpoint_error"
	reasonBrokenOff     = "broken_off"
)

func (l *Line) verdict() Verdict {
	switch {
	case l.Reason == reasonRelayed:
		return Answered
	case l.Reason == reasonEndpointError:
		return Failed
	case l.ClientLeft:
		return ClientLeft
	case l.Reason == reasonBrokenOff:
		return CutShort
	case l.MayHaveRun != nil && !*l.MayHaveRun:
		return Refused
	}
	return Unknown
}
