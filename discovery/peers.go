package discovery

import (
	"context"
	"sync"
	"time"

	"github.com/joomcode/errorx"
	"github.com/rs/zerolog"

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

var (
	errs = errorx.NewNamespace("discovery")
	// ErrNotFresh means that the store has not answered the reader lately.
	ErrNotFresh = errs.NewType("not_fresh")
	// ErrBehind means that the reader knows less than this process.
	ErrBehind = errs.NewType("behind")
)

// PeerRelay reads from peers.
type PeerRelay struct {
	peers Peers
	log   zerolog.Logger

	mu sync.Mutex
	// lost is the reader that this process followed last without an answer;
	// empty while it has one.
	lost string
}

// NewPeerRelay returns a Relay over the peers.
func NewPeerRelay(peers Peers, log zerolog.Logger) *PeerRelay {
	return &PeerRelay{peers: peers, log: log}
}

// OthersSteady implements Relay.
func (r *PeerRelay) OthersSteady() bool { return r.peers.OthersSteady() }

// Newer implements Relay.
func (r *PeerRelay) Newer(ctx context.Context, after uint64) ([]platform.Item, uint64) {
	conn := r.peers.Ahead(after)
	if conn == nil {
		return nil, 0
	}
	reply, err := ask(ctx, conn, newerQuery{After: after})
	if err != nil {
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
	began := time.Now()
	reply, err := follow(ctx, conns[0], newerQuery{After: after, Wait: wait})
	r.note(conns[0].Peer().Process.Name, after, time.Since(began), err)
	return reply.Items, reply.At, err == nil
}

// follow asks a reader, whose answer counts only while it is up to date.
func follow(ctx context.Context, conn *peer.Conn, q newerQuery) (newerReply, error) {
	reply, err := ask(ctx, conn, q)
	switch {
	case err != nil:
		return newerReply{}, err
	case !reply.Fresh:
		return newerReply{}, ErrNotFresh.New("the store has not answered the reader lately")
	case reply.At < q.After:
		return newerReply{}, ErrBehind.New("the reader knows revision %d", reply.At)
	}
	return reply, nil
}

// note logs when a reader ceases to answer, with what it was asked for and how
// long, and when one answers again: without it a process that asks the store
// although a reader lives does not say why.
func (r *PeerRelay) note(reader string, after uint64, took time.Duration, err error) {
	r.mu.Lock()
	before := r.lost
	r.lost = ""
	if err != nil {
		r.lost = reader
	}
	r.mu.Unlock()
	switch {
	case err != nil && before == "":
		r.log.Warn().Str("event", logReaderLost).Str("reader", reader).Uint64("after", after).
			Dur("took_ms", took).Err(err).Msg("a reader of the store does not answer")
	case err == nil && before != "":
		r.log.Info().Str("event", logReaderRegained).Str("reader", reader).Uint64("after", after).
			Msg("a reader of the store answers")
	}
}

// ask calls a peer. One that does not answer knows nothing; the store is asked
// instead.
func ask(ctx context.Context, conn *peer.Conn, q newerQuery) (newerReply, error) {
	ctx, cancel := context.WithTimeout(ctx, q.Wait+relayTimeout)
	defer cancel()
	var reply newerReply
	err := conn.Call(ctx, MethodNewer, q, &reply)
	return reply, err
}
