package dispatch

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/mangostage/mangostage/catalog"
	"github.com/mangostage/mangostage/scheduler/delegation"
)

// The stage services of a fleetLoad, in the order of a chain.
const (
	stageFirst  = "prepare"
	stageSecond = "lookup"
	stageThird  = "reserve"
)

// fleetSize is the size of a fleet and of its load.
type fleetSize struct {
	// engines is the number of model engines, workers that of the endpoints of each stage.
	engines int
	workers map[string]int
	// accounts is the number of client accounts, of which a few are large.
	accounts int
	// times is the load, relative to that of routesOfAFleet.
	times float64
}

// largeFleet is a fleet of hundreds of endpoints.
var largeFleet = fleetSize{
	engines: 180, workers: map[string]int{stageFirst: 43, stageSecond: 36, stageThird: 41}, accounts: 40, times: 1,
}

// scaled returns a fleet and a load that are so many times as large.
func (s fleetSize) scaled(times float64) fleetSize {
	workers := make(map[string]int, len(s.workers))
	for name, n := range s.workers {
		workers[name] = max(1, int(math.Round(times*float64(n))))
	}
	return fleetSize{engines: max(1, int(math.Round(times*float64(s.engines)))), workers: workers, accounts: s.accounts, times: s.times * times}
}

var fleetSpecs = map[string]catalog.Batch{
	stageFirst:  {Slots: 1, Queue: 2, Items: 8, CallTime: 150 * time.Millisecond, ItemTime: 16 * time.Millisecond, Room: 42_000_000, ResultTTL: 4 * time.Second},
	stageSecond: {Slots: 1, Queue: 2, Items: 40, CallTime: 150 * time.Millisecond, ItemTime: 3200 * time.Microsecond, Room: 7_100_000, ResultTTL: 4 * time.Second},
	stageThird:  {Slots: 1, Queue: 2, Items: 70, CallTime: 150 * time.Millisecond, ItemTime: 1800 * time.Microsecond, Room: 1_200_000, ResultTTL: 4 * time.Second},
}

var fleetDomains = []string{"a", "b", "c", "d", "e"}

// view returns the view of the fleet.
func (s fleetSize) view() *catalog.View {
	c := &catalog.Config{Version: 1, Accounts: make([]catalog.Account, s.accounts), Services: []catalog.Service{
		{Name: serviceModel, Model: &catalog.Model{Slots: 32, CacheTokens: 351_294}},
	}}
	counts := map[string]int{serviceModel: s.engines}
	for _, name := range []string{stageFirst, stageSecond, stageThird} {
		spec := fleetSpecs[name]
		c.Services = append(c.Services, catalog.Service{Name: name, Batch: &spec})
		counts[name] = s.workers[name]
	}
	var endpoints []*catalog.Endpoint
	for _, service := range c.Services {
		for i := range counts[service.Name] {
			id := fmt.Sprintf("%s-%d", service.Name, i)
			endpoints = append(endpoints, &catalog.Endpoint{ID: id, Service: service.Name, Addr: id + ":80", Domain: fleetDomains[i%len(fleetDomains)], Slots: 32})
		}
	}
	return catalog.NewView(catalog.NewIndex(c), endpoints, 1)
}

// fleetRoute is a route of a fleetLoad.
type fleetRoute struct {
	name                string
	priority            int
	rate                float64
	objective, deadline time.Duration
	// sharedTokens are those of the parts of a prompt that others share, ownTokens its own.
	sharedTokens, ownTokens, tokensOut int
	stages                             func(*rand.Rand) []StageWork
}

// spreadCount returns a number of at least 1 with about the mean.
func spreadCount(r *rand.Rand, mean, spread float64, most int) int {
	n := mean * math.Exp(spread*r.NormFloat64()-spread*spread/2)
	return min(most, max(1, int(math.Round(n))))
}

// lookupChain returns the stages of a chain that begins after the stage with the index.
func lookupChain(r *rand.Rand, first int) []StageWork {
	return []StageWork{
		{Service: stageFirst, Pieces: 1, ResultBytes: 8_000},
		{Service: stageSecond, DependsOn: []int{first}, Pieces: 8, ResultBytes: 60_000},
		{Service: stageThird, DependsOn: []int{first + 1}, Pieces: spreadCount(r, 16, 0.4, 40), ResultBytes: 6_000},
	}
}

