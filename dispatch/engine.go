package dispatch

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mangostage/mangostage/catalog"
	"github.com/mangostage/mangostage/internal/health"
	"github.com/mangostage/mangostage/quota"
	"github.com/mangostage/mangostage/spill"
	"github.com/mangostage/mangostage/warm"
)

const (
	// tokensAheadShare is the fraction of the tokens queued ahead of a prompt that it
	// waits for: some of them have been read by the time it arrives.
	tokensAheadShare = 0.6
	// sharedTokenWeight is the cost of a token of a shared part that has to be read
	// again, relative to other tokens: reading it also keeps the engine from other
	// requests.
	sharedTokenWeight = 3.0
	// displacedWeight is the further cost of a token of a shared part that has to be read
	// again, because it displaces other parts from the engine's memory. displacedMax bounds
	// that cost for one prompt. Both are in tokens.
	displacedWeight, displacedMax = 2.0, 4_000.0
	// decodeCost is the cost of each running request, in milliseconds: a prompt is read
	// between the tokens of the others, and every token takes longer the more there are.
	decodeCost = 6.0
	// failPenalty is the cost of a failure rate of 1, in milliseconds. An engine
	// without free slots, and one that is paused or unreached, costs as much more.
	failPenalty = 3000.0
	// failWeight is the weight of the newest outcome in the failure rate.
	failWeight = 0.2
	// failHalfLife is the half-life of a failure rate without new outcomes, so that an
	// engine that has recovered is tried again.
	failHalfLife = 4 * time.Second
	// affinityBonus breaks ties in favour of the same engine for the same prompt, in
	// milliseconds, also after a change of the queue owner.
	affinityBonus = 3.0
	// cacheShare is the fraction of an engine's memory that is assumed to hold cached
	// prefixes; the rest is for running requests.
	cacheShare = 0.6
	// requestExpiryMargin is how long after its deadline a request is still counted if
	// its end is not reported.
	requestExpiryMargin = 2 * time.Second
)

// engine is the state of one model engine.
type engine struct {
	endpoint *catalog.Endpoint
	// key is the endpoint's Key.
	key  string
	spec *catalog.Model
	// hash is the hash of the endpoint's ID.
	hash     uint64
	requests map[string]*engineRequest
	// prefillTokens is the number of prompt tokens still to be read, and readSince when
	// the engine began with them or last sent a first event.
	prefillTokens int
	readSince     time.Time
	engineMemory
	cache prefixCache
	// times and eventTimes are the estimators shared by all engines of the service.
	times      *promptTimes
	eventTimes *eventTimes
	// slowness compares the engine's times to the first event with the estimates,
	// eventSlowness its times between events.
	slowness, eventSlowness slowness
	// eventGap is the shortest of the bounds between events of its streams, 0 if none
	// has one.
	eventGap time.Duration
	failures health.Rate
	// pause is active after failed requests: the engine then gets others only if there is
	// no better one. It has nothing to do with pauses between events.
	pause health.Backoff
	// coldLimit limits the requests to the engine while it is cold.
	coldLimit warm.Limiter
	// quotas holds the request rate that the engine names.
	quotas *quota.Table
	// removed is true if the endpoint is no longer listed.
	removed bool
	// unreached is true while the owner cannot reach the engine's failure domain.
	unreached bool
}

// engineRequest is a request that was assigned to an engine.
type engineRequest struct {
	prefillTokens int
	// tokensAhead is the number of tokens that the engine had to read before this
	// request's.
	tokensAhead int
	// runningAtFirst is the number of requests when the first event came, at firstAt.
	runningAtFirst int
	firstAt        time.Time
	// ownTokens is the memory of the request alone, in tokens, and shared are the
	// parts of its prompt whose memory others may share.
	ownTokens int
	shared    []catalog.PrefixPart
	eventGap  time.Duration
	expiresAt time.Time
}

func newEngine(e *catalog.Endpoint, spec *catalog.Model, quotas *quota.Table) *engine {
	return &engine{
		quotas:   quotas,
		endpoint: e,
		key:      e.Key(),
		spec:     spec,
		hash:     xxhash.Sum64String(e.ID),
		requests: make(map[string]*engineRequest),
		cache:    newPrefixCache(int(float64(spec.CacheTokens) * cacheShare)),
	}
}

// usable reports whether the engine may get requests at all.
func (e *engine) usable() bool { return !e.removed && e.endpoint.TakesWork() }

// serves reports whether the engine may serve a job, even if it accepts none now.
func (e *engine) serves(j *job, now time.Time) bool {
	if j.Version == nil {
		return e.usable()
	}
	return !e.removed && e.endpoint.TakesRest(now) && e.endpoint.Runs(*j.Version)
}

// acceptsNow reports whether the engine may get the job now: a cold one, and one with a
// quota, accepts only a few.
func (e *engine) acceptsNow(j *job, now time.Time) bool {
	return e.acceptsWithoutToken(j, now) && e.quotas.Available(now, e.key) > 0
}

// acceptsWithoutToken is acceptsNow for a process that does not spend the quotas.
func (e *engine) acceptsWithoutToken(j *job, now time.Time) bool {
	return e.serves(j, now) && e.coldLimit.Allow(now, e.endpoint, warm.OwnerShare, 0)
}

// uncachedTokens returns the number of the prompt's tokens that the engine has not
// cached.
func (e *engine) uncachedTokens(j *job) int {
	return max(0, promptTokens(j)-e.cache.hit(j.Prefix))
}

