package pipeline

import (
	"container/heap"
	"maps"
	"slices"
	"sync"
	"time"
)

// ticket is one request's place in the wait room.
type ticket struct {
	requestID string
	pool      string
	// until is the latest time at which the rest of the request still fits its deadline.
	until time.Time
	// index is the ticket's position in its queue, or outside.
	index int
	// void: the request does not wait any more.
	void bool
}

// outside is the index of a ticket that is in no queue.
const outside = -1

// waitRoom holds the requests that wait for an endpoint of a pool, those with
// the least time left first. It has a lock of its own, which is taken under a
// shard's and never the other way round.
type waitRoom struct {
	mu    sync.Mutex
	limit int
	size  int
	pools map[string]*waitQueue
}

func newWaitRoom(limit int) *waitRoom {
	return &waitRoom{limit: limit, pools: make(map[string]*waitQueue)}
}

// enter tells whether there was a place.
func (w *waitRoom) enter(k *ticket) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.size >= w.limit {
		return false
	}
	w.push(k)
	return true
}

// enterAgain puts back tickets that were called in vain.
func (w *waitRoom) enterAgain(tickets []*ticket) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, k := range tickets {
		if !k.void {
			w.push(k)
		}
	}
}

func (w *waitRoom) push(k *ticket) {
	q := w.pools[k.pool]
	if q == nil {
		q = new(waitQueue)
		w.pools[k.pool] = q
	}
	heap.Push(q, k)
	w.size++
}

// leave gives the place back, if the ticket has one.
func (w *waitRoom) leave(k *ticket) {
	w.mu.Lock()
	defer w.mu.Unlock()
	k.void = true
	if k.index == outside {
		return
	}
	heap.Remove(w.pools[k.pool], k.index)
	w.left(k.pool)
}

// call takes the next one of a pool out of the room, or returns nil.
func (w *waitRoom) call(pool string) *ticket {
	w.mu.Lock()
	defer w.mu.Unlock()
	q := w.pools[pool]
	if q == nil {
		return nil
	}
	k, _ := heap.Pop(q).(*ticket)
	w.left(pool)
	return k
}

func (w *waitRoom) left(pool string) {
	w.size--
	if w.pools[pool].Len() == 0 {
		delete(w.pools, pool)
	}
}

func (w *waitRoom) len() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.size
}

// names lists the pools that are waited for.
func (w *waitRoom) names() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Sorted(maps.Keys(w.pools))
}

// waitQueue is a heap by the time until which a request can wait.
type waitQueue []*ticket

// Len implements heap.Interface.
func (q waitQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q waitQueue) Less(i, j int) bool { return q[i].until.Before(q[j].until) }

// Swap implements heap.Interface.
func (q waitQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

// Push implements heap.Interface.
func (q *waitQueue) Push(x any) {
	k, _ := x.(*ticket)
	k.index = len(*q)
	*q = append(*q, k)
}

// Pop implements heap.Interface.
func (q *waitQueue) Pop() any {
	last := len(*q) - 1
	k := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	k.index = outside
	return k
}
