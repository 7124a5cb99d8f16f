package fake

import (
	"container/heap"
	"context"
	"sync"
	"time"

	"github.com/mangostage/mangostage/endpoint"
)

// batcher runs generations as an engine does: before each step it fills free
// places of the batch from the queue, then every member gains one token.
type batcher struct {
	settings EngineSettings
	counts   *counter
	faults   *faults
	cache    *prefixCache
	load     *loadHistory
	crash    func()

	mu      sync.Mutex
	queue   waiting
	batch   []*sequence
	arrived uint64
	wake    chan struct{}
}

// newcomer is a sequence and the time that its prompt takes.
type newcomer struct {
	sequence *sequence
	prefill  time.Duration
}

// add queues a new generation; it returns nil if the queue is full.
func (b *batcher) add(req endpoint.GenerateRequest) *sequence {
	s := newSequence(req)
	b.mu.Lock()
	defer b.mu.Unlock()
	limit := b.settings.MaxQueue
	if limit > 0 && len(b.queue)+len(b.batch) >= limit+b.settings.Batch {
		return nil
	}
	b.arrived++
	s.arrival = b.arrived
	heap.Push(&b.queue, s)
	b.report()
	select {
	case b.wake <- struct{}{}:
	default:
	}
	return s
}

func (b *batcher) report() {
	b.load.replace(len(b.batch), len(b.queue))
}

// run steps until ctx ends.
func (b *batcher) run(ctx context.Context) {
	next := time.Now()
	for b.waitForWork(ctx) && b.faults.wait(ctx.Done()) {
		admitted := b.admit()
		took, share := b.stepTime(admitted)
		next = later(next, time.Now()).Add(took)
		if !sleep(ctx, time.Until(next)) || !b.faults.wait(ctx.Done()) {
			return
		}
		b.step(admitted, share)
	}
}

func later(a, b time.Time) time.Time {
	// A step that begins right after the one before starts when that one
	// should have ended, so that late timers do not add up.
	if b.Sub(a) < time.Millisecond {
		return a
	}
	return b
}

// waitForWork drops ended generations and blocks until there is another.
func (b *batcher) waitForWork(ctx context.Context) bool {
	for {
		b.mu.Lock()
		b.dropEnded()
		work := len(b.batch) + len(b.queue)
		b.mu.Unlock()
		if ctx.Err() != nil {
			return false
		}
		if work > 0 {
			return true
		}
		select {
		case <-b.wake:
		case <-ctx.Done():
			return false
		}
	}
}

func (b *batcher) dropEnded() {
	before := len(b.batch) + len(b.queue)
	b.batch = running(b.batch)
	b.queue = running(b.queue)
	if len(b.batch)+len(b.queue) != before {
		heap.Init(&b.queue)
		b.report()
	}
}

func running(all []*sequence) []*sequence {
	kept := all[:0]
	for _, s := range all {
		if s.view().state == sequenceRunning {
			kept = append(kept, s)
		}
	}
	clear(all[len(kept):])
	return kept
}

// admit moves generations from the queue to the batch. One that crashes the
// engine takes the whole batch with it.
func (b *batcher) admit() []newcomer {
	b.mu.Lock()
	var admitted []newcomer
	crash := false
	for len(b.queue) > 0 && len(b.batch) < b.settings.Batch && !crash {
		s, ok := heap.Pop(&b.queue).(*sequence)
		if !ok {
			break
		}
		b.batch = append(b.batch, s)
		b.counts.start(s.request.Stage, s.marker)
		admitted = append(admitted, newcomer{sequence: s, prefill: b.prefill(s)})
		crash = b.faults.crashes(s.request.Input)
	}
	b.report()
	b.mu.Unlock()
	if crash {
		b.crash()
	}
	return admitted
}

// prefill is the time for the part of the prompt that is not cached.
func (b *batcher) prefill(s *sequence) time.Duration {
	prompt := append(canonical(s.request.Input), canonical(s.request.Previous)...)
	hashes := endpoint.PrefixHashes(s.request.Model, prompt)
	hits := b.cache.use(hashes)
	b.counts.update(func(c *Counts) {
		c.CacheHits += hits
		c.CacheMisses += len(hashes) - hits
	})
	fresh := len(prompt) - hits*endpoint.PrefixBlock
	return b.settings.Prefill + time.Duration(fresh)*b.settings.PrefillPerByte
}

// stepTime returns how long the next step takes and each member's share of
// its decoding part.
func (b *batcher) stepTime(admitted []newcomer) (took, share time.Duration) {
	b.mu.Lock()
	size := len(b.batch)
	b.mu.Unlock()
	if size == 0 {
		return 0, 0
	}
	factor := 1 + b.settings.Slowdown*float64(size-1)
	decode := b.faults.scale(time.Duration(float64(b.settings.TokenTime) * factor))
	took = decode
	for _, n := range admitted {
		took += b.faults.scale(n.prefill)
	}
	return took, decode / time.Duration(size)
}

// step gives every member a token.
func (b *batcher) step(admitted []newcomer, share time.Duration) {
	for _, n := range admitted {
		n.sequence.charge(b.faults.scale(n.prefill))
		if b.faults.fails() {
			n.sequence.end(sequenceFailed)
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range b.batch {
		s.step(share, func() { b.counts.finish(s.marker) })
	}
	b.dropEnded()
}

// reset drops all work.
func (b *batcher) reset() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range append(b.batch, b.queue...) {
		s.end(sequenceDropped)
	}
	b.batch, b.queue = nil, nil
	b.report()
}
