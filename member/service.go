package member

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mangostage/mangostage/internal/pause"
	"github.com/mangostage/mangostage/internal/sleep"
	"github.com/mangostage/mangostage/kernel"
	"github.com/mangostage/mangostage/peer"
	"github.com/mangostage/mangostage/wire"
)

// Service maintains the membership of one process in the fleet.
type Service struct {
	cfg   Config
	node  *peer.Node
	links *links
	dials *dialGate
	stats Stats

	// coreMu guards views, leaving and epoch; it is never held during I/O.
	coreMu sync.Mutex
	views  *viewCore
	// leaving means that this process's VM was leaving at the last publish.
	leaving bool
	// epoch is incremented at each detected pause; a list that was requested in
	// an earlier epoch is discarded.
	epoch uint64

	// gossipMu guards gossip.
	gossipMu sync.Mutex
	gossip   *gossipCore

	// publishMu serialises publish, so that an older view never replaces a newer one.
	publishMu sync.Mutex

	// offerMu serialises offers, so that OnBundle is called in the order of adoption.
	offerMu sync.Mutex

	// view is the view that was published last.
	view atomic.Pointer[View]
	// listTried means that a read of the list of VMs has succeeded or failed
	// since the start or the last pause.
	listTried atomic.Bool
	// collectionDone means that the initial collection of bundle offers has ended.
	collectionDone atomic.Bool
	// bundleInForce means that OnBundle has returned for the first bundle.
	bundleInForce atomic.Bool
	// platformTried means that the first read of the bundle from the platform has
	// succeeded or failed.
	platformTried atomic.Bool
	// resumedAt is when the last pause was detected; nil if there was none.
	resumedAt atomic.Pointer[time.Time]
	pauses    *pause.Watch

	// The channels from dirty to collectWake have capacity one; each wakes one loop.
	dirty       chan struct{}
	gossipWake  chan struct{}
	listWake    chan struct{}
	dialWake    chan struct{}
	bundleWake  chan struct{}
	collectWake chan struct{}
	// fetchSlots holds an element for each bundle that is being sent to a peer.
	fetchSlots chan struct{}

	// ctx is cancelled by Stop.
	ctx    context.Context
	cancel context.CancelFunc
	// stopMu prevents spawn from adding to wg while Stop waits on it.
	stopMu sync.Mutex
	wg     sync.WaitGroup
}

// New returns a Service that is not started yet, and registers its methods on cfg.Mux.
func New(cfg Config) *Service {
	cfg.setDefaults()
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	s := &Service{
		cfg:         cfg,
		links:       newLinks(cfg.VM),
		dials:       newDialGate(maxDials),
		views:       newViewCore(cfg.VM),
		gossip:      newGossipCore(cfg.VM, cfg.Self, cfg.FleetSize, rng),
		dirty:       make(chan struct{}, 1),
		gossipWake:  make(chan struct{}, 1),
		listWake:    make(chan struct{}, 1),
		dialWake:    make(chan struct{}, 1),
		bundleWake:  make(chan struct{}, 1),
		collectWake: make(chan struct{}, 1),
		fetchSlots:  make(chan struct{}, maxServedFetches),
	}
	s.pauses = pause.NewWatch(cfg.Now, s.onResume)
	empty, _ := newView(cfg.Now(), time.Time{}, nil)
	s.view.Store(empty)
	peer.HandleNotification(cfg.Mux, wire.MethodBundleHead, s.onHead)
	peer.HandleNotification(cfg.Mux, wire.MethodReportNote, s.onReportNote)
	peer.HandleNotification(cfg.Mux, wire.MethodVMNote, s.onVMNote)
	peer.HandleNotification(cfg.Mux, wire.MethodRetireNote, s.onRetire)
	peer.HandleCall(cfg.Mux, wire.MethodBundleFetch, s.serveFetch)
	s.node = peer.NewNode(peer.Config{
		TLS: cfg.TLS, Hello: s.hello, OnConnect: s.onConnect, OnClose: s.onClose, OnHandshakeFailed: s.onHandshakeFailed,
		Stalled: s.Stalled,
	}, cfg.Mux)
	return s
}

// Start listens for peers and starts the loops of the service. It returns the
// bound address and does not wait until the service is ready.
func (s *Service) Start(ctx context.Context) (net.Addr, error) {
	s.ctx, s.cancel = context.WithCancel(ctx)
	s.pauses.Tick()
	addr, err := s.node.Listen(s.cfg.Listen)
	if err != nil {
		s.cancel()
		return nil, err
	}
	loops := []func(){s.publishLoop, s.pauseLoop, s.listLoop, s.dialLoop, s.gossipLoop, s.platformLoop, s.collectLoop}
	for _, loop := range loops {
		s.wg.Go(loop)
	}
	return addr, nil
}

// spawn runs fn in a goroutine for which Stop waits. It does nothing once the
// service is stopping.
func (s *Service) spawn(fn func()) {
	s.stopMu.Lock()
	defer s.stopMu.Unlock()
	if s.ctx.Err() == nil {
		s.wg.Go(fn)
	}
}

