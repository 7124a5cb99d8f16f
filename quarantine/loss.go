package quarantine

import (
	"fmt"
	"time"

	"github.com/mangostage/mangostage/quarantine/part"
)

// Content is the hash of what stays the same when a request comes again.
type Content uint64

// String returns the hash as logs show it.
func (c Content) String() string { return fmt.Sprintf("%016x", uint64(c)) }

// Verdict says what became of an endpoint whose connection broke. A verdict is only
// replaced by a higher one.
type Verdict int

// The verdicts.
const (
	// Pending means that it is not known yet.
	Pending Verdict = iota
	// Silent means that the endpoint's address does not answer: it is cut off or its VM is
	// down.
	Silent
	// Alive means that the process lives or ended as planned.
	Alive
	// Crashed means that the process has ended.
	Crashed
)

// String returns the verdict as logs show it.
func (v Verdict) String() string {
	switch v {
	case Pending:
		return "pending"
	case Silent:
		return "silent"
	case Alive:
		return "alive"
	case Crashed:
		return "crashed"
	}
	return "unknown"
}

// Evidence says what a verdict rests on.
type Evidence string

// The kinds of evidence.
const (
	// EvidenceTimeout means that the broken connection itself had timed out.
	EvidenceTimeout Evidence = "timeout"
	// EvidenceRefused, EvidenceAccepted and EvidenceNoAnswer are the results of a new
	// connection to the endpoint's address.
	EvidenceRefused  Evidence = "connection_refused"
	EvidenceAccepted Evidence = "connection_accepted"
	EvidenceNoAnswer Evidence = "connection_unanswered"
	// EvidenceUnlisted and EvidenceReplaced mean that the store lists no process, or
	// another one, under the endpoint's ID.
	EvidenceUnlisted Evidence = "unlisted"
	EvidenceReplaced Evidence = "replaced"
	// EvidencePlanned means that the endpoint had been leaving for as long as it had to
	// serve.
	EvidencePlanned Evidence = "planned_end"
)

// Endpoint is an endpoint to which a request was sent.
type Endpoint struct {
	// Key is the endpoint's Key, which differs for each process.
	Key     string
	Addr    string
	Service string
}

// Loss is the possible loss of an endpoint under a content. Members exchange losses; merging
// the same ones in any order gives the same result.
type Loss struct {
	Content Content `json:"content"`
	// Endpoint is the endpoint's Key.
	Endpoint string   `json:"endpoint"`
	Service  string   `json:"service"`
	Verdict  Verdict  `json:"verdict"`
	Evidence Evidence `json:"evidence,omitempty"`
	// Request is the request whose connection broke.
	Request string `json:"request,omitempty"`
	// RanFor is the time from the sending of the request to the break.
	RanFor time.Duration `json:"ran_for_ns,omitempty"`
	// Answers is the number of complete answers that forgive the loss.
	Answers int `json:"answers,omitempty"`
	// Trial is true if the run was a trial of quarantined content.
	Trial bool `json:"trial,omitempty"`
	// Served is true if the content was answered shortly before.
	Served bool `json:"served,omitempty"`
	// ServiceLost is true if no endpoint of the service was left.
	ServiceLost bool `json:"service_lost,omitempty"`
	// Parts are the parts of the request's prompt that other requests may share.
	Parts []part.ID `json:"parts,omitempty"`
	// PartTrial is true if the run was a trial of blamed parts.
	PartTrial bool `json:"part_trial,omitempty"`
	// Answered are those of the parts that the member had answered, and ServiceAnswered is how
	// long before the break the service had last given it a complete answer; 0 if never.
	Answered        []part.Answered `json:"answered_parts,omitempty"`
	ServiceAnswered time.Duration   `json:"service_answered_ns,omitempty"`
	// Age is the time since the break. It is relative because members' clocks differ.
	Age time.Duration `json:"age_ns"`
}

// crash returns the loss as the crash of an endpoint under the parts of a prompt.
func (l *Loss) crash(now time.Time) part.Crash {
	return part.Crash{
		Endpoint: l.Endpoint, Service: l.Service, Content: uint64(l.Content), Request: l.Request, Parts: l.Parts,
		Answered: l.Answered, ServiceAnswered: l.ServiceAnswered, Trial: l.PartTrial, RanFor: l.RanFor, At: now.Add(-l.Age),
	}
}

// lossOf returns the crash of an endpoint under the parts of a prompt as a loss.
func lossOf(now time.Time, c part.Crash) Loss {
	return Loss{
		Content: Content(c.Content), Endpoint: c.Endpoint, Service: c.Service, Verdict: Crashed, Request: c.Request, Parts: c.Parts,
		PartTrial: c.Trial, Answered: c.Answered, RanFor: c.RanFor, Age: max(0, now.Sub(c.At)),
	}
}

// loss is a Loss with the time of the break by this process's clock; its Age is not used.
type loss struct {
	Loss
	at time.Time
	// shared is true if other members may know the loss.
	shared bool
	// whole is true if the answer was complete, unless the endpoint crashed.
	whole bool
}

// export returns the loss for another member.
func (l *loss) export(now time.Time) Loss {
	l.shared = true
	out := l.Loss
	out.Age = max(0, now.Sub(l.at))
	return out
}

// weight is what is left of the loss after the answers that forgive it, in answers.
func (l *loss) weight() int { return max(0, answersToForgive-l.Answers) }

// merge merges what another member knows of the same loss and reports whether it was news.
func (l *loss) merge(other Loss, at time.Time) bool {
	before := l.findings()
	if other.Verdict > l.Verdict {
		l.Verdict, l.Evidence = other.Verdict, other.Evidence
	}
	l.Answers = max(l.Answers, min(other.Answers, answersToForgive))
	l.RanFor = max(l.RanFor, other.RanFor)
	l.Trial = l.Trial || other.Trial
	l.Served = l.Served || other.Served
	l.ServiceLost = l.ServiceLost || other.ServiceLost
	if at.Before(l.at) {
		// Each message adds its delay; ages that travel in a circle must not shrink.
		l.at = at
	}
	if len(l.Parts) == 0 {
		l.Parts, l.PartTrial = other.Parts, other.PartTrial
		l.Answered, l.ServiceAnswered = other.Answered, other.ServiceAnswered
	}
	return l.findings() != before
}

// findings are what members may know more or less of.
type findings struct {
	verdict                    Verdict
	answers                    int
	ranFor                     time.Duration
	trial, served, serviceLost bool
}

func (l *loss) findings() findings {
	return findings{
		verdict: l.Verdict, answers: l.Answers, ranFor: l.RanFor, trial: l.Trial, served: l.Served, serviceLost: l.ServiceLost,
	}
}
