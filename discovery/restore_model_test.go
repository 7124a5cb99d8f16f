package discovery

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/platform"
	"github.com/mangostage/mangostage/position"
)

const (
	// modelTick is the step of the model's time; a member acts in most of them.
	modelTick = 50 * time.Millisecond
	// modelLength is how long there are changes and faults, modelQuiet how long after the
	// last one all members must agree.
	modelLength = 40 * time.Second
	modelQuiet  = 6 * time.Second
	// rewriteTime is the time in which writers write again what a return has lost, and
	// leaseTime how long an entry that nobody renews stays.
	rewriteTime = 1800 * time.Millisecond
	leaseTime   = 3600 * time.Millisecond
	// modelDomains is the number of failure domains.
	modelDomains = 2
)

// modelSeeds is the number of fleets of three members in each test; there are fewer larger
// ones. By hand: go test ./discovery -run NoMemberGoesBack -args -model.seeds 2000.
var modelSeeds = flag.Uint64("model.seeds", 100, "number of seeds of the smallest fleet")

// modelFaults says which faults a model has.
type modelFaults struct {
	// olderCopies means that the store may return from a copy that was taken before its
	// previous return.
	olderCopies bool
	// storeOnly means that the members are never cut off, paused or restarted.
	storeOnly bool
}

// model is a fleet in virtual time.
type model struct {
	t         *testing.T
	faults    modelFaults
	rng       *rand.Rand
	now       time.Time
	store     modelStore
	members   []*modelMember
	endpoints []*modelEndpoint
	version   uint64
	evacuated map[string]bool
	// evacuatedAt is when the operator last evacuated a domain.
	evacuatedAt map[string]time.Time
	// rewrites are the writes that a return has lost, each with the time of its repetition.
	rewrites []rewrite
	nextID   int
	returns  int
}

type rewrite struct {
	at time.Time
	do func()
}

func newModel(t *testing.T, seed uint64, members int, faults modelFaults) *model {
	m := &model{t: t, faults: faults, rng: rand.New(rand.NewPCG(seed, 20)), now: epoch, evacuated: make(map[string]bool), evacuatedAt: make(map[string]time.Time)}
	m.store = modelStore{at: position.Position{Era: 1, Revision: 1}, items: make(map[string]platform.Item)}
	m.publish()
	for range 4 {
		m.addEndpoint()
	}
	for n := range members {
		member := &modelMember{name: fmt.Sprintf("m%d", n), reader: n < 2}
		member.restart()
		m.members = append(m.members, member)
	}
	return m
}

func (m *modelMember) restart() {
	m.state = NewState()
	m.view, m.listed, m.storeEra, m.version = nil, false, 0, 0
	m.left, m.evac, m.restored = make(map[string]bool), make(map[string]bool), make(map[string]time.Time)
	m.lost = make(map[string]position.Position)
}

func (m *model) chance(one int) bool { return m.rng.IntN(one) == 0 }

func (m *model) within(d time.Duration) time.Time {
	return m.now.Add(time.Duration(m.rng.Int64N(int64(d))))
}

func (m *model) publish() {
	m.version++
	m.writeConfig()
}

func (m *model) writeConfig() {
	m.store.write(platform.KeyConfig, fmt.Appendf(nil, `{"version":%d,"routes":[],"services":[{"name":"s"}]}`, m.version), false)
}

func (m *model) addEndpoint() {
	m.nextID++
	e := &modelEndpoint{id: fmt.Sprintf("e%d", m.nextID), domain: fmt.Sprintf("z%d", m.nextID%modelDomains), state: "ready"}
	m.endpoints = append(m.endpoints, e)
	m.writeEndpoint(e)
}

func (m *model) writeEndpoint(e *modelEndpoint) {
	key := platform.PrefixEndpoints + e.id
	if e.state == "" {
		if _, listed := m.store.items[key]; listed {
			m.store.write(key, nil, true)
		}
		return
	}
	m.store.write(key, e.value(), false)
}

func (m *model) writeEvacuation(domain string) {
	key := platform.PrefixEvacuations + domain
	_, listed := m.store.items[key]
	if listed || m.evacuated[domain] {
		m.store.write(key, nil, !m.evacuated[domain])
	}
}

// change makes a random change by the operator or an endpoint.
func (m *model) change() {
	switch m.rng.IntN(5) {
	case 0, 1:
		m.publish()
	case 2:
		m.addEndpoint()
	case 3:
		m.endSome()
	case 4:
		domain := fmt.Sprintf("z%d", m.rng.IntN(modelDomains))
		m.evacuated[domain] = !m.evacuated[domain]
		if m.evacuated[domain] {
			m.evacuatedAt[domain] = m.now
		}
		m.writeEvacuation(domain)
	}
}

