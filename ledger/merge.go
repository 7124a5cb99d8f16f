package ledger

import (
	"fmt"
	"sort"
	"time"

	"github.com/mangostage/mangostage/api"
)

// Part is what one process was able to say of a request.
type Part struct {
	Process string   `json:"process"`
	Records []Record `json:"records,omitempty"`
	// Missing is why the process said nothing; empty if it answered.
	Missing string `json:"missing,omitempty"`
}

// Story is the account of one request, merged from the parts of all processes
// that answered.
type Story struct {
	Request string `json:"request"`
	// Lines are in the order of time; gaps stand where the missing part belongs.
	Lines   []Line      `json:"lines"`
	Outcome api.Outcome `json:"outcome"`
	// Complete is false if anything that belongs to the account is missing.
	Complete bool `json:"complete"`
	// Contradicted is true if the processes' parts do not agree.
	Contradicted bool `json:"contradicted,omitempty"`
	// Verdict says the outcome and what it rests on, in a sentence.
	Verdict string `json:"verdict"`
}

// Line is a record or a gap; exactly one is set.
type Line struct {
	Record *Record `json:"record,omitempty"`
	Gap    *Gap    `json:"gap,omitempty"`
}

// Gap is something that should be known and is not.
type Gap struct {
	// After is the time of the latest record that comes before the gap; zero
	// for a gap without a place in time.
	After   time.Time `json:"after"`
	Process string    `json:"process,omitempty"`
	Stage   string    `json:"stage,omitempty"`
	Attempt int       `json:"attempt,omitempty"`
	Missing string    `json:"missing"`
}

// Merge puts the parts of several processes in order. Clocks of processes
// differ, so that lines of different processes may stand in the wrong order by
// as much; lines of one process never do.
func Merge(request string, parts ...Part) Story {
	s := Story{Request: request}
	records := unique(parts)
	gaps := silent(parts)
	gaps = append(gaps, missingParts(records)...)
	s.Lines = interleave(records, gaps)
	s.Complete = len(gaps) == 0 && len(records) > 0
	s.judge(newEvidence(records))
	return s
}

// unique sorts the records and drops copies: an entry keeps copies of others' records.
func unique(parts []Part) []Record {
	var records []Record
	seen := make(map[Record]bool)
	for _, part := range parts {
		for _, r := range part.Records {
			key := r
			// Two decodings of one time differ in their location pointers.
			key.At = r.At.Round(0).UTC()
			if seen[key] {
				continue
			}
			seen[key] = true
			records = append(records, r)
		}
	}
	sort.SliceStable(records, func(i, j int) bool { return records[i].At.Before(records[j].At) })
	return records
}

func silent(parts []Part) []Gap {
	var gaps []Gap
	for _, part := range parts {
		if part.Missing != "" {
			gaps = append(gaps, Gap{Process: part.Process, Missing: "did not answer: " + part.Missing})
		}
	}
	return gaps
}

// attemptID names one attempt of one stage in the records of all processes.
type attemptID struct {
	entry   string
	stage   string
	attempt int
}

// attemptParts tells who spoke of an attempt.
type attemptParts struct {
	routed  *Record
	agent   *Record
	written bool
	ended   bool
}

// byAgent tells whether a record comes from the agent beside its endpoint,
// whose process is named after the endpoint.
func (r *Record) byAgent() bool {
	return r.Kind == KindReceived || r.Kind == KindStarted || (r.Endpoint != "" && r.Process == r.Endpoint)
}

func attempts(records []Record) (map[attemptID]*attemptParts, []attemptID) {
	found := make(map[attemptID]*attemptParts)
	var order []attemptID
	for i := range records {
		r := &records[i]
		if r.Stage == "" || r.Kind == KindDropped {
			continue
		}
		id := attemptID{r.Entry, r.Stage, r.Attempt}
		a := found[id]
		if a == nil {
			a = &attemptParts{written: true}
			found[id] = a
			order = append(order, id)
		}
		a.take(r)
	}
	return found, order
}

func (a *attemptParts) take(r *Record) {
	if r.byAgent() {
		if a.agent == nil {
			a.agent = r
		}
		a.ended = a.ended || r.Kind == KindFinished || r.Kind == KindRefused
		return
	}
	switch r.Kind {
	case KindRouted:
		a.routed = r
	case KindFinished, KindRevoked:
		a.ended = true
		// The entry knows first-hand that it wrote nothing, and the agent then
		// has no part to give.
		a.written = a.written && r.State != api.StageNotRun
	}
}

func missingParts(records []Record) []Gap {
	var gaps []Gap
	found, order := attempts(records)
	for _, id := range order {
		gaps = append(gaps, found[id].gaps(id)...)
	}
	admitted, ended := false, false
	for i := range records {
		admitted = admitted || records[i].Kind == KindAdmitted
		ended = ended || records[i].Kind == KindFinal
	}
	if !admitted {
		gaps = append(gaps, Gap{Missing: "no process that answered has admitted the request"})
	}
	if !ended {
		gap := Gap{Missing: "no process that answered has told its caller the outcome"}
		if len(records) > 0 {
			gap.After = records[len(records)-1].At
		}
		gaps = append(gaps, gap)
	}
	return gaps
}

