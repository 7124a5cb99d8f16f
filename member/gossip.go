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
	// maxFetches bounds the concurrent fetches, each of a different version.
	maxFetches = 2
	// fetchRetryDelay is how long a peer is not fetched from after a failed fetch.
	fetchRetryDelay = 300 * time.Millisecond
	// refusedRetention is how long a head whose bundle was refused is not fetched
	// again, and maxRefused is how many such heads are remembered. Without that,
	// all peers of a process with a bad bundle would fetch it again and again.
	refusedRetention = time.Minute
	maxRefused       = 64
	// An adopted bundle's head is sent to peers in waves of waveSize, the first at
	// once and the others waveInterval apart, to at most maxWavePeers peers. Each
	// process that adopts the bundle does the same, so a few waves reach a whole
	// fleet; the exchange of hellos reaches processes that the waves miss.
	waveSize     = 16
	waveInterval = 100 * time.Millisecond
	maxWavePeers = 64
	// exchangeCycleTime is the time in which hellos are exchanged with all peers,
	// one at a time; minExchangeInterval and maxExchangeInterval bound the time
	// between two exchanges, before jitter. The exchanges distribute bundles to
	// processes that the waves missed, and detect peers that keep a connection open
	// without replying.
	exchangeCycleTime   = 20 * time.Second
	minExchangeInterval = 500 * time.Millisecond
	maxExchangeInterval = 3 * time.Second
	// noteFanout is how many entries each process notifies that a VM is leaving.
	noteFanout = 16
	// headReplyInterval is the least time between two replies with this process's
	// head to a peer that sends an older one.
	headReplyInterval = time.Second
)

// fetchTask is a fetch of the bundle with the given head from the process on VM.
type fetchTask struct {
	VM   string
	Head wire.BundleHead
}

// gossipEffects are the actions that gossipCore requests after an event.
type gossipEffects struct {
	// SendHead lists the VMs whose processes are to be sent the current head.
	SendHead []string
	// Fetch lists the fetches to start.
	Fetch []fetchTask
	// Exchange lists the VMs whose processes are to be asked for their hello.
	Exchange []string
}

// gossipCore is the state machine of the distribution of bundles between peers. It
// decides which bundles to fetch from which peer, which peers to send the current
// head to, and whether this process watches the configuration service. It does no
// I/O and is not safe for concurrent use.
type gossipCore struct {
	rng *rand.Rand
	// self is the name of this process's VM, and domain is its failure domain.
	self   string
	domain string

	// head is that of the best bundle held here: the one in force or, during the
	// initial collection, the best one collected.
	head wire.BundleHead
	// peers are the connected peers by VM name.
	peers map[string]*gossipPeer
	// fetching are the fetches in flight by version.
	fetching map[uint64]fetchTask
	// refused has the time at which the bundle of each head was refused.
	refused map[wire.BundleHead]time.Time
	// postponed means that the last planFetch skipped a peer whose fetchRetryDelay
	// had not passed.
	postponed bool
	// unnotified are the peers to which head is still to be sent, in random order.
	unnotified []string
	// waveAt and exchangeAt are when the next wave and the next exchange are due.
	waveAt     time.Time
	exchangeAt time.Time
	// exchangeQueue has the peers that remain in this cycle of exchanges.
	exchangeQueue []string

	// fleetSize and entryCount are the numbers of VMs and of entries that share
	// the platform's rate limit. fleetSize is at least expectedFleetSize, in case a
	// list is incomplete.
	expectedFleetSize int
	fleetSize         int
	entryCount        int
	role              wire.Role
	// watcher means that this process watches the configuration service.
	watcher bool
}

// gossipPeer is the state of one connected peer.
type gossipPeer struct {
	role wire.Role
	// head is the last head received from the peer.
	head wire.BundleHead
	// failedAt is when a fetch from the peer last failed.
	failedAt time.Time
	// headSentAt is when the current head was last sent in reply to an older one.
	headSentAt time.Time
}

