package dispatch

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mangostage/mangostage/quota"
	"github.com/mangostage/mangostage/retryafter"
)

// Core holds the state of all jobs, stages and endpoints. It is not safe for
// concurrent use; the scheduler serializes events.
type Core struct {
	jobs  map[string]*job
	pools map[string]*pool
	// sortedPools holds the pools sorted by name.
	sortedPools  []*pool
	modelEngines map[string]*modelEngines
	// quotas holds the request rates that endpoints name, backoffs the endpoints of
	// stages that this process, which calls them, must leave alone for a while.
	quotas   *quota.Table
	backoffs *retryafter.Table
	// contents limits the calls with content that was lost with endpoints; nil for none.
	contents Contents
	calls    map[uint64]*call
	// pendingFrees holds, by effect ID, the results whose Free the endpoint has not
	// answered yet.
	pendingFrees map[uint64][]*result
	// gathering holds the endpoints with gathered results.
	gathering map[*worker]struct{}
	// meanSizes is the moving average of the job size of each route, in weighted
	// tokens.
	meanSizes map[string]float64
	// late decides about jobs that cannot meet their objectives; it is the Core itself
	// but in tests.
	late lateRules
	// streams estimates the time of the answers.
	streams      streamTimes
	lastEffectID uint64
	// fleetShare is the fraction of the fleet whose jobs this owner receives, as far
	// as it knows. salt makes its order of endpoints differ from that of other owners.
	fleetShare float64
	salt       uint64
	// lag is the moving average of the delay with which events are handled.
	lag time.Duration
	// unreached are the failure domains that the owner cannot reach.
	unreached []string
	// sharesRoom is true if pools that are short divide their room among client accounts,
	// sharesAllowed if they do with two accounts or more in the configuration.
	sharesRoom, sharesAllowed bool
	// handedOver is true while another process owns the queue.
	handedOver bool
	// admissions counts what was decided, routes the same by route.
	admissions Admissions
	routes     routeStats
	// lastStageID is the ID last given to a stage in the demand of a pool.
	lastStageID uint64
	effects     []Effect
}

// New returns a Core without endpoints; name is the name of its process. quotas holds
// the request rates that endpoints name, backoffs the endpoints that want no calls of this
// process for a while; nil for none.
func New(name string, quotas *quota.Table, backoffs *retryafter.Table) *Core {
	c := &Core{
		quotas:       quotas,
		backoffs:     backoffs,
		fleetShare:   1,
		salt:         xxhash.Sum64String(name),
		jobs:         make(map[string]*job),
		pools:        make(map[string]*pool),
		modelEngines: make(map[string]*modelEngines),
		calls:        make(map[uint64]*call),
		pendingFrees: make(map[uint64][]*result),
		gathering:    make(map[*worker]struct{}),
		meanSizes:    make(map[string]float64),
		streams:      make(streamTimes),
		routes:       make(routeStats),
	}
	c.late = c
	return c
}

// BecomeOwner notes that this process has become the queue owner and which fraction
// of the fleet it is in contact with. An owner with few contacts starts with a
// small call window: the rest of the fleet may have other owners.
func (c *Core) BecomeOwner(share float64) {
	c.fleetShare = share
	c.handedOver = false
	for _, p := range c.pools {
		p.callWindow.setLimit(share, p.callSlots())
	}
}

// SetReach updates the fraction of the fleet that the owner is in contact with. A
// smaller fraction changes nothing: the lost processes may be down, and if they
// have another owner, refusals by the endpoints show it.
func (c *Core) SetReach(share float64) {
	c.handedOver = false
	if share <= c.fleetShare {
		return
	}
	c.fleetShare = share
	for _, p := range c.pools {
		p.callWindow.raiseLimit(share, p.callSlots())
	}
}

// Effects returns the effects since the last call and clears them.
func (c *Core) Effects() []Effect {
	effects := c.effects
	c.effects = nil
	return effects
}

func (c *Core) emit(e Effect) { c.effects = append(c.effects, e) }

