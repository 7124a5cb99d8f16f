package discovery

import (
	"context"
	"time"

	"github.com/mangostage/mangostage/peer"
	"github.com/mangostage/mangostage/platform"
)

// MethodNewer is the call by which a process reads a peer's view.
const MethodNewer = "discovery.newer"

// relayTimeout bounds one call to a peer beyond its wait.
const relayTimeout = 300 * time.Millisecond

// newerQuery asks for what changed after a revision of the store, and to wait
// for it.
type newerQuery struct {
	After uint64        `json:"after"`
	Wait  time.Duration `json:"wait,omitempty"`
}

type newerReply struct {
	Items []platform.Item `json:"items"`
	At    uint64          `json:"at"`
	// Fresh is false if the store has not answered the peer lately.
	Fresh bool `json:"fresh"`
}

// ServePeers answers peers that do not read the store themselves.
func ServePeers(mux *peer.Mux, f *Follower) {
	peer.HandleCall(mux, MethodNewer, func(ctx context.Context, _ *peer.Conn, q newerQuery) (newerReply, error) {
		items, at := f.Await(ctx, q.After, q.Wait)
		return newerReply{Items: items, At: at, Fresh: f.Fresh()}, nil
	})
}

// Peers finds the peers to read from.
type Peers interface {
	// Ahead returns a peer that knows more than a revision; nil without one.
	Ahead(after uint64) *peer.Conn
	// Readers returns the peers that read the store for the fleet; self is
	// true if this process has to read it.
	Readers() (conns []*peer.Conn, self bool)
	// OthersSteady tells whether the store has answered a peer all along.
	OthersSteady() bool
}

// PeerRelay reads from peers.
type PeerRelay struct {
	peers Peers
}

// NewPeerRelay returns a Relay over the peers.
func NewPeerRelay(peers Peers) *PeerRelay { return &PeerRelay{peers: peers} }

// OthersSteady implements Relay.
func (r *PeerRelay) OthersSteady() bool { return r.peers.OthersSteady() }

// Newer implements Relay.
func (r *PeerRelay) Newer(ctx context.Context, after uint64) ([]platform.Item, uint64) {
	conn := r.peers.Ahead(after)
	if conn == nil {
		return nil, 0
	}
	reply, ok := ask(ctx, conn, newerQuery{After: after})
	if !ok {
		return nil, 0
	}
	return reply.Items, reply.At
}

// Follow implements Relay.
func (r *PeerRelay) Follow(ctx context.Context, after uint64, wait time.Duration) ([]platform.Item, uint64, bool) {
	conns, self := r.peers.Readers()
	if self {
		return nil, 0, false
	}
	reply, ok := ask(ctx, conns[0], newerQuery{After: after, Wait: wait})
	if !ok || !reply.Fresh || reply.At < after {
		return nil, 0, false
	}
	return reply.Items, reply.At, true
}

// ask calls a peer. One that does not answer knows nothing; the store is asked
// instead.
func ask(ctx context.Context, conn *peer.Conn, q newerQuery) (newerReply, bool) {
	ctx, cancel := context.WithTimeout(ctx, q.Wait+relayTimeout)
	defer cancel()
	var reply newerReply
	err := conn.Call(ctx, MethodNewer, q, &reply)
	return reply, err == nil
}
