package member

import (
	"time"

	"github.com/mangostage/mangostage/wire"
)

const (
	// minCollectTime is the least time for which a starting process collects offers.
	minCollectTime = 300 * time.Millisecond
	// collectWindow is how long it collects if some peers have answered, but not all
	// that the list names, or the list could not be read.
	collectWindow = 1500 * time.Millisecond
	// maxCollectTime is how long it collects at most. It waits that long if no peer
	// has answered although the list names peers, or if no peer has answered and
	// the list could not be read.
	maxCollectTime = 10 * time.Second
	// collectCheckInterval is the interval at which the conditions are checked.
	collectCheckInterval = 50 * time.Millisecond
)

// collectState is the state from which a starting process decides whether to stop
// collecting bundle offers and put the best one in force.
type collectState struct {
	// Elapsed is the time since the start of the collection.
	Elapsed time.Duration
	// PlatformTried and ListTried mean that a read of the bundle and of the list
	// of VMs, respectively, has succeeded or failed.
	PlatformTried, ListTried bool
	// ListRead means that a list has been read; NamedPeers is how many of the
	// peers that it names this process contacts.
	ListRead   bool
	NamedPeers int
	// AnsweredPeers is the number of peers connected, whose hello has arrived.
	AnsweredPeers int
	// Fetching is the number of bundles being fetched from peers.
	Fetching int
}

// done reports whether to stop collecting offers.
//
// A starting process may read an old bundle from a stale configuration service
// while its peers serve under a newer one, with a higher version. A reply from one
// up-to-date peer is enough to prevent that, so the process waits for its peers,
// and longer if none answers. One case remains: if the service is stale and no
// up-to-date peer can be reached within maxCollectTime, the process starts under
// the old bundle. It adopts the newer one from the first up-to-date peer that it
// connects to; until then its requests have the old version in their records.
func (st *collectState) done() bool {
	switch {
	case st.Elapsed >= maxCollectTime:
		return true
	case !st.PlatformTried || !st.ListTried || st.Fetching > 0:
		return false
	case st.Elapsed < minCollectTime:
		return false
	case st.ListRead && st.AnsweredPeers >= st.NamedPeers:
		return true
	case st.AnsweredPeers == 0:
		return false
	}
	return st.Elapsed >= collectWindow
}

// collectLoop waits until collectState.done and then ends the initial collection
// of bundle offers.
func (s *Service) collectLoop() {
	started := time.Now()
	for {
		state := s.collectState(time.Since(started))
		if state.done() {
			break
		}
		if !s.sleepOrWake(collectCheckInterval, s.collectWake) {
			return
		}
	}
	s.offerMu.Lock()
	defer s.offerMu.Unlock()
	s.collectionDone.Store(true)
	s.adoptCollected()
}

func (s *Service) collectState(elapsed time.Duration) collectState {
	st := collectState{
		Elapsed:       elapsed,
		PlatformTried: s.platformTried.Load(),
		ListTried:     s.listTried.Load(),
		ListRead:      !s.View().ListedAt.IsZero(),
		NamedPeers:    s.namedPeers(),
		AnsweredPeers: s.links.count(),
	}
	s.gossipMu.Lock()
	st.Fetching = len(s.gossip.fetching)
	s.gossipMu.Unlock()
	return st
}

// namedPeers returns the number of listed peers that this process contacts when it
// starts.
func (s *Service) namedPeers() int {
	named := len(s.targets())
	if s.cfg.Self.Role == wire.RoleAgent {
		return min(named, startupDials)
	}
	return named
}
