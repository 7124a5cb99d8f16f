package quarantine

import (
	"bytes"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/quarantine/part"
)

// Guards against an entry that is believed of the next process although another member lists
// that one already: the version of a stream would be that of the process before.
func TestReplacedElsewhereHasEndedHere(t *testing.T) {
	var ended []string
	c := NewClient(Config{Drain: drain, Log: zerolog.Nop(), OnCrashed: func(endpoint string) { ended = append(ended, endpoint) }})
	crash := Loss{Content: 1, Endpoint: "a@1", Verdict: Crashed, Evidence: EvidenceReplaced}
	assert.Assert(t, c.apply(crash, "g0"))
	assert.DeepEqual(t, ended, []string{"a@1"})
	assert.Assert(t, !c.apply(crash, "g0"), "known")
	refused := Loss{Content: 1, Endpoint: "b", Verdict: Crashed, Evidence: EvidenceRefused}
	assert.Assert(t, c.apply(refused, "g0"))
	forgiven := Loss{Content: 1, Endpoint: "c@1", Verdict: Crashed, Evidence: EvidenceReplaced, Answers: 1}
	assert.Assert(t, c.apply(forgiven, "g0"))
	assert.DeepEqual(t, ended, []string{"a@1"})
}

// Guards against losses that nobody can compare: without the parts of their prompts, logs tell
// no request that crashes an endpoint from those that merely ran beside it.
func TestLossesNameTheirParts(t *testing.T) {
	var lines bytes.Buffer
	c := NewClient(Config{Drain: drain, Log: zerolog.New(&lines)})
	c.Broken(Break{Content: 1, Parts: []part.ID{0xa1, 0xb2}, Endpoint: Endpoint{Key: "a@1", Addr: "127.0.0.1:1", Service: "s"}}, syscall.EHOSTUNREACH)
	assert.Assert(t, strings.Contains(lines.String(), `"event":"send_held","request":"","content":"0000000000000001","parts":["a1","b2"]`), lines.String())
	lines.Reset()
	c.apply(Loss{Content: 2, Parts: []part.ID{0xc3}, Endpoint: "b@1", Verdict: Crashed}, "g0")
	assert.Assert(t, strings.Contains(lines.String(), `"event":"endpoint_crashed","request":"","content":"0000000000000002","parts":["c3"]`), lines.String())
}

// Guards against an answer that only its connection ended and that counts as complete although
// the endpoint ended as well, as planned: it may have been cut there.
func TestAnswerCutByAPlannedEndIsNoAnswer(t *testing.T) {
	for evidence, answered := range map[Evidence]bool{EvidenceAccepted: true, EvidencePlanned: false} {
		c := NewClient(Config{Drain: drain, Log: zerolog.Nop()})
		l := Loss{Content: 1, Parts: []part.ID{0xa1}, Endpoint: "a@1", Service: "s", Verdict: Alive, Evidence: evidence}
		c.resolved([]Resolved{{Loss: l, Whole: true}})
		parts, _ := c.parts.LastAnswers(time.Now(), "s", l.Parts)
		assert.Equal(t, len(parts) == 1, answered, "%s", evidence)
	}
}
