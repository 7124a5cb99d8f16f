package origin

import (
	"context"
	"slices"
	"time"

	"github.com/mangostage/mangostage/fleet"
)

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

// addProofs adds what members have proved.
func (a *answers) addProofs(proofs answers) {
	a.known, a.sole, a.contradicted = proofs.known, proofs.sole, proofs.contradicted
	a.asked += proofs.asked
	a.unreached = a.unreached || proofs.unreached
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

// askAll asks members at the same time, until one knows the stream or the timeout is over.
func (c *Client) askAll(ctx context.Context, now time.Time, keepers []fleet.Keeper, call askCall, timeout time.Duration, all *answers) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
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
