package soak

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/mangostage/mangostage/platform"
)

const (
	// rewriteLimit is the time in which writers write again what the store has lost.
	rewriteLimit = 1500 * time.Millisecond
	// lostWrites is the number of writes that a copy lacks beside those of the rig: more than
	// are written again, so that later writes get revisions that were given out before.
	lostWrites = 60
	// applyLimit is the time within which a configuration must be in force.
	applyLimit = 2 * time.Second
)

// storeReturn is a return of the store from a copy.
type storeReturn struct {
	// from is when the store went away, rewritten when everything that it lost had been
	// written again.
	from, rewritten time.Time
}

// returnStore lets the store return from a copy of a given age after it was away. Its
// writers then write again what they want it to have, one after the other.
func (r *rig) returnStore(age, away time.Duration) {
	r.store.Save()
	for range lostWrites {
		r.store.Put("other/counter", nil)
	}
	wait(age)
	back := r.takeStoreAway()
	rewritten := time.Now().Add(away + rewriteLimit)
	r.recorder.recordReturn(time.Now(), rewritten)
	wait(away)
	r.store.Restore()
	back()
	writers := r.rewriters()
	for _, n := range r.permutation(len(writers)) {
		wait(rewriteLimit / time.Duration(len(writers)) / 2)
		writers[n]()
	}
	r.expireLeases()
	wait(time.Until(rewritten))
	r.checkInForce()
}

// takeStoreAway makes the store refuse all calls until the returned function is called.
// Returns of the store may overlap.
func (r *rig) takeStoreAway() (back func()) {
	r.away.Add(1)
	r.store.SetBeforeCall(func(string) bool { return r.away.Load() <= 0 })
	return func() { r.away.Add(-1) }
}

// permutation returns the numbers below n in random order.
func (r *rig) permutation(n int) []int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.writeOrder.Perm(n)
}

// rewriters returns the functions by which the writers write again what they want the store
// to have.
func (r *rig) rewriters() []func() {
	writers := []func(){r.rewriteConfig}
	for _, e := range r.endpoints {
		writers = append(writers, func() { r.rewriteEntry(e) })
	}
	for n := range failureDomains {
		writers = append(writers, func() { r.rewriteEvacuation(fmt.Sprintf("z%d", n)) })
	}
	return writers
}

func (r *rig) rewriteConfig() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.store.Put(platform.KeyConfig, r.config)
}

func (r *rig) rewriteEntry(e *endpoint) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.listed != "" {
		r.listLocked(e, e.listed)
	}
}

func (r *rig) rewriteEvacuation(domain string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, evacuated := r.evacuated[domain]; evacuated {
		r.store.Put(platform.PrefixEvacuations+domain, nil)
		return
	}
	r.store.Remove(platform.PrefixEvacuations + domain)
}

// expireLeases removes the entries that a copy has brought back and nobody renews.
func (r *rig) expireLeases() {
	for _, key := range r.store.Keys(platform.PrefixEndpoints) {
		id := platform.EndpointID(key)
		if !strings.HasPrefix(id, "i-trap-") && !r.isListed(id) {
			r.store.Remove(key)
		}
	}
}

// isListed reports whether the current process of an endpoint is listed under an ID.
func (r *rig) isListed(id string) bool {
	for _, e := range r.endpoints {
		e.mu.Lock()
		listed := e.id == id && e.listed != ""
		e.mu.Unlock()
		if listed {
			return true
		}
	}
	return false
}

// checkInForce publishes a version and checks that it is in force in time at the gateways
// that are not disturbed.
func (r *rig) checkInForce() {
	published := time.Now()
	version := r.publish()
	wait(applyLimit)
	for _, g := range r.gateways {
		g.mu.Lock()
		undisturbed := !g.busy
		incarnation := g.incarnation
		g.mu.Unlock()
		route := fmt.Sprintf("v%d", version)
		id := fmt.Sprintf("%s-%s", route, g.name)
		status, _, err := send(http.DefaultTransport, g.frontend, route, id, "")
		g.mu.Lock()
		undisturbed = undisturbed && !g.busy && g.incarnation == incarnation
		g.mu.Unlock()
		if err == nil && status == http.StatusNotFound && undisturbed && r.recorder.steadySince(published) {
			r.recorder.addViolation("%s does not know version %d %v after it was published", g.name, version, time.Since(published))
		}
	}
}

// recordReturn records a return of the store.
func (b *recorder) recordReturn(from, rewritten time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.returns = append(b.returns, storeReturn{from: from, rewritten: rewritten})
}

// steadySince reports whether there was no fault since a time, and the store neither was
// away nor lacks what it has lost.
func (b *recorder) steadySince(from time.Time) bool {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, r := range b.returns {
		if r.from.Before(now) && r.rewritten.After(from) {
			return false
		}
	}
	return !overlapsAny(b.faults, from, now)
}

// toldAt returns the time from which the fleet is bound by a write: that of the write or,
// if the store lost it before it was sure to be read, that at which it was written again.
func (b *recorder) toldAt(written time.Time) time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	told := written
	for changed := true; changed; {
		changed = false
		for _, r := range b.returns {
			if r.from.Before(told.Add(drainLimit)) && r.rewritten.After(told) {
				told, changed = r.rewritten, true
			}
		}
	}
	return told
}
