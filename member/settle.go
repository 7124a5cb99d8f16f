package member

import (
	"time"

	"github.com/mangostage/mangostage/wire"
)

const (
	// settleLeast is how long a fresh process collects offers at the least.
	minCollectTime = 300 * time.Millisecond
	// settleWindow is how long it collects if some peers have not answered.
	collectWindow = 1500 * time.Millisecond
	// settleLongest is how long it collects if no peer has answered although
	// the list names peers, or could not be read.
	maxCollectTime = 10 * time.Second
	// settleCheck is the cadence at which the conditions are looked at.
	collectCheckInterval = 50 * time.Millisecond
)

// collectState is what a fresh process knows when it decides whether to put the
// best offered bundle in force.
type collectState struct {
	Elapsed time.Duration
	// PlatformTried and ListTried tell that each was read or failed.
	PlatformTried, ListTried bool
	// ListRead tells that a list was read, and Named how many peers it names.
	ListRead   bool
	NamedPeers int
	// AnsweredPeers is the number of peers whose hello came.
	AnsweredPeers int
	// Fetching is the number of bundles being fetched from peers.
	Fetching int
}

// done tells whether to stop collecting offers.
//
// A fresh process may read an old bundle from a stale configuration service
// while its peers serve a newer one. It shows as a version lower than the
// peers'. One up-to-date peer that answers is enough to prevent it, so the
// process waits for its peers, longer if none answers. What remains: if for
// settleLongest no up-to-date peer can be reached and the service is stale,
// the process starts under the old bundle. It moves on with the first peer
// that it meets, and its requests carry the old version in their records.
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

// collectLoop ends the collection of offers of a fresh process.
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

// namedPeers is the number of peers that this process itself asks when it starts.
func (s *Service) namedPeers() int {
	named := len(s.targets())
	if s.cfg.Self.Role == wire.RoleAgent {
		return min(named, startupDials)
	}
	return named
}
