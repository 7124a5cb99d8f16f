package quarantine

import (
	"context"
	"sync"
	"time"

	"github.com/mangostage/mangostage/internal/sleep"
)

const (
	// flushDelay is the time in which losses are collected that are told together.
	flushDelay = 5 * time.Millisecond
	// repeatAfter is when a loss is told again: the first message may have gone to an owner
	// that has just ended, or to none.
	repeatAfter = time.Second
	// tellings is how often each loss is told.
	tellings = 3
	// maxOutgoing bounds the losses of an outbox.
	maxOutgoing = maxContents
)

// outbox holds losses to be told to the other members.
type outbox struct {
	// wake wakes the sender when a loss is added.
	wake chan struct{}

	mu     sync.Mutex
	losses map[lossKey]outgoing
}

// lossKey identifies a loss.
type lossKey struct {
	content  Content
	endpoint string
}

// outgoing is a loss to be told.
type outgoing struct {
	loss Loss
	// since is when the loss had its Age, next when it is told next, and left how often.
	since, next time.Time
	left        int
}

// add adds a loss.
func (o *outbox) add(l Loss, now time.Time) {
	o.mu.Lock()
	if o.losses == nil {
		o.losses = make(map[lossKey]outgoing)
	}
	if len(o.losses) < maxOutgoing {
		o.losses[lossKey{l.Content, l.Endpoint}] = outgoing{loss: l, since: now, next: now, left: tellings}
	}
	o.mu.Unlock()
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// due returns the losses to be told now, with their present ages, and whether any are left
// for later.
func (o *outbox) due(now time.Time) (due []Loss, more bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for key, out := range o.losses {
		if now.Before(out.next) {
			continue
		}
		l := out.loss
		l.Age += now.Sub(out.since)
		due = append(due, l)
		out.next = now.Add(repeatAfter)
		if out.left--; out.left == 0 {
			delete(o.losses, key)
			continue
		}
		o.losses[key] = out
	}
	return due, len(o.losses) > 0
}

// Run sends what this process has learned to the other members until ctx ends.
func (c *Client) Run(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-c.outbox.wake:
		}
		for more := true; more && ctx.Err() == nil; {
			sleep.For(ctx, flushDelay)
			more = c.flush()
			if more {
				c.awaitOutbox(ctx)
			}
		}
	}
}

// awaitOutbox waits until a loss is added, or one is told again.
func (c *Client) awaitOutbox(ctx context.Context) {
	timer := time.NewTimer(repeatAfter)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-c.outbox.wake:
	case <-timer.C:
	}
}

// flush tells the other members what is due and reports whether any is left for later.
func (c *Client) flush() (more bool) {
	due, more := c.outbox.due(time.Now())
	if len(due) > 0 && c.cfg.Fleet != nil {
		c.topic.SpreadAll(due)
	}
	return more
}
