package quarantine

import (
	"time"

	"github.com/mangostage/mangostage/quarantine/part"
)

// maxEvidence bounds the crashes of blamed parts that one member tells another at once.
const maxEvidence = 64

// partNote tells other members of an answer to a part or, if Trial is set, of a trial.
type partNote struct {
	Part    part.ID `json:"part"`
	Service string  `json:"service,omitempty"`
	// AnsweredAgo is the time since the answer. It is relative because members' clocks differ.
	AnsweredAgo time.Duration `json:"answered_ago_ns,omitempty"`
	// Trial is the run of a trial, TrialLeft the time in which it ends.
	Trial     string        `json:"trial,omitempty"`
	TrialLeft time.Duration `json:"trial_left_ns,omitempty"`
}

// applyNote records a note from the member of that name and reports whether it was news.
func (c *Client) applyNote(n partNote, from string) bool {
	now := time.Now()
	if n.Trial != "" {
		return c.parts.NoteTrial(now, n.Part, n.Trial, n.TrialLeft)
	}
	isNew := c.parts.Merge(now, part.Answer{Part: n.Part, Service: n.Service, At: now.Add(-max(0, n.AnsweredAgo))})
	c.logPartChanges(from)
	return isNew
}

// recordPartCrash records the crash of an endpoint under the parts of a prompt, which the member
// of that name has told, and reports whether it was news.
func (c *Client) recordPartCrash(l Loss, from string) bool {
	if l.Verdict != Crashed {
		return false
	}
	now := time.Now()
	isNew, tell := c.parts.RecordCrash(now, l.crash(now))
	c.tellAnswers(now, tell, "")
	if c.parts.Explains(l.Endpoint) {
		c.excuse(l.Endpoint)
	}
	if isNew {
		c.logPartChanges(from)
	}
	return isNew
}

// recordPartAnswer records a complete answer to the parts of a prompt.
func (c *Client) recordPartAnswer(s Subject, request string) {
	now := time.Now()
	tell := c.parts.RecordAnswer(now, s.Service, s.Parts)
	c.tellAnswers(now, tell, request)
	if !c.parts.Empty() {
		c.logPartChanges("")
	}
}

// tellAnswers tells the other members of answers to parts that they may suspect.
func (c *Client) tellAnswers(now time.Time, answers []part.Answer, request string) {
	if len(answers) == 0 {
		return
	}
	notes := make([]partNote, 0, len(answers))
	ids := make([]part.ID, 0, len(answers))
	for _, a := range answers {
		notes = append(notes, partNote{Part: a.Part, Service: a.Service, AnsweredAgo: max(0, now.Sub(a.At))})
		ids = append(ids, a.Part)
	}
	c.Counters.Add(countAnswersTold, int64(len(notes)))
	c.log.Info().Str("event", logPartsAnswered).Str("request", request).Strs("parts", part.Texts(ids)).
		Str("service", answers[0].Service).Msg("parts under which endpoints were lost are answered")
	c.tell(notes)
}

// tellTrial tells the other members of a trial of blamed parts, so that no owner grants a second
// one.
func (c *Client) tellTrial(run *Run) {
	deadline := time.Until(run.began.Add(run.left))
	var notes []partNote
	for _, id := range run.triedParts {
		notes = append(notes, partNote{Part: id, Trial: run.id, TrialLeft: deadline})
	}
	c.tell(notes)
}

func (c *Client) tell(notes []partNote) {
	if len(notes) > 0 && c.cfg.Fleet != nil {
		c.notes.SpreadAll(notes)
	}
}

// begin decides on a run by what is known here.
func (c *Client) begin(now time.Time, call beginCall) Permission {
	latest := now.Add(call.Left)
	ofParts := c.parts.Begin(now, call.Service, call.Parts, call.Run, latest)
	switch ofParts.Outcome {
	case part.Refused:
		return Permission{Outcome: Refused, Parts: c.parts.Judge(now, call.Service, call.Parts).Blamed, RetryAfter: ofParts.RetryAfter}
	case part.Waiting:
		return Permission{Outcome: Waiting}
	case part.Granted:
	}
	p := c.table.Begin(now, call.Content, call.Run, latest)
	if p.Outcome != Granted {
		c.parts.Cancel(call.Parts, call.Run)
		return p
	}
	p.Parts = ofParts.Trial
	return p
}

// end ends a run that begin granted.
func (c *Client) end(note endNote) {
	c.table.End(note.Content, note.Run)
	c.parts.End(time.Now(), note.Parts, note.Run, note.Answered)
}

// lossesOf returns what is known of a content and of the blamed ones among parts, for another
// member.
func (c *Client) lossesOf(now time.Time, content Content, parts []part.ID) []Loss {
	losses := c.table.Losses(now, content)
	for _, crash := range c.parts.Evidence(parts, maxEvidence) {
		losses = append(losses, lossOf(now, crash))
	}
	return losses
}

// known returns up to most losses for a member that knows none, those for which parts are
// blamed first.
func (c *Client) known(most int) []Loss {
	now := time.Now()
	var losses []Loss
	for _, crash := range c.parts.Evidence(nil, most) {
		losses = append(losses, lossOf(now, crash))
	}
	return append(losses, c.table.Known(now, most-len(losses))...)
}

// excuse forgives the content that ran on an endpoint which a blamed part has crashed.
func (c *Client) excuse(endpoint string) {
	if n := c.table.Excuse(time.Now(), endpoint); n > 0 {
		c.Counters.Add(logExcused, int64(n))
		c.log.Info().Str("event", logExcused).Str("endpoint", endpoint).Int("contents", n).Msg("a blamed part explains why the endpoint crashed")
	}
}

// logPartChanges logs which parts are blamed now or no longer, and excuses the content that ran
// beside them; from is the member that told of the cause.
func (c *Client) logPartChanges(from string) {
	for _, change := range c.parts.TakeChanges() {
		was, now := standingSuspect, standingBlamed
		if !change.Blamed {
			was, now = standingBlamed, standingSuspect
		}
		c.Counters.Add(logPartStanding+" "+now, 1)
		c.log.Warn().Str("event", logPartStanding).Stringer("part", change.Part).Str("was", was).Str("now", now).
			Int("crashes", len(change.Endpoints)).Strs("endpoints", change.Endpoints).Strs("blamed_with", part.Texts(change.Others)).
			Dur("spread_ms", change.Spread).Dur("answered_ago_ms", change.AnsweredAgo).Dur("trial_in_ms", change.TrialIn).Str("from", from).
			Msg("the standing of a part of prompts has changed")
		if !change.Blamed {
			continue
		}
		for _, endpoint := range change.Endpoints {
			c.excuse(endpoint)
		}
	}
}
