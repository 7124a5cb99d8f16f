package fleet

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"github.com/mangostage/mangostage/internal/dialer"
	"github.com/mangostage/mangostage/peer"
	"github.com/mangostage/mangostage/position"
	"github.com/mangostage/mangostage/wire"
)

// MethodHeartbeat is the notification that carries a heartbeat.
const MethodHeartbeat = "fleet.beat"

const (
	// redialInterval is the least time between two dials of an address.
	redialInterval = HeartbeatInterval
	// dialTimeout bounds one dial: some hundred round trips within a region. It is
	// short because a VM that is starting or cut off does not answer, and members of a
	// fleet that starts at once find the owner only when they dial again.
	dialTimeout = 300 * time.Millisecond
	// ownerDecisionTimeout is how long after its start a process waits for a confirmed
	// owner before it uses the owner that it knows, itself if there is no other. In a
	// fleet that starts at once each process would otherwise act as an owner, and their
	// calls and results would conflict for seconds.
	ownerDecisionTimeout = 900 * time.Millisecond
)

// peerLimits end a connection that carries data in one direction only, while the other
// side is still heard over a connection of its own: TCP segments with heartbeats then
// stay unacknowledged.
var peerLimits = dialer.Limits{
	Dial:           dialTimeout,
	Unacknowledged: 1500 * time.Millisecond,
	Probe:          2 * time.Second,
}

// Config holds the settings and callbacks of a Service.
type Config struct {
	// Self is this process; its address is the one that others dial.
	Self Member
	// Listen is the address to listen on.
	Listen string
	// Seeds are the addresses of other members to dial first.
	Seeds []string
	Mux   *peer.Mux
	Log   zerolog.Logger
	// MaxUnauthenticated bounds the connections whose other side has not said who it is; 0
	// means a default.
	MaxUnauthenticated int
	// Store returns what this process knows of the store.
	Store func() position.Knowledge
	// StoreSteady reports whether the store has answered this process without
	// interruption for some seconds; nil counts as false.
	StoreSteady func() bool
	// OnPromoted is called when this process has become the queue's owner, OnReach in
	// each round while it is.
	OnPromoted, OnReach func(Reach)
	// OnDemoted is called when this process is no longer the queue's owner.
	OnDemoted func()
	// OnPeer, if set, is called when this process has got a connection to a member.
	OnPeer func(*peer.Conn)
}

// Service connects this process to other members, exchanges heartbeats with them and
// reports who owns the queue.
type Service struct {
	cfg  Config
	node *peer.Node

	mu   sync.Mutex
	core *Core
	// links holds the connections by the other side's address.
	links map[string]*link
	// ownerID is the owner's name and incarnation.
	ownerID string
	// ownsQueue means that this process owns the queue.
	ownsQueue bool
	// unreached are the failure domains that this process, as the owner, does not reach.
	unreached []string
	// lost holds the channels that Lost has returned and that are not closed yet.
	lost map[*peer.Conn]chan struct{}
	// ownerDecided is closed, and isOwnerDecided true, once a claim is confirmed or
	// ownerDecisionTimeout is over.
	ownerDecided   chan struct{}
	isOwnerDecided bool
}

// New returns a Service with a new incarnation; Start runs it.
func New(cfg Config) *Service {
	cfg.Self.Incarnation = uuid.NewString()
	cfg.Self.Started = time.Now().UnixMilli()
	s := &Service{cfg: cfg, links: make(map[string]*link), lost: make(map[*peer.Conn]chan struct{}), ownerDecided: make(chan struct{})}
	s.core = NewCore(cfg.Self, cfg.Seeds)
	peer.HandleNotification(cfg.Mux, MethodHeartbeat, s.handleHeartbeat)
	s.node = peer.NewNode(peer.Config{
		Dial:    peerLimits.DialContext,
		Hello:   s.hello,
		OnClose: s.handleClose,

		MaxUnauthenticated: cfg.MaxUnauthenticated,
	}, cfg.Mux)
	return s
}

// hello returns what this process says about itself on a new connection.
func (s *Service) hello() wire.Hello {
	return wire.Hello{Process: wire.Process{
		Name:        s.cfg.Self.Name,
		Incarnation: s.cfg.Self.Incarnation,
		Role:        wire.RoleEntry,
		Domain:      s.cfg.Self.Domain,
	}}
}

// Start listens for peers and sends heartbeats until ctx ends. The error is that of
// listening.
func (s *Service) Start(ctx context.Context) error {
	if _, err := s.node.Listen(s.cfg.Listen); err != nil {
		return err
	}
	go s.run(ctx)
	timeout := ownerDecisionTimeout
	if len(s.cfg.Seeds) == 0 {
		timeout = 0
	}
	time.AfterFunc(timeout, func() {
		s.mu.Lock()
		s.decideOwnerLocked()
		s.mu.Unlock()
	})
	return nil
}

// decideOwnerLocked closes ownerDecided if it is still open.
func (s *Service) decideOwnerLocked() {
	if !s.isOwnerDecided {
		s.isOwnerDecided = true
		close(s.ownerDecided)
	}
}

// OwnerKnown returns a channel that is closed once the owner of the queue is confirmed, or
// ownerDecisionTimeout after the start.
func (s *Service) OwnerKnown() <-chan struct{} { return s.ownerDecided }

// Close ends all connections.
func (s *Service) Close() { s.node.Close() }

// Leave notifies the connected members that this process is about to stop.
func (s *Service) Leave() {
	s.mu.Lock()
	s.core.Leave()
	s.mu.Unlock()
	s.sendHeartbeats(0)
}

// run sends the heartbeats of all rounds until ctx ends.
func (s *Service) run(ctx context.Context) {
	ticker := time.NewTicker(HeartbeatInterval)
	defer ticker.Stop()
	for round := 0; ; round++ {
		s.sendHeartbeats(round)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// refreshOwnerLocked returns the queue's owner and whether it is this process. On a
// change it logs the new owner and calls OnPromoted or OnDemoted.
func (s *Service) refreshOwnerLocked(now time.Time) (Member, bool) {
	owner, self := s.core.Owner(now)
	id := owner.Name + "/" + owner.Incarnation
	if id != s.ownerID {
		s.ownerID = id
		if s.ownsQueue && !self && s.cfg.OnDemoted != nil {
			go s.cfg.OnDemoted()
		}
		if !s.ownsQueue && self && s.cfg.OnPromoted != nil {
			go s.cfg.OnPromoted(s.reachLocked(now))
		}
		s.ownsQueue = self
		s.cfg.Log.Info().Str("event", logOwnerChanged).Str("owner", owner.Name).Bool("self", self).Float64("cores", owner.Cores).
			Uint64("term", s.core.Claim().Term).Str("cause", string(s.core.Cause())).Msg("the queue's owner has changed")
	}
	return owner, self
}