// routesOfAFleet returns an urgent route with three stages in a row, a less urgent one with
// one stage, and the least urgent one with four.
func routesOfAFleet() []*fleetRoute {
	return []*fleetRoute{
		{
			name: "chain", priority: 0, rate: 206, objective: 1600 * time.Millisecond, deadline: 6 * time.Second,
			sharedTokens: 568, ownTokens: 1232, tokensOut: 23,
			stages: func(r *rand.Rand) []StageWork { return lookupChain(r, 0) },
		},
		{
			name: "single", priority: 1, rate: 171, objective: time.Second, deadline: 6 * time.Second,
			sharedTokens: 6300, ownTokens: 2890, tokensOut: 52,
			stages: func(r *rand.Rand) []StageWork {
				pieces := 0
				if r.Float64() < 0.7 {
					pieces = spreadCount(r, 2.5, 0.6, 10)
				}
				return []StageWork{{Service: stageFirst, Pieces: pieces, ResultBytes: 3_000_000}}
			},
		},
		{
			name: "chat", priority: 2, rate: 127, objective: 1500 * time.Millisecond, deadline: 15 * time.Second,
			sharedTokens: 172, ownTokens: 371, tokensOut: 280,
			stages: func(r *rand.Rand) []StageWork {
				pieces := 0
				if r.Float64() < 0.4 {
					pieces = spreadCount(r, 1.5, 0.6, 6)
				}
				return append([]StageWork{{Service: stageFirst, Pieces: pieces, ResultBytes: 3_000_000}}, lookupChain(r, 1)...)
			},
		},
	}
}

// fleetClient is one request with its retry.
type fleetClient struct {
	route  *fleetRoute
	job    Job
	tries  int
	first  time.Time
	number int
	// result is where the request is counted.
	result *routeResult
}

// routeResult counts what became of the requests of one route.
type routeResult struct{ offered, inTime, late, refused, unserved int }

// servedInTime returns the fraction of the offered requests that were served in time.
func (r routeResult) servedInTime() float64 { return float64(r.inTime) / float64(max(1, r.offered)) }

// ownerEvent is something that the owner has to handle.
type ownerEvent struct {
	at     time.Time
	number int
	// own is true if it happens without the owner's processor, such as a client's arrival.
	own bool
	// price is the processor time of the message or call that brings it.
	price  time.Duration
	handle func(now time.Time)
}

type ownerEvents []ownerEvent

// Len implements heap.Interface.
func (h ownerEvents) Len() int { return len(h) }

// Less implements heap.Interface.
func (h ownerEvents) Less(a, b int) bool {
	if !h[a].at.Equal(h[b].at) {
		return h[a].at.Before(h[b].at)
	}
	return h[a].number < h[b].number
}

// Swap implements heap.Interface.
func (h ownerEvents) Swap(a, b int) { h[a], h[b] = h[b], h[a] }

// Push implements heap.Interface.
func (h *ownerEvents) Push(x any) { *h = append(*h, x.(ownerEvent)) }

// Pop implements heap.Interface.
func (h *ownerEvents) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// ownerPrices is the owner's processor time for what brings events to it and carries out effects.
type ownerPrices struct {
	// submit is that of a job and its decision, note that of a message about it, call that of a call
	// for pieces and free that of a release of results.
	submit, note, call, free time.Duration
}

// fleetLoad plays clients of a fleet against a Core whose processor handles one event after
// the other.
type fleetLoad struct {
	core   *Core
	rng    *rand.Rand
	size   fleetSize
	routes []*fleetRoute
	// burst returns the factor of a route's rate at a time from the beginning.
	burst func(r *fleetRoute, at time.Duration) float64
	// cost returns the owner's processor time for an event that the Core handled in took.
	cost func(took time.Duration) time.Duration
	// prices are those of messages and calls, assigned those of calls that members of delegates make.
	prices, assigned ownerPrices
	delegates        *delegation.Table[string]
	// naive makes the owner free the results of each job at each endpoint by themselves.
	naive bool
	// countFrom is the time from which requests are counted.
	countFrom time.Duration
	// onEffect, if set, is called with each effect.
	onEffect func(Effect)
	// freeAt is when the owner's processor is free.
	freeAt  time.Time
	events  ownerEvents
	numbers int
	// requests counts the requests.
	requests int
	clients  map[string]*fleetClient
	results  map[string]*routeResult
	// coreTime is the processor time in the Core, handled counts events, longest is the
	// longest time for which an event waited, waited the sum of these.
	coreTime        time.Duration
	handled         int
	longest, waited time.Duration
	end             time.Time
	pieceIDs        int
}

// networkDelay is the time that a message between processes takes.
const networkDelay = 2 * time.Millisecond

// newOwner returns a Core that shares the room of its pools among accounts.
func newOwner() *Core {
	c := New("owner", nil, nil)
	c.ShareAmongAccounts()
	return c
}

