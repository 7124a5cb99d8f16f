package member

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/mangostage/mangostage/confsvc"
	"github.com/mangostage/mangostage/wire"
)

const (
	// maxFetches bounds the bundles fetched at once, each of another version.
	maxFetches = 2
	// fetchRetry is how long a peer that failed a fetch is passed over.
	fetchRetryDelay = 300 * time.Millisecond
	// refusedHold is how long a head whose bundle was refused is not fetched
	// again, and maxRefused how many such heads are remembered. Without the
	// first, one peer with a bad bundle would keep every other fetching it.
	refusedRetention = time.Minute
	maxRefused       = 64
	// waveSize peers are told of an adopted bundle at once and after each
	// waveEvery, up to waveLimit peers. Each adopter does the same, so a few
	// waves cover a fleet; exchange mends what they miss.
	waveSize     = 16
	waveInterval = 100 * time.Millisecond
	maxWavePeers = 64
	// exchangeCycle is the time in which hellos are exchanged with each peer in
	// turn, one at a time, at most every fastExchange and at least every
	// slowExchange. It mends what the waves missed and finds peers that keep a
	// connection open and do not answer.
	exchangeCycleTime   = 20 * time.Second
	minExchangeInterval = 500 * time.Millisecond
	maxExchangeInterval = 3 * time.Second
	// noteFanout is how many entries each process tells that a VM leaves.
	noteFanout = 16
	// answerEvery bounds how often one peer that is behind is told so.
	headReplyInterval = time.Second
)

// fetchOrder says to fetch the bundle of Head from the process on VM.
type fetchOrder struct {
	VM   string
	Head wire.BundleHead
}

// gossipEffects is what a shell does after an event.
type gossipEffects struct {
	// Tell lists the VMs whose processes are to be sent the present head.
	SendHead []string
	Fetch    []fetchOrder
	// Exchange lists the VMs whose processes are to be asked for their hello.
	Exchange []string
}

// gossipCore decides which bundles to fetch from whom, whom to tell, and how
// this process follows the configuration service. It does no I/O; its caller
// serialises the calls.
type gossipCore struct {
	rng    *rand.Rand
	self   string
	domain string

	head     wire.BundleHead
	peers    map[string]*gossipPeer
	fetching map[uint64]fetchOrder
	refused  map[wire.BundleHead]time.Time
	// postponed: a peer has a wanted bundle and has just failed to send it.
	postponed bool
	// untold are the peers still to be told of head, in random order.
	unnotified []string
	waveAt     time.Time
	exchangeAt time.Time
	// turn holds the peers that are still to be exchanged with in this cycle.
	exchangeQueue []string

	// fleet and entries are the numbers of VMs and of entries that share the
	// platform's limit; fleet is at least expected, in case a list is short.
	expectedFleetSize int
	fleetSize         int
	entryCount        int
	role              wire.Role
	watcher           bool
}

type gossipPeer struct {
	role       wire.Role
	head       wire.BundleHead
	failedAt   time.Time
	headSentAt time.Time
}

func newGossipCore(self string, process wire.Process, expected int, rng *rand.Rand) *gossipCore {
	return &gossipCore{
		rng: rng, self: self, domain: process.Domain, role: process.Role,
		expectedFleetSize: expected, fleetSize: max(1, expected), entryCount: 1,
		peers:    make(map[string]*gossipPeer),
		fetching: make(map[uint64]fetchOrder),
		refused:  make(map[wire.BundleHead]time.Time),
	}
}

// list takes in the platform's list and tells whether this process becomes a
// watcher of the configuration service by it.
func (c *gossipCore) applyList(vms []confsvc.VM) bool {
	c.fleetSize = max(1, c.expectedFleetSize, len(vms), len(c.peers)+1)
	c.entryCount = 0
	for i := range vms {
		if vms[i].Role == wire.RoleEntry {
			c.entryCount++
		}
	}
	wasWatcher := c.watcher
	c.watcher = slices.Contains(Watchers(vms, c.domain), c.self)
	return c.watcher && !wasWatcher
}

// later tells whether a process that holds b moves on to a; of two contents of
// one version the lower hash is the later, as in bundle.Holder.
func newerHead(a, b wire.BundleHead) bool {
	if a.Version != b.Version {
		return a.Version > b.Version
	}
	return a.Hash < b.Hash
}

// peerUp takes in a connection and the head that its hello carried. The side
// that accepted it need not tell its own head: its hello, which is made after
// this call, carries it.
func (c *gossipCore) peerUp(now time.Time, vm string, hello *wire.Hello, dialed bool) gossipEffects {
	c.peers[vm] = &gossipPeer{role: hello.Process.Role}
	effects := c.headReceived(now, vm, hello.Bundle)
	if !dialed {
		effects.SendHead = nil
	}
	return effects
}

// peerDown takes in the end of the only connection to a VM.
func (c *gossipCore) peerDown(vm string) { delete(c.peers, vm) }

// heard takes in a head that a peer sent.
func (c *gossipCore) headReceived(now time.Time, vm string, head wire.BundleHead) gossipEffects {
	peer, ok := c.peers[vm]
	if !ok {
		return gossipEffects{}
	}
	peer.head = head
	effects := gossipEffects{Fetch: c.planFetch(now)}
	if newerHead(c.head, head) && now.Sub(peer.headSentAt) >= headReplyInterval {
		peer.headSentAt = now
		effects.SendHead = []string{vm}
	}
	return effects
}

