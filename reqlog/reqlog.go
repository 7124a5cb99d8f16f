// Package reqlog reads the logs of gateways and reconstructs the outcome of one
// request. Processes keep no record of a request after it has ended, so their
// logs are the only source.
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

// maxLineBytes is the length of the longest line that can be read; gateways
// write lines of a few hundred bytes.
const maxLineBytes = 1 << 20

var errs = errorx.NewNamespace("reqlog")

// ErrUnreadable is returned for input that cannot be read.
var ErrUnreadable = errs.NewType("unreadable")

// Line is one log line of a gateway, with the fields that the history of a
// request needs.
type Line struct {
	Time    time.Time `json:"time"`
	Process string    `json:"process"`
	Event   string    `json:"event"`
	// Request is the ID of the request that the line is about. Requests are the
	// IDs of those whose pieces a call for a stage contained.
	Request  string   `json:"request,omitempty"`
	Requests []string `json:"requests,omitempty"`
	Route    string   `json:"route,omitempty"`
	// Account is the name of the client account.
	Account  string `json:"account,omitempty"`
	Service  string `json:"service,omitempty"`
	Endpoint string `json:"endpoint,omitempty"`
	// Owner is the process that owned the stage queue.
	Owner  string `json:"owner,omitempty"`
	Status int    `json:"status,omitempty"`
	Reason string `json:"reason,omitempty"`
	// Offered is true if the request was sent to an endpoint.
	Offered bool `json:"offered,omitempty"`
	// MayHaveRun tells whether the request may have run; nil if the line does
	// not state it.
	MayHaveRun *bool `json:"may_have_run,omitempty"`
	// ClientLeft is true if the client closed its connection before the end.
	ClientLeft bool `json:"client_left,omitempty"`
	// Expired is true if the request's deadline had passed.
	Expired bool   `json:"expired,omitempty"`
	Error   string `json:"error,omitempty"`
	Fault   string `json:"fault,omitempty"`
	// ShortService is the service that lacked a resource for the request.
	ShortService string `json:"queue,omitempty"`
	// ShortResource is the resource that the service lacked.
	ShortResource string `json:"short,omitempty"`
	// LateBy is how much too late, in milliseconds, the request's work would have
	// started at that service.
	LateBy float64 `json:"behind_ms,omitempty"`
	// Pieces is the number of pieces in a call for a stage, and Failed the number
	// of those that got no result.
	Pieces int `json:"pieces,omitempty"`
	Failed int `json:"failed,omitempty"`
	// Config is the version of the configuration.
	Config uint64 `json:"config,omitempty"`
	// Elapsed, Waited, Slack and RetryAfter are in milliseconds.
	Elapsed    float64  `json:"took_ms,omitempty"`
	Waited     float64  `json:"waited_ms,omitempty"`
	Slack      *float64 `json:"slack_ms,omitempty"`
	RetryAfter float64  `json:"retry_after_ms,omitempty"`
}

// Events of gateways' log lines that determine the outcome of a request.
const (
	eventAnswered = "answered"
	eventStarted  = "started"
)

// Outcome is the outcome of a request as far as the logs prove it.
type Outcome string

// The outcomes of a request.
const (
	// Answered means that the client got an endpoint's complete answer.
	Answered Outcome = "answered"
	// Failed means that the client got a complete error answer from an endpoint.
	Failed Outcome = "failed at the endpoint"
	// Refused means that the request was refused and has not run.
	Refused Outcome = "refused: it has not run"
	// CutShort means that the answer ended before it was complete.
	CutShort Outcome = "cut short"
	// ClientLeft means that the client disconnected before the end.
	ClientLeft Outcome = "given up by its client"
	// Unknown means that the request may have run but got no endpoint's answer.
	Unknown Outcome = "unknown: it may have run"
	// Lost means that the gateway that handled the request restarted before its
	// end.
	Lost Outcome = "lost with its gateway: it may have run"
	// NotFound means that no line mentions the request. This is no proof that no
	// gateway received it.
	NotFound Outcome = "not found in these logs"
	// Unfinished means that lines mention the request but none reports its end.
	Unfinished Outcome = "no end in these logs: it is under way, or lines are missing"
)

// History is the history of one request in the logs.
type History struct {
	Request string  `json:"request"`
	Outcome Outcome `json:"verdict"`
	// Reason is the reason in the line that reports the end; empty without one.
	Reason string `json:"reason,omitempty"`
	// Lines are the lines about the request in the order of their times.
	Lines []Line `json:"lines"`
	// Skipped is the number of input lines that are not JSON.
	Skipped int `json:"skipped,omitempty"`
}

// Collector gathers the lines of one request from any number of logs.
type Collector struct {
	story History
	// starts holds the start times of each process.
	starts map[string][]time.Time
}

// NewCollector returns a Collector for the request with this ID.
func NewCollector(request string) *Collector {
	return &Collector{story: History{Request: request}, starts: make(map[string][]time.Time)}
}

// Read adds the lines of one log. Text before the JSON of a line is ignored,
// because tools that collect logs put times and names there.
func (c *Collector) Read(r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		c.addLine(scanner.Bytes())
	}
	if err := scanner.Err(); err != nil {
		return ErrUnreadable.Wrap(err, "read a log")
	}
	return nil
}

// addLine adds the line if it is about the request or reports the start of a
// process.
func (c *Collector) addLine(text []byte) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		if len(bytes.TrimSpace(text)) > 0 {
			c.story.Skipped++
		}
		return
	}
	var line Line
	if err := json.Unmarshal(text[start:], &line); err != nil {
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

// History returns the collected lines with the outcome of the request. Lines are
// in the order of their times; the clocks of processes may differ by some
// milliseconds.
func (c *Collector) History() History {
	s := c.story
	sort.SliceStable(s.Lines, func(i, j int) bool { return s.Lines[i].Time.Before(s.Lines[j].Time) })
	s.Outcome, s.Reason = c.classify(s.Lines)
	return s
}

// classify derives the outcome and its reason from the last line that reports
// the end of the request. If there is none, a later start of a process that
// handled the request proves that the request was lost with that process.
func (c *Collector) classify(lines []Line) (Outcome, string) {
	if len(lines) == 0 {
		return NotFound, ""
	}
	for i := len(lines) - 1; i >= 0; i-- {
		if l := lines[i]; l.Event == eventAnswered {
			return l.outcome(), l.Reason
		}
	}
	for i := len(lines) - 1; i >= 0; i-- {
		if l := lines[i]; l.Request != "" && c.startedAfter(l.Process, l.Time) {
			return Lost, ""
		}
	}
	return Unfinished, ""
}

// startedAfter reports whether the process was started after at.
func (c *Collector) startedAfter(process string, at time.Time) bool {
	for _, start := range c.starts[process] {
		if start.After(at) {
			return true
		}
	}
	return false
}

// Reasons in the line on a request's end that mean that an endpoint answered.
const (
	reasonRelayed       = "relayed"
	reasonEndpointError = "endpoint_error"
	reasonBrokenOff     = "broken_off"
)

// outcome returns the outcome that a line on a request's end reports.
func (l *Line) outcome() Outcome {
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