// endSome lets an endpoint leave, or end if it leaves; two stay.
func (m *model) endSome() {
	var alive []*modelEndpoint
	for _, e := range m.endpoints {
		if e.state != "" {
			alive = append(alive, e)
		}
	}
	if len(alive) <= 2 {
		return
	}
	e := alive[m.rng.IntN(len(alive)-2)]
	switch {
	case e.state == "ready" && m.chance(2):
		e.state = "draining"
	default:
		e.state = ""
	}
	m.writeEndpoint(e)
}

// restore returns the store from a copy. What it lost is written again within rewriteTime,
// unless it has changed by then.
func (m *model) restore() {
	var copies []modelCopy
	for _, c := range m.store.copies {
		if m.now.Sub(c.taken) < 8*time.Second {
			copies = append(copies, c)
		}
	}
	if len(copies) == 0 {
		return
	}
	c := copies[m.rng.IntN(len(copies))]
	m.returns++
	m.store.down = m.within(time.Second)
	back := m.store.down
	m.store.at = position.Position{Era: m.store.at.Era + 1 + uint64(m.rng.IntN(2)), Revision: c.revision}
	m.store.items, m.store.history, m.store.complete = maps.Clone(c.items), nil, m.store.at
	if !m.faults.olderCopies {
		c.taken = m.now
		m.store.copies = []modelCopy{c}
	}
	again := func(do func()) {
		m.rewrites = append(m.rewrites, rewrite{back.Add(time.Duration(m.rng.Int64N(int64(rewriteTime)))), do})
	}
	again(m.writeConfig)
	for _, e := range m.endpoints {
		if e.state != "" {
			again(func() { m.writeEndpoint(e) })
			continue
		}
		e.lapses = back.Add(leaseTime)
	}
	for n := range modelDomains {
		again(func() { m.writeEvacuation(fmt.Sprintf("z%d", n)) })
	}
}

// tick advances the time: the store takes copies, writers write again what was lost, and
// each member that is up acts.
func (m *model) tick() {
	m.now = m.now.Add(modelTick)
	if m.chance(10) {
		m.store.copies = append(m.store.copies, modelCopy{m.now, m.store.at.Revision, maps.Clone(m.store.items)})
	}
	var later []rewrite
	for _, r := range m.rewrites {
		if m.now.Before(r.at) || m.now.Before(m.store.down) {
			later = append(later, r)
			continue
		}
		r.do()
	}
	m.rewrites = later
	for _, e := range m.endpoints {
		if !e.lapses.IsZero() && m.now.After(e.lapses) {
			m.writeEndpoint(e)
			e.lapses = time.Time{}
		}
	}
	for _, member := range m.members {
		if !m.now.Before(member.away) && !m.chance(4) {
			m.act(member)
		}
		m.check(member)
	}
}

func (m *model) storeUp(member *modelMember) bool {
	return !m.now.Before(m.store.down) && !m.now.Before(member.storeCut)
}

// reach returns another member that meets the condition and is reached.
func (m *model) reach(member *modelMember, want func(*modelMember) bool) *modelMember {
	if m.now.Before(member.peerCut) {
		return nil
	}
	start := m.rng.IntN(len(m.members))
	for n := range m.members {
		other := m.members[(start+n)%len(m.members)]
		if other != member && !m.now.Before(other.away) && !m.now.Before(other.peerCut) && want(other) {
			return other
		}
	}
	return nil
}

// act makes one step of a member, as Follower.step does.
func (m *model) act(member *modelMember) {
	known := member.state.Knowledge()
	informed := m.reach(member, func(o *modelMember) bool { return known.LessInformed(o.state.Knowledge()) })
	switch {
	case informed == nil || known.At.Era <= position.FirstEra:
	case informed.state.Settled():
		m.compare(member, informed)
	default:
		member.state.Adopt(m.now, informed.state.Changes(m.now, known.Before))
	}
	if m.follow(member) {
		return
	}
	if m.storeUp(member) {
		member.storeEra = m.store.at.Era
	}
	if at := member.state.At(); !at.IsZero() && member.storeEra > at.Era {
		member.listed = m.newer(member)
		if member.listed {
			return
		}
	}
	if !m.storeUp(member) {
		member.state.NoteTrouble(m.now)
		m.newer(member)
		return
	}
	m.read(member)
}

// pass applies the changes that another member passes on; it is false if these are of no
// use.
func (m *model) pass(member, from *modelMember) bool {
	known := member.state.Knowledge()
	batch := from.state.Changes(m.now, known.At)
	if batch.lacks(known) {
		batch = m.allItems(from)
	}
	if batch.Complete && batch.isJudgement(known) {
		return false
	}
	member.state.ApplyBatch(m.now, batch)
	return true
}

