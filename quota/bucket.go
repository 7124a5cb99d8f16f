package quota

import "time"

// burstTime is the time for which a bucket collects tokens, beyond the first one.
const burstTime = 250 * time.Millisecond

// bucket is a token bucket. Its zero value is empty. Tokens are negative while
// they are reserved in advance.
type bucket struct {
	tokens float64
	at     time.Time
}

// refill adds the tokens of the time since the last refill at a rate per second,
// but none for the time before since, when this process spent none.
func (b *bucket) refill(now time.Time, rate float64, since time.Time) {
	if b.at.Before(since) {
		b.tokens, b.at = 0, since
	}
	if passed := now.Sub(b.at); passed > 0 {
		b.tokens += rate * passed.Seconds()
		b.at = now
	}
	b.tokens = min(b.tokens, 1+rate*burstTime.Seconds())
}

// wait returns how long it takes until n tokens are there; rate must be positive.
func (b *bucket) wait(n, rate float64) time.Duration {
	if b.tokens >= n {
		return 0
	}
	return time.Duration((n - b.tokens) / rate * float64(time.Second))
}
