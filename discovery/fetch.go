package discovery

import (
	"context"
	"time"

	"github.com/joomcode/errorx"

	"github.com/mangostage/mangostage/peer"
	"github.com/mangostage/mangostage/platform"
	"github.com/mangostage/mangostage/position"
)

const (
	// partTimeout bounds one call for a part of a large value. The call takes 20 ms over
	// the slowest link, and some hundred milliseconds beside other traffic.
	partTimeout = 500 * time.Millisecond
	// partsFetchPeriod is how long parts are fetched before the peer is asked for changes
	// again: news of a leaving endpoint must not wait for a large configuration.
	partsFetchPeriod = 300 * time.Millisecond
)

// fetchLargeValues fetches the large values of an answer and returns its changes. If a value
// stays incomplete, they are complete up to the position before it: the items of that value
// and of later large ones are left out, and the other items are still valid. The error says
// that no part of a value arrived, or that a value is damaged.
func (r *PeerRelay) fetchLargeValues(ctx context.Context, conn *peer.Conn, reply changesReply) (Batch, error) {
	batch := reply.batch()
	batch.Peer = conn.Peer().Process.Name
	until := time.Now().Add(partsFetchPeriod)
	incomplete := false
	for _, want := range reply.Large {
		if incomplete {
			batch.Items = withValue(batch.Items, want, nil)
			continue
		}
		value, err := r.fetchValue(ctx, conn, want, until)
		if err != nil {
			return Batch{}, err
		}
		if value == nil {
			incomplete = true
			batch.At = earliest(batch.At, want.before())
		}
		batch.Items = withValue(batch.Items, want, value)
	}
	return batch, nil
}

// earliest returns the earlier of two positions.
func earliest(a, b position.Position) position.Position {
	if a.After(b) {
		return b
	}
	return a
}

// withValue returns the items with a large value filled in; nil removes its item.
func withValue(items []platform.Item, want largeValue, value []byte) []platform.Item {
	var all []platform.Item
	for _, item := range items {
		if item.Key == want.Key && item.Position() == want.position() {
			if value == nil {
				continue
			}
			item.Value = value
		}
		all = append(all, item)
	}
	return all
}

// fetchValue fetches parts of a value until it is complete or the deadline until has
// passed. It returns nil if parts are missing then or the peer no longer has the value, and
// an error if no part arrived or the value is damaged.
func (r *PeerRelay) fetchValue(ctx context.Context, conn *peer.Conn, want largeValue, until time.Time) ([]byte, error) {
	began := time.Now()
	parts := 0
	for {
		offset, value, err := r.pendingValue(want)
		if value != nil || err != nil {
			r.logFetched(conn, want, parts, time.Since(began), err)
			return value, err
		}
		if parts > 0 && time.Now().After(until) {
			return nil, nil
		}
		data, err := requestPart(ctx, conn, partQuery{largeValue: want, Offset: offset})
		if errorx.IsOfType(err, ErrReplaced) || err != nil && parts > 0 {
			return nil, nil
		}
		if err != nil {
			return nil, err
		}
		r.addPart(want, offset, data)
		parts++
	}
}

// pendingValue returns the offset of the next part, or the value once it is complete.
func (r *PeerRelay) pendingValue(want largeValue) (offset int, value []byte, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := r.pending[want.Key]
	if !a.isFor(want) {
		a = &assembly{want: want}
		r.pending[want.Key] = a
	}
	if !a.complete() {
		return len(a.data), nil, nil
	}
	delete(r.pending, want.Key)
	value, err = a.value()
	return 0, value, err
}

// addPart adds a part to the value, unless another call has added it before.
func (r *PeerRelay) addPart(want largeValue, offset int, data []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if a := r.pending[want.Key]; a.isFor(want) {
		a.add(offset, data)
	}
}

// logFetched logs that a large value was fetched from a peer, or that it was damaged.
func (r *PeerRelay) logFetched(conn *peer.Conn, want largeValue, parts int, took time.Duration, err error) {
	r.log.Info().Str("event", logValueFetched).Str("peer", conn.Peer().Process.Name).Str("key", want.Key).
		Uint64("revision", want.Revision).Int("packed_bytes", want.Size).Int("parts", parts).
		Dur("took_ms", took).Err(err).Msg("large value read from a peer")
}

// requestPart asks a peer for a part of a value. The error is ErrReplaced if the peer no
// longer has that value.
func requestPart(ctx context.Context, conn *peer.Conn, q partQuery) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, partTimeout)
	defer cancel()
	var reply partReply
	if err := conn.Call(ctx, MethodPart, q, &reply); err != nil {
		return nil, err
	}
	if len(reply.Data) == 0 {
		return nil, ErrReplaced.New("the peer no longer has the requested value of %s", q.Key)
	}
	return reply.Data, nil
}
