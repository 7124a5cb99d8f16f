package member

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mangostage/mangostage/internal/pause"
	"github.com/mangostage/mangostage/kernel"
	"github.com/mangostage/mangostage/peer"
	"github.com/mangostage/mangostage/wire"
)

// Service takes part in the fleet for one process.
type Service struct {
	cfg   Config
	node  *peer.Node
	links *links
	dials *dialGate
	stats Stats

	// coreMu guards views and leaving; it is never held during I/O.
	coreMu  sync.Mutex
	views   *viewCore
	leaving bool
	// epoch grows with each detected pause; what was read in an earlier one is dropped.
	epoch uint64

	gossipMu sync.Mutex
	gossip   *gossipCore

	// publishMu keeps an older view from taking the place of a newer one.
	publishMu sync.Mutex

	// offerMu orders offers, so that OnBundle sees adoptions in order.
	offerMu sync.Mutex

	view           atomic.Pointer[View]
	listTried      atomic.Bool
	collectionDone atomic.Bool
	// inForce is set once OnBundle has returned for the first bundle.
	bundleInForce atomic.Bool
	platformTried atomic.Bool
	wokeAt        atomic.Pointer[time.Time]
	pauses        *pause.Watch

	dirty       chan struct{}
	gossipWake  chan struct{}
	listWake    chan struct{}
	dialWake    chan struct{}
	bundleWake  chan struct{}
	collectWake chan struct{}
	fetchSlots  chan struct{}

	ctx    context.Context
	cancel context.CancelFunc
	// stopMu orders the start of goroutines before the wait for them.
	stopMu sync.Mutex
	wg     sync.WaitGroup
}

// New returns a service that has registered its methods on cfg.Mux and not yet started.
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
	s.pauses = pause.NewWatch(cfg.Now, s.onWake)
	empty, _ := newView(cfg.Now(), time.Time{}, nil)
	s.view.Store(empty)
	peer.HandleNote(cfg.Mux, wire.MethodBundleHead, s.onHead)
	peer.HandleNote(cfg.Mux, wire.MethodReportNote, s.onReportNote)
	peer.HandleNote(cfg.Mux, wire.MethodVMNote, s.onVMNote)
	peer.HandleNote(cfg.Mux, wire.MethodRetireNote, s.onRetire)
	peer.HandleCall(cfg.Mux, wire.MethodBundleFetch, s.serveFetch)
	s.node = peer.NewNode(peer.Config{
		TLS: cfg.TLS, Hello: s.hello, OnConnect: s.onConnect, OnClose: s.onClose, OnHandshakeFailed: s.onHandshakeFailed,
		Stalled: s.Stalled,
	}, cfg.Mux)
	return s
}

// Start listens for peers and begins to follow the platform. It returns the
// bound address and does not wait for readiness.
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

// spawn runs fn in a goroutine that Stop waits for; once stopping, it does not.
func (s *Service) spawn(fn func()) {
	s.stopMu.Lock()
	defer s.stopMu.Unlock()
	if s.ctx.Err() == nil {
		s.wg.Go(fn)
	}
}

// Stop ends all connections and waits until nothing of the service runs.
func (s *Service) Stop() {
	s.stopMu.Lock()
	s.cancel()
	s.stopMu.Unlock()
	s.node.Close()
	s.wg.Wait()
}

// StopListening refuses new connections and keeps the open ones.
func (s *Service) StopListening() { s.node.StopListening() }

// DropConnections closes every connection to peers, which are dialled anew. A
// process that finds that it was stopped calls it, so that messages that waited
// in socket buffers die unread.
func (s *Service) DropConnections() {
	for _, conn := range s.node.DropAll() {
		s.onClose(conn)
	}
}

// View returns the present view.
func (s *Service) View() *View { return s.view.Load() }

// Agent returns the connection to the agent that owns the endpoint.
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

// Ready tells whether a bundle is in force and the list was tried since the
// start. After a pause of the process it also waits for a peer to connect.
func (s *Service) Ready() bool {
	// Stalled comes first: once it is false, the rest tells of the time after the pause.
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

// Observe takes in a report that came by another way, as with the reply to a
// stage call.
func (s *Service) Observe(report wire.AgentReport) {
	s.coreMu.Lock()
	changed := s.views.observe(s.cfg.Now(), &report)
	s.coreMu.Unlock()
	if changed {
		s.markDirty()
	}
}

func (s *Service) markDirty() { signal(s.dirty) }

// signal wakes the receiver of a channel that holds one.
func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// publishEvery bounds how often the view is rebuilt; a fleet that connects at
// once would otherwise cost a rebuild for each connection.
const minPublishInterval = 5 * time.Millisecond

func (s *Service) publishLoop() {
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-s.dirty:
		}
		s.publish()
		if !s.sleep(minPublishInterval) {
			return
		}
	}
}

// publish makes the view anew and tells of what changed.
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
			Msg("endpoint is claimed by a second process; ignored")
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
		s.cfg.Log.Warn().Str("event", logNotPublished).Err(err).Str("topic", string(topic)).Msg("event not published")
	}
}

// sleep waits for d and tells whether the service goes on.
func (s *Service) sleep(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-s.ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// sleepUnless is sleep that also ends when wake is signalled.
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