// addRequest accounts for a request.
func (e *engine) addRequest(j *job) {
	r := &engineRequest{
		prefillTokens: e.uncachedTokens(j),
		tokensAhead:   e.prefillTokens,
		ownTokens:     promptTokens(j) - sharedTokens(j) + j.TokensOut,
		shared:        sharedParts(j.Prefix),
		eventGap:      j.EventGap,
		expiresAt:     j.deadlineAt.Add(requestExpiryMargin),
	}
	if e.prefillTokens == 0 {
		e.readSince = j.granted
	}
	e.requests[j.Ticket] = r
	e.prefillTokens += r.prefillTokens
	e.addMemory(r)
	e.eventGap = tighter(e.eventGap, r.eventGap)
}

// observeFirstEvent notes that the engine has read a prompt; took is the time
// since the grant, or 0 if it is unknown.
func (e *engine) observeFirstEvent(ticket string, took time.Duration, now time.Time) {
	r := e.requests[ticket]
	if r == nil || !r.firstAt.IsZero() {
		return
	}
	r.firstAt, r.runningAtFirst = now, len(e.requests)
	e.readSince = now
	if r.prefillTokens == 0 {
		return
	}
	if tokens := firstEventTokens(r.tokensAhead, r.prefillTokens); took > 0 {
		e.slowness.learn(took, e.times.estimate(tokens), now)
		e.times.learn(tokens, took)
	}
	e.prefillTokens -= r.prefillTokens
	r.prefillTokens = 0
}

// firstEventTokens returns the number of tokens that are read before the first
// event of a prompt: some of those ahead, and its own.
func firstEventTokens(ahead, own int) int { return int(tokensAheadShare*float64(ahead)) + own }

// finish ends the accounting for a request.
func (e *engine) finish(ticket string) {
	r := e.requests[ticket]
	if r == nil {
		return
	}
	delete(e.requests, ticket)
	e.prefillTokens -= r.prefillTokens
	e.removeMemory(r)
	if r.eventGap > 0 && r.eventGap == e.eventGap {
		e.eventGap = 0
		for _, other := range e.requests {
			e.eventGap = tighter(e.eventGap, other.eventGap)
		}
	}
}

// expire removes requests whose end was not reported because the process that held
// them is gone.
func (e *engine) expire(now time.Time) {
	for ticket, r := range e.requests {
		if now.After(r.expiresAt) {
			e.finish(ticket)
		}
	}
}

// observeOutcome notes whether a request was served.
func (e *engine) observeOutcome(ok bool, now time.Time) {
	e.failures.Record(!ok, failWeight, failHalfLife, now)
	if ok {
		e.pause.ResetFailures()
	} else {
		e.pause.RecordFailure(pauseMin, pauseMax, now)
	}
}

// cost returns the expected wait for the first token of j, in milliseconds, with
// penalties for failures, missing capacity and inputs from other failure domains.
//
// The engine's slowness counts only for the tokens to be read, and that of a fast one
// with its square root: a part of the wait does not depend on the engine, and all
// requests would crowd on the fastest engines otherwise. What is read again is not
// cheaper there: on a few fast engines the shared parts would displace each other.
func (e *engine) cost(j *job, inputs map[string]int64, now time.Time) float64 {
	shared := sharedTokens(j)
	hit := e.cache.hit(j.Prefix)
	again := float64(max(0, shared-hit))
	own := float64(promptTokens(j) - max(shared, hit))
	reading, generating := e.slowness.factor(now), e.eventSlowness.factor(now)
	ms := decodeCost*float64(len(e.requests))*generating + e.memoryCost(j)
	ms += e.gapCost(j, int(again+own), reading, generating)
	if reading < 1 {
		reading = math.Sqrt(reading)
	}
	tokens := reading*(float64(e.prefillTokens)+own) + max(1, reading)*readAgainCost(again)
	ms += milliseconds(e.times.estimate(int(tokens)))
	ms += failPenalty * e.failures.At(failHalfLife, now)
	for domain, bytes := range inputs {
		if domain != e.endpoint.Domain {
			ms += milliseconds(spill.TrafficPrice(bytes))
		}
	}
	if len(e.requests) >= e.spec.Slots {
		ms += failPenalty
	}
	if e.pause.Active(now) || e.unreached || e.endpoint.Leaving {
		ms += failPenalty
	}
	return ms
}

// readAgainCost returns the cost of tokens of shared parts that have to be read again,
// relative to other tokens.
func readAgainCost(again float64) float64 {
	return sharedTokenWeight*again + min(displacedWeight*again, displacedMax)
}

// firstEvent returns the expected time from a grant now to the first event of j.
func (e *engine) firstEvent(j *job, now time.Time) time.Duration {
	tokens := firstEventTokens(e.prefillTokens, e.uncachedTokens(j))
	return time.Duration(e.slowness.factor(now) * float64(e.times.estimate(tokens)))
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// sharedParts returns the parts that other requests may share: all but the last,
// which is the request's own.
func sharedParts(prefix []catalog.PrefixPart) []catalog.PrefixPart {
	return prefix[:max(0, len(prefix)-1)]
}

// sharedTokens returns the length of the shared parts.
func sharedTokens(j *job) int {
	n := 0
	for _, p := range sharedParts(j.Prefix) {
		n += p.Tokens
	}
	return n
}

// promptTokens returns the length of the whole prompt.
func promptTokens(j *job) int {
	n := 0
	for _, p := range j.Prefix {
		n += p.Tokens
	}
	return max(n, j.TokensIn)
}
