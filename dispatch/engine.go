package dispatch

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mangostage/mangostage/catalog"
	"github.com/mangostage/mangostage/internal/health"
	"github.com/mangostage/mangostage/warm"
)

const (
	// aheadShare is the part of the prompts before it that a prompt waits for:
	// some of each has been read when it comes.
	aheadShare = 0.6
	// sharedWeight is what a token of a shared part that has to be read again
	// costs, in tokens read: it takes the engine from others, too.
	sharedWeight = 3.0
	// decodeCost is what each running request adds to the wait for a first
	// token, in milliseconds.
	decodeCost = 0.6
	// homePenalty is what inputs from another domain cost, in milliseconds for each MB.
	homePenalty = 4.0
	// failPenalty is what a failure rate of 1 costs, in milliseconds.
	failPenalty = 3000.0
	// failWeight is the share of the newest outcome in the failure rate.
	failWeight = 0.2
	// failHalfLife is the time in which a failure rate halves without new
	// evidence, so that an engine that is well again is tried again.
	failHalfLife = 4 * time.Second
	// affinityBonus breaks ties in favour of the same engine for the same
	// prompt, in milliseconds, also after the queue's owner has changed.
	affinityBonus = 3.0
	// cacheMargin is the part of an engine's memory that is taken to hold
	// cached prefixes; the rest is for running requests.
	cacheMargin = 0.6
	// runMargin is how long a request is counted after its deadline if nobody
	// says that it has ended.
	runMargin = 2 * time.Second
)

// engine is the state of one model engine.
type engine struct {
	endpoint *catalog.Endpoint
	// key is the endpoint's Key.
	key  string
	spec *catalog.Model
	// hash is that of the endpoint's ID.
	hash uint64
	runs map[string]*run
	// prefill is the number of prompt tokens still to be read.
	prefill int
	// tokens is the memory of the running requests.
	tokens int
	cache  prefixCache
	// times is what was learned of the service's engines together.
	times *promptTimes
	// slowness is how its times to the first event compare with those.
	slowness slowness
	failures health.Rate
	// pause is under way after failed requests.
	pause health.Pause
	// pace is what was sent to the engine while it is cold.
	pace warm.Pace
	gone bool
	// unreached is set while the owner does not reach its failure domain.
	unreached bool
}

// run is a request that an engine was given.
type run struct {
	prefill int
	// ahead is the number of tokens that the engine had to read before.
	ahead  int
	tokens int
	until  time.Time
}

func newEngine(e *catalog.Endpoint, spec *catalog.Model) *engine {
	return &engine{
		endpoint: e,
		key:      e.Key(),
		spec:     spec,
		hash:     xxhash.Sum64String(e.ID),
		runs:     make(map[string]*run),
		cache:    newPrefixCache(int(float64(spec.CacheTokens) * cacheMargin)),
	}
}

// usable tells whether the engine may be given requests at all.
func (e *engine) usable() bool { return !e.gone && e.endpoint.TakesWork() }

// bears tells whether the engine may be given one now: a cold one bears few.
func (e *engine) bears(now time.Time) bool {
	return e.usable() && e.pace.Allows(now, e.endpoint, warm.OwnerShare, 0)
}

// unread is the number of the prompt's tokens that the engine does not keep.
func (e *engine) unread(j *job) int {
	return max(0, promptTokens(j)-e.cache.hit(j.Prefix))
}

// begin counts a request.
func (e *engine) begin(j *job) {
	r := &run{
		prefill: e.unread(j),
		ahead:   e.prefill,
		tokens:  promptTokens(j) + j.TokensOut,
		until:   j.deadlineAt.Add(runMargin),
	}
	e.runs[j.Ticket] = r
	e.prefill += r.prefill
	e.tokens += r.tokens
}

// firstEvent notes that the prompt has been read, a time after the grant.
func (e *engine) firstEvent(ticket string, took time.Duration, now time.Time) {
	r := e.runs[ticket]
	if r == nil || r.prefill == 0 {
		return
	}
	tokens := waitTokens(r.ahead, r.prefill)
	e.slowness.learn(took, e.times.of(tokens), now)
	e.times.learn(tokens, took)
	e.prefill -= r.prefill
	r.prefill = 0
}

// waitTokens is the number of tokens that the first event of a prompt waits
// for, with so many to be read before and so many of its own.
func waitTokens(ahead, own int) int { return int(aheadShare*float64(ahead)) + own }

// end forgets a request.
func (e *engine) end(ticket string) {
	r := e.runs[ticket]
	if r == nil {
		return
	}
	delete(e.runs, ticket)
	e.prefill -= r.prefill
	e.tokens -= r.tokens
}

// expire forgets requests whose end was never heard of: their entry is gone.
func (e *engine) expire(now time.Time) {
	for ticket, r := range e.runs {
		if now.After(r.until) {
			e.end(ticket)
		}
	}
}

// learn notes whether a request was served.
func (e *engine) learn(ok bool, now time.Time) {
	e.failures.Learn(!ok, failWeight, failHalfLife, now)
	if ok {
		e.pause.Clear()
	} else {
		e.pause.Fail(pauseFirst, pauseMax, now)
	}
}

// cost is the expected wait for the first token of j, in milliseconds, with
// penalties for failures and for inputs from another domain.
func (e *engine) cost(j *job, inputs map[string]int64, now time.Time) float64 {
	shared := sharedTokens(j)
	hit := e.cache.hit(j.Prefix)
	again := float64(max(0, shared-hit))
	own := float64(promptTokens(j) - max(shared, hit))
	tokens := float64(e.prefill) + sharedWeight*again + own
	ms := e.slowness.factor(now) * milliseconds(e.times.of(int(tokens)))
	ms += decodeCost * float64(len(e.runs))
	ms += failPenalty * e.failures.At(failHalfLife, now)
	for domain, bytes := range inputs {
		if domain != e.endpoint.Domain {
			ms += homePenalty * float64(bytes) / 1e6
		}
	}
	if e.tokens+promptTokens(j)+j.TokensOut > e.spec.CacheTokens {
		ms += failPenalty
	}
	if len(e.runs) >= e.spec.Slots {
		ms += failPenalty
	}
	if e.pause.Active(now) || e.unreached {
		ms += failPenalty
	}
	return ms
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// sharedParts are the parts that other requests may share: all but the last,
// which is the request's own.
func sharedParts(prefix []catalog.PrefixPart) []catalog.PrefixPart {
	return prefix[:max(0, len(prefix)-1)]
}

// sharedTokens is the length of the shared parts.
func sharedTokens(j *job) int {
	n := 0
	for _, p := range sharedParts(j.Prefix) {
		n += p.Tokens
	}
	return n
}

// promptTokens is the length of the whole prompt.
func promptTokens(j *job) int {
	n := 0
	for _, p := range j.Prefix {
		n += p.Tokens
	}
	return max(n, j.TokensIn)
}