func (a *attemptParts) gaps(id attemptID) []Gap {
	var gaps []Gap
	if a.routed != nil && a.agent == nil && a.written {
		gaps = append(gaps, Gap{
			After:   a.routed.At,
			Process: a.routed.Endpoint,
			Stage:   id.stage,
			Attempt: id.attempt,
			Missing: "the agent's part of this attempt",
		})
	}
	if a.routed == nil && a.agent != nil {
		gaps = append(gaps, Gap{
			After:   a.agent.At,
			Process: id.entry,
			Stage:   id.stage,
			Attempt: id.attempt,
			Missing: "the entry's part of this attempt",
		})
	}
	if a.agent != nil && !a.ended {
		gaps = append(gaps, Gap{
			After:   a.agent.At,
			Process: a.agent.Process,
			Stage:   id.stage,
			Attempt: id.attempt,
			Missing: "the end of this attempt",
		})
	}
	return gaps
}

// interleave puts each gap behind the last record that is not after it, and
// gaps without a time at the end.
func interleave(records []Record, gaps []Gap) []Line {
	lines := make([]Line, 0, len(records)+len(gaps))
	placed := make([]bool, len(gaps))
	for i := range records {
		lines = append(lines, Line{Record: &records[i]})
		for j := range gaps {
			due := !gaps[j].After.IsZero() && gaps[j].After.Equal(records[i].At)
			if due && !placed[j] {
				placed[j] = true
				lines = append(lines, Line{Gap: &gaps[j]})
			}
		}
	}
	for j := range gaps {
		if !placed[j] {
			lines = append(lines, Line{Gap: &gaps[j]})
		}
	}
	return lines
}

// evidence is what bears on the outcome.
type evidence struct {
	final *Record
	// started is an agent's first-hand word that a stage was written to its endpoint.
	started *Record
	// denied is such a record of a sending whose caller was told that it did not run.
	denied  *Record
	records int
}

func newEvidence(records []Record) evidence {
	e := evidence{records: len(records)}
	for i := range records {
		r := &records[i]
		if r.Kind == KindFinal {
			e.final = stronger(e.final, r)
		}
		if r.Kind != KindStarted || provedUnwritten(records, r) {
			continue
		}
		if e.started == nil {
			e.started = r
		}
		if denies(records, r) {
			e.denied = r
		}
	}
	return e
}

// denies tells whether the caller of a started call's own sending was told that
// it did not run. A request ID that was fetched beforehand can be sent several
// times, and one sending's true "refused" is no denial of another that ran.
func denies(records []Record, started *Record) bool {
	for i := range records {
		r := &records[i]
		same := r.Entry == "" || r.Entry == started.Entry
		if r.Kind == KindFinal && r.Outcome == api.OutcomeRefused && same {
			return true
		}
	}
	return false
}

// stronger chooses between the outcomes of two sendings of one request. An
// answer stands whatever the other got; "refused" gives way to all others,
// because the request as a whole did not stay unrun.
func stronger(a, b *Record) *Record {
	if a == nil {
		return b
	}
	rank := map[api.Outcome]int{
		api.OutcomeAnswered: 3,
		api.OutcomeCutShort: 2,
		api.OutcomeUnknown:  1,
		api.OutcomeRefused:  0,
	}
	if rank[b.Outcome] >= rank[a.Outcome] {
		return b
	}
	return a
}

// provedUnwritten tells whether the agent later proved that the call it had
// begun did not reach the endpoint after all.
func provedUnwritten(records []Record, started *Record) bool {
	for i := range records {
		r := &records[i]
		same := r.Process == started.Process && r.Entry == started.Entry &&
			r.Stage == started.Stage && r.Attempt == started.Attempt
		if same && r.Kind == KindRefused && r.State == api.StageNotRun {
			return true
		}
	}
	return false
}

// judge gives the verdict. That nothing was found proves nothing: records are
// bounded and processes come and go, so "refused" rests on a record that says
// so, never on the want of one.
func (s *Story) judge(e evidence) {
	switch {
	case e.final == nil && e.started != nil:
		s.Outcome = api.OutcomeUnknown
		s.Verdict = fmt.Sprintf("unknown: stage %s ran on %s, and no process that answered knows the outcome",
			e.started.Stage, e.started.Endpoint)
	case e.final == nil && e.records > 0:
		s.Outcome = api.OutcomeUnknown
		s.Verdict = "unknown: the records that were found do not tell the outcome"
	case e.final == nil:
		s.Outcome = api.OutcomeUnknown
		s.Verdict = "unknown: no process that answered has a record of it, which does not tell whether it ran"
	case e.final.Outcome == api.OutcomeRefused && e.denied != nil:
		s.Outcome = api.OutcomeUnknown
		s.Contradicted = true
		s.Verdict = fmt.Sprintf("contradicted: %s told its caller that it did not run, but %s ran stage %s",
			e.final.Process, e.denied.Endpoint, e.denied.Stage)
	case e.final.Outcome == api.OutcomeRefused && e.started != nil:
		s.Outcome = api.OutcomeUnknown
		s.Verdict = fmt.Sprintf("unknown: %s refused a sending, but stage %s of another ran on %s, and no process that answered knows its outcome",
			e.final.Process, e.started.Stage, e.started.Endpoint)
	default:
		s.Outcome = e.final.Outcome
		s.Verdict = fmt.Sprintf("%s: as %s told its caller", e.final.Outcome, e.final.Process)
		if e.final.Reason != "" {
			s.Verdict += " (" + string(e.final.Reason) + ")"
		}
	}
	if !s.Complete && !s.Contradicted {
		s.Verdict += "; parts of the account are missing"
	}
}
