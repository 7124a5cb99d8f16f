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

const (
	// peerCallTimeout bounds one call to a peer beyond its wait.
	peerCallTimeout = 300 * time.Millisecond
	// deprioritizePeriod is how long a reader that did not answer is asked after the others:
	// a dead one is no reader any more by then.
	deprioritizePeriod = 2 * time.Second
)

// Peers finds the peers to read from.
type Peers interface {
	// Ahead returns a peer that knows more than a revision; nil without one.
	Ahead(after uint64) *peer.Conn
	// Readers returns the peers that read the store for the fleet; self is
	// true if this process has to read it.
	Readers() (conns []*peer.Conn, self bool)
	// OthersStoreSteady tells whether the store has answered a peer all along.
	OthersStoreSteady() bool
}

var (
	errs = errorx.NewNamespace("discovery")
	// ErrNotFresh means that the store has not answered the reader lately.
	ErrNotFresh = errs.NewType("not_fresh")
	// ErrBehind means that the reader knows less than this process.
	ErrBehind = errs.NewType("behind")
	// ErrReplaced means that a peer has no longer the value that it spoke of.
	ErrReplaced = errs.NewType("replaced")
	// ErrDamaged means that a value is not what its peer packed.
	ErrDamaged = errs.NewType("damaged")
)

// PeerRelay reads from peers.
type PeerRelay struct {
	peers Peers
	log   zerolog.Logger

	mu sync.Mutex
	// unresponsive holds the readers that did not answer, by name, and since when.
	unresponsive map[string]time.Time
	// pending holds, by key, the large values of which parts have come.
	pending map[string]*assembly
}

// NewPeerRelay returns a Relay over the peers.
func NewPeerRelay(peers Peers, log zerolog.Logger) *PeerRelay {
	return &PeerRelay{peers: peers, log: log, unresponsive: make(map[string]time.Time), pending: make(map[string]*assembly)}
}

// OthersStoreSteady implements Relay.
func (r *PeerRelay) OthersStoreSteady() bool { return r.peers.OthersStoreSteady() }

// Newer implements Relay.
func (r *PeerRelay) Newer(ctx context.Context, after uint64) ([]platform.Item, uint64) {
	conn := r.peers.Ahead(after)
	if conn == nil {
		return nil, 0
	}
	var all []platform.Item
	var at uint64
	for {
		reply, err := requestChanges(ctx, conn, changesQuery{After: max(after, at)})
		if err != nil {
			return all, at
		}
		items, upTo, err := r.fetchLargeValues(ctx, conn, reply)
		if err != nil {
			return all, at
		}
		all, at = append(all, items...), upTo
		if !reply.More || upTo < reply.At {
			return all, at
		}
	}
}

// Follow implements Relay. If the first reader does not answer the others are
// asked, without a wait: a reader that dies would otherwise send all that follow
// it to the store at once.
func (r *PeerRelay) Follow(ctx context.Context, after uint64, wait time.Duration) ([]platform.Item, uint64, bool) {
	conns, self := r.peers.Readers()
	if self {
		return nil, 0, false
	}
	for _, conn := range r.responsiveFirst(conns) {
		began := time.Now()
		items, at, err := r.follow(ctx, conn, changesQuery{After: after, Wait: wait})
		r.recordResult(conn.Peer().Process.Name, after, time.Since(began), err)
		if err == nil {
			return items, at, true
		}
		wait = 0
	}
	return nil, 0, false
}

// responsiveFirst puts the readers last that did not answer a short time ago.
func (r *PeerRelay) responsiveFirst(conns []*peer.Conn) []*peer.Conn {
	r.mu.Lock()
	defer r.mu.Unlock()
	var first, last []*peer.Conn
	for _, conn := range conns {
		if time.Since(r.unresponsive[conn.Peer().Process.Name]) < deprioritizePeriod {
			last = append(last, conn)
			continue
		}
		first = append(first, conn)
	}
	return append(first, last...)
}

// follow asks a reader, whose answer counts only while it is up to date. Part of
// a large value is an answer: what has come stays, and the rest is asked for next.
func (r *PeerRelay) follow(ctx context.Context, conn *peer.Conn, q changesQuery) ([]platform.Item, uint64, error) {
	reply, err := requestChanges(ctx, conn, q)
	switch {
	case err != nil:
		return nil, 0, err
	case !reply.Fresh:
		return nil, 0, ErrNotFresh.New("the store has not answered the reader lately")
	case reply.At < q.After:
		return nil, 0, ErrBehind.New("the reader knows revision %d", reply.At)
	}
	return r.fetchLargeValues(ctx, conn, reply)
}

// recordResult keeps which readers do not answer. It logs when one ceases to, with what
// it was asked for and how long, and when it answers again: without it a process
// that asks the store although a reader lives does not say why.
func (r *PeerRelay) recordResult(reader string, after uint64, took time.Duration, err error) {
	r.mu.Lock()
	_, before := r.unresponsive[reader]
	if err != nil {
		r.unresponsive[reader] = time.Now()
	} else {
		delete(r.unresponsive, reader)
	}
	r.mu.Unlock()
	switch {
	case err != nil && !before:
		r.log.Warn().Str("event", logReaderLost).Str("reader", reader).Uint64("after", after).
			Dur("took_ms", took).Err(err).Msg("a reader of the store does not answer")
	case err == nil && before:
		r.log.Info().Str("event", logReaderRegained).Str("reader", reader).Uint64("after", after).
			Msg("a reader of the store answers")
	}
}

// requestChanges calls a peer for changes. One that does not answer knows nothing; the
// store is asked instead.
func requestChanges(ctx context.Context, conn *peer.Conn, q changesQuery) (changesReply, error) {
	ctx, cancel := context.WithTimeout(ctx, q.Wait+peerCallTimeout)
	defer cancel()
	var reply changesReply
	err := conn.Call(ctx, MethodChanges, q, &reply)
	return reply, err
}
