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
	"github.com/mangostage/mangostage/wire"
)

// MethodBeat is the notification that carries a heartbeat.
const MethodBeat = "fleet.beat"

const (
	// redialEvery is the least time between two dials of an address.
	redialEvery = BeatEvery
	// dialTimeout bounds one dial: some hundred times the way within a region.
	// A VM that is starting or cut off does not answer, and a fleet that starts
	// as one finds its owner only once it is dialled again.
	dialTimeout = 300 * time.Millisecond
	// settleTime is how long after its start a process that knows of no confirmed
	// owner waits for one before it owns the queue by itself. A fleet that
	// starts as one would otherwise have as many owners as processes, whose
	// calls and results stand in each other's way for seconds.
	settleTime = 900 * time.Millisecond
)

// peerLimits end a connection that has gone silent in one direction while the
// other side is still heard over its own: heartbeats go unacknowledged.
var peerLimits = dialer.Limits{
	Dial:           dialTimeout,
	Unacknowledged: 1500 * time.Millisecond,
	Probe:          2 * time.Second,
}

// Config is what a Service is made of.
type Config struct {
	// Self is this process; its address is the one that others dial.
	Self Member
	// Listen is the address to listen on.
	Listen string
	Seeds  []string
	Mux    *peer.Mux
	Log    zerolog.Logger
	// StoreAt returns the store's revision that this process knows.
	StoreAt func() uint64
	// StoreSteady tells whether the store has answered this process for some
	// seconds; nil if it cannot tell.
	StoreSteady func() bool
	// OnPromoted is called when this process has come to own the queue, OnReach in
	// each round while it does.
	OnPromoted, OnReach func(Reach)
	// OnDemoted is called when this process has ceased to own the queue.
	OnDemoted func()
}

// Service holds connections to all members and beats.
type Service struct {
	cfg  Config
	node *peer.Node

	mu    sync.Mutex
	core  *Core
	conns map[string]*link
	owner string
	// owning is set while this process owns the queue.
	owning bool
	// unreached are the failure domains that the owner, this process, does not reach.
	unreached []string
	// lost holds, for connections with jobs, what is closed when the other
	// side is taken for lost.
	lost map[*peer.Conn]chan struct{}
	// settled is closed once a claim is confirmed or settleTime is over.
	settled   chan struct{}
	isSettled bool
}

// link is the way to one address.
type link struct {
	// conn is the connection that this process dialled, back the one by which
	// the other side was last heard; either may be nil.
	conn *peer.Conn
	back *peer.Conn
	// tried is when the last dial began; dialling while one is under way.
	tried   time.Time
	dialing bool
}

// New returns a Service; Start lets it run.
func New(cfg Config) *Service {
	cfg.Self.Incarnation = uuid.NewString()
	cfg.Self.Started = time.Now().UnixMilli()
	s := &Service{cfg: cfg, conns: make(map[string]*link), lost: make(map[*peer.Conn]chan struct{}), settled: make(chan struct{})}
	s.core = NewCore(cfg.Self, cfg.Seeds)
	peer.HandleNote(cfg.Mux, MethodBeat, s.heard)
	s.node = peer.NewNode(peer.Config{
		Dial:    peerLimits.DialContext,
		Hello:   s.hello,
		OnClose: s.closed,
	}, cfg.Mux)
	return s
}

func (s *Service) hello() wire.Hello {
	return wire.Hello{Process: wire.Process{
		Name:        s.cfg.Self.Name,
		Incarnation: s.cfg.Self.Incarnation,
		Role:        wire.RoleEntry,
		Domain:      s.cfg.Self.Domain,
	}}
}

// Start listens and beats until ctx ends.
func (s *Service) Start(ctx context.Context) error {
	if _, err := s.node.Listen(s.cfg.Listen); err != nil {
		return err
	}
	go s.run(ctx)
	settle := settleTime
	if len(s.cfg.Seeds) == 0 {
		settle = 0
	}
	time.AfterFunc(settle, func() {
		s.mu.Lock()
		s.settleLocked()
		s.mu.Unlock()
	})
	return nil
}

func (s *Service) settleLocked() {
	if !s.isSettled {
		s.isSettled = true
		close(s.settled)
	}
}

// Settled is closed once it is known who owns the queue.
func (s *Service) Settled() <-chan struct{} { return s.settled }

// Close ends all connections.
func (s *Service) Close() { s.node.Close() }

// Leave tells all members that this process stops.
func (s *Service) Leave() {
	s.mu.Lock()
	s.core.Leave()
	s.mu.Unlock()
	s.beat(0)
}

