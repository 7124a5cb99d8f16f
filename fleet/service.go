package fleet

import (
	"cmp"
	"context"
	"slices"
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

// link holds the connections to and from one address.
type link struct {
	// dialed is the connection that this process dialled, accepted the one, dialled by
	// the other side, over which its latest heartbeat came; either may be nil.
	dialed   *peer.Conn
	accepted *peer.Conn
	// lastDial is when the latest dial began.
	lastDial time.Time
	// dialing means that a dial is in progress.
	dialing bool
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

// sendHeartbeats runs one round: it updates the owner, dials the targets that are not
// connected, sends the heartbeats that are due and closes connections that are no longer
// needed.
func (s *Service) sendHeartbeats(round int) {
	now := time.Now()
	store := s.cfg.Store()
	steady := s.cfg.StoreSteady != nil && s.cfg.StoreSteady()
	s.mu.Lock()
	s.core.SetStoreSteady(steady)
	s.refreshOwnerLocked(now)
	for conn := range s.lost {
		s.checkLostLocked(now, conn)
	}
	if s.ownsQueue && s.cfg.OnReach != nil {
		go s.cfg.OnReach(s.reachLocked(now))
	}
	heartbeat := s.core.Heartbeat(now, store, round)
	messages := s.addressHeartbeatsLocked(heartbeat, s.recipientsLocked(now, round))
	unwanted := s.detachUnwantedLocked()
	s.mu.Unlock()
	for _, m := range messages {
		// Each in its own goroutine: a frozen peer whose socket buffer is full must not
		// delay the heartbeats to others. A connection on which this fails is closed,
		// and OnClose is called.
		go func() { _ = m.conn.Notify(MethodHeartbeat, m.heartbeat) }()
	}
	for _, conn := range unwanted {
		conn.Close()
	}
}

// reachLocked returns what this process reaches as the owner, and logs when the
// unreached failure domains have changed.
func (s *Service) reachLocked(now time.Time) Reach {
	r := s.core.Reach(now)
	if !slices.Equal(r.Unreached, s.unreached) {
		s.unreached = r.Unreached
		s.cfg.Log.Warn().Str("event", logReachChanged).Strs("unreached", r.Unreached).Float64("share", r.Share).
			Msg("the failure domains that the queue's owner cannot reach have changed")
	}
	return r
}

// outgoingHeartbeat is a heartbeat and the connection to send it on.
type outgoingHeartbeat struct {
	conn      *peer.Conn
	heartbeat Heartbeat
}

// addressHeartbeatsLocked returns the heartbeat for each connection, with the receiver's
// acknowledgement.
func (s *Service) addressHeartbeatsLocked(heartbeat Heartbeat, to []*peer.Conn) []outgoingHeartbeat {
	messages := make([]outgoingHeartbeat, len(to))
	for i, conn := range to {
		messages[i] = outgoingHeartbeat{conn: conn, heartbeat: s.core.WithAck(conn.Peer().Process.Name, heartbeat)}
	}
	return messages
}

// recipientsLocked returns the connections on which to send the heartbeat of this round,
// and dials the targets that are not connected. In round 0 all connected targets receive
// it.
func (s *Service) recipientsLocked(now time.Time, round int) []*peer.Conn {
	var due []*peer.Conn
	for _, addr := range s.core.Addrs(now) {
		l := s.linkLocked(addr)
		if l.dialed == nil {
			s.dialLocked(addr, l, now)
			continue
		}
		if round == 0 || s.core.HeartbeatDue(now, addr, round) {
			due = append(due, l.dialed)
		}
	}
	for addr, l := range s.links {
		// The other side has dialled this process, which does not dial it.
		if l.accepted != nil && !s.core.IsDialTarget(addr) && s.core.HeartbeatDue(now, addr, round) {
			due = append(due, l.accepted)
		}
	}
	return due
}

// detachUnwantedLocked removes and returns the dialled connections that are no longer
// needed, because the fleet has outgrown the full mesh or the hubs have changed.
// Connections with jobs stay. It forgets addresses without connections.
func (s *Service) detachUnwantedLocked() []*peer.Conn {
	var unwanted []*peer.Conn
	for addr, l := range s.links {
		if l.dialed == nil && l.accepted == nil && !l.dialing && !s.core.IsDialTarget(addr) {
			delete(s.links, addr)
			continue
		}
		if l.dialed != nil && !s.core.IsDialTarget(addr) && s.lost[l.dialed] == nil {
			unwanted = append(unwanted, l.dialed)
			l.dialed = nil
		}
	}
	return unwanted
}

// linkLocked returns the link for an address, and creates it if there is none.
func (s *Service) linkLocked(addr string) *link {
	l := s.links[addr]
	if l == nil {
		l = &link{}
		s.links[addr] = l
	}
	return l
}

// dialLocked starts a dial of the address unless one is in progress or the last one began
// less than redialInterval ago.
func (s *Service) dialLocked(addr string, l *link, now time.Time) {
	if l.dialing || now.Sub(l.lastDial) < redialInterval {
		return
	}
	l.dialing = true
	l.lastDial = now
	go s.dial(addr)
}

// dial connects to the address and sends the first heartbeat. A failed dial is repeated
// in a later round.
func (s *Service) dial(addr string) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	conn, err := s.node.Dial(ctx, addr)
	now := time.Now()
	store := s.cfg.Store()
	s.mu.Lock()
	l := s.linkLocked(addr)
	l.dialing = false
	if err != nil {
		s.mu.Unlock()
		return
	}
	l.dialed = conn
	introduction := s.core.Introduction(now, store, conn.Peer().Process.Name)
	s.mu.Unlock()
	s.cfg.Log.Info().Str("event", logPeerConnected).Str("addr", addr).Str("peer", conn.Peer().Process.Name).Msg("connected to a peer")
	_ = conn.Notify(MethodHeartbeat, introduction)
	s.greet(conn)
}

// greet calls OnPeer.
func (s *Service) greet(conn *peer.Conn) {
	if s.cfg.OnPeer != nil {
		s.cfg.OnPeer(conn)
	}
}

// handleHeartbeat processes a heartbeat, dials its sender if that is a target that is not
// connected, and answers at once where a round's delay would matter.
func (s *Service) handleHeartbeat(conn *peer.Conn, h Heartbeat) {
	now := time.Now()
	store := s.cfg.Store()
	s.mu.Lock()
	claimChanged := s.core.HandleHeartbeat(now, h)
	if s.core.Confirmed() {
		s.decideOwnerLocked()
	}
	s.refreshOwnerLocked(now)
	l := s.linkLocked(h.From.Addr)
	first := l.accepted != conn && !conn.Dialed()
	if first {
		l.accepted = conn
	}
	var answer *Heartbeat
	switch {
	case l.dialed != nil:
	case s.core.IsDialTarget(h.From.Addr):
		// The member has just started or returned: dial without waiting for the next
		// round.
		s.dialLocked(h.From.Addr, l, now)
	}
	acceptedOnly := first && l.dialed == nil && !s.core.IsDialTarget(h.From.Addr)
	// A changed claim is sent at once: the other side, and requests there, may wait for
	// its claim to be confirmed. So is the answer to a member that this process does not
	// dial.
	if claimChanged || acceptedOnly {
		introduction := s.core.Introduction(now, store, h.From.Name)
		answer = &introduction
	}
	s.mu.Unlock()
	if answer != nil {
		_ = conn.Notify(MethodHeartbeat, *answer)
	}
	if acceptedOnly {
		s.greet(conn)
	}
}

// handleClose removes a closed connection. Its member counts as lost after closedTimeout
// unless it is heard again. Outside a full mesh members close connections that they no
// longer need, so there only the end of the last connection indicates a loss.
func (s *Service) handleClose(conn *peer.Conn) {
	p := conn.Peer().Process
	s.mu.Lock()
	connected := false
	for _, l := range s.links {
		if l.dialed != conn && l.accepted != conn {
			continue
		}
		if l.dialed == conn {
			l.dialed = nil
		}
		if l.accepted == conn {
			l.accepted = nil
		}
		connected = l.dialed != nil || l.accepted != nil
	}
	if !connected || s.core.Mesh() {
		s.core.Closed(time.Now(), p.Name, p.Incarnation)
	}
	s.refreshOwnerLocked(time.Now())
	s.mu.Unlock()
	s.cfg.Log.Info().Str("event", logPeerLost).Str("peer", p.Name).Msg("connection to a peer ended")
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

// Broadcast sends a notification to all connected members, each in its own goroutine, so that
// a peer that does not read cannot delay the others.
func (s *Service) Broadcast(method string, params any) {
	s.mu.Lock()
	var conns []*peer.Conn
	for _, l := range s.links {
		if conn := cmp.Or(l.dialed, l.accepted); conn != nil {
			conns = append(conns, conn)
		}
	}
	s.mu.Unlock()
	for _, conn := range conns {
		// A connection on which this fails is closed, and OnClose is called.
		go func() { _ = conn.Notify(method, params) }()
	}
}

// Mesh reports whether each member is connected to all others.
func (s *Service) Mesh() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Mesh()
}

// Lost returns a channel that is closed when the process at the other end of the
// connection counts as lost, because the connection has ended or Core.Silent reports it.
// An owner that a stronger or newer one has replaced is not lost and finishes its jobs.
func (s *Service) Lost(conn *peer.Conn) <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	lost := s.lost[conn]
	if lost == nil {
		lost = make(chan struct{})
		s.lost[conn] = lost
		s.checkLostLocked(time.Now(), conn)
	}
	return lost
}

// checkLostLocked closes the channel that Lost returned for the connection if the process
// at its other end counts as lost.
func (s *Service) checkLostLocked(now time.Time, conn *peer.Conn) {
	ended := false
	select {
	case <-conn.Done():
		ended = true
	default:
	}
	p := conn.Peer().Process
	if ended || s.core.Silent(now, p.Name, p.Incarnation) {
		close(s.lost[conn])
		delete(s.lost, conn)
	}
}
