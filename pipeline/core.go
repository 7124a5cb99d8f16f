// Package pipeline is the decision core of an entry: it carries each request
// through the stages of its pipeline and ends it with exactly one reply whose
// outcome is true.
//
// The core does no I/O. Handle takes an event and the time and returns the
// effects that the shell is to carry out. State is sharded by request ID, each
// shard under its own lock, so Handle may be called from any goroutine.
package pipeline

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mangostage/mangostage/wire"
)

const (
	// giveUpLead is how long before the deadline outstanding calls are revoked:
	// several round trips between failure domains.
	giveUpLead = 20 * time.Millisecond
	// giveUpShare bounds giveUpLead to a part of a short deadline.
	giveUpShare = 20
	// proofWait bounds the wait for revocations once no answer can come.
	proofWait = 100 * time.Millisecond
	// peekWait bounds the wait for owners' replies to peeks.
	peekWait = 100 * time.Millisecond
	// retryAfterDefault is told with transient refusals that name no time.
	retryAfterDefault = time.Second
	// maxForwarded bounds the streamed text kept to compare a retry with, in bytes.
	maxForwarded = 1 << 20

	shardCount = 64
)

// Bounds used where a Config gives none.
const (
	DefaultMaxInFlight  = 16384
	DefaultMaxLateCalls = 16384
	DefaultMaxWaiting   = 4096
)

// Config is what a Core is made of. Only Entry and Picker are required.
type Config struct {
	// Entry is the name and incarnation of this entry, as in wire.CallID.
	Entry     string
	Picker    Picker
	Retrier   Retrier
	Suspects  Suspects
	Quantiles Quantiles
	// MaxInFlight bounds the requests in the core.
	MaxInFlight int
	// MaxLateCalls bounds the calls remembered after the end of their request,
	// to account for their cost.
	MaxLateCalls int
	// MaxWaiting bounds the requests that are kept while no endpoint of a pool
	// takes work; each holds the output of its earlier stages.
	MaxWaiting int
}

// Core holds all requests of one entry.
type Core struct {
	cfg      Config
	inFlight atomic.Int64
	sendings atomic.Uint64
	waiting  *waitRoom
	shards   [shardCount]shard
}

type shard struct {
	mu       sync.Mutex
	requests map[string]*request
	late     lateCalls
	// seq numbers timers and peeks; it never restarts, so that one of an
	// earlier sending is not taken for one of a later with the same ID.
	seq uint64
}

// New returns an empty Core.
func New(cfg Config) *Core {
	if cfg.Retrier == nil {
		cfg.Retrier = unlimitedRetrier{}
	}
	if cfg.Suspects == nil {
		cfg.Suspects = noSuspects{}
	}
	if cfg.Quantiles == nil {
		cfg.Quantiles = noQuantiles{}
	}
	if cfg.MaxInFlight <= 0 {
		cfg.MaxInFlight = DefaultMaxInFlight
	}
	if cfg.MaxLateCalls <= 0 {
		cfg.MaxLateCalls = DefaultMaxLateCalls
	}
	if cfg.MaxWaiting <= 0 {
		cfg.MaxWaiting = DefaultMaxWaiting
	}
	c := &Core{cfg: cfg, waiting: newWaitRoom(cfg.MaxWaiting)}
	for i := range c.shards {
		c.shards[i].requests = make(map[string]*request)
		c.shards[i].late = newLateCalls(max(1, cfg.MaxLateCalls/shardCount))
	}
	return c
}

// InFlight is the number of requests without a reply.
func (c *Core) InFlight() int { return int(c.inFlight.Load()) }

// Handle takes in one event and returns what is to be done.
func (c *Core) Handle(now time.Time, ev Event) []Effect {
	id := ev.requestID()
	s := c.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	t := &turn{core: c, shard: s, r: s.requests[id], now: now}
	t.handle(ev)
	return t.effects
}

func (c *Core) shard(requestID string) *shard {
	return &c.shards[xxhash.Sum64String(requestID)%shardCount]
}

// turn is the handling of one event.
type turn struct {
	core    *Core
	shard   *shard
	r       *request
	now     time.Time
	effects []Effect
}

func (t *turn) emit(e Effect) { t.effects = append(t.effects, e) }

func (t *turn) handle(ev Event) {
	switch e := ev.(type) {
	case Admit:
		t.admit(e)
	case Refuse:
		t.refuse(e)
	case StageChunk:
		t.onChunk(e.StageChunk)
	case StageResult:
		t.onResult(e.StageResult)
	case CallNotWritten:
		t.onNotWritten(e.CallID)
	case CallLost:
		t.onCallLost(e.CallID)
	case RevokeAck:
		t.onRevokeAck(e.CallID, e.RevokeResult)
	case RevokeLost:
		t.onRevokeLost(e.CallID)
	default:
		t.handleRequest(ev)
	}
}

// handleRequest handles the events that mean nothing once a request has ended.
func (t *turn) handleRequest(ev Event) {
	if t.r == nil {
		return
	}
	switch e := ev.(type) {
	case PeekReply:
		t.onPeek(e.Seq, e.Stage, e.State)
	case PeekLost:
		t.onPeek(e.Seq, e.Stage, wire.PeekUnknown)
	case Timer:
		t.onTimer(e)
	case CallerGone:
		t.onCallerGone(e.Ref)
	}
}