// Submit accepts a job. A later effect grants, moves or refuses it. It returns
// ErrDuplicate if the ticket is in use.
func (c *Core) Submit(now time.Time, j Job) error {
	if _, ok := c.jobs[j.Ticket]; ok {
		return ErrDuplicate.New("ticket %s", j.Ticket)
	}
	state := newJob(j, now)
	c.jobs[j.Ticket] = state
	c.routes.countAsked(state)
	if !c.plan(state, now) {
		return nil
	}
	c.advance(state, now)
	c.dispatch(now)
	return nil
}

// plan checks that endpoints for the job exist, sets the latest start of its
// stages and decides on its admission. It reports false if the job was refused.
func (c *Core) plan(j *job, now time.Time) bool {
	if c.lacksVersion(j, now) {
		c.refuseNoVersion(j, now)
		return false
	}
	if j.Version == nil && !c.modelEngines[j.Service].usable() {
		c.refuseNoEndpoint(j, j.Service, now)
		return false
	}
	j.firstEventTime = c.modelEngines[j.Service].times.estimate(promptTokens(j))
	if e := c.modelEngines[j.Service].choose(j, nil, now); e != nil {
		j.preferredDomain = e.endpoint.Domain
		// The prompts that wait at the engine now are read while the stages run.
		j.firstEventTime = e.times.estimate(e.uncachedTokens(j))
		j.engineForecast = e.firstEvent(j, now)
	}
	for _, s := range j.stages {
		if s.Pieces == 0 {
			continue
		}
		p := c.pools[s.Service]
		if p == nil {
			j.shortService, j.shortResource = s.Service, ResourceEndpoints
			c.refuse(j, ReasonUnknownStage, now)
			return false
		}
		if p.usable == 0 {
			c.refuseNoEndpoint(j, p.name, now)
			return false
		}
	}
	for _, s := range j.stages {
		remaining := c.remainingTime(j, s.index)
		j.chainTime = max(j.chainTime, remaining)
		s.startBy = j.objectiveAt.Add(-remaining - j.firstEventTime)
		s.lastStart = c.lastStart(s, remaining)
		c.lastStageID++
		s.demandEntry.pool, s.demandEntry.id = c.pools[s.Service], c.lastStageID
		s.updateDemand()
	}
	c.redeem(j, now)
	c.updateWeight(j)
	if !c.admitToEngines(j, now) || !c.admit(j, now) {
		c.refuse(j, ReasonOverload, now)
		return false
	}
	c.admissions.countDecision(j)
	c.routes.countAdmitted(j)
	return true
}

// remainingTime returns the expected time from the start of stage i to the end of
// the last stage that depends on it.
func (c *Core) remainingTime(j *job, i int) time.Duration {
	var longest time.Duration
	for _, s := range j.stages {
		for _, a := range s.DependsOn {
			if a == i {
				longest = max(longest, c.remainingTime(j, s.index))
			}
		}
	}
	s := j.stages[i]
	if s.Pieces == 0 {
		return longest
	}
	if p := c.pools[s.Service]; p != nil {
		longest += p.avgCallTime
	}
	return longest
}

// advance queues the stages that have become ready, and grants the job once all
// are done.
func (c *Core) advance(j *job, now time.Time) {
	if j.stagesDone() {
		c.grant(j, now)
		return
	}
	for _, s := range j.stages {
		if s.queued || s.readyAt != (time.Time{}) || s.Pieces == 0 || !j.ready(s) {
			continue
		}
		s.readyAt = now
		s.inputs = j.collectInputs(s)
		s.preferredDomain = c.preferredDomain(j, s)
		c.pools[s.Service].push(s)
	}
}

// awaitsEngine reports whether a job is kept although no engine of its service is
// listed. Engines that were lost usually return within seconds, and the stages of
// a started job would have to run again; giveUp bounds the wait. Engines that
// leave are still listed, and do not return.
func (c *Core) awaitsEngine(j *job) bool {
	es := c.modelEngines[j.Service]
	return j.started && es != nil && len(es.all) == 0
}

