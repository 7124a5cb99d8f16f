package fake

import (
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

// ReplyFault is a way of spoiling replies.
type ReplyFault string

// The ways of spoiling replies.
const (
	ReplyNormal ReplyFault = ""
	// ReplyDelay holds the finished reply back for DelayMS.
	ReplyDelay ReplyFault = "delay"
	// ReplyDuplicate sends the reply, or each token, twice.
	ReplyDuplicate ReplyFault = "duplicate"
	// ReplyTruncate cuts the connection in the middle of the reply.
	ReplyTruncate ReplyFault = "truncate"
	// ReplyForeign names another call in the reply.
	ReplyForeign ReplyFault = "foreign"
	// ReplyReorder swaps the first two tokens of a stream.
	ReplyReorder ReplyFault = "reorder"
	// ReplyGap leaves one token of a stream out.
	ReplyGap ReplyFault = "gap"
	// ReplyUnclosed ends a stream in good order without its closing event.
	ReplyUnclosed ReplyFault = "unclosed"
)

// Control changes how an endpoint's stand-in behaves; unset fields stay.
type Control struct {
	// Stall freezes work and every reply but those to control requests.
	Stall *bool `json:"stall,omitempty"`
	// Crash drops all connections and work at once.
	Crash bool `json:"crash,omitempty"`
	// DownForMS crashes and stays away for so many milliseconds.
	DownForMS int `json:"down_for_ms,omitempty"`
	// CrashOn crashes when an input that contains it starts to run.
	CrashOn    *string  `json:"crash_on,omitempty"`
	SlowFactor *float64 `json:"slow_factor,omitempty"`
	// FailRate is the share of runs that end in an error.
	FailRate *float64 `json:"fail_rate,omitempty"`
	// RefuseRate is the share of calls refused without a run.
	RefuseRate *float64    `json:"refuse_rate,omitempty"`
	Reply      *ReplyFault `json:"reply,omitempty"`
	// ReplyCount is the number of replies to spoil; zero means all.
	ReplyCount *int `json:"reply_count,omitempty"`
	DelayMS    *int `json:"delay_ms,omitempty"`
}

// faults is the present state of what Control sets.
type faults struct {
	mu         sync.Mutex
	rng        *rand.Rand
	stalled    chan struct{}
	crashOn    string
	slow       float64
	failRate   float64
	refuseRate float64
	reply      ReplyFault
	replyLeft  int
	delay      time.Duration
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
		f.replyLeft = 0
	}
	set(&f.replyLeft, c.ReplyCount)
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

// wait blocks while the stand-in is stalled; it returns false if done ends first.
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

func (f *faults) crashes(input []byte) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.crashOn != "" && strings.Contains(string(input), f.crashOn)
}

// scale stretches a time by the slow factor.
func (f *faults) scale(d time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Duration(float64(d) * f.slow)
}

// jittered spreads d evenly by the given share in both directions.
func (f *faults) jittered(d time.Duration, share float64) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Duration(float64(d) * (1 + share*(2*f.rng.Float64()-1)))
}

func (f *faults) fails() bool { return f.chance(func() float64 { return f.failRate }) }

func (f *faults) refuses() bool { return f.chance(func() float64 { return f.refuseRate }) }

func (f *faults) chance(rate func() float64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := rate()
	return r > 0 && f.rng.Float64() < r
}

// lucky draws with a fixed chance.
func (f *faults) lucky(chance float64) bool { return f.chance(func() float64 { return chance }) }

// nextReply returns the fault of the next reply and its delay.
func (f *faults) nextReply() (ReplyFault, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fault := f.reply
	if fault != ReplyNormal && f.replyLeft > 0 {
		f.replyLeft--
		if f.replyLeft == 0 {
			f.reply = ReplyNormal
		}
	}
	return fault, f.delay
}
