// Package pipeline is the decision core of an entry. It takes each request
// through the stages of its pipeline and ends it with exactly one reply, whose
// outcome claims nothing that is not proved.
//
// The core does no I/O. Handle takes an event and the current time and returns
// the effects that the shell, the code around the core that does the I/O, must
// carry out. State is sharded by request ID, each shard under its own lock, so
// Handle may be called from any goroutine.
//
// A submission is one arrival of a request from its caller; messages to clients
// call it a sending. The same request ID or idempotency key may be submitted
// several times, also through several entries. A bound stage may only be
// executed by one agent run, its owner.
package pipeline

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mangostage/mangostage/wire"
)

const (
	// giveUpLead is the time before the deadline at which outstanding calls are
	// revoked. It allows for several round trips between failure domains.
	giveUpLead = 20 * time.Millisecond
	// giveUpDivisor limits giveUpLead to 1/giveUpDivisor of the time left on
	// arrival.
	giveUpDivisor = 20
	// revokeWait bounds the wait for replies to revocations once no answer can
	// come.
	revokeWait = 100 * time.Millisecond
	// peekWait bounds the wait for owners' replies to peeks.
	peekWait = 100 * time.Millisecond
	// defaultRetryAfter is sent with transient refusals that specify no time.
	defaultRetryAfter = time.Second
	// maxForwarded bounds the streamed output, in bytes, that is kept to
	// compare a retry with.
	maxForwarded = 1 << 20

	shardCount = 64
)

// Defaults for the limits in Config.
const (
	DefaultMaxInFlight  = 16384
	DefaultMaxLateCalls = 16384
	DefaultMaxWaiting   = 4096
)

// Config configures a Core. Only Entry and Picker are required.
type Config struct {
	// Entry is the name and incarnation of this entry, as in wire.CallID.
	Entry     string
	Picker    Picker
	Retrier   Retrier
	Suspects  Suspects
	Quantiles Quantiles
	// MaxInFlight limits the number of requests in the core.
	MaxInFlight int
	// MaxLateCalls limits the number of calls that are remembered after their
	// request has ended, to account for their cost.
	MaxLateCalls int
	// MaxWaiting limits the number of requests that wait while no endpoint of a
	// pool accepts work; each holds the output of its earlier stages.
	MaxWaiting int
}

// Core holds all requests of one entry.
type Core struct {
	cfg         Config
	inFlight    atomic.Int64
	submissions atomic.Uint64
	waiting     *waitSet
	shards      [shardCount]shard
}

type shard struct {
	mu       sync.Mutex
	requests map[string]*request
	late     lateCalls
	// seq numbers timers and peek rounds. It never restarts, so that a timer or
	// reply of an earlier submission is not mistaken for one of a later
	// submission with the same ID.
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
	c := &Core{cfg: cfg, waiting: newWaitSet(cfg.MaxWaiting)}
	for i := range c.shards {
		c.shards[i].requests = make(map[string]*request)
		c.shards[i].late = newLateCalls(max(1, cfg.MaxLateCalls/shardCount))
	}
	return c
}

// InFlight returns the number of requests without a reply.
func (c *Core) InFlight() int { return int(c.inFlight.Load()) }

// Handle applies one event and returns the effects to carry out, in order.
func (c *Core) Handle(now time.Time, ev Event) []Effect {
	id := ev.requestID()
	s := c.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	t := &transition{core: c, shard: s, r: s.requests[id], now: now}
	t.handle(ev)
	return t.effects
}

func (c *Core) shard(requestID string) *shard {
	return &c.shards[xxhash.Sum64String(requestID)%shardCount]
}

// transition applies one event to a request and collects the effects. r is nil
// if the request is not known to the shard.
type transition struct {
	core    *Core
	shard   *shard
	r       *request
	now     time.Time
	effects []Effect
}

func (t *transition) emit(e Effect) { t.effects = append(t.effects, e) }

func (t *transition) handle(ev Event) {
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

// handleRequest handles the events that have no effect once a request has
// ended.
func (t *transition) handleRequest(ev Event) {
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