// wanted tells whether a bundle with this head is worth fetching: a newer
// one, or another content of the same version, which is two operators'
// conflict and must be seen by whoever decides on offers.
func (c *gossipCore) shouldFetch(now time.Time, head wire.BundleHead) bool {
	if head.Version == 0 || head.Version < c.head.Version || head == c.head {
		return false
	}
	if _, ok := c.fetching[head.Version]; ok {
		return false
	}
	at, refused := c.refused[head]
	return !refused || now.Sub(at) >= refusedRetention
}

// plan starts the fetch of the highest wanted version, if one may start now.
func (c *gossipCore) planFetch(now time.Time) []fetchOrder {
	if len(c.fetching) >= maxFetches {
		return nil
	}
	var best []fetchOrder
	c.postponed = false
	for vm, peer := range c.peers {
		if !c.shouldFetch(now, peer.head) {
			continue
		}
		if now.Sub(peer.failedAt) < fetchRetryDelay {
			c.postponed = true
			continue
		}
		if len(best) > 0 && peer.head.Version < best[0].Head.Version {
			continue
		}
		if len(best) > 0 && peer.head.Version > best[0].Head.Version {
			best = best[:0]
		}
		best = append(best, fetchOrder{VM: vm, Head: peer.head})
	}
	if len(best) == 0 {
		return nil
	}
	slices.SortFunc(best, func(a, b fetchOrder) int { return cmp.Compare(a.VM, b.VM) })
	order := best[c.rng.IntN(len(best))]
	c.fetching[order.Head.Version] = order
	return []fetchOrder{order}
}

// fetched takes in the end of a fetch. A fetch that failed is tried again
// from another peer, or from the same one later.
func (c *gossipCore) fetchDone(now time.Time, order fetchOrder, ok bool) gossipEffects {
	delete(c.fetching, order.Head.Version)
	if peer := c.peers[order.VM]; peer != nil && !ok {
		peer.failedAt = now
	}
	return gossipEffects{Fetch: c.planFetch(now)}
}

// refuse remembers a head whose bundle was refused.
func (c *gossipCore) markRefused(now time.Time, head wire.BundleHead) {
	if len(c.refused) >= maxRefused {
		c.forgetOldestRefused()
	}
	c.refused[head] = now
}

func (c *gossipCore) forgetOldestRefused() {
	var oldest wire.BundleHead
	var at time.Time
	for head, t := range c.refused {
		if at.IsZero() || t.Before(at) {
			oldest, at = head, t
		}
	}
	delete(c.refused, oldest)
}

// adopted takes in the head now in force and starts to tell the peers.
func (c *gossipCore) headAdopted(now time.Time, head wire.BundleHead) gossipEffects {
	c.head = head
	c.unnotified = c.shuffledPeers()
	c.unnotified = c.unnotified[:min(len(c.unnotified), maxWavePeers)]
	return gossipEffects{SendHead: c.nextWave(now), Fetch: c.planFetch(now)}
}

// wave takes the next peers to be told, passing over those that have the head.
func (c *gossipCore) nextWave(now time.Time) []string {
	var notify []string
	for len(c.unnotified) > 0 && len(notify) < waveSize {
		vm := c.unnotified[0]
		c.unnotified = c.unnotified[1:]
		if peer, ok := c.peers[vm]; ok && newerHead(c.head, peer.head) {
			notify = append(notify, vm)
		}
	}
	c.waveAt = now.Add(waveInterval)
	return notify
}

// tick does what is due and returns when it is to be called next.
func (c *gossipCore) tick(now time.Time) (gossipEffects, time.Duration) {
	effects := gossipEffects{Fetch: c.planFetch(now)}
	if len(c.unnotified) > 0 && !now.Before(c.waveAt) {
		effects.SendHead = c.nextWave(now)
	}
	if !now.Before(c.exchangeAt) {
		if !c.exchangeAt.IsZero() {
			effects.Exchange = c.nextExchange()
		}
		interval := exchangeCycleTime / time.Duration(max(1, len(c.peers)))
		c.exchangeAt = now.Add(jitter(c.rng, min(max(interval, minExchangeInterval), maxExchangeInterval)))
	}
	next := c.exchangeAt.Sub(now)
	if c.postponed {
		next = min(next, fetchRetryDelay)
	}
	if len(c.unnotified) > 0 {
		next = min(next, c.waveAt.Sub(now))
	}
	return effects, max(next, time.Millisecond)
}

// nextInTurn takes the next peer of the cycle.
func (c *gossipCore) nextExchange() []string {
	if len(c.exchangeQueue) == 0 {
		c.exchangeQueue = c.shuffledPeers()
	}
	for len(c.exchangeQueue) > 0 {
		vm := c.exchangeQueue[0]
		c.exchangeQueue = c.exchangeQueue[1:]
		if _, ok := c.peers[vm]; ok {
			return []string{vm}
		}
	}
	return nil
}

// shuffledPeers lists the peers in random order.
func (c *gossipCore) shuffledPeers() []string {
	names := slices.Sorted(maps.Keys(c.peers))
	c.rng.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	return names
}

// noteTargets are the peers to be told that a VM leaves: its own process, and
// entries, which pass it on.
func (c *gossipCore) noteTargets(leaving string) []string {
	var targets []string
	for _, vm := range c.shuffledPeers() {
		if vm != leaving && c.peers[vm].role == wire.RoleEntry && len(targets) < noteFanout {
			targets = append(targets, vm)
		}
	}
	if _, ok := c.peers[leaving]; ok {
		targets = append(targets, leaving)
	}
	return targets
}