// grant chooses the model engine, now that all results are available. While all
// engines are cold and at their limit, the job waits for the next tick.
func (c *Core) grant(j *job, now time.Time) {
	inputs := make(map[string]int64)
	for _, s := range j.stages {
		if j.consumers(s.index) > 0 {
			continue
		}
		for _, r := range s.results {
			inputs[r.worker.endpoint.Domain] += r.bytes
		}
	}
	e := c.modelEngines[j.Service].choose(j, inputs, now)
	if e == nil && !c.quotas.Spends(now) {
		// The submitter has to reserve a token at the owner of the queue.
		e = c.modelEngines[j.Service].chooseWithoutToken(j, inputs, now)
	}
	if e == nil && c.lacksVersion(j, now) {
		c.refuseNoVersion(j, now)
		return
	}
	if e == nil {
		if j.Version == nil && !c.modelEngines[j.Service].usable() && !c.awaitsEngine(j) {
			c.refuseNoEndpoint(j, j.Service, now)
		}
		return
	}
	e.coldLimit.Record(now, e.endpoint)
	token := c.quotas.Take(now, e.key, 1)
	c.endWait(j)
	j.engine = e
	j.granted = now
	c.routes.countGranted(j)
	c.modelEngines[j.Service].assign(e, j)
	c.emit(Grant{
		Ticket:   j.Ticket,
		Endpoint: e.key,
		Addr:     e.endpoint.Addr,
		Inputs:   j.finalInputs(),
		Sources:  j.sources(),
		Waited:   now.Sub(j.submitted),
		Slack:    j.objectiveAt.Sub(now) - j.firstEventTime,
		Late:     j.late,
		Token:    token,
	})
}

// FirstEvent notes that the model engine has sent its first event: it has read the
// prompt and fetched its inputs, so the results are freed.
func (c *Core) FirstEvent(now time.Time, ticket string) {
	j := c.jobs[ticket]
	if j == nil || j.engine == nil {
		return
	}
	j.engine.observeFirstEvent(ticket, now.Sub(j.granted), now)
	j.firstEventAt = now
	c.freeAll(j, now)
	c.dispatch(now)
}

// FirstEventElsewhere is FirstEvent if another engine than the granted one has sent it.
func (c *Core) FirstEventElsewhere(now time.Time, ticket string) {
	if j := c.jobs[ticket]; j != nil {
		// The time since the grant says nothing about the granted engine; none is unknown.
		j.granted = now
	}
	c.FirstEvent(now, ticket)
}

// Done ends a granted job. served is true if the engine served the request.
func (c *Core) Done(now time.Time, ticket string, served bool) {
	c.DoneStream(now, ticket, served, Stream{})
}

// DoneStream is Done with what is known of the stream.
func (c *Core) DoneStream(now time.Time, ticket string, served bool, s Stream) {
	j := c.jobs[ticket]
	if j == nil {
		return
	}
	if j.engine != nil {
		j.engine.observeStream(ticket, served, s, now)
		j.engine.observeOutcome(served, now)
		if served && !j.firstEventAt.IsZero() {
			c.streams.learn(j, now.Sub(j.firstEventAt))
		}
	}
	c.finish(j, now)
	c.dispatch(now)
}

// Cancel ends a job whose client, or the process that holds its client, has gone.
func (c *Core) Cancel(now time.Time, ticket string) {
	if j := c.jobs[ticket]; j != nil {
		c.finish(j, now)
		c.dispatch(now)
	}
}

// finish removes a job and frees everything that it holds.
func (c *Core) finish(j *job, now time.Time) {
	if j.ended {
		return
	}
	j.ended = true
	j.giveBackShares(now)
	c.endWait(j)
	delete(c.jobs, j.Ticket)
	for _, s := range j.stages {
		if p := c.pools[s.Service]; p != nil {
			p.remove(s)
		}
	}
	j.updateDemand()
	if j.engine != nil {
		j.engine.finish(j.Ticket)
	}
	c.freeAll(j, now)
}
