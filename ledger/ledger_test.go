package ledger

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/api"
)

var start = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func TestStoreBounds(t *testing.T) {
	s := NewStore(StoreConfig{MaxRequests: storeShards, MaxAge: time.Minute})
	for i := range 10 * storeShards {
		s.Add(Record{Request: fmt.Sprint("r", i), At: at(i)})
	}
	assert.Assert(t, s.Len() <= storeShards)
	assert.Equal(t, s.Evictions(), int64(10*storeShards-s.Len()))
	s.Add(Record{Request: "late", At: at(0).Add(time.Hour)})
	assert.Equal(t, len(s.Get("late")), 1)
	for i := range 2 * maxRecordsPerRequest {
		s.Add(Record{Request: "late", At: at(i).Add(time.Hour), Attempt: i + 1})
	}
	got := s.Get("late")
	assert.Equal(t, len(got), maxRecordsPerRequest)
	assert.Equal(t, got[0].Attempt, 0, "the first record is kept")
	assert.Equal(t, got[len(got)-1].Attempt, 2*maxRecordsPerRequest)
}

func TestStoreEvictsTheLeastRecent(t *testing.T) {
	s := NewStore(StoreConfig{MaxRequests: 2 * storeShards, MaxAge: time.Minute})
	var same []string
	for i := 0; len(same) < 3; i++ {
		name := fmt.Sprint("r", i)
		if s.shard(name) == s.shard("r0") {
			same = append(same, name)
		}
	}
	s.Add(Record{Request: same[0], At: at(0)})
	s.Add(Record{Request: same[1], At: at(1)})
	s.Add(Record{Request: same[0], At: at(2)})
	s.Add(Record{Request: same[2], At: at(3)})
	assert.Equal(t, len(s.Get(same[0])), 2)
	assert.Equal(t, len(s.Get(same[1])), 0)
	assert.Equal(t, s.Evictions(), int64(1))
}

func routed(ms int) Record {
	return Record{Request: "r", At: at(ms), Process: "entry@1", Kind: KindRouted, Stage: "encode", Endpoint: "ep-1", Entry: "entry@1", Attempt: 1}
}

func withEntry(r Record, entry string) Record {
	r.Entry = entry
	return r
}

func byAgent(ms int, kind Kind, state api.StageState) Record {
	return Record{Request: "r", At: at(ms), Process: "ep-1", Kind: kind, Stage: "encode", Endpoint: "ep-1", Entry: "entry@1", Attempt: 1, State: state}
}

func final(ms int, outcome api.Outcome) Record {
	return Record{Request: "r", At: at(ms), Process: "entry@1", Kind: KindFinal, Outcome: outcome}
}

// A process that handled a request may be gone when its timeline is requested.
// Whatever is missing must show as a gap, and a missing record must never be
// taken as proof that the request did not run.
func TestMerge(t *testing.T) {
	admitted := Record{Request: "r", At: at(0), Process: "entry@1", Kind: KindAdmitted}
	entryEnd := Record{Request: "r", At: at(5), Process: "entry@1", Kind: KindFinished, Stage: "encode", Endpoint: "ep-1", Entry: "entry@1", Attempt: 1, State: api.StageDone}
	notWritten := entryEnd
	notWritten.State = api.StageNotRun
	agentPart := []Record{byAgent(2, KindReceived, ""), byAgent(3, KindStarted, ""), byAgent(4, KindFinished, api.StageDone)}
	tests := []struct {
		name         string
		parts        []Part
		outcome      api.Outcome
		complete     bool
		contradicted bool
		gaps         []string
	}{
		{"whole", []Part{
			{Process: "entry", Records: []Record{admitted, routed(1), entryEnd, final(6, api.OutcomeAnswered)}},
			{Process: "entry-2", Records: []Record{final(6, api.OutcomeAnswered)}},
			{Process: "ep-1", Records: agentPart},
		}, api.OutcomeAnswered, true, false, nil},
		{"nothing found", []Part{{Process: "entry"}, {Process: "ep-1"}}, api.OutcomeUnknown, false, false,
			[]string{"has admitted", "told its caller"}},
		{"agent gone", []Part{
			{Process: "entry", Records: []Record{admitted, routed(1), entryEnd, final(6, api.OutcomeAnswered)}},
			{Process: "ep-1", Missing: "not connected"},
		}, api.OutcomeAnswered, false, false, []string{"the agent's part", "not connected"}},
		{"entry gone", []Part{{Process: "ep-1", Records: agentPart}}, api.OutcomeUnknown, false, false,
			[]string{"the entry's part", "told its caller", "has admitted"}},
		{"never written", []Part{
			{Process: "entry", Records: []Record{admitted, routed(1), notWritten, final(6, api.OutcomeRefused)}},
			{Process: "ep-1"},
		}, api.OutcomeRefused, true, false, nil},
		{"refused but ran", []Part{
			{Process: "entry", Records: []Record{admitted, routed(1), notWritten, final(6, api.OutcomeRefused)}},
			{Process: "ep-1", Records: agentPart},
		}, api.OutcomeUnknown, true, true, nil},
		{"one submission refused, another ran", []Part{
			{Process: "entry-2", Records: []Record{admitted, withEntry(final(6, api.OutcomeRefused), "entry-2@1#1")}},
			{Process: "ep-1", Records: agentPart},
		}, api.OutcomeUnknown, false, false, []string{"the entry's part"}},
		{"started, then proved unwritten", []Part{
			{Process: "entry", Records: []Record{admitted, routed(1), notWritten, final(6, api.OutcomeRefused)}},
			{Process: "ep-1", Records: []Record{byAgent(2, KindReceived, ""), byAgent(3, KindStarted, ""), byAgent(4, KindRefused, api.StageNotRun)}},
		}, api.OutcomeRefused, true, false, nil},
		{"still running", []Part{
			{Process: "entry", Records: []Record{admitted, routed(1)}},
			{Process: "ep-1", Records: agentPart[:2]},
		}, api.OutcomeUnknown, false, false, []string{"the end of this attempt", "told its caller"}},
		{"sent twice", []Part{
			{Process: "entry", Records: []Record{admitted, routed(1), entryEnd, final(6, api.OutcomeAnswered), final(9, api.OutcomeRefused)}},
			{Process: "ep-1", Records: agentPart},
		}, api.OutcomeAnswered, true, false, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := Merge("r", test.parts...)
			assert.Equal(t, s.Outcome, test.outcome, s.Verdict)
			assert.Equal(t, s.Complete, test.complete)
			assert.Equal(t, s.Contradicted, test.contradicted)
			var gaps []string
			latest := time.Time{}
			for _, line := range s.Lines {
				if line.Gap != nil {
					gaps = append(gaps, line.Gap.Missing)
					continue
				}
				assert.Assert(t, !line.Record.At.Before(latest))
				latest = line.Record.At
			}
			assert.Equal(t, len(gaps), len(test.gaps), "%v", gaps)
			for i, want := range test.gaps {
				assert.Assert(t, strings.Contains(gaps[i], want), "%q, not %q", gaps[i], want)
			}
		})
	}
}
