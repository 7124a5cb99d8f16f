package discovery

import (
	"context"
	"time"

	"github.com/joomcode/errorx"

	"github.com/mangostage/mangostage/peer"
	"github.com/mangostage/mangostage/platform"
)

const (
	// partTimeout bounds one call for a part of a large value: it takes 20 ms
	// over the weakest link, and some hundred beside other traffic.
	partTimeout = 500 * time.Millisecond
	// partsFetchPeriod is how long parts are read until the peer is asked again for
	// changes: an endpoint that leaves must not wait for a large configuration.
	partsFetchPeriod = 300 * time.Millisecond
)

// fetchLargeValues reads the large values of an answer. Without one of them the answer
// is fetchLargeValues only up to the revision before it, and later ones are not asked for
// yet; its other items still hold. The error is that of a peer from which nothing
// of the value came.
func (r *PeerRelay) fetchLargeValues(ctx context.Context, conn *peer.Conn, reply changesReply) ([]platform.Item, uint64, error) {
	items, at := reply.Items, reply.At
	until := time.Now().Add(partsFetchPeriod)
	missing := false
	for _, want := range reply.Large {
		if missing {
			items = withValue(items, want, nil)
			continue
		}
		value, err := r.fetchValue(ctx, conn, want, until)
		if err != nil {
			return nil, 0, err
		}
		if value == nil {
			missing = true
			at = min(at, want.Revision-1)
		}
		items = withValue(items, want, value)
	}
	return items, at, nil
}

// withValue puts a large value into its item; nil takes the item out.
func withValue(items []platform.Item, want largeValue, value []byte) []platform.Item {
	var all []platform.Item
	for _, item := range items {
		if item.Key == want.Key && item.Revision == want.Revision {
			if value == nil {
				continue
			}
			item.Value = value
		}
		all = append(all, item)
	}
	return all
}

// fetchValue reads parts of a fetchValue until it is complete or the time is over; nil is
// a fetchValue of which parts are missing. The error says that no part came.
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

// pendingValue returns where the next part begins, or the value once it is complete.
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

// addPart takes a part, unless another call was faster.
func (r *PeerRelay) addPart(want largeValue, offset int, data []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if a := r.pending[want.Key]; a.isFor(want) {
		a.add(offset, data)
	}
}

// logFetched logs a large value that a peer has passed on.
func (r *PeerRelay) logFetched(conn *peer.Conn, want largeValue, parts int, took time.Duration, err error) {
	r.log.Info().Str("event", logValueFetched).Str("peer", conn.Peer().Process.Name).Str("key", want.Key).
		Uint64("revision", want.Revision).Int("packed_bytes", want.Size).Int("parts", parts).
		Dur("took_ms", took).Err(err).Msg("large value read from a peer")
}

// requestPart calls a peer for a part of a value.
func requestPart(ctx context.Context, conn *peer.Conn, q partQuery) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, partTimeout)
	defer cancel()
	var reply partReply
	if err := conn.Call(ctx, MethodPart, q, &reply); err != nil {
		return nil, err
	}
	if len(reply.Data) == 0 {
		return nil, ErrReplaced.New("the peer has another value of %s by now", q.Key)
	}
	return reply.Data, nil
}
