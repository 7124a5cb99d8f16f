package fake

import (
	"container/heap"
	"context"
	"sync"
	"time"

	"github.com/mangostage/mangostage/endpoint"
	"github.com/mangostage/mangostage/internal/sleep"
)

// batcher simulates continuous batching: before each step it fills the free
// slots of the batch from the queue, then generates one token for every
// sequence of the batch.
type batcher struct {
	settings EngineSettings
	counts   *counter
	faults   *faults
	cache    *prefixCache
	load     *loadHistory
	crash    func()

	mu    sync.Mutex
	queue sequenceQueue
	batch []*sequence
	// lastArrival is the arrival number of the sequence queued last.
	lastArrival uint64
	wake        chan struct{}
}

// admittedSequence is a sequence that has just joined the batch and the time
// that the prefill of its prompt takes.
type admittedSequence struct {
	sequence *sequence
	prefill  time.Duration
}

// add queues a generation and returns its sequence, or nil if the queue is full.
func (b *batcher) add(req endpoint.GenerateRequest) *sequence {
	s := newSequence(req)
	b.mu.Lock()
	defer b.mu.Unlock()
	limit := b.settings.MaxQueue
	if limit > 0 && len(b.queue)+len(b.batch) >= limit+b.settings.Batch {
		return nil
	}
	b.lastArrival++
	s.arrival = b.lastArrival
	heap.Push(&b.queue, s)
	b.reportLoad()
	select {
	case b.wake <- struct{}{}:
	default:
	}
	return s
}

// reportLoad updates the load that health replies report. The lock is held.
func (b *batcher) reportLoad() {
	b.load.replace(len(b.batch), len(b.queue))
}

// run executes batch steps until ctx ends.
func (b *batcher) run(ctx context.Context) {
	next := time.Now()
	for b.waitForWork(ctx) && b.faults.wait(ctx.Done()) {
		admitted := b.admit()
		duration, decodeShare := b.stepTime(admitted)
		next = stepStart(next, time.Now()).Add(duration)
		if !sleep.For(ctx, time.Until(next)) || !b.faults.wait(ctx.Done()) {
			return
		}
		b.step(admitted, decodeShare)
	}
}

// stepStart returns the start time of a step. A step that follows the previous
// one within 1 ms starts at that one's scheduled end, so that the delays of
// late timers do not accumulate.
func stepStart(scheduled, now time.Time) time.Time {
	if now.Sub(scheduled) < time.Millisecond {
		return scheduled
	}
	return now
}

// waitForWork drops ended generations and blocks until at least one is left to
// run; it returns false if ctx ends first.
func (b *batcher) waitForWork(ctx context.Context) bool {
	for {
		b.mu.Lock()
		b.dropEnded()
		pending := len(b.batch) + len(b.queue)
		b.mu.Unlock()
		if ctx.Err() != nil {
			return false
		}
		if pending > 0 {
			return true
		}
		select {
		case <-b.wake:
		case <-ctx.Done():
			return false
		}
	}
}

// dropEnded removes ended sequences from the batch and the queue. The lock is held.
func (b *batcher) dropEnded() {
	before := len(b.batch) + len(b.queue)
	b.batch = filterRunning(b.batch)
	b.queue = filterRunning(b.queue)
	if len(b.batch)+len(b.queue) != before {
		heap.Init(&b.queue)
		b.reportLoad()
	}
}

// filterRunning filters all in place and returns the sequences still running.
func filterRunning(all []*sequence) []*sequence {
	kept := all[:0]
	for _, s := range all {
		if s.view().state == sequenceRunning {
			kept = append(kept, s)
		}
	}
	clear(all[len(kept):])
	return kept
}

// admit moves generations from the queue to the free slots of the batch. If
// the input of one crashes the engine, the whole batch is lost.
func (b *batcher) admit() []admittedSequence {
	b.mu.Lock()
	var admitted []admittedSequence
	crash := false
	for len(b.queue) > 0 && len(b.batch) < b.settings.Batch && !crash {
		s, ok := heap.Pop(&b.queue).(*sequence)
		if !ok {
			break
		}
		b.batch = append(b.batch, s)
		b.counts.start(s.request.Stage, s.marker)
		admitted = append(admitted, admittedSequence{sequence: s, prefill: b.prefill(s)})
		crash = b.faults.shouldCrash(s.request.Input)
	}
	b.reportLoad()
	b.mu.Unlock()
	if crash {
		b.crash()
	}
	return admitted
}

// prefill returns the prefill time: a fixed part and one for each prompt byte
// that is not cached. It adds the prompt to the prefix cache.
func (b *batcher) prefill(s *sequence) time.Duration {
	prompt := append(canonical(s.request.Input), canonical(s.request.Previous)...)
	hashes := endpoint.PrefixHashes(s.request.Model, prompt)
	hits := b.cache.access(hashes)
	b.counts.update(func(c *Counts) {
		c.CacheHits += hits
		c.CacheMisses += len(hashes) - hits
	})
	uncached := len(prompt) - hits*endpoint.PrefixBlock
	return b.settings.Prefill + time.Duration(uncached)*b.settings.PrefillPerByte
}

// stepTime returns the duration of the next step and the share of its decoding
// time that is charged to each sequence of the batch.
func (b *batcher) stepTime(admitted []admittedSequence) (duration, decodeShare time.Duration) {
	b.mu.Lock()
	size := len(b.batch)
	b.mu.Unlock()
	if size == 0 {
		return 0, 0
	}
	factor := 1 + b.settings.Slowdown*float64(size-1)
	decode := b.faults.scale(time.Duration(float64(b.settings.TokenTime) * factor))
	duration = decode
	for _, n := range admitted {
		duration += b.faults.scale(n.prefill)
	}
	return duration, decode / time.Duration(size)
}

// step charges the admitted sequences for their prefill, fails some of them at
// the configured rate, and generates one token for every sequence of the batch.
func (b *batcher) step(admitted []admittedSequence, decodeShare time.Duration) {
	for _, n := range admitted {
		n.sequence.addCost(b.faults.scale(n.prefill))
		if b.faults.shouldFail() {
			n.sequence.end(sequenceFailed)
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	finished := 0
	for _, s := range b.batch {
		s.step(decodeShare, func() {
			b.counts.finish(s.marker)
			// A caller that has its answer must not find itself among those in flight.
			finished++
			b.load.replace(len(b.batch)-finished, len(b.queue))
		})
	}
	b.dropEnded()
}

// reset drops all running and queued sequences.
func (b *batcher) reset() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range append(b.batch, b.queue...) {
		s.end(sequenceDropped)
	}
	b.batch, b.queue = nil, nil
	b.reportLoad()
}
