package discovery

import (
	"context"
	"slices"
	"time"

	"github.com/mangostage/mangostage/peer"
	"github.com/mangostage/mangostage/platform"
)

const (
	// MethodChanges is the call that reads the changed items from a peer.
	MethodChanges = "discovery.changes"
	// MethodPart is the call that reads a part of a large value from a peer.
	MethodPart = "discovery.part"
)

// pageBytes is the approximate size limit of an answer with changes. Such an answer takes
// 60 ms over 10 Mbit/s, a fifth of the call's timeout. In one answer the 2,100 endpoints
// that a starting process reads, about 1 MB, took longer than that timeout.
const pageBytes = 64 << 10

// itemOverhead is the approximate size of an item in an answer without its key and value,
// in bytes.
const itemOverhead = 80

// changesQuery asks for the items that changed after a store revision, and lets the peer
// wait for a change for at most Wait.
type changesQuery struct {
	After uint64        `json:"after"`
	Wait  time.Duration `json:"wait,omitempty"`
}

// changesReply is the answer to a changesQuery.
type changesReply struct {
	Items []platform.Item `json:"items"`
	// Large lists the items whose values are left out, to be read in parts.
	Large []largeValue `json:"large,omitempty"`
	// At is the store revision up to which the answer is complete; More means that the
	// peer has later changes.
	At   uint64 `json:"at"`
	More bool   `json:"more,omitempty"`
	// Fresh means that the store has answered the peer recently, see Follower.Fresh.
	Fresh bool `json:"fresh"`
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
		items, at := f.Await(ctx, q.After, q.Wait)
		reply, err := changesPage(items, at, packs)
		reply.Fresh = f.Fresh()
		return reply, err
	})
	peer.HandleCall(mux, MethodPart, func(_ context.Context, _ *peer.Conn, q partQuery) (partReply, error) {
		item, ok := f.Item(q.Key)
		if !ok || item.Revision != q.Revision {
			return partReply{}, nil
		}
		value, err := packs.pack(item)
		if err != nil || value.largeValue != q.largeValue {
			return partReply{}, err
		}
		return partReply{Data: value.part(q.Offset)}, nil
	})
}

// changesPage returns an answer with the first changes, by revision, up to pageBytes. Items
// of the same revision are not divided, because an answer is complete up to its revision.
func changesPage(items []platform.Item, at uint64, packs *packer) (changesReply, error) {
	slices.SortFunc(items, func(a, b platform.Item) int {
		return int(int64(a.Revision) - int64(b.Revision))
	})
	reply := changesReply{At: at}
	size := 0
	for n, item := range items {
		if size > pageBytes && item.Revision != items[n-1].Revision {
			reply.At, reply.More = items[n-1].Revision, true
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
