package origin

import (
	"context"
	"time"

	"github.com/mangostage/mangostage/fleet"
)

// Prove reports whether the entry in the view is that of the process of a Proof, or of a later one:
// as Await does if mayWait is true, or by what other members know. These are asked at once while
// the store is known not to answer this process, else after Await; asked says that it was them who
// knew.
func (c *Client) Prove(ctx context.Context, p Proof, mayWait bool) (sure, asked bool) {
	timeout := askTimeout
	switch {
	case !mayWait:
	case c.cfg.StoreSilent():
		timeout = settleTime + proofTimeout
	case c.Await(ctx, p):
		return true, false
	}
	sure = c.serves(p) || c.askVouchers(ctx, p, timeout)
	return sure, sure
}

// askVouchers asks all other members at the same time whether they vouch for the process of a Proof.
func (c *Client) askVouchers(ctx context.Context, p Proof, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	keepers := c.currentKeepers()
	vouched := make(chan bool, len(keepers))
	for _, k := range keepers {
		go func() { vouched <- c.askVoucher(ctx, k, p) }()
	}
	for range keepers {
		if <-vouched {
			return true
		}
	}
	return false
}

// askVoucher asks another member whether it vouches for the process of a Proof.
func (c *Client) askVoucher(ctx context.Context, k fleet.Keeper, p Proof) bool {
	if k.Conn == nil {
		return false
	}
	c.Counters.Add(countAskedVouch, 1)
	var reply vouchReply
	return k.Conn.Call(ctx, MethodVouch, tellProof(time.Now(), p), &reply) == nil && reply.Vouches
}

// vouches reports whether this process knows that the process of a Proof is the one that the list
// names: it serves, or the list is sure to have the entry.
func (c *Client) vouches(ctx context.Context, p Proof) bool {
	if c.serves(p) {
		return true
	}
	return !c.cfg.StoreSilent() && c.Await(ctx, p) && c.cfg.View().Endpoint(p.Endpoint) != nil
}

// serves reports whether the process of a Proof serves since before the view was sure to have its
// entry: a connection of this process, older than that and than the one of the Proof, is still
// open. It needs no answer of the store. The list must still name the process: a connection that
// was opened while the entry was late leads to the next one.
func (c *Client) serves(p Proof) bool {
	if c.cfg.View().Endpoint(p.Endpoint) == nil {
		return false
	}
	// A message takes time, by which the connection of the Proof looks younger.
	before := p.Opened.Add(-settleTime)
	if settled := c.SettledBefore(); settled.Before(before) {
		before = settled
	}
	return c.cfg.Serves(p.Endpoint, before)
}
