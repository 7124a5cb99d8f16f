package soak

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/mangostage/mangostage/platform/standin"
)

const (
	// namedRate is the request rate per second that endpoints name, for namedTime.
	namedRate = 3.0
	namedTime = 8 * time.Second
	// rateGrace is how long after the naming an endpoint may get more, rateWindow the
	// window in which requests are counted.
	rateGrace  = 2 * time.Second
	rateWindow = 4 * time.Second
	// maxInRateWindow is one and a half times what the rate allows, and five.
	maxInRateWindow = int(1.5*namedRate*4) + 5
	// backoffTime is the time for which refusing endpoints ask, backoffGrace how long
	// after a refusal requests may still arrive.
	backoffTime  = 2 * time.Second
	backoffGrace = 500 * time.Millisecond
	// maxInBackoff is the most requests of a gateway in a backoff.
	maxInBackoff = 2
)

// signalPeriod is a time in which a process of an endpoint gave a signal.
type signalPeriod struct {
	name     string
	signals  *standin.Signals
	from, to time.Time
}

// signalBook holds the periods of each signal.
type signalBook struct {
	rates, departures, refusals []signalPeriod
}

// currentSignals returns the signals of the endpoint's current process and its name.
func (e *endpoint) currentSignals() (*standin.Signals, string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.signals, e.id
}

// arrive records the arrival of requests with the IDs at a process, and answers them if it
// refuses requests.
func arrive(w http.ResponseWriter, s *standin.Signals, ids ...string) bool {
	if len(ids) == 1 {
		w.Header().Set("Mangostage-Attempt-Id", ids[0])
	}
	return s.Arrive(w, ids...)
}

// record adds a period to a list of the book.
func (r *rig) record(list func(*signalBook) *[]signalPeriod, p signalPeriod) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := list(&r.signals)
	*l = append(*l, p)
}

// firstSignals returns one signal of each kind, each by an endpoint of a random service, to
// be given while faults are injected.
func (r *rig) firstSignals() []func() {
	endpoints := append([]*endpoint(nil), r.endpoints...)
	r.rng.Shuffle(len(endpoints), func(i, j int) { endpoints[i], endpoints[j] = endpoints[j], endpoints[i] })
	return []func(){
		func() { r.nameRate(endpoints[0]) },
		func() { r.refuseFor(endpoints[1], 3*backoffTime) },
		func() { r.announceAndReplace(endpoints[2]) },
	}
}

// claim sets a flag of the endpoint's current process and reports whether it was free: a
// signal that ends must not end another one of its kind.
func (e *endpoint) claim(flag *bool) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	free := !*flag
	*flag = true
	return free
}

// releaseFlag clears a flag that claim has set, unless another process has started since.
func (e *endpoint) releaseFlag(flag *bool, s *standin.Signals) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.signals == s {
		*flag = false
	}
}

// nameRate makes an endpoint name a request rate for a while.
func (r *rig) nameRate(e *endpoint) {
	if !e.claim(&e.naming) {
		return
	}
	s, name := e.currentSignals()
	defer e.releaseFlag(&e.naming, s)
	p := signalPeriod{name: name, signals: s, from: time.Now()}
	s.NameRate(namedRate)
	wait(namedTime)
	p.to = time.Now()
	s.LiftRate()
	r.record(func(b *signalBook) *[]signalPeriod { return &b.rates }, p)
}

// refuseFor makes an endpoint refuse requests for d and ask for backoffs.
func (r *rig) refuseFor(e *endpoint, d time.Duration) {
	if !e.claim(&e.refusing) {
		return
	}
	s, name := e.currentSignals()
	defer e.releaseFlag(&e.refusing, s)
	p := signalPeriod{name: name, signals: s, from: time.Now()}
	s.RefuseFor(fmt.Sprint(backoffTime.Seconds()))
	wait(d)
	s.RefuseFor("")
	p.to = time.Now()
	r.record(func(b *signalBook) *[]signalPeriod { return &b.refusals }, p)
}

