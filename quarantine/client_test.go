package quarantine

import (
	"testing"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
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