func newFleetLoad(seed uint64, size fleetSize) *fleetLoad {
	l := &fleetLoad{
		core: newOwner(), rng: rand.New(rand.NewPCG(seed, 1)), size: size, routes: routesOfAFleet(), freeAt: epoch,
		clients: make(map[string]*fleetClient), results: make(map[string]*routeResult),
		burst: func(*fleetRoute, time.Duration) float64 { return 1 },
		cost:  func(time.Duration) time.Duration { return 0 },
	}
	for _, r := range l.routes {
		l.results[r.name] = &routeResult{}
	}
	l.core.SetView(epoch, size.view())
	return l
}

// at adds an event that the owner has to handle.
func (l *fleetLoad) at(t time.Time, handle func(now time.Time)) {
	l.add(ownerEvent{at: t, handle: handle})
}

// priced adds an event that a message or call brings.
func (l *fleetLoad) priced(t time.Time, price time.Duration, handle func(now time.Time)) {
	l.add(ownerEvent{at: t, price: price, handle: handle})
}

// outside adds an event that does not need the owner.
func (l *fleetLoad) outside(t time.Time, handle func(now time.Time)) {
	l.add(ownerEvent{at: t, own: true, handle: handle})
}

func (l *fleetLoad) add(e ownerEvent) {
	l.numbers++
	e.number = l.numbers
	heap.Push(&l.events, e)
}

// play offers the load for a time and lets all requests end.
func (l *fleetLoad) play(d time.Duration) *fleetLoad {
	l.end = epoch.Add(d)
	for _, r := range l.routes {
		l.outside(l.nextArrival(r, epoch), func(now time.Time) { l.arrive(r, now) })
	}
	l.at(epoch.Add(tickEvery), l.tick)
	for l.events.Len() > 0 {
		l.step()
	}
	return l
}

// tickEvery is the time between two ticks.
const tickEvery = 20 * time.Millisecond

func (l *fleetLoad) tick(now time.Time) {
	l.core.Tick(now)
	if now.Before(l.end) || !l.core.Idle() {
		// A ticker drops the ticks that nobody takes.
		l.at(l.freeAt.Truncate(tickEvery).Add(tickEvery), l.tick)
	}
}

// step handles the next event.
func (l *fleetLoad) step() {
	e := heap.Pop(&l.events).(ownerEvent)
	if e.own {
		e.handle(e.at)
		return
	}
	now := e.at
	if l.freeAt.After(now) {
		now = l.freeAt
	}
	l.handled++
	l.waited += now.Sub(e.at)
	l.longest = max(l.longest, now.Sub(e.at))
	began := time.Now()
	l.freeAt = now
	l.core.ObserveLag(now.Sub(e.at))
	e.handle(now)
	if l.naive {
		l.core.freeAllGathered()
	}
	took := time.Since(began)
	l.coreTime += took
	l.freeAt = now.Add(l.cost(took) + e.price)
	l.carryOut(l.freeAt)
}

func (l *fleetLoad) nextArrival(r *fleetRoute, after time.Time) time.Time {
	rate := r.rate * l.size.times * l.burst(r, after.Sub(epoch))
	return after.Add(time.Duration(l.rng.ExpFloat64() / rate * float64(time.Second)))
}

func (l *fleetLoad) arrive(r *fleetRoute, now time.Time) {
	if now.After(l.end) {
		return
	}
	l.request(r, l.newJob(r), now)
	l.outside(l.nextArrival(r, now), func(now time.Time) { l.arrive(r, now) })
}

// request sends a new request.
func (l *fleetLoad) request(r *fleetRoute, j Job, now time.Time) {
	l.requests++
	c := &fleetClient{route: r, first: now, number: l.requests, job: j, result: &routeResult{}}
	if now.Sub(epoch) >= l.countFrom {
		c.result = l.results[r.name]
	}
	c.result.offered++
	l.send(c, now)
}

// newJob returns the job of a new request.
func (l *fleetLoad) newJob(r *fleetRoute) Job {
	own := spreadCount(l.rng, float64(r.ownTokens), 1, 8*r.ownTokens)
	first, second := fmt.Sprint(r.name, l.rng.IntN(32)), fmt.Sprint(r.name, "-s", l.rng.IntN(2000))
	prefix := []catalog.PrefixPart{
		{ID: first, Tokens: r.sharedTokens / 2}, {ID: second, Tokens: r.sharedTokens / 2}, {ID: fmt.Sprint("own", l.numbers), Tokens: own},
	}
	return Job{
		Service: serviceModel, Route: r.name, Account: fmt.Sprint("account-", l.drawAccount()),
		Domain: fleetDomains[l.rng.IntN(len(fleetDomains))], PieceKey: "key", Prefix: prefix,
		TokensIn: r.sharedTokens + own, TokensOut: spreadCount(l.rng, float64(r.tokensOut), 1, 4*r.tokensOut), Priority: r.priority,
		RouteObjective: r.objective, EventGap: 400 * time.Millisecond, Stages: r.stages(l.rng),
	}
}