// compare compares what a member lists with a settled one.
func (m *model) compare(member, with *modelMember) {
	at, digest := member.state.At(), member.state.ComparisonDigest(m.now)
	settled := Comparison{Peer: with.name, Verdict: with.state.Compare(at, digest)}
	if settled.Verdict == VerdictDifferent {
		settled.Batch = m.allItems(with)
	}
	member.state.ApplyComparison(m.now, settled, at, digest)
}

// allItems returns all items that a member knows.
func (m *model) allItems(from *modelMember) Batch {
	batch := from.state.Changes(m.now, position.Position{})
	batch.Complete = true
	return batch
}

// follow reads from a reader of the store; it is false if there is none.
func (m *model) follow(member *modelMember) bool {
	if member.reader {
		return false
	}
	at := member.state.At()
	reader := m.reach(member, func(o *modelMember) bool {
		return o.reader && m.storeUp(o) && !o.state.At().IsZero() && !at.After(o.state.At())
	})
	if reader == nil || !m.pass(member, reader) {
		return false
	}
	member.listed = true
	return true
}

// newer reads from a member that is ahead; it reports whether that has entered the era that
// the store has named.
func (m *model) newer(member *modelMember) bool {
	at := member.state.At()
	ahead := m.reach(member, func(o *modelMember) bool { return o.state.At().After(at) })
	if ahead != nil {
		m.pass(member, ahead)
	}
	return member.state.At().Era >= member.storeEra
}

// read reads from the store.
func (m *model) read(member *modelMember) {
	if member.listed && !member.state.SettleDue(m.now) {
		if items, ok := m.store.changes(member.state.At()); ok {
			member.state.applyAll(m.now, items, m.store.at)
			return
		}
	}
	if member.state.At().IsZero() && m.store.at.Era > position.FirstEra && m.newer(member) {
		member.listed = true
		return
	}
	member.state.ApplyStoreList(m.now, m.now, m.store.list(), m.store.at)
	member.listed = true
}

// noteLost notes which items the member takes for lost: that these are gone in the end is
// not what it was told.
func (m *modelMember) noteLost() {
	for _, e := range m.state.entries {
		if e.item.Lost {
			m.lost[e.item.Key] = e.item.Position()
		}
	}
	for key, item := range m.state.evacuations.items {
		if item.Lost {
			m.lost[key] = item.Position()
		}
	}
}

// isGone reports whether the member was told that the item is gone.
func (m *modelMember) isGone(item platform.Item) bool {
	return item.Gone && m.lost[item.Key] != item.Position()
}

// check verifies that a member has not gone back.
func (m *model) check(member *modelMember) {
	member.noteLost()
	if view := member.state.View(m.now); view != nil {
		member.view = view
	}
	v := member.view
	if v == nil || v.Index == nil {
		return
	}
	if v.Index.Config.Version < member.version {
		m.t.Fatalf("%v: %s goes back to configuration %d from %d", m.now.Sub(epoch), member.name, v.Index.Config.Version, member.version)
	}
	member.version = v.Index.Config.Version
	for _, e := range m.endpoints {
		listed := v.EndpointByID(e.id)
		takes := listed != nil && !listed.Leaving
		if takes && member.left[e.id] {
			m.t.Fatalf("%v: %s sends to %s again, which has left (%s)", m.now.Sub(epoch), member.name, e.id, e.state)
		}
		known := member.state.entries[e.id]
		told := known != nil && (member.isGone(known.item) || listed != nil && listed.Leaving)
		member.left[e.id] = told && !takes && e.state != "ready"
	}
	for domain := range m.evacuatedAt {
		m.checkDomain(member, domain)
	}
}

// checkDomain verifies that a domain is not evacuated again without the operator's word.
func (m *model) checkDomain(member *modelMember, domain string) {
	_, evacuated := member.state.evacuations.domains()[domain]
	switch {
	case evacuated && !member.evac[domain] && !member.restored[domain].IsZero() && m.evacuatedAt[domain].Before(member.restored[domain]):
		m.t.Fatalf("%v: %s evacuates %s again", m.now.Sub(epoch), member.name, domain)
	case !evacuated && member.evac[domain]:
		// An evacuation that is lost in the copy ends here until it is written again.
		member.restored[domain] = time.Time{}
		if !m.evacuated[domain] && member.isGone(member.state.evacuations.items[platform.PrefixEvacuations+domain]) {
			member.restored[domain] = m.now
		}
	}
	member.evac[domain] = evacuated
}

