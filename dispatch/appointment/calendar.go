// Package appointment keeps the times at which refused clients were told to come back,
// as amounts of promised work in small slices of time. It names no client: a client that
// comes back takes any appointment of its priority that is due. A Calendar is of fixed
// size, whatever the number of refusals, and a new one is empty.
package appointment

import (
	"math"
	"time"
)

const (
	// SliceWidth is the length of one slice, sliceCount the number of slices.
	SliceWidth = 50 * time.Millisecond
	sliceCount = 128
	// Grace is the time for which an appointment is kept after its slice: clients are a
	// round trip late.
	Grace       = graceSlices * SliceWidth
	graceSlices = 6
	// Horizon is how far ahead appointments are made at most.
	Horizon = (sliceCount - graceSlices) * SliceWidth
	// earlySlices is how many slices early a client may come.
	earlySlices = 2
	// Priorities is the number of priorities that are told apart; all others count as
	// the least urgent of them. Each has two ranks, see RankOf.
	Priorities = 8
	rankCount  = 2 * Priorities
)

// Rank orders promised work; the smallest goes first.
type Rank int

// RankOf returns the rank of a client: first by priority, 0 being the most urgent; among
// equals those that were refused before and have waited longer.
func RankOf(priority int, refusedBefore bool) Rank {
	rank := 2*Class(priority) + 1
	if refusedBefore {
		rank--
	}
	return Rank(rank)
}

// Class returns the priority as it is told apart, from 0 to Priorities-1.
func Class(priority int) int { return min(max(0, priority), Priorities-1) }

// promise is the promised work of one rank in one slice.
type promise struct {
	count int
	work  float64
}

// Calendar is the promised work of one service. The zero value is empty; it is not safe
// for concurrent use.
type Calendar struct {
	slices [sliceCount][rankCount]promise
	// first is the number of the oldest slice that is kept; slice n is at n%sliceCount.
	first int64
	// pending is the number of appointments in slices.
	pending int
	counts  Counts
}

// Counts are the appointments made, kept and missed since the start.
type Counts struct {
	Made   int `json:"made"`
	Kept   int `json:"kept"`
	Missed int `json:"missed"`
}

// Plus returns the sum of two counts.
func (c Counts) Plus(o Counts) Counts {
	return Counts{Made: c.Made + o.Made, Kept: c.Kept + o.Kept, Missed: c.Missed + o.Missed}
}

// Request asks for room for one client.
type Request struct {
	Rank Rank
	// Work is what the client needs, and Ahead what is queued before it, in pieces.
	Work, Ahead float64
	// Rate is the forecast rate of the room, in pieces per second.
	Rate float64
	// Latest is the longest pause that the client can use.
	Latest time.Duration
}

// Book returns the time after which there will be room, at most Horizon. It is an
// appointment, which booked says, only if it is within the horizon and not later than
// the client can use.
func (c *Calendar) Book(now time.Time, r Request) (after time.Duration, booked bool) {
	c.advance(now)
	r.Rank = min(max(0, r.Rank), rankCount-1)
	r.Work, r.Ahead, r.Rate = finite(r.Work), finite(r.Ahead), finite(r.Rate)
	if r.Rate == 0 {
		return Horizon, false
	}
	at, ok := c.findSlice(now, r)
	if !ok {
		return Horizon, false
	}
	after = startOf(at).Sub(now)
	if after > r.Latest {
		return after, false
	}
	p := &c.slices[at%sliceCount][r.Rank]
	p.count++
	p.work += r.Work
	c.pending++
	c.counts.Made++
	return after, true
}

// finite returns a number if it is positive and finite, else 0.
func finite(x float64) float64 {
	if x > 0 && !math.IsInf(x, 1) {
		return x
	}
	return 0
}

// findSlice returns the number of the first slice at whose start all work that goes
// before is done, and in which the clients that come at once still fit.
func (c *Calendar) findSlice(now time.Time, r Request) (int64, bool) {
	before := r.Ahead
	current := sliceOf(now)
	for i := c.first; i < current; i++ {
		before += c.workUpTo(i, r.Rank)
	}
	for i := current + 1; i < c.first+sliceCount; i++ {
		before += c.workUpTo(i-1, r.Rank)
		here := c.workUpTo(i, r.Rank)
		fits := here == 0 || here+r.Work <= r.Rate*SliceWidth.Seconds()
		if fits && before <= r.Rate*startOf(i).Sub(now).Seconds() {
			return i, true
		}
	}
	return 0, false
}

// workUpTo returns the promised work in a slice that goes before a rank or with it.
func (c *Calendar) workUpTo(slice int64, rank Rank) float64 {
	sum := 0.0
	for _, p := range c.slices[slice%sliceCount][:rank+1] {
		sum += p.work
	}
	return sum
}

// Promised returns the promised work up to a rank that is due until the time has passed.
func (c *Calendar) Promised(now time.Time, rank Rank, within time.Duration) float64 {
	if c.pending == 0 {
		return 0
	}
	c.advance(now)
	last := min(sliceOf(now.Add(min(max(0, within), Horizon))), c.first+sliceCount-1)
	sum := 0.0
	for i := c.first; i <= last; i++ {
		sum += c.workUpTo(i, min(max(0, rank), rankCount-1))
	}
	return sum
}

// Redeem takes an appointment of the priority that is due, for a client that has come
// back. It reports false if there is none.
func (c *Calendar) Redeem(now time.Time, priority int) bool {
	if c.pending == 0 {
		return false
	}
	c.advance(now)
	for i := c.first; i <= sliceOf(now)+earlySlices && i < c.first+sliceCount; i++ {
		for _, rank := range []Rank{RankOf(priority, true), RankOf(priority, false)} {
			if p := &c.slices[i%sliceCount][rank]; p.count > 0 {
				p.work -= p.work / float64(p.count)
				p.count--
				c.pending--
				c.counts.Kept++
				return true
			}
		}
	}
	return false
}

// Counts returns the appointments until now.
func (c *Calendar) Counts(now time.Time) Counts {
	c.advance(now)
	return c.counts
}

// advance drops the slices whose appointments were missed.
func (c *Calendar) advance(now time.Time) {
	oldest := sliceOf(now) - graceSlices
	if oldest <= c.first {
		return
	}
	if c.pending == 0 || oldest >= c.first+sliceCount {
		c.counts.Missed += c.pending
		c.pending = 0
		clear(c.slices[:])
		c.first = oldest
		return
	}
	for ; c.first < oldest; c.first++ {
		slice := &c.slices[c.first%sliceCount]
		for _, p := range slice {
			c.counts.Missed += p.count
			c.pending -= p.count
		}
		clear(slice[:])
	}
}

// sliceOf returns the number of the slice that a time is in.
func sliceOf(t time.Time) int64 { return t.UnixNano() / int64(SliceWidth) }

// startOf returns the beginning of a slice.
func startOf(slice int64) time.Time { return time.Unix(0, slice*int64(SliceWidth)) }