// Stop closes all connections and waits until all goroutines of the service have
// ended.
func (s *Service) Stop() {
	s.stopMu.Lock()
	s.cancel()
	s.stopMu.Unlock()
	s.node.Close()
	s.wg.Wait()
}

// StopListening stops accepting peer connections and keeps the open ones.
func (s *Service) StopListening() { s.node.StopListening() }

// DropConnections closes all peer connections; they are dialled again. A process
// calls it after it was paused, to discard unread messages that arrived during
// the pause.
func (s *Service) DropConnections() {
	for _, conn := range s.node.DropAll() {
		s.onClose(conn)
	}
}

// View returns the current view.
func (s *Service) View() *View { return s.view.Load() }

// Agent returns the connection to the agent that owns the endpoint, and whether
// there is one.
func (s *Service) Agent(endpoint string) (*peer.Conn, bool) {
	m, ok := s.View().Endpoint(endpoint)
	if !ok {
		return nil, false
	}
	l := s.links.get(m.VM.Name)
	if l == nil || l.process.Role != wire.RoleAgent {
		return nil, false
	}
	return l.conn, true
}

// Entries returns the connections to entries, sorted by VM name.
func (s *Service) Entries() []*peer.Conn { return s.links.conns(wire.RoleEntry) }

// Agents returns the connections to agents, sorted by VM name.
func (s *Service) Agents() []*peer.Conn { return s.links.conns(wire.RoleAgent) }

// Ready reports whether a bundle is in force and a read of the list of VMs has
// succeeded or failed since the start or the last pause. After a pause it also
// requires a peer connection, for at most reconnectWait.
func (s *Service) Ready() bool {
	// Stalled must be checked first: once it is false, the other conditions
	// refer to the time after the pause.
	if s.Stalled() || !s.collectionDone.Load() || !s.listTried.Load() {
		return false
	}
	return s.bundleInForce.Load() && s.reconnected()
}

func (s *Service) hello() wire.Hello {
	h := wire.Hello{Process: s.cfg.Self, VM: s.cfg.VM, Bundle: s.cfg.Holder.Head()}
	if s.cfg.Report != nil {
		h.Report = s.cfg.Report()
	}
	return h
}

// Observe applies an agent's report to the view. Besides hellos and notifications,
// reports may arrive in other messages, for example in the reply to a stage call.
func (s *Service) Observe(report wire.AgentReport) {
	s.coreMu.Lock()
	changed := s.views.observe(s.cfg.Now(), &report)
	s.coreMu.Unlock()
	if changed {
		s.markDirty()
	}
}

func (s *Service) markDirty() { signal(s.dirty) }

// signal wakes the receiver of a channel of capacity one; a pending signal
// absorbs further ones.
func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// minPublishInterval is the least time between two rebuilds of the view by
// publishLoop. Without it, a fleet that connects all at once would cause a
// rebuild for each connection.
const minPublishInterval = 5 * time.Millisecond

func (s *Service) publishLoop() {
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-s.dirty:
		}
		s.publish()
		if !sleep.For(s.ctx, minPublishInterval) {
			return
		}
	}
}

// publish rebuilds the view, logs and publishes what changed, and calls OnLeaving
// if this process's VM started or stopped leaving.
func (s *Service) publish() {
	s.publishMu.Lock()
	defer s.publishMu.Unlock()
	s.coreMu.Lock()
	view, events, claims := s.views.view(s.cfg.Now())
	leaving := s.views.selfLeaving()
	leavingChanged := leaving != s.leaving
	s.leaving = leaving
	s.coreMu.Unlock()
	s.view.Store(view)
	for _, e := range events {
		s.cfg.Log.Info().Str("event", logMember).Str("vm", e.VM).Str("endpoint", e.Endpoint).
			Str("state", e.State).Str("reason", e.Reason).Msg("member")
		s.publishEvent(kernel.TopicMember, e)
	}
	for _, claim := range claims {
		s.cfg.Log.Warn().Str("event", logClaimedTwice).Str("vm", claim.VM).Str("endpoint", claim.Endpoint).
			Msg("endpoint is already owned by another VM; claim ignored")
	}
	signal(s.dialWake)
	if leavingChanged && s.cfg.OnLeaving != nil {
		s.cfg.OnLeaving(leaving)
	}
}

func (s *Service) publishEvent(topic kernel.Topic, event any) {
	if s.cfg.Bus == nil {
		return
	}
	if err := kernel.Publish(s.cfg.Bus, topic, event); err != nil {
		s.cfg.Log.Warn().Str("event", logNotPublished).Err(err).Str("topic", string(topic)).Msg("cannot publish event")
	}
}

// sleepOrWake waits until d has passed or wake is signalled. It returns false, at
// once, if the service is stopping.
func (s *Service) sleepOrWake(d time.Duration, wake <-chan struct{}) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-s.ctx.Done():
		return false
	case <-timer.C:
	case <-wake:
	}
	return true
}
