package discovery

import (
	"context"
	"slices"
	"time"

	"github.com/mangostage/mangostage/peer"
	"github.com/mangostage/mangostage/platform"
)

const (
	// MethodChanges is the call by which a process reads a peer's view.
	MethodChanges = "discovery.changes"
	// MethodPart is the call by which it reads a part of a large value.
	MethodPart = "discovery.part"
)

// pageBytes is about how long an answer with changes may be. It takes 60 ms over
// 10 Mbit/s, a fifth of what a call may take; the list of 2,100 endpoints that a
// starting process reads, about 1 MB, took longer than its call did.
const pageBytes = 64 << 10

// itemOverhead is about what an item takes in an answer beside its key and value.
const itemOverhead = 80

// changesQuery asks for what changed after a revision of the store, and to wait
// for it.
type changesQuery struct {
	After uint64        `json:"after"`
	Wait  time.Duration `json:"wait,omitempty"`
}

type changesReply struct {
	Items []platform.Item `json:"items"`
	// Large lists the items whose values are left out and read by parts.
	Large []largeValue `json:"large,omitempty"`
	// At is the revision up to which the answer is complete; More says that the
	// peer knows of later changes.
	At   uint64 `json:"at"`
	More bool   `json:"more,omitempty"`
	// Fresh is false if the store has not answered the peer lately.
	Fresh bool `json:"fresh"`
}

// partQuery asks for the bytes of a packed value from an offset on.
type partQuery struct {
	largeValue
	Offset int `json:"offset"`
}

// partReply has no data if the peer has another value by now.
type partReply struct {
	Data []byte `json:"data,omitempty"`
}

// ServePeers answers peers that do not read the store themselves.
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

// changesPage returns the first changes, by revision, that fit into an answer.
// Items of one revision stay together: an answer is complete up to its own.
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