// drawAccount draws the number of an account. A few are large, the largest of 40 sends some
// three times as much as the mean.
func (l *fleetLoad) drawAccount() int {
	return int(math.Pow(l.rng.Float64(), 1.5) * float64(l.size.accounts))
}

// send submits the next try of a client.
func (l *fleetLoad) send(c *fleetClient, now time.Time) {
	c.tries++
	j := c.job
	j.Ticket = fmt.Sprintf("%d#%d", c.number, c.tries)
	j.Request = j.Ticket
	j.RefusedBefore = c.tries > 1
	age := now.Sub(c.first)
	j.Objective, j.Deadline = c.route.objective-age, c.route.deadline-age
	l.clients[j.Ticket] = c
	l.priced(now.Add(networkDelay), l.prices.submit, func(now time.Time) {
		if err := l.core.Submit(now, j); err != nil {
			panic(err)
		}
	})
}

// carryOut carries out the effects of an event that was handled until now.
func (l *fleetLoad) carryOut(now time.Time) {
	for _, e := range l.core.Effects() {
		if l.onEffect != nil {
			l.onEffect(e)
		}
		switch e := e.(type) {
		case StartCall:
			l.startCall(e, now)
		case Grant:
			l.granted(e, now)
		case Refuse:
			l.refused(e, now)
		case Free:
			l.priced(now.Add(2*networkDelay), l.pricesOf(now, e.Domain, e.Key).free, func(now time.Time) { l.core.FreeEnded(now, e.ID, true) })
		}
	}
}

// pricesOf returns the prices of a call to an endpoint.
func (l *fleetLoad) pricesOf(now time.Time, domain, endpoint string) ownerPrices {
	if l.delegates == nil {
		return l.prices
	}
	l.delegates.Count(now)
	if _, ok := l.delegates.Choose(now, domain, endpoint); ok {
		return l.assigned
	}
	return l.prices
}

func (l *fleetLoad) startCall(e StartCall, now time.Time) {
	spec := fleetSpecs[e.Service]
	outcomes := make([]Outcome, len(e.Pieces))
	for i := range outcomes {
		l.pieceIDs++
		outcomes[i] = Outcome{Handle: fmt.Sprintf("%s/%d", e.Addr, l.pieceIDs)}
	}
	ends := now.Add(2*networkDelay + spec.CallTimeFor(len(e.Pieces)))
	l.priced(ends, l.pricesOf(now, e.Domain, e.Key).call, func(now time.Time) { l.core.CallEnded(now, e.Call, CallOK, outcomes) })
}

func (l *fleetLoad) granted(g Grant, now time.Time) {
	c := l.clients[g.Ticket]
	delete(l.clients, g.Ticket)
	reading := time.Duration(float64(c.job.TokensIn)/20*float64(time.Millisecond)) + 40*time.Millisecond
	first := now.Add(2*networkDelay + reading)
	last := first.Add(time.Duration(c.job.TokensOut) * 8 * time.Millisecond)
	result := c.result
	switch {
	case last.Sub(c.first) > c.route.deadline:
		result.unserved++
	case first.Sub(c.first) <= c.route.objective:
		result.inTime++
	default:
		result.late++
	}
	l.priced(first.Add(networkDelay), l.prices.note, func(now time.Time) { l.core.FirstEvent(now, g.Ticket) })
	l.priced(last.Add(networkDelay), l.prices.note, func(now time.Time) { l.core.Done(now, g.Ticket, true) })
}

func (l *fleetLoad) refused(r Refuse, now time.Time) {
	c := l.clients[r.Ticket]
	delete(l.clients, r.Ticket)
	result := c.result
	result.refused++
	left := c.first.Add(c.route.deadline).Sub(now)
	if c.tries > 1 || left < time.Second {
		result.unserved++
		return
	}
	l.outside(now.Add(min(r.RetryAfter, left/3)), func(now time.Time) { l.send(c, now) })
}

// String returns what became of the requests of each route.
func (l *fleetLoad) String() string {
	text := fmt.Sprintf("events %d, core %v for each, waited %v, at most %v;", l.handled, l.coreTime/time.Duration(max(1, l.handled)), l.waited/time.Duration(max(1, l.handled)), l.longest)
	for _, r := range l.routes {
		result := *l.results[r.name]
		text += fmt.Sprintf(" %s %.3f %+v", r.name, result.servedInTime(), result)
	}
	return text
}

func within(at, from, until time.Duration) bool { return at >= from && at < until }