// announceAndReplace stops an endpoint as planned, but the store never learns that it
// leaves: only its answers say so, until the next process takes its place.
func (r *rig) announceAndReplace(e *endpoint) {
	e.mu.Lock()
	if !e.drainedAt.IsZero() || e.down || e.announced {
		e.mu.Unlock()
		return
	}
	e.announced = true
	s, id := e.signals, e.id
	e.mu.Unlock()
	p := signalPeriod{name: id, signals: s, from: time.Now()}
	s.Leave()
	wait(drainLimit + 2*time.Second)
	p.to = time.Now()
	r.record(func(b *signalBook) *[]signalPeriod { return &b.departures }, p)
	r.unlist(e)
	r.register(e)
}

// checkSignals checks what the endpoints that gave signals were sent.
func (r *rig) checkSignals() {
	r.mu.Lock()
	book := r.signals
	r.mu.Unlock()
	for _, p := range book.rates {
		r.checkRate(p)
	}
	for _, p := range book.departures {
		r.checkDeparture(p)
	}
	for _, p := range book.refusals {
		r.checkBackoffs(p)
	}
}

// checkRate checks that in no window, after the grace and without a fault, more requests
// arrived than the rate allows.
func (r *rig) checkRate(p signalPeriod) {
	arrivals := p.signals.Arrivals()
	for i, first := range arrivals {
		end := first.Add(rateWindow)
		if first.Before(p.from.Add(rateGrace)) || end.After(p.to) {
			continue
		}
		n := 0
		for _, at := range arrivals[i:] {
			if !at.After(end) {
				n++
			}
		}
		if n > maxInRateWindow && r.recorder.faultFree(p.from, end) {
			r.recorder.addViolation("%s named a rate of %v and got %d requests in %v, allowed %d", p.name, namedRate, n, rateWindow, maxInRateWindow)
			return
		}
	}
}

// checkDeparture checks that nothing arrived later than drainLimit after the first answer
// that said that the endpoint leaves.
func (r *rig) checkDeparture(p signalPeriod) {
	var said time.Time
	for _, a := range p.signals.Record() {
		switch {
		case a.At.Before(p.from):
		case said.IsZero():
			said = a.At
		case a.At.Sub(said) > drainLimit && a.At.Before(p.to) && r.recorder.faultFree(said, a.At):
			r.recorder.addViolation("%s reached %s %v after an answer had said that it leaves", a.ID, p.name, a.At.Sub(said))
		}
	}
}

// checkBackoffs checks that after each refusal few requests of the same gateway arrived in
// the backoff. Calls for stages come from the owner of the queue, so only those count
// during which no gateway was stopped: another owner was not asked for a backoff.
func (r *rig) checkBackoffs(p signalPeriod) {
	record := p.signals.Record()
	stage := strings.HasPrefix(p.name, "i-stage")
	for i, refusal := range record {
		if !refusal.Refused {
			continue
		}
		n := 0
		last := refusal.At
		for _, a := range record[i+1:] {
			passed := a.At.Sub(refusal.At)
			if passed > backoffGrace && passed < backoffTime && (stage || r.recorder.sameSender(a.ID, refusal.ID)) {
				n, last = n+1, a.At
			}
		}
		if stage && r.recorder.ownerMayChange(refusal.At, last) {
			continue
		}
		if n > maxInBackoff && r.recorder.faultFree(refusal.At, last) {
			r.recorder.addViolation("%s asked for a backoff and got %d requests of a gateway in it", p.name, n)
			return
		}
	}
}

// recordSender records the gateway process to which a client sent a request.
func (b *recorder) recordSender(id, gateway string, incarnation int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.senders[id] = fmt.Sprintf("%s/%d", gateway, incarnation)
}

// recordStop records that a gateway is stopped and started again until now.
func (b *recorder) recordStop(from time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stops = append(b.stops, span{from: from, to: time.Now().Add(faultSlack)})
}

// ownerMayChange reports whether a gateway was stopped or started between from and to.
func (b *recorder) ownerMayChange(from, to time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return overlapsAny(b.stops, from, to)
}

// sameSender reports whether two requests went to the same gateway process.
func (b *recorder) sameSender(one, other string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.senders[one] == b.senders[other]
}
