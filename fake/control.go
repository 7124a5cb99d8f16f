package fake

import (
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

// ReplyFault is a fault injected into replies.
type ReplyFault string

// The faults of replies.
const (
	ReplyNormal ReplyFault = ""
	// ReplyDelay delays the finished reply by DelayMS.
	ReplyDelay ReplyFault = "delay"
	// ReplyDuplicate sends the reply, or each token, twice.
	ReplyDuplicate ReplyFault = "duplicate"
	// ReplyTruncate closes the connection in the middle of the reply.
	ReplyTruncate ReplyFault = "truncate"
	// ReplyForeign puts the ID of another call into the reply.
	ReplyForeign ReplyFault = "foreign"
	// ReplyReorder swaps the first two tokens of a stream.
	ReplyReorder ReplyFault = "reorder"
	// ReplyGap omits one token of a stream.
	ReplyGap ReplyFault = "gap"
	// ReplyUnclosed ends a stream without an error and without its done event.
	ReplyUnclosed ReplyFault = "unclosed"
)

// Control injects faults into an endpoint's stand-in; unset fields leave their
// setting unchanged.
type Control struct {
	// Stall blocks all work and all replies except those to control requests.
	Stall *bool `json:"stall,omitempty"`
	// Crash drops all connections and work at once.
	Crash bool `json:"crash,omitempty"`
	// DownForMS crashes the stand-in and keeps it down for this many
	// milliseconds.
	DownForMS int `json:"down_for_ms,omitempty"`
	// CrashOn crashes the stand-in at the start of each run whose input contains
	// this text; empty means never.
	CrashOn *string `json:"crash_on,omitempty"`
	// SlowFactor multiplies the duration of all work.
	SlowFactor *float64 `json:"slow_factor,omitempty"`
	// FailRate is the share of runs that end in an error.
	FailRate *float64 `json:"fail_rate,omitempty"`
	// RefuseRate is the share of calls refused without a run.
	RefuseRate *float64 `json:"refuse_rate,omitempty"`
	// Reply is the fault of the replies that follow.
	Reply *ReplyFault `json:"reply,omitempty"`
	// ReplyCount is the number of replies with the fault; zero means all.
	ReplyCount *int `json:"reply_count,omitempty"`
	// DelayMS is the delay of ReplyDelay in milliseconds.
	DelayMS *int `json:"delay_ms,omitempty"`
}

// faults holds the currently injected faults, as set by Control.
type faults struct {
	mu  sync.Mutex
	rng *rand.Rand
	// stalled is non-nil while the stand-in is stalled, and closed when the
	// stall ends.
	stalled     chan struct{}
	crashOn     string
	slow        float64
	failRate    float64
	refuseRate  float64
	reply       ReplyFault
	repliesLeft int
	delay       time.Duration
}

func newFaults(seed uint64) *faults {
	return &faults{rng: rand.New(rand.NewPCG(seed, seed)), slow: 1}
}

func (f *faults) apply(c Control) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if c.Stall != nil {
		f.stall(*c.Stall)
	}
	set(&f.crashOn, c.CrashOn)
	set(&f.slow, c.SlowFactor)
	set(&f.failRate, c.FailRate)
	set(&f.refuseRate, c.RefuseRate)
	if c.Reply != nil {
		f.reply = *c.Reply
		f.repliesLeft = 0
	}
	set(&f.repliesLeft, c.ReplyCount)
	if c.DelayMS != nil {
		f.delay = time.Duration(*c.DelayMS) * time.Millisecond
	}
}

func set[T any](field, value *T) {
	if value != nil {
		*field = *value
	}
}

func (f *faults) stall(on bool) {
	if on && f.stalled == nil {
		f.stalled = make(chan struct{})
	}
	if !on && f.stalled != nil {
		close(f.stalled)
		f.stalled = nil
	}
}

// wait blocks while the stand-in is stalled; it returns false if done is closed
// first.
func (f *faults) wait(done <-chan struct{}) bool {
	for {
		f.mu.Lock()
		stalled := f.stalled
		f.mu.Unlock()
		if stalled == nil {
			return true
		}
		select {
		case <-stalled:
		case <-done:
			return false
		}
	}
}

// shouldCrash reports whether a run of the input crashes the stand-in.
func (f *faults) shouldCrash(input []byte) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.crashOn != "" && strings.Contains(string(input), f.crashOn)
}

// scale multiplies d by the slow factor.
func (f *faults) scale(d time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Duration(float64(d) * f.slow)
}

// jittered returns a duration drawn uniformly from d ± ratio*d.
func (f *faults) jittered(d time.Duration, ratio float64) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Duration(float64(d) * (1 + ratio*(2*f.rng.Float64()-1)))
}

// shouldFail reports whether the next run fails, at FailRate.
func (f *faults) shouldFail() bool { return f.drawRate(func() float64 { return f.failRate }) }

// shouldRefuse reports whether the next call is refused, at RefuseRate.
func (f *faults) shouldRefuse() bool { return f.drawRate(func() float64 { return f.refuseRate }) }

// drawRate returns true with the probability that rate returns; it calls rate
// with the lock held.
func (f *faults) drawRate(rate func() float64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := rate()
	return r > 0 && f.rng.Float64() < r
}

// draw returns true with the given probability.
func (f *faults) draw(probability float64) bool {
	return f.drawRate(func() float64 { return probability })
}

// nextReply returns the fault of the next reply and the delay for ReplyDelay.
func (f *faults) nextReply() (ReplyFault, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fault := f.reply
	if fault != ReplyNormal && f.repliesLeft > 0 {
		f.repliesLeft--
		if f.repliesLeft == 0 {
			f.reply = ReplyNormal
		}
	}
	return fault, f.delay
}
