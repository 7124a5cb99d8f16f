package origin

import (
	"context"
	"time"

	"github.com/mangostage/mangostage/internal/sleep"
)

// Question is what is asked of a stream.
type Question struct {
	// Route is the route of the request that takes the stream up.
	Route string `json:"route"`
	// Lifetime is how long ago the stream can have begun.
	Lifetime time.Duration `json:"lifetime_ns"`
}

// Verdict says what was found out of a stream.
type Verdict string

const (
	// Known means that a member knows the stream.
	Known Verdict = "known"
	// Sole means that nobody knows the stream, and that it can have had one origin only.
	Sole Verdict = "sole"
	// Unknown means that nobody knows the stream.
	Unknown Verdict = "unknown"
	// Unreached means that nobody who answered knows the stream, and some did not answer.
	Unreached Verdict = "unreached"
	// unseen means that a process has not seen all origins for as long as the stream can have
	// lived.
	unseen Verdict = "unseen"
)

// Finding is the answer to a Question.
type Finding struct {
	Verdict Verdict
	// Origin is set if it is Known or Sole.
	Origin Origin
	// From is the member that said so, empty for this process, and Age how long it has known.
	From string
	Age  time.Duration
	// Asked is the number of members that were asked.
	Asked int
	// until is until when the stream is held, proof what has to be looked at before Origin is
	// believed.
	until time.Time
	proof Proof
}

// Find finds the origin of the stream that an attempt began; the attempt is empty if the
// client does not name it. request is the request that takes the stream up.
func (c *Client) Find(ctx context.Context, request, attempt string, q Question) Finding {
	began := time.Now()
	call := askCall{Question: q}
	if attempt != "" {
		call.Stream = StreamOf(attempt)
	}
	f := c.find(ctx, began, call)
	if f.Verdict == Known && f.From != "" {
		c.table.Add(began, call.Stream, Record{Origin: f.Origin, Proof: f.proof, Learned: began, From: f.From, Until: f.until})
	}
	if !f.proof.IsZero() {
		f.Origin, f.Verdict = c.settled(ctx, call.Stream, f)
	}
	c.Counters.Add(logFound+" "+string(f.Verdict), 1)
	c.cfg.Log.Info().Str("event", logFound).Str("request", request).Str("stream", attempt).Str("route", q.Route).
		Str("verdict", string(f.Verdict)).Str("service", f.Origin.Service).Str("version", f.Origin.Version).
		Bool("unclear", f.Origin.Unclear).Str("from", f.From).Dur("age_ms", f.Age).Int("asked", f.Asked).
		Dur("view_age_ms", began.Sub(c.cfg.AsOf())).
		Dur("took_ms", time.Since(began)).Msg("the origin of a stream that a client takes up")
	return f
}

// settled returns the origin once it is known whether to believe it: the member that began the
// stream tells, or else this process looks.
func (c *Client) settled(ctx context.Context, s Stream, f Finding) (Origin, Verdict) {
	sure := c.Await(ctx, f.proof) || c.serves(f.proof) || c.askVouchers(ctx, f.proof, askTimeout)
	if r, ok := c.table.Find(time.Now(), s); ok && r.Proof.IsZero() {
		return r.Origin, Known
	}
	if !sure {
		return f.Origin, Unreached
	}
	o := f.Origin
	o.Unclear = o.Unclear || !f.proof.Holds(c.cfg.View(), o)
	return o, Known
}

// find asks this process, then the members that are to hold the stream, then all others. What
// nobody knows goes on only if there was one origin that it can have had. Members that do not
// answer are asked again: a process that was paused hears of them only after a moment.
func (c *Client) find(ctx context.Context, now time.Time, call askCall) Finding {
	if f := finding(now, c.answer(ctx, now, call), ""); f.Verdict != Unknown {
		return f
	}
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	all := c.askEverybody(ctx, now, call)
	if all.known != nil {
		return all.best()
	}
	sole, verdict := c.proveSole(ctx, now, call)
	switch verdict {
	case Sole:
		return Finding{Verdict: Sole, Origin: sole, Asked: all.asked}
	case Unreached, unseen:
		all.addProofs(c.askForProof(ctx, now, call))
		all.unreached = all.unreached || verdict == Unreached
	}
	for all.known == nil && all.sole == nil && all.unreached && sleep.For(ctx, keepersTTL) {
		again := c.askEverybody(ctx, now, call)
		all.known, all.unreached = again.known, again.unreached || verdict == Unreached
	}
	return all.best()
}

// askEverybody asks all members whether they know a stream, those first that are to hold it.
func (c *Client) askEverybody(ctx context.Context, now time.Time, call askCall) answers {
	all := answers{unreached: c.missesOthers()}
	if call.Stream == 0 {
		return all
	}
	first, rest := splitKeepers(call.Stream, c.currentKeepers())
	c.askAll(ctx, now, first, call, askTimeout, &all)
	if all.known == nil {
		c.askAll(ctx, now, rest, call, askTimeout, &all)
	}
	return all
}

// askForProof asks a few members whether there is one origin that a stream can have had. This
// process cannot tell: it does not reach the store, or has started lately.
func (c *Client) askForProof(ctx context.Context, now time.Time, call askCall) answers {
	var all answers
	call.Prove = true
	few, _ := splitKeepers(call.Stream, c.currentKeepers())
	c.askAll(ctx, now, few, call, askTimeout+settleTime+proofTimeout, &all)
	return all
}

// answer returns what this process knows.
func (c *Client) answer(ctx context.Context, now time.Time, call askCall) askReply {
	if call.Stream != 0 {
		if r, ok := c.table.Find(now, call.Stream); ok {
			return askReply{Origin: r.Origin, Proof: tellProof(now, r.Proof), Known: true, Age: now.Sub(r.Learned), Left: r.Until.Sub(now)}
		}
	}
	if !call.Prove {
		return askReply{}
	}
	sole, verdict := c.proveSole(ctx, now, call)
	return askReply{Origin: sole, Sole: verdict == Sole}
}

// finding returns the finding that a member's answer makes.
func finding(now time.Time, r askReply, from string) Finding {
	f := Finding{Verdict: Unknown, Origin: r.Origin, From: from, Age: r.Age}
	switch {
	case r.Known:
		f.Verdict, f.until, f.proof = Known, now.Add(r.Left), r.Proof.proof(now)
	case r.Sole:
		f.Verdict = Sole
	}
	return f
}
