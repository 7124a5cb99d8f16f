package ledger

import (
	"fmt"
	"sort"
	"time"

	"github.com/mangostage/mangostage/api"
)

// Part holds one process's records of a request.
type Part struct {
	Process string   `json:"process"`
	Records []Record `json:"records,omitempty"`
	// Missing is the reason why the process did not answer; empty if it did.
	Missing string `json:"missing,omitempty"`
}

// Timeline is the timeline of one request, merged from the parts of all processes
// that answered.
type Timeline struct {
	Request string `json:"request"`
	// Lines are the records in order of time, with gaps where records are missing.
	Lines   []Line      `json:"lines"`
	Outcome api.Outcome `json:"outcome"`
	// Complete is true if there are records and no gaps.
	Complete bool `json:"complete"`
	// Contradicted is true if the records of different processes contradict each
	// other: a caller was told that its submission did not run, and a stage of it ran.
	Contradicted bool `json:"contradicted,omitempty"`
	// Verdict is one sentence with the outcome and the evidence for it.
	Verdict string `json:"verdict"`
}

// Line is a record or a gap; exactly one is set.
type Line struct {
	Record *Record `json:"record,omitempty"`
	Gap    *Gap    `json:"gap,omitempty"`
}

// Gap is a piece of the timeline that is missing.
type Gap struct {
	// After is the time of the record that the gap follows; zero if the gap has no
	// place in time.
	After   time.Time `json:"after"`
	Process string    `json:"process,omitempty"`
	Stage   string    `json:"stage,omitempty"`
	Attempt int       `json:"attempt,omitempty"`
	Missing string    `json:"missing"`
}

// Merge merges the parts of several processes in order of time. Clocks of
// processes differ, so lines of different processes may be out of order by that
// difference; lines of one process never are.
func Merge(request string, parts ...Part) Timeline {
	s := Timeline{Request: request}
	records := dedupe(parts)
	gaps := unansweredGaps(parts)
	gaps = append(gaps, findGaps(records)...)
	s.Lines = interleave(records, gaps)
	s.Complete = len(gaps) == 0 && len(records) > 0
	s.setVerdict(newEvidence(records))
	return s
}

// dedupe returns the records of all parts in order of time without duplicates:
// an entry keeps copies of other processes' records.
func dedupe(parts []Part) []Record {
	var records []Record
	seen := make(map[Record]bool)
	for _, part := range parts {
		for _, r := range part.Records {
			key := r
			// Times decoded from the same text differ in their location pointers.
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

// unansweredGaps returns a gap for each process that did not answer.
func unansweredGaps(parts []Part) []Gap {
	var gaps []Gap
	for _, part := range parts {
		if part.Missing != "" {
			gaps = append(gaps, Gap{Process: part.Process, Missing: "did not answer: " + part.Missing})
		}
	}
	return gaps
}

// attemptID identifies one attempt of one stage in the records of all processes.
type attemptID struct {
	entry   string
	stage   string
	attempt int
}

// attemptParts holds what the records of one attempt show.
type attemptParts struct {
	// routed is the entry's record of the attempt; nil if missing.
	routed *Record
	// firstAgentRecord is the first record by the endpoint's agent; nil if there is none.
	firstAgentRecord *Record
	// maybeSent is false if the entry recorded that it did not send the call.
	maybeSent bool
	// ended is true if a record shows the end of the attempt.
	ended bool
}

// byAgent reports whether a record was made by the agent of its endpoint, whose
// process is named after the endpoint.
func (r *Record) byAgent() bool {
	return r.Kind == KindReceived || r.Kind == KindStarted || (r.Endpoint != "" && r.Process == r.Endpoint)
}

// attempts groups the records by attempt and returns the attempts with their IDs
// in order of first appearance.
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
			a = &attemptParts{maybeSent: true}
			found[id] = a
			order = append(order, id)
		}
		a.add(r)
	}
	return found, order
}

