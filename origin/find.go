package origin

import (
	"context"
	"slices"
	"time"

	"github.com/mangostage/mangostage/fleet"
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
		f.Origin = c.settled(ctx, call.Stream, f)
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
func (c *Client) settled(ctx context.Context, s Stream, f Finding) Origin {
	c.Await(ctx, f.proof)
	if r, ok := c.table.Find(time.Now(), s); ok && r.Proof.IsZero() {
		return r.Origin
	}
	o := f.Origin
	o.Unclear = o.Unclear || !f.proof.Holds(c.cfg.View(), o)
	return o
}

// find asks this process first, then the members that are to hold the stream, then all
// others.
func (c *Client) find(ctx context.Context, now time.Time, call askCall) Finding {
	if f := finding(now, c.answer(now, call), ""); f.Verdict != Unknown {
		return f
	}
	first, rest := splitKeepers(call.Stream, c.currentKeepers())
	var all answers
	c.askAll(ctx, now, first, call, &all)
	if all.known == nil {
		c.askAll(ctx, now, rest, call, &all)
	}
	return all.best()
}

// splitKeepers returns the members that are to hold a stream and the others. One more than
// copies are the first: the member that began the stream is not among those that it told.
func splitKeepers(s Stream, keepers []fleet.Keeper) (first, rest []fleet.Keeper) {
	var names []string
	for _, k := range keepers {
		if !k.Leaving {
			names = append(names, k.Name)
		}
	}
	holders := firstHolders(s, names, copies+1)
	for _, k := range keepers {
		if slices.Contains(holders, k.Name) {
			first = append(first, k)
		} else {
			rest = append(rest, k)
		}
	}
	return first, rest
}

// answer returns what this process knows.
func (c *Client) answer(now time.Time, call askCall) askReply {
	if call.Stream != 0 {
		if r, ok := c.table.Find(now, call.Stream); ok {
			return askReply{Origin: r.Origin, Proof: tellProof(now, r.Proof), Known: true, Age: now.Sub(r.Learned), Left: r.Until.Sub(now)}
		}
	}
	seen, ok := c.cfg.SeenSince()
	if !ok {
		return askReply{}
	}
	sole, ok := c.history.Sole(now, seen, call.Route, min(call.Lifetime, MaxLifetime))
	return askReply{Origin: sole, Sole: ok, Age: now.Sub(seen)}
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

// answers collects the findings of members.
type answers struct {
	asked int
	// known and sole are the first findings of these verdicts.
	known, sole *Finding
	// contradicted is true if members name different sole origins: none knows enough.
	contradicted, unreached bool
}

// add adds a finding.
func (a *answers) add(f Finding) {
	switch f.Verdict {
	case Known:
		a.known = &f
	case Sole:
		a.contradicted = a.contradicted || a.sole != nil && a.sole.Origin != f.Origin
		a.sole = &f
	case Unreached:
		a.unreached = true
	}
}

// best returns what the findings say together.
func (a *answers) best() Finding {
	best := Finding{Verdict: Unknown}
	switch {
	case a.known != nil:
		best = *a.known
	case a.sole != nil && !a.contradicted:
		best = *a.sole
	case a.unreached:
		best.Verdict = Unreached
	}
	best.Asked = a.asked
	return best
}

// askAll asks members at the same time, until one knows the stream.
func (c *Client) askAll(ctx context.Context, now time.Time, keepers []fleet.Keeper, call askCall, all *answers) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	findings := make(chan Finding, len(keepers))
	for _, k := range keepers {
		go func() { findings <- c.ask(ctx, now, k, call) }()
	}
	all.asked += len(keepers)
	for range keepers {
		all.add(<-findings)
		if all.known != nil {
			return
		}
	}
}

// ask asks one member.
func (c *Client) ask(ctx context.Context, now time.Time, k fleet.Keeper, call askCall) Finding {
	if k.Conn == nil {
		return Finding{Verdict: Unreached}
	}
	c.Counters.Add(countAsked, 1)
	var reply askReply
	if err := k.Conn.Call(ctx, MethodAsk, call, &reply); err != nil {
		return Finding{Verdict: Unreached}
	}
	return finding(now, reply, k.Name)
}