func newGossipCore(self string, process wire.Process, expectedFleetSize int, rng *rand.Rand) *gossipCore {
	return &gossipCore{
		rng: rng, self: self, domain: process.Domain, role: process.Role,
		expectedFleetSize: expectedFleetSize, fleetSize: max(1, expectedFleetSize), entryCount: 1,
		peers:    make(map[string]*gossipPeer),
		fetching: make(map[uint64]fetchTask),
		refused:  make(map[wire.BundleHead]time.Time),
	}
}

// applyList applies the platform's list of VMs and reports whether this process
// has become a watcher of the configuration service.
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

// newerHead reports whether a process that holds b adopts a. Of two contents of
// one version the lower hash is the newer, as in bundle.Holder.
func newerHead(a, b wire.BundleHead) bool {
	if a.Version != b.Version {
		return a.Version > b.Version
	}
	return a.Hash < b.Hash
}

// peerUp adds a connected peer and applies the head of its hello. If the peer
// dialled the connection, the current head need not be sent to it: the hello with
// which this process replies is built after this call and contains it.
func (c *gossipCore) peerUp(now time.Time, vm string, hello *wire.Hello, dialed bool) gossipEffects {
	c.peers[vm] = &gossipPeer{role: hello.Process.Role}
	effects := c.headReceived(now, vm, hello.Bundle)
	if !dialed {
		effects.SendHead = nil
	}
	return effects
}

// peerDown removes a peer whose link has ended.
func (c *gossipCore) peerDown(vm string) { delete(c.peers, vm) }

// headReceived applies a head received from a peer. If the peer's head is older
// than the current one, the current head is sent in reply.
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

// shouldFetch reports whether to fetch the bundle with this head: one of a higher
// version, or one of the same version with a different content. The latter is a
// conflict between two operators, which the bundle.Holder has to see.
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

// planFetch selects a random peer among those with the highest version to fetch,
// and returns the fetch to start; nil if there is none or maxFetches are in flight.
func (c *gossipCore) planFetch(now time.Time) []fetchTask {
	if len(c.fetching) >= maxFetches {
		return nil
	}
	var best []fetchTask
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
		best = append(best, fetchTask{VM: vm, Head: peer.head})
	}
	if len(best) == 0 {
		return nil
	}
	slices.SortFunc(best, func(a, b fetchTask) int { return cmp.Compare(a.VM, b.VM) })
	task := best[c.rng.IntN(len(best))]
	c.fetching[task.Head.Version] = task
	return []fetchTask{task}
}

// fetchDone handles the end of a fetch. A failed fetch is retried from another
// peer, or from the same one after fetchRetryDelay.
func (c *gossipCore) fetchDone(now time.Time, task fetchTask, ok bool) gossipEffects {
	delete(c.fetching, task.Head.Version)
	if peer := c.peers[task.VM]; peer != nil && !ok {
		peer.failedAt = now
	}
	return gossipEffects{Fetch: c.planFetch(now)}
}

// markRefused records a head whose bundle was refused, in place of the oldest such
// head if maxRefused are recorded.
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

// headAdopted sets the current head and sends it to the first wave of peers.
func (c *gossipCore) headAdopted(now time.Time, head wire.BundleHead) gossipEffects {
	c.head = head
	c.unnotified = c.shuffledPeers()
	c.unnotified = c.unnotified[:min(len(c.unnotified), maxWavePeers)]
	return gossipEffects{SendHead: c.nextWave(now), Fetch: c.planFetch(now)}
}

// nextWave returns the peers of the next wave, leaving out those that have the
// current head or a newer one.
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

// tick returns the effects that are due and the time until its next call.
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

// nextExchange returns the next peer to exchange hellos with, if there is one, and
// starts a new cycle when the last has ended.
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

// shuffledPeers returns the VM names of the peers in random order.
func (c *gossipCore) shuffledPeers() []string {
	names := slices.Sorted(maps.Keys(c.peers))
	c.rng.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	return names
}

// noteTargets returns the peers to notify that a VM is leaving: the process on that
// VM and up to noteFanout entries, which forward the notification.
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
