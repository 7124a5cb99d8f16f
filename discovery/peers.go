package discovery

import (
	"context"
	"sync"
	"time"

	"github.com/joomcode/errorx"
	"github.com/rs/zerolog"

	"github.com/mangostage/mangostage/peer"
	"github.com/mangostage/mangostage/position"
)

const (
	// peerCallTimeout bounds a call to a peer, beyond the time that the peer is asked to
	// wait.
	peerCallTimeout = 300 * time.Millisecond
	// deprioritizePeriod is how long a reader that did not answer is asked only after the
	// others. The fleet replaces a reader whose process has ended sooner than that.
	deprioritizePeriod = 2 * time.Second
)

// Peers returns the connections to the peers to read from.
type Peers interface {
	// Ahead returns the connection to a peer with a later position than after, or nil if
	// there is none.
	Ahead(after position.Position) *peer.Conn
	// Informed returns the connection to a peer that is in the era of the store with more
	// knowledge than this process, and what it knows; nil if there is none.
	Informed(known position.Knowledge) (conn *peer.Conn, theirs position.Knowledge)
	// Readers returns the connections to the peers that read the store for the fleet; self
	// is true if this process must read the store itself.
	Readers() (conns []*peer.Conn, self bool)
	// OthersStoreSteady reports whether the store has answered a peer without interruption
	// for some seconds.
	OthersStoreSteady() bool
}

var (
	errs = errorx.NewNamespace("discovery")
	// ErrNotFresh means that the store has not answered the reader recently.
	ErrNotFresh = errs.NewType("not_fresh")
	// ErrBehind means that the reader has an earlier position than this process.
	ErrBehind = errs.NewType("behind")
	// ErrReplaced means that a peer no longer has the value that its answer referred to.
	ErrReplaced = errs.NewType("replaced")
	// ErrDamaged means that a value does not match its digest, cannot be unpacked or is
	// too long.
	ErrDamaged = errs.NewType("damaged")
)

// PeerRelay implements Relay by calls to peers.
type PeerRelay struct {
	peers Peers
	log   zerolog.Logger

	mu sync.Mutex
	// unresponsive holds, by name, when readers last did not answer; a reader that answers
	// is removed.
	unresponsive map[string]time.Time
	// pending holds, by key, the large values of which some parts have arrived.
	pending map[string]*assembly
}

// NewPeerRelay returns a Relay that reads from the peers.
func NewPeerRelay(peers Peers, log zerolog.Logger) *PeerRelay {
	return &PeerRelay{peers: peers, log: log, unresponsive: make(map[string]time.Time), pending: make(map[string]*assembly)}
}

// OthersStoreSteady implements Relay.
func (r *PeerRelay) OthersStoreSteady() bool { return r.peers.OthersStoreSteady() }

// Newer implements Relay.
func (r *PeerRelay) Newer(ctx context.Context, known position.Knowledge) Batch {
	conn := r.peers.Ahead(known.At)
	if conn == nil {
		return Batch{}
	}
	changes, _ := r.readAll(ctx, conn, known.At, position.Position{})
	if changes.lacks(known) {
		changes = r.readComplete(ctx, conn, known.At)
	}
	if changes.Complete && changes.isJudgement(known) {
		return Batch{}
	}
	return changes
}

// Informed implements Relay.
func (r *PeerRelay) Informed(ctx context.Context, known position.Knowledge) (Batch, bool) {
	conn, theirs := r.peers.Informed(known)
	if conn == nil || theirs.Settled {
		return Batch{}, false
	}
	changes, whole := r.readAll(ctx, conn, known.Before, position.Position{})
	return changes, whole && known.LessInformed(changes.knowledge())
}

// Compare implements Relay.
func (r *PeerRelay) Compare(ctx context.Context, known position.Knowledge, digest uint64) Comparison {
	conn, theirs := r.peers.Informed(known)
	if conn == nil || !theirs.Settled {
		return Comparison{Verdict: VerdictElsewhere}
	}
	verdict, err := compare(ctx, conn, compareQuery{At: known.At, Digest: digest})
	if err != nil {
		return Comparison{Verdict: VerdictElsewhere}
	}
	c := Comparison{Peer: conn.Peer().Process.Name, Verdict: verdict}
	if verdict == VerdictDifferent {
		c.Batch = r.readComplete(ctx, conn, known.At)
	}
	return c
}

// compare asks a peer whether it lists the same.
func compare(ctx context.Context, conn *peer.Conn, q compareQuery) (Verdict, error) {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	var reply compareReply
	err := conn.Call(ctx, MethodCompare, q, &reply)
	return reply.Verdict, err
}

