package dispatch

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mangostage/mangostage/catalog"
)

// engines is one model service.
type engines struct {
	byKey map[string]*engine
	all   []*engine
	// times is what was learned of them together.
	times *promptTimes
	// readers maps the ID of a prompt's part to the engines that read it.
	readers map[string][]*engine
}

const (
	// compareAll is the number of engines up to which all are compared.
	compareAll = 64
	// sampled is how many of more engines are compared beside those that have
	// read the prompt's shared parts. Of 40 drawn at random one is among the
	// least loaded tenth with a probability of 0.985.
	sampled = 40
	// maxReaders bounds the engines that are remembered for one part.
	maxReaders = 16
)

// candidates returns the engines to compare for j: all of a few, else those
// that have read the prompt's longest shared part and a sample.
func (es *engines) candidates(j *job) []*engine {
	if len(es.all) <= compareAll {
		return es.all
	}
	candidates := make([]*engine, 0, sampled+maxReaders)
	for i := len(j.Prefix) - 1; i >= 0 && len(candidates) == 0; i-- {
		candidates = append(candidates, es.readers[j.Prefix[i].ID]...)
	}
	at := xxhash.Sum64String(j.Ticket)
	stride := at>>32 | 1
	for range sampled {
		candidates = append(candidates, es.all[at%uint64(len(es.all))])
		at += stride
	}
	return candidates
}

// read notes that an engine reads the prompt of j.
func (es *engines) read(e *engine, j *job) {
	e.begin(j)
	es.keep(e, j.Prefix)
}

// keep notes that an engine keeps a prompt. The last part is the request's own:
// no other is looked for by it.
func (es *engines) keep(e *engine, prefix []catalog.PrefixPart) {
	e.cache.touch(prefix)
	if len(es.all) <= compareAll {
		return
	}
	for _, p := range sharedParts(prefix) {
		es.remember(p.ID, e)
	}
}

func (es *engines) remember(part string, e *engine) {
	readers := es.readers[part]
	for _, r := range readers {
		if r == e {
			return
		}
	}
	if len(es.readers) >= maxParts && readers == nil {
		clear(es.readers)
	}
	if len(readers) == maxReaders {
		readers = append(readers[:0], readers[1:]...)
	}
	es.readers[part] = append(readers, e)
}

// forgetGone takes the engines that have left out of the readers.
func (es *engines) forgetGone() {
	for part, readers := range es.readers {
		readers = slices.DeleteFunc(readers, func(e *engine) bool { return e.gone })
		if len(readers) == 0 {
			delete(es.readers, part)
			continue
		}
		es.readers[part] = readers
	}
}

// maxParts bounds the parts whose readers are remembered.
const maxParts = 1 << 16

// usable tells whether an engine takes requests, be it one that bears none now.
func (es *engines) usable() bool {
	return es != nil && slices.ContainsFunc(es.all, (*engine).usable)
}

// choose returns the engine with the least cost for j, or nil if there is none
// that bears a request now. Engines that failed the request before come last.
func (es *engines) choose(j *job, inputs map[string]int64, now time.Time) *engine {
	if es == nil {
		return nil
	}
	candidates := es.candidates(j)
	best := cheapest(candidates, j, inputs, now)
	if best == nil && len(candidates) < len(es.all) {
		return cheapest(es.all, j, inputs, now)
	}
	return best
}

// cheapest compares engines one by one.
func cheapest(candidates []*engine, j *job, inputs map[string]int64, now time.Time) *engine {
	var best *engine
	var least float64
	favourite := rendezvous(candidates, j)
	for _, e := range candidates {
		if !e.bears(now) {
			continue
		}
		ms := e.cost(j, inputs, now)
		if e == favourite {
			ms -= affinityBonus
		}
		for _, key := range j.Avoid {
			if key == e.key {
				ms += 10 * failPenalty
			}
		}
		if best == nil || ms < least {
			best, least = e, ms
		}
	}
	return best
}

// rendezvous returns the engine that the prompt's shared parts hash to.
func rendezvous(candidates []*engine, j *job) *engine {
	if len(j.Prefix) < 2 {
		return nil
	}
	key := xxhash.Sum64String(j.Prefix[len(j.Prefix)-2].ID)
	var best *engine
	var most uint64
	for _, e := range candidates {
		if !e.usable() {
			continue
		}
		if h := mix(e.hash ^ key); best == nil || h > most {
			best, most = e, h
		}
	}
	return best
}

// mix spreads the bits of a combined hash, by the finalizer of SplitMix64.
func mix(h uint64) uint64 {
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return h ^ h>>31
}
