package discovery

import (
	"context"
	"time"

	"github.com/mangostage/mangostage/peer"
	"github.com/mangostage/mangostage/platform"
)

// MethodNewer is the call by which a process reads a peer's view.
const MethodNewer = "discovery.newer"

// relayTimeout bounds one call to a peer.
const relayTimeout = 500 * time.Millisecond

// newerQuery asks for what changed after a revision of the store.
type newerQuery struct {
	After uint64 `json:"after"`
}

type newerReply struct {
	Items []platform.Item `json:"items"`
	At    uint64          `json:"at"`
}

// ServePeers answers peers that do not reach the store.
func ServePeers(mux *peer.Mux, f *Follower) {
	peer.HandleCall(mux, MethodNewer, func(_ context.Context, _ *peer.Conn, q newerQuery) (newerReply, error) {
		items, at := f.Since(q.After)
		return newerReply{Items: items, At: at}, nil
	})
}

// PeerFinder finds a peer that knows more than a revision; nil without one.
type PeerFinder interface {
	Ahead(after uint64) *peer.Conn
}

// PeerRelay reads from peers.
type PeerRelay struct {
	peers PeerFinder
}

// NewPeerRelay returns a Relay over the peers that peers finds.
func NewPeerRelay(peers PeerFinder) *PeerRelay { return &PeerRelay{peers: peers} }

// Newer implements Relay.
func (r *PeerRelay) Newer(ctx context.Context, after uint64) ([]platform.Item, uint64) {
	conn := r.peers.Ahead(after)
	if conn == nil {
		return nil, 0
	}
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	var reply newerReply
	// A peer that does not answer knows nothing: the next try asks again.
	if err := conn.Call(ctx, MethodNewer, newerQuery{After: after}, &reply); err != nil {
		return nil, 0
	}
	return reply.Items, reply.At
}