func (s *Service) run(ctx context.Context) {
	ticker := time.NewTicker(BeatEvery)
	defer ticker.Stop()
	for round := 0; ; round++ {
		s.beat(round)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// beat dials what is not connected and sends the heartbeats of one round.
func (s *Service) beat(round int) {
	now := time.Now()
	at := s.cfg.StoreAt()
	steady := s.cfg.StoreSteady != nil && s.cfg.StoreSteady()
	s.mu.Lock()
	s.core.SetSteady(steady)
	s.ownerLocked(now)
	for conn := range s.lost {
		s.checkLostLocked(now, conn)
	}
	if s.owning && s.cfg.OnReach != nil {
		go s.cfg.OnReach(s.reachLocked(now))
	}
	beat := s.core.Beat(now, at, round)
	messages := s.addressLocked(beat, s.dueLocked(now, round))
	unwanted := s.unwantedLocked()
	s.mu.Unlock()
	for _, m := range messages {
		// Each in its own goroutine: a peer that is frozen with a full socket
		// buffer must not keep heartbeats from the others. A connection that
		// fails here is closed, and OnClose follows.
		go func() { _ = m.conn.Notify(MethodBeat, m.beat) }()
	}
	for _, conn := range unwanted {
		conn.Close()
	}
}

// reachLocked is what this process reaches as the owner.
func (s *Service) reachLocked(now time.Time) Reach {
	r := s.core.Reach(now)
	if !slices.Equal(r.Unreached, s.unreached) {
		s.unreached = r.Unreached
		s.cfg.Log.Warn().Str("event", logReachChanged).Strs("unreached", r.Unreached).Float64("share", r.Share).
			Msg("the queue's owner reaches other failure domains")
	}
	return r
}

// message is a heartbeat to one member.
type message struct {
	conn *peer.Conn
	beat Beat
}

// addressLocked completes a heartbeat for each of its receivers.
func (s *Service) addressLocked(beat Beat, to []*peer.Conn) []message {
	messages := make([]message, len(to))
	for i, conn := range to {
		messages[i] = message{conn: conn, beat: s.core.AckTo(conn.Peer().Process.Name, beat)}
	}
	return messages
}

// dueLocked lists the connections that get the heartbeat of this round, and
// dials partners that are not connected.
func (s *Service) dueLocked(now time.Time, round int) []*peer.Conn {
	var due []*peer.Conn
	for _, addr := range s.core.Addrs(now) {
		l := s.linkLocked(addr)
		if l.conn == nil {
			s.dialLocked(addr, l, now)
			continue
		}
		if round == 0 || s.core.Due(now, addr, round) {
			due = append(due, l.conn)
		}
	}
	for addr, l := range s.conns {
		// Others have chosen this process as their partner.
		if l.back != nil && !s.core.Partner(addr) && s.core.Due(now, addr, round) {
			due = append(due, l.back)
		}
	}
	return due
}

// unwantedLocked takes the dialled connections out that are left over from
// when the fleet was smaller, or others were hubs.
func (s *Service) unwantedLocked() []*peer.Conn {
	var unwanted []*peer.Conn
	for addr, l := range s.conns {
		if l.conn != nil && !s.core.Partner(addr) && s.lost[l.conn] == nil {
			unwanted = append(unwanted, l.conn)
			l.conn = nil
		}
	}
	return unwanted
}

func (s *Service) linkLocked(addr string) *link {
	l := s.conns[addr]
	if l == nil {
		l = &link{}
		s.conns[addr] = l
	}
	return l
}

func (s *Service) dialLocked(addr string, l *link, now time.Time) {
	if l.dialing || now.Sub(l.tried) < redialEvery {
		return
	}
	l.dialing = true
	l.tried = now
	go s.dial(addr)
}

func (s *Service) dial(addr string) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	conn, err := s.node.Dial(ctx, addr)
	now := time.Now()
	at := s.cfg.StoreAt()
	s.mu.Lock()
	l := s.linkLocked(addr)
	l.dialing = false
	if err != nil {
		s.mu.Unlock()
		return
	}
	l.conn = conn
	beat := s.core.Introduction(now, at, conn.Peer().Process.Name)
	s.mu.Unlock()
	s.cfg.Log.Info().Str("event", logPeerConnected).Str("addr", addr).Str("peer", conn.Peer().Process.Name).Msg("connected to a peer")
	_ = conn.Notify(MethodBeat, beat)
}

func (s *Service) heard(conn *peer.Conn, b Beat) {
	now := time.Now()
	at := s.cfg.StoreAt()
	s.mu.Lock()
	claimed := s.core.Heard(now, b)
	if s.core.Confirmed() {
		s.settleLocked()
	}
	s.ownerLocked(now)
	l := s.linkLocked(b.From.Addr)
	first := l.back != conn && !conn.Dialed()
	if first {
		l.back = conn
	}
	var answer *Beat
	switch {
	case l.conn != nil:
	case s.core.Partner(b.From.Addr):
		// It has just started or come back: no need to wait for the next round.
		s.dialLocked(b.From.Addr, l, now)
	}
	// A claim that has changed is told at once: the other side may wait for its
	// confirmation, and requests with it.
	if claimed || first && l.conn == nil && !s.core.Partner(b.From.Addr) {
		intro := s.core.Introduction(now, at, b.From.Name)
		answer = &intro
	}
	s.mu.Unlock()
	if answer != nil {
		_ = conn.Notify(MethodBeat, *answer)
	}
}

// closed forgets a connection; a member whose connection ends is taken for
// lost until it is heard again. In a fleet that is no full mesh members close
// connections that they no longer need, so only the last one tells of a loss.
func (s *Service) closed(conn *peer.Conn) {
	p := conn.Peer().Process
	s.mu.Lock()
	reached := false
	for _, l := range s.conns {
		if l.conn != conn && l.back != conn {
			continue
		}
		if l.conn == conn {
			l.conn = nil
		}
		if l.back == conn {
			l.back = nil
		}
		reached = l.conn != nil || l.back != nil
	}
	if !reached || s.core.Mesh() {
		s.core.Closed(time.Now(), p.Name, p.Incarnation)
	}
	s.ownerLocked(time.Now())
	s.mu.Unlock()
	s.cfg.Log.Info().Str("event", logPeerLost).Str("peer", p.Name).Msg("connection to a peer ended")
}

// ownerLocked looks who owns the queue and tells of a change.
func (s *Service) ownerLocked(now time.Time) (Member, bool) {
	owner, self := s.core.Owner(now)
	id := owner.Name + "/" + owner.Incarnation
	if id != s.owner {
		s.owner = id
		if s.owning && !self && s.cfg.OnDemoted != nil {
			go s.cfg.OnDemoted()
		}
		if !s.owning && self && s.cfg.OnPromoted != nil {
			go s.cfg.OnPromoted(s.reachLocked(now))
		}
		s.owning = self
		s.cfg.Log.Info().Str("event", logOwnerChanged).Str("owner", owner.Name).Bool("self", self).Float64("cores", owner.Cores).
			Uint64("term", s.core.Claim().Term).Str("cause", string(s.core.Cause())).Msg("the queue has another owner")
	}
	return owner, self
}

// Tell sends a notification to all members that this process is connected to,
// each in its own goroutine: a peer that does not read must not hold it up.
func (s *Service) Tell(method string, params any) {
	s.mu.Lock()
	var conns []*peer.Conn
	for _, l := range s.conns {
		if conn := cmp.Or(l.conn, l.back); conn != nil {
			conns = append(conns, conn)
		}
	}
	s.mu.Unlock()
	for _, conn := range conns {
		// A connection that fails here is closed, and OnClose follows.
		go func() { _ = conn.Notify(method, params) }()
	}
}

// Mesh tells whether each member is connected to each other.
func (s *Service) Mesh() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Mesh()
}

// Ownership tells who owns the queue in the eyes of this process.
type Ownership struct {
	Owner string `json:"owner"`
	Self  bool   `json:"self"`
	Term  uint64 `json:"term"`
}

// Ownership returns the present owner.
func (s *Service) Ownership() Ownership {
	s.mu.Lock()
	defer s.mu.Unlock()
	owner, self := s.ownerLocked(time.Now())
	return Ownership{Owner: owner.Name, Self: self, Term: s.core.Claim().Term}
}

// Owns tells whether this process owns the queue.
func (s *Service) Owns() bool { return s.Ownership().Self }

// OwnerConn returns the connection to the queue's owner; nil if this process
// owns it or the owner cannot be reached.
func (s *Service) OwnerConn() *peer.Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	owner, self := s.ownerLocked(time.Now())
	if l := s.conns[owner.Addr]; l != nil && !self {
		return l.conn
	}
	return nil
}

// Lost returns a channel that is closed when the process at the other end of
// the connection is taken for lost: it is silent, or the connection has ended.
// An owner that is merely replaced is not lost and finishes its jobs.
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

// checkLostLocked closes what waits for the loss of a connection's other end.
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
