package pipeline

import (
	"container/heap"
	"maps"
	"slices"
	"sync"
	"time"
)

// waiter is a request that waits for an endpoint.
type waiter struct {
	requestID string
	pool      string
	// until is the latest time at which the rest of the request can still
	// finish by its deadline.
	until time.Time
	// index is the position in the queue of the pool, or notQueued.
	index int
	// cancelled is true when the request no longer waits.
	cancelled bool
}

// notQueued is the index of a waiter that is in no queue.
const notQueued = -1

// waitSet holds the requests that wait for an endpoint, by pool, those with the
// least time left first. Its lock may be taken while a shard's lock is held,
// never the other way round.
type waitSet struct {
	mu    sync.Mutex
	limit int
	size  int
	pools map[string]*waitQueue
}

func newWaitSet(limit int) *waitSet {
	return &waitSet{limit: limit, pools: make(map[string]*waitQueue)}
}

// add adds a waiter and returns false if the set is full.
func (w *waitSet) add(wt *waiter) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.size >= w.limit {
		return false
	}
	w.push(wt)
	return true
}

// restore puts back waiters that were popped but could not be started. It
// ignores the limit.
func (w *waitSet) restore(waiters []*waiter) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, wt := range waiters {
		if !wt.cancelled {
			w.push(wt)
		}
	}
}

func (w *waitSet) push(wt *waiter) {
	q := w.pools[wt.pool]
	if q == nil {
		q = new(waitQueue)
		w.pools[wt.pool] = q
	}
	heap.Push(q, wt)
	w.size++
}

// remove cancels a waiter and removes it from its queue, if it is queued.
func (w *waitSet) remove(wt *waiter) {
	w.mu.Lock()
	defer w.mu.Unlock()
	wt.cancelled = true
	if wt.index == notQueued {
		return
	}
	heap.Remove(w.pools[wt.pool], wt.index)
	w.shrink(wt.pool)
}

// pop removes and returns the next waiter of a pool, or returns nil.
func (w *waitSet) pop(pool string) *waiter {
	w.mu.Lock()
	defer w.mu.Unlock()
	q := w.pools[pool]
	if q == nil {
		return nil
	}
	wt, _ := heap.Pop(q).(*waiter)
	w.shrink(pool)
	return wt
}

// shrink updates the size after a waiter has left the queue of the pool, and
// deletes the queue if it is empty.
func (w *waitSet) shrink(pool string) {
	w.size--
	if w.pools[pool].Len() == 0 {
		delete(w.pools, pool)
	}
}

func (w *waitSet) len() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.size
}

// poolNames lists the pools with waiting requests.
func (w *waitSet) poolNames() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Sorted(maps.Keys(w.pools))
}

// waitQueue is a heap ordered by the time until which a request can wait.
type waitQueue []*waiter

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
	wt, _ := x.(*waiter)
	wt.index = len(*q)
	*q = append(*q, wt)
}

// Pop implements heap.Interface.
func (q *waitQueue) Pop() any {
	last := len(*q) - 1
	wt := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	wt.index = notQueued
	return wt
}
