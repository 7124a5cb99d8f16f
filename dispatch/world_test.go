package dispatch

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"pgregory.net/rapid"

	"github.com/mangostage/mangostage/catalog"
)

var epoch = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// firstEventAfter is the time from a grant to the engine's first event.
const firstEventAfter = 150 * time.Millisecond

const (
	serviceModel = "model"
	serviceHeavy = "encode"
	serviceLight = "rank"
)

var heavySpec = catalog.Batch{
	Slots: 1, Queue: 2, Items: 8, CallTime: 150 * time.Millisecond, ItemTime: 16 * time.Millisecond,
	Room: 45_000_000, ResultTTL: 4 * time.Second,
}

var lightSpec = catalog.Batch{
	Slots: 1, Queue: 2, Items: 24, CallTime: 150 * time.Millisecond, ItemTime: 5 * time.Millisecond,
	Room: 4_200_000, ResultTTL: 4 * time.Second,
}

// testView returns a view with the given number of endpoints of each service in
// each failure domain.
func testView(domains []string, each int) *catalog.View {
	heavy, light := heavySpec, lightSpec
	c := &catalog.Config{Version: 1, Services: []catalog.Service{
		{Name: serviceModel, Model: &catalog.Model{Slots: 64, CacheTokens: 370_000}},
		{Name: serviceHeavy, Batch: &heavy},
		{Name: serviceLight, Batch: &light},
	}}
	var endpoints []*catalog.Endpoint
	for _, s := range c.Services {
		for _, d := range domains {
			for i := range each {
				id := fmt.Sprintf("%s-%s-%d", s.Name, d, i)
				endpoints = append(endpoints, &catalog.Endpoint{ID: id, Service: s.Name, Addr: id + ":80", Domain: d, Slots: 64})
			}
		}
	}
	return catalog.NewView(catalog.NewIndex(c), endpoints, 1)
}

// testJob returns a job with a heavy stage and a chain of a heavy and a light one.
func testJob(ticket string) Job {
	return Job{
		Ticket: ticket, Request: ticket, Service: serviceModel, Route: "r", PieceKey: "key-" + ticket,
		Stages: []StageWork{
			{Service: serviceHeavy, Pieces: 2, ResultBytes: 3_000_000},
			{Service: serviceHeavy, Pieces: 1, ResultBytes: 8_000},
			{Service: serviceLight, After: []int{1}, Pieces: 8, ResultBytes: 60_000},
		},
		TokensIn: 1000, TokensOut: 50,
		Objective: 1500 * time.Millisecond, Usual: 1500 * time.Millisecond, Deadline: 6 * time.Second,
	}
}

// simulation runs a Core against simulated endpoints in simulated time.
type simulation struct {
	core  *Core
	now   time.Time
	calls []inFlightCall
	// grants, ends and freed record the effects of the Core.
	grants   map[string]Grant
	ends     map[string]string
	freed    map[string]int
	produced map[string]producedPiece
	lastID   int
	// decide decides how a call ends; if nil, all succeed.
	decide func(StartCall) (CallFault, Fault)
	// firstEvents holds the times of the first events that are due, by ticket.
	firstEvents map[string]time.Time
	// slow holds the factors by which the calls of endpoints are slower.
	slow map[string]float64
	// freesFail, if set, reports whether the answer to a Free is lost.
	freesFail func() bool
	// afterTick, if set, is called after each tick.
	afterTick func()
}

// randomFaults lets some calls fail, in different ways.
func randomFaults(t *rapid.T) func(StartCall) (CallFault, Fault) {
	return func(StartCall) (CallFault, Fault) {
		switch rapid.IntRange(0, 11).Draw(t, "fate") {
		case 0:
			return CallLost, FaultNone
		case 1:
			return CallRefused, FaultNone
		case 2:
			return CallOK, FaultWork
		case 3:
			return CallOK, FaultRoom
		}
		return CallOK, FaultNone
	}
}

type inFlightCall struct {
	call StartCall
	at   time.Time
}

// producedPiece is the piece whose result a handle names.
type producedPiece struct {
	request      string
	stage, index int
}

func newSimulation(view *catalog.View) *simulation {
	w := &simulation{
		core: New("test"), now: epoch,
		grants: make(map[string]Grant), ends: make(map[string]string), freed: make(map[string]int),
		produced: make(map[string]producedPiece), slow: make(map[string]float64),
		firstEvents: make(map[string]time.Time),
	}
	w.core.SetView(w.now, view)
	return w
}

func (w *simulation) submit(j Job) {
	if err := w.core.Submit(w.now, j); err != nil {
		panic(err)
	}
	w.drain()
}

// drain carries out the effects, including those that they cause.
func (w *simulation) drain() {
	for effects := w.core.Effects(); len(effects) > 0; effects = w.core.Effects() {
		w.apply(effects)
	}
}

func (w *simulation) apply(effects []Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case StartCall:
			spec := heavySpec
			if e.Service == serviceLight {
				spec = lightSpec
			}
			took := spec.CallTime + time.Duration(len(e.Pieces))*spec.ItemTime
			took = time.Duration(float64(took) * max(1, w.slow[e.Endpoint]))
			w.calls = append(w.calls, inFlightCall{call: e, at: w.now.Add(min(took, e.Timeout))})
		case Grant:
			w.grants[e.Ticket] = e
			w.firstEvents[e.Ticket] = w.now.Add(firstEventAfter)
		case Refuse:
			w.ends[e.Ticket] = string(e.Reason)
		case Move:
			w.ends[e.Ticket] = "moved"
		case Free:
			for _, h := range e.Handles {
				w.freed[h]++
			}
			w.core.FreeEnded(w.now, e.ID, w.freesFail == nil || !w.freesFail())
		}
	}
}

// run advances the time in steps of 10 ms.
func (w *simulation) run(d time.Duration) {
	end := w.now.Add(d)
	for w.now.Before(end) {
		w.now = w.now.Add(10 * time.Millisecond)
		w.endDue()
		w.sendFirstEvents()
		w.core.Tick(w.now)
		w.drain()
		if w.afterTick != nil {
			w.afterTick()
		}
	}
}

// sendFirstEvents reports the first events that are due.
func (w *simulation) sendFirstEvents() {
	for _, ticket := range slices.Sorted(maps.Keys(w.firstEvents)) {
		if !w.firstEvents[ticket].After(w.now) {
			delete(w.firstEvents, ticket)
			w.core.FirstEvent(w.now, ticket)
			w.drain()
		}
	}
}

// endDue ends the calls that are due.
func (w *simulation) endDue() {
	var still []inFlightCall
	var due []inFlightCall
	for _, f := range w.calls {
		if f.at.After(w.now) {
			still = append(still, f)
		} else {
			due = append(due, f)
		}
	}
	w.calls = still
	for _, f := range due {
		w.endCall(f.call)
		w.drain()
	}
}

func (w *simulation) endCall(call StartCall) {
	fault, pieceFault := CallOK, FaultNone
	if w.decide != nil {
		fault, pieceFault = w.decide(call)
	}
	var outcomes []Outcome
	for i, p := range call.Pieces {
		if pieceFault != FaultNone && i == 0 {
			outcomes = append(outcomes, Outcome{Fault: pieceFault})
			continue
		}
		w.lastID++
		handle := fmt.Sprintf("%s/%d", call.Addr, w.lastID)
		w.produced[handle] = producedPiece{request: p.Request, stage: p.Stage, index: p.Index}
		outcomes = append(outcomes, Outcome{Handle: handle})
	}
	w.core.CallEnded(w.now, call.Call, fault, outcomes)
}