// disturb injects a random fault.
func (m *model) disturb() {
	member := m.members[m.rng.IntN(len(m.members))]
	fault := m.rng.IntN(8)
	if m.faults.storeOnly {
		fault = min(fault, 2)
	}
	switch fault {
	case 0, 1:
		m.restore()
		if m.chance(3) {
			m.now = m.now.Add(modelTick)
			m.restore()
		}
	case 2:
		m.store.history, m.store.complete = nil, m.store.at
	case 3:
		member.storeCut = m.within(4 * time.Second)
	case 4:
		member.storeCut, member.peerCut = m.within(4*time.Second), m.within(4*time.Second)
	case 5:
		member.away = m.within(4 * time.Second)
	case 6:
		member.restart()
		member.away = m.within(time.Second)
	case 7:
		other := m.members[m.rng.IntN(len(m.members))]
		member.reader, other.reader = other.reader, member.reader
	}
}

// checkAgreement verifies that all members know what was written last.
func (m *model) checkAgreement() {
	var want []string
	for _, e := range m.endpoints {
		if e.state == "ready" {
			want = append(want, fmt.Sprintf("%s %v", e.id, !m.evacuated[e.domain]))
		}
	}
	slices.Sort(want)
	for _, member := range m.members {
		assert.Equal(m.t, member.version, m.version, "configuration of %s", member.name)
		var got []string
		for e := range member.view.All() {
			if !e.Leaving {
				got = append(got, fmt.Sprintf("%s %v", e.ID, !e.Evacuated))
			}
		}
		slices.Sort(got)
		assert.Equal(m.t, strings.Join(got, ", "), strings.Join(want, ", "), "endpoints of %s, %d returns", member.name, m.returns)
	}
}

// run runs the model: changes and faults, and a quiet time after which all must agree.
func (m *model) run() {
	for range 20 {
		m.tick()
	}
	for m.now.Sub(epoch) < modelLength {
		if m.chance(10) && !m.now.Before(m.store.down) {
			m.change()
		}
		if m.chance(30) {
			m.disturb()
		}
		m.tick()
	}
	for range int(modelQuiet / modelTick) {
		m.tick()
	}
	m.checkAgreement()
}

// runModels runs models of fleets of a size, each with another seed.
func runModels(t *testing.T, members int, faults modelFaults, seeds ...uint64) {
	for _, seed := range seeds {
		t.Run(fmt.Sprintf("%d members, seed %d", members, seed), func(t *testing.T) {
			newModel(t, seed, members, faults).run()
		})
	}
}

// firstSeeds returns the seeds below n.
func firstSeeds(n uint64) []uint64 {
	seeds := make([]uint64, n)
	for i := range seeds {
		seeds[i] = uint64(i)
	}
	return seeds
}

// Guards against members that go back, or disagree for good, after the store has returned
// from copies in the course of writes, outages, cuts, pauses and restarts.
func TestNoMemberGoesBackWhenTheStoreReturns(t *testing.T) {
	runModels(t, 3, modelFaults{}, firstSeeds(*modelSeeds)...)
	runModels(t, 30, modelFaults{}, firstSeeds(*modelSeeds/20)...)
	runModels(t, 300, modelFaults{}, firstSeeds(*modelSeeds/100)...)
}

// Guards against the same in returns that follow each other so closely that the copy of one
// is from before the other.
func TestNoMemberGoesBackOverReturnsInSeries(t *testing.T) {
	faults := modelFaults{olderCopies: true, storeOnly: true}
	runModels(t, 3, faults, firstSeeds(*modelSeeds)...)
	runModels(t, 30, faults, firstSeeds(*modelSeeds/20)...)
}

// Guards against a member that was cut off or restarted between such returns, judges the
// copy by itself and takes an evacuation that has ended for a new one.
func TestCutMembersOverReturnsInSeries(t *testing.T) {
	runModels(t, 3, modelFaults{olderCopies: true}, 980, 1007, 1092, 1225, 1752, 1865)
}

// Guards against members that judge a copy differently and stay so, or that give up what
// they were told for the judgement of another one.
func TestMembersThatJudgeACopyDifferently(t *testing.T) {
	older := modelFaults{olderCopies: true}
	runModels(t, 3, older, 4441, 5785, 6512, 6699, 7504, 7916, 9818, 12624, 13019, 15699, 15909, 16076, 17754, 19947)
	runModels(t, 5, older, 82, 479)
	runModels(t, 3, modelFaults{olderCopies: true, storeOnly: true}, 7384)
	runModels(t, 3, modelFaults{}, 3477, 4441, 5785, 6699)
	runModels(t, 5, modelFaults{}, 82, 2685, 3929)
}
