package discovery

import (
	"context"
	"encoding/binary"
	"slices"
	"time"

	"github.com/mangostage/mangostage/peer"
	"github.com/mangostage/mangostage/platform"
	"github.com/mangostage/mangostage/position"
)

const (
	// MethodChanges is the call that reads the changed items from a peer.
	MethodChanges = "discovery.changes"
	// MethodCompare is the call that compares what a settled peer lists.
	MethodCompare = "discovery.compare"
	// MethodPart is the call that reads a part of a large value from a peer.
	MethodPart = "discovery.part"
)

// pageBytes is the approximate size limit of an answer with changes. Such an answer takes
// 60 ms over 10 Mbit/s, a fifth of the call's timeout. All endpoints of a large fleet in
// one answer would take longer than that timeout.
const pageBytes = 64 << 10

// itemOverhead is the approximate size of an item in an answer without its key and value,
// in bytes.
const itemOverhead = 80

// changesQuery asks for the items that changed after a position, and lets the peer wait for
// a change for at most Wait. A configuration up to Known is left out: the process that asks
// is complete up to there.
type changesQuery struct {
	After uint64            `json:"after"`
	Era   uint64            `json:"era,omitempty"`
	Known position.Position `json:"known,omitzero"`
	Wait  time.Duration     `json:"wait,omitempty"`
}

// compareQuery asks whether the peer lists the same as the process, which is at a position.
type compareQuery struct {
	At     position.Position `json:"at"`
	Digest uint64            `json:"digest"`
}

// compareReply is the answer to a compareQuery.
type compareReply struct {
	Verdict Verdict `json:"verdict"`
}

// queryAfter returns the query for changes after a position.
func queryAfter(after position.Position, wait time.Duration) changesQuery {
	return changesQuery{After: after.Revision, Era: after.Era, Wait: wait}
}

// position returns the position after which changes are asked for.
func (q changesQuery) position() position.Position {
	return position.Position{Era: q.Era, Revision: q.After}
}

// changesReply is the answer to a changesQuery.
type changesReply struct {
	Items []platform.Item `json:"items"`
	// Large lists the items whose values are left out, to be read in parts.
	Large []largeValue `json:"large,omitempty"`
	// Era and At are the position up to which the answer is complete; More means that the
	// peer has later changes.
	Era  uint64 `json:"era,omitempty"`
	At   uint64 `json:"at"`
	More bool   `json:"more,omitempty"`
	// Start, Before, Lists, Entered, Memory and Seen are as in Batch.
	Start   position.Position   `json:"start,omitzero"`
	Before  position.Position   `json:"before,omitzero"`
	Lists   []position.Position `json:"lists,omitempty"`
	Entered position.Position   `json:"entered,omitzero"`
	Memory  time.Duration       `json:"memory,omitempty"`
	Seen    time.Duration       `json:"seen,omitempty"`
	// Settled and EraAge are as in Batch; in the first era, which is always settled, they are
	// left out.
	Settled bool          `json:"settled,omitempty"`
	EraAge  time.Duration `json:"era_age,omitempty"`
	// Writes are those of Batch, each in eight bytes.
	Writes []byte `json:"writes,omitempty"`
	// Fresh means that the store has answered the peer recently, see Follower.Fresh.
	Fresh bool `json:"fresh"`
	// AsOf is how long after the arrival of the call the time is as of which the peer is
	// complete; 0 if it does not know.
	AsOf time.Duration `json:"as_of_ns,omitempty"`
}

// position returns the position up to which the answer is complete.
func (r changesReply) position() position.Position {
	return position.Position{Era: r.Era, Revision: r.At}
}

// batch returns the changes of the answer.
func (r changesReply) batch() Batch {
	return Batch{Items: r.Items, At: r.position(), Start: r.Start, Before: r.Before, Lists: r.Lists, Entered: r.Entered, Memory: r.Memory, Seen: r.Seen, Writes: unpackHashes(r.Writes), Settled: r.Settled || r.Era <= position.FirstEra, EraAge: r.EraAge}
}