// add updates a with one record of the attempt.
func (a *attemptParts) add(r *Record) {
	if r.byAgent() {
		if a.firstAgentRecord == nil {
			a.firstAgentRecord = r
		}
		a.ended = a.ended || r.Kind == KindFinished || r.Kind == KindRefused
		return
	}
	switch r.Kind {
	case KindRouted:
		a.routed = r
	case KindFinished, KindRevoked:
		a.ended = true
		// Only the entry knows that it sent nothing; the agent then has no record.
		a.maybeSent = a.maybeSent && r.State != api.StageNotRun
	}
}

// findGaps returns the gaps in the records of all attempts, and gaps for a
// request whose admission or final outcome is not recorded.
func findGaps(records []Record) []Gap {
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

// gaps returns the gaps in the records of the attempt named id.
func (a *attemptParts) gaps(id attemptID) []Gap {
	var gaps []Gap
	if a.routed != nil && a.firstAgentRecord == nil && a.maybeSent {
		gaps = append(gaps, Gap{
			After:   a.routed.At,
			Process: a.routed.Endpoint,
			Stage:   id.stage,
			Attempt: id.attempt,
			Missing: "the agent's part of this attempt",
		})
	}
	if a.routed == nil && a.firstAgentRecord != nil {
		gaps = append(gaps, Gap{
			After:   a.firstAgentRecord.At,
			Process: id.entry,
			Stage:   id.stage,
			Attempt: id.attempt,
			Missing: "the entry's part of this attempt",
		})
	}
	if a.firstAgentRecord != nil && !a.ended {
		gaps = append(gaps, Gap{
			After:   a.firstAgentRecord.At,
			Process: a.firstAgentRecord.Process,
			Stage:   id.stage,
			Attempt: id.attempt,
			Missing: "the end of this attempt",
		})
	}
	return gaps
}

// interleave inserts each gap after the first record whose time is its After, and
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

// evidence holds the records that decide the outcome.
type evidence struct {
	// final is the preferred outcome among the submissions; nil if none is recorded.
	final *Record
	// started is the first record in which an agent reports that it started to
	// send a stage to its endpoint, unless the agent later reported that it was
	// not sent; nil if there is none.
	started *Record
	// startedButRefused is the last such record of a submission whose caller was
	// told that it did not run; nil if there is none.
	startedButRefused *Record
	// records is the number of records.
	records int
}

func newEvidence(records []Record) evidence {
	e := evidence{records: len(records)}
	for i := range records {
		r := &records[i]
		if r.Kind == KindFinal {
			e.final = preferredFinal(e.final, r)
		}
		if r.Kind != KindStarted || reportedNotSent(records, r) {
			continue
		}
		if e.started == nil {
			e.started = r
		}
		if callerToldNotRun(records, r) {
			e.startedButRefused = r
		}
	}
	return e
}

// callerToldNotRun reports whether the caller of the submission that started a
// call was told that it did not run. A request ID that was fetched beforehand can
// be submitted several times, and a correct "refused" for one submission does not
// contradict another one that ran.
func callerToldNotRun(records []Record, started *Record) bool {
	for i := range records {
		r := &records[i]
		same := r.Entry == "" || r.Entry == started.Entry
		if r.Kind == KindFinal && r.Outcome == api.OutcomeRefused && same {
			return true
		}
	}
	return false
}

// preferredFinal returns the record that decides the request's outcome when two
// submissions of it have ended. An answer takes precedence over all else;
// "refused" yields to every other outcome, because the request may have run. If
// both rank equally, preferredFinal returns b.
func preferredFinal(a, b *Record) *Record {
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

// reportedNotSent reports whether the agent later recorded that the call it had
// started did not reach the endpoint.
func reportedNotSent(records []Record, started *Record) bool {
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

// setVerdict sets Outcome, Verdict and Contradicted. A missing record proves
// nothing, because records are bounded and processes come and go: the outcome is
// "refused" only if a record says so, never because none was found.
func (s *Timeline) setVerdict(e evidence) {
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
	case e.final.Outcome == api.OutcomeRefused && e.startedButRefused != nil:
		s.Outcome = api.OutcomeUnknown
		s.Contradicted = true
		s.Verdict = fmt.Sprintf("contradicted: %s told its caller that it did not run, but %s ran stage %s",
			e.final.Process, e.startedButRefused.Endpoint, e.startedButRefused.Stage)
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
