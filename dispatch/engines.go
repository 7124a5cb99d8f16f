package dispatch

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mangostage/mangostage/catalog"
	"github.com/mangostage/mangostage/internal/hashmix"
	"github.com/mangostage/mangostage/quota"
)

// modelEngines holds the engines of one model service.
type modelEngines struct {
	byKey map[string]*engine
	all   []*engine
	// times and eventTimes are the estimators shared by the engines.
	times      *promptTimes
	eventTimes *eventTimes
	// readers maps the ID of a prompt part to the engines that have read it, oldest
	// first.
	readers map[string][]*engine
	// awaiting counts, by priority, the admitted jobs without an engine.
	awaiting map[int]int
	quotas   *quota.Table
	// sum is what the engines may be sent, as last computed.
	sum engineQuota
	// exhaustedUntil is until when no engine accepts a request.
	exhaustedUntil time.Time
}

func newModelEngines(quotas *quota.Table) *modelEngines {
	return &modelEngines{
		times: newPromptTimes(), eventTimes: &eventTimes{}, readers: make(map[string][]*engine), awaiting: make(map[int]int), quotas: quotas,
	}
}

const (
	// maxFullComparison is the number of engines up to which all are compared.
	maxFullComparison = 64
	// sampleSize is how many engines of a larger set are compared in addition to those
	// that have read the prompt's shared parts. Of 40 drawn at random, one is among
	// the least loaded tenth with a probability of 0.985.
	sampleSize = 40
	// maxReadersPerPart bounds the engines remembered for one part.
	maxReadersPerPart = 16
)

// candidates returns the engines to compare for j: all of a small set, otherwise
// those that have read the prompt's longest known prefix, and a sample.
func (es *modelEngines) candidates(j *job) []*engine {
	if len(es.all) <= maxFullComparison {
		return es.all
	}
	candidates := make([]*engine, 0, sampleSize+maxReadersPerPart)
	for i := len(j.Prefix) - 1; i >= 0 && len(candidates) == 0; i-- {
		candidates = append(candidates, es.readers[j.Prefix[i].ID]...)
	}
	at := xxhash.Sum64String(j.Ticket)
	stride := at>>32 | 1
	for range sampleSize {
		candidates = append(candidates, es.all[at%uint64(len(es.all))])
		at += stride
	}
	return candidates
}

// assign accounts for j at an engine, and for the prompt that the engine will
// read.
func (es *modelEngines) assign(e *engine, j *job) {
	e.addRequest(j)
	es.recordPrompt(e, j.Prefix)
}

// recordPrompt records that an engine has cached a prompt. The last part is left
// out of the readers: it is the request's own, and no other request looks it up.
func (es *modelEngines) recordPrompt(e *engine, prefix []catalog.PrefixPart) {
	e.cache.touch(prefix)
	if len(es.all) <= maxFullComparison {
		return
	}
	for _, p := range sharedParts(prefix) {
		es.addReader(p.ID, e)
	}
}

// addReader records that an engine has read a part. It forgets the oldest reader
// of the part, or all parts, where a bound is reached.
func (es *modelEngines) addReader(part string, e *engine) {
	readers := es.readers[part]
	for _, r := range readers {
		if r == e {
			return
		}
	}
	if len(es.readers) >= maxTrackedParts && readers == nil {
		clear(es.readers)
	}
	if len(readers) == maxReadersPerPart {
		readers = append(readers[:0], readers[1:]...)
	}
	es.readers[part] = append(readers, e)
}

// dropRemovedReaders removes engines that have left from the readers.
func (es *modelEngines) dropRemovedReaders() {
	for part, readers := range es.readers {
		readers = slices.DeleteFunc(readers, func(e *engine) bool { return e.removed })
		if len(readers) == 0 {
			delete(es.readers, part)
			continue
		}
		es.readers[part] = readers
	}
}

// maxTrackedParts bounds the parts whose readers are remembered.
const maxTrackedParts = 1 << 16

// usable reports whether any engine is usable, even if it accepts no request now.
func (es *modelEngines) usable() bool {
	return es != nil && slices.ContainsFunc(es.all, (*engine).usable)
}

// serves reports whether any engine may serve the job, even if it accepts none now.
func (es *modelEngines) serves(j *job, now time.Time) bool {
	return es != nil && slices.ContainsFunc(es.all, func(e *engine) bool { return e.serves(j, now) })
}

// choose returns the engine with the least cost for j, or nil if none accepts a
// request now. Engines on which the request has failed are heavily penalized.
func (es *modelEngines) choose(j *job, inputs map[string]int64, now time.Time) *engine {
	if es == nil || now.Before(es.exhaustedUntil) {
		return nil
	}
	best := es.chooseAmong(j, inputs, now, (*engine).acceptsNow)
	if best == nil && len(j.Excluded) == 0 && j.Version == nil {
		es.exhaustedUntil = now.Add(exhaustedTTL)
	}
	return best
}

// chooseWithoutToken is choose for a process that does not spend the quotas.
func (es *modelEngines) chooseWithoutToken(j *job, inputs map[string]int64, now time.Time) *engine {
	if es == nil {
		return nil
	}
	return es.chooseAmong(j, inputs, now, (*engine).acceptsWithoutToken)
}

// chooseAmong returns the engine with the least cost for j that accepts it, or nil.
func (es *modelEngines) chooseAmong(j *job, inputs map[string]int64, now time.Time, accepts func(*engine, *job, time.Time) bool) *engine {
	candidates := es.candidates(j)
	best := cheapest(candidates, j, inputs, now, accepts)
	if best == nil && len(candidates) < len(es.all) {
		return cheapest(es.all, j, inputs, now, accepts)
	}
	return best
}

// cheapest returns the engine of least cost among those that accept the job now, or
// nil.
func cheapest(candidates []*engine, j *job, inputs map[string]int64, now time.Time, accepts func(*engine, *job, time.Time) bool) *engine {
	var best *engine
	var least float64
	favourite := rendezvous(candidates, j, now)
	for _, e := range candidates {
		if !accepts(e, j, now) || slices.Contains(j.Excluded, e.key) {
			continue
		}
		ms := e.cost(j, inputs, now)
		if j.LeastLoaded {
			ms = float64(len(e.requests))
		}
		if e == favourite && !j.LeastLoaded {
			ms -= affinityBonus
		}
		if e.quotas.ProbeDue(now, e.key, quota.ProbeInterval) {
			ms -= probeBonus
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

// rendezvous returns the engine that the prompt's last shared part maps to by
// highest random weight, or nil.
func rendezvous(candidates []*engine, j *job, now time.Time) *engine {
	if len(j.Prefix) < 2 {
		return nil
	}
	key := xxhash.Sum64String(j.Prefix[len(j.Prefix)-2].ID)
	var best *engine
	var most uint64
	for _, e := range candidates {
		if !e.serves(j, now) {
			continue
		}
		if h := hashmix.Mix(e.hash ^ key); best == nil || h > most {
			best, most = e, h
		}
	}
	return best
}