// packHashes returns hashes as bytes.
func packHashes(hashes []uint64) []byte {
	packed := make([]byte, 0, 8*len(hashes))
	for _, hash := range hashes {
		packed = binary.LittleEndian.AppendUint64(packed, hash)
	}
	return packed
}

// unpackHashes returns the hashes that packHashes has packed; a rest is ignored.
func unpackHashes(packed []byte) []uint64 {
	var hashes []uint64
	for ; len(packed) >= 8; packed = packed[8:] {
		hashes = append(hashes, binary.LittleEndian.Uint64(packed))
	}
	return hashes
}

// partQuery asks for a part of a packed value that begins at an offset in bytes.
type partQuery struct {
	largeValue
	Offset int `json:"offset"`
}

// partReply is the answer to a partQuery. Data is empty if the peer no longer has the
// value.
type partReply struct {
	Data []byte `json:"data,omitempty"`
}

// ServePeers registers the calls by which peers read the follower's items.
func ServePeers(mux *peer.Mux, f *Follower) {
	packs := newPacker()
	peer.HandleCall(mux, MethodChanges, func(ctx context.Context, _ *peer.Conn, q changesQuery) (changesReply, error) {
		arrived := time.Now()
		changes := f.Await(ctx, q.position(), q.Wait)
		changes.Items = slices.DeleteFunc(changes.Items, func(item platform.Item) bool {
			return item.Key == platform.KeyConfig && !item.Position().After(q.Known)
		})
		reply, err := changesAnswer(changes, packs)
		reply.Fresh, reply.AsOf = f.Fresh(), changes.asOfSince(arrived)
		return reply, err
	})
	peer.HandleCall(mux, MethodCompare, func(_ context.Context, _ *peer.Conn, q compareQuery) (compareReply, error) {
		return compareReply{Verdict: f.compare(q.At, q.Digest)}, nil
	})
	peer.HandleCall(mux, MethodPart, func(_ context.Context, _ *peer.Conn, q partQuery) (partReply, error) {
		item, ok := f.Item(q.Key)
		if !ok || item.Position() != q.position() {
			return partReply{}, nil
		}
		value, err := packs.pack(item)
		if err != nil || value.largeValue != q.largeValue {
			return partReply{}, err
		}
		return partReply{Data: value.part(q.Offset)}, nil
	})
}

// changesAnswer returns the answer with changes, or with the first of them.
func changesAnswer(changes Batch, packs *packer) (changesReply, error) {
	reply, err := changesPage(changes.Items, changes.At, packs)
	reply.Start, reply.Before, reply.Writes = changes.Start, changes.Before, packHashes(changes.Writes)
	reply.Lists, reply.Entered, reply.Memory, reply.Seen = changes.Lists, changes.Entered, changes.Memory, changes.Seen
	reply.Settled = changes.Settled && !reply.More && reply.Era > position.FirstEra
	if !changes.Settled {
		reply.EraAge = changes.EraAge
	}
	return reply, err
}

// changesPage returns an answer with the first changes, by position, up to pageBytes. Items
// of the same position are not divided, because an answer is complete up to its position.
func changesPage(items []platform.Item, at position.Position, packs *packer) (changesReply, error) {
	slices.SortFunc(items, func(a, b platform.Item) int { return a.Position().Compare(b.Position()) })
	reply := changesReply{Era: at.Era, At: at.Revision}
	size := 0
	for n, item := range items {
		if size > pageBytes && item.Position() != items[n-1].Position() {
			reply.Era, reply.At, reply.More = items[n-1].Era, items[n-1].Revision, true
			break
		}
		if len(item.Value) > maxInlineValue {
			value, err := packs.pack(item)
			if err != nil {
				return changesReply{}, err
			}
			reply.Large = append(reply.Large, value.largeValue)
			item.Value = nil
		}
		size += len(item.Key) + len(item.Value)*4/3 + itemOverhead
		reply.Items = append(reply.Items, item)
	}
	return reply, nil
}