// readAll reads all pages of a peer's changes after a position, without a configuration up
// to known; whole is false if the peer has further ones.
func (r *PeerRelay) readAll(ctx context.Context, conn *peer.Conn, after, known position.Position) (all Batch, whole bool) {
	for {
		query := queryAfter(position.Latest(after, all.At), 0)
		query.Known = known
		reply, err := requestChanges(ctx, conn, query)
		if err != nil {
			return all, false
		}
		page, err := r.fetchLargeValues(ctx, conn, reply)
		if err != nil {
			return all, false
		}
		page.Items = append(all.Items, page.Items...)
		page.Writes = append(all.Writes, page.Writes...)
		all = page
		if !reply.More || page.At != reply.position() {
			return all, page.At == reply.position()
		}
	}
}

// readComplete reads all items that a peer knows, for a process that is complete up to
// known; the zero Batch if that fails.
func (r *PeerRelay) readComplete(ctx context.Context, conn *peer.Conn, known position.Position) Batch {
	all, whole := r.readAll(ctx, conn, position.Position{}, known)
	if !whole {
		return Batch{}
	}
	all.Complete = true
	return all
}

// Follow implements Relay. If the first reader does not answer, it asks the others without
// letting them wait for changes. Otherwise all followers of a reader that fails would turn
// to the store at once.
func (r *PeerRelay) Follow(ctx context.Context, known position.Knowledge, wait time.Duration) (Batch, bool) {
	conns, self := r.peers.Readers()
	if self {
		return Batch{}, false
	}
	for _, conn := range r.responsiveFirst(conns) {
		began := time.Now()
		changes, err := r.follow(ctx, conn, known, wait)
		r.recordResult(conn.Peer().Process.Name, known.At, time.Since(began), err)
		if err == nil {
			return changes, true
		}
		wait = 0
	}
	return Batch{}, false
}

// responsiveFirst returns the connections with the readers that recently did not answer at
// the end.
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

// follow asks a reader for changes. Its answer counts only if the store has answered it
// recently. A large value of which only a part arrived is not an error: that part is kept
// and the next call requests the rest.
func (r *PeerRelay) follow(ctx context.Context, conn *peer.Conn, known position.Knowledge, wait time.Duration) (Batch, error) {
	began := time.Now()
	reply, err := requestChanges(ctx, conn, queryAfter(known.At, wait))
	switch {
	case err != nil:
		return Batch{}, err
	case !reply.Fresh:
		return Batch{}, ErrNotFresh.New("the store has not answered the reader recently")
	case known.At.After(reply.position()):
		return Batch{}, ErrBehind.New("the reader is behind, at revision %d of era %d", reply.At, reply.Era)
	}
	if !reply.batch().lacks(known) {
		changes, err := r.fetchLargeValues(ctx, conn, reply)
		if err == nil && changes.At == reply.position() {
			changes.AsOf = reply.asOf(began)
		}
		return changes, err
	}
	changes := r.readComplete(ctx, conn, known.At)
	if !changes.Complete || changes.isJudgement(known) {
		return Batch{}, ErrBehind.New("the reader does not know all that was before era %d", reply.Era)
	}
	return changes, nil
}

// recordResult notes whether a reader answered. It logs when a reader no longer answers,
// with the revision asked for and the duration of the call, and when it answers again.
// These lines explain why a process asks the store although a reader is running.
func (r *PeerRelay) recordResult(reader string, after position.Position, took time.Duration, err error) {
	r.mu.Lock()
	_, wasUnresponsive := r.unresponsive[reader]
	if err != nil {
		r.unresponsive[reader] = time.Now()
	} else {
		delete(r.unresponsive, reader)
	}
	r.mu.Unlock()
	switch {
	case err != nil && !wasUnresponsive:
		r.log.Warn().Str("event", logReaderLost).Str("reader", reader).Uint64("era", after.Era).Uint64("after", after.Revision).
			Dur("took_ms", took).Err(err).Msg("a reader of the store does not answer")
	case err == nil && wasUnresponsive:
		r.log.Info().Str("event", logReaderRegained).Str("reader", reader).Uint64("era", after.Era).Uint64("after", after.Revision).
			Msg("a reader of the store answers again")
	}
}

// requestChanges asks a peer for changes. The error of a peer that does not answer is not
// final: callers ask another peer or the store instead.
func requestChanges(ctx context.Context, conn *peer.Conn, q changesQuery) (changesReply, error) {
	ctx, cancel := context.WithTimeout(ctx, q.Wait+peerCallTimeout)
	defer cancel()
	var reply changesReply
	err := conn.Call(ctx, MethodChanges, q, &reply)
	return reply, err
}
