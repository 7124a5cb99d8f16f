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

// firstEventAfter is how long engines take to their first event.
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

// testView has endpoints of each service in each domain.
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

// testJob has a heavy stage and two more that follow each other.
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

// world plays the endpoints of a Core in simulated time.
type world struct {
	core  *Core
	now   time.Time
	calls []flying
	// ends, grants and freed are what the core has said.
	grants map[string]Grant
	ends   map[string]string
	freed  map[string]int
	made   map[string]madePiece
	next   int
	// fate decides how a call ends; nil lets all succeed.
	fate func(StartCall) (CallFault, Fault)
	// answers holds the tickets whose engine has yet to begin to answer.
	answers map[string]time.Time
	// slow stretches the calls of an endpoint.
	slow map[string]float64
	// freesFail, if set, tells whether the answer to a Free is lost.
	freesFail func() bool
	// afterTick, if set, is called after each tick.
	afterTick func()
}

// anyFate lets calls fail in each way now and then.
func anyFate(t *rapid.T) func(StartCall) (CallFault, Fault) {
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

type flying struct {
	call StartCall
	at   time.Time
}

// madePiece is what a handle stands for.
type madePiece struct {
	request      string
	stage, index int
}

func newWorld(view *catalog.View) *world {
	w := &world{
		core: New("test"), now: epoch,
		grants: make(map[string]Grant), ends: make(map[string]string), freed: make(map[string]int),
		made: make(map[string]madePiece), slow: make(map[string]float64),
		answers: make(map[string]time.Time),
	}
	w.core.SetView(w.now, view)
	return w
}

func (w *world) submit(j Job) {
	if err := w.core.Submit(w.now, j); err != nil {
		panic(err)
	}
	w.drain()
}

// drain takes the effects, and those that follow at once.
func (w *world) drain() {
	for effects := w.core.Effects(); len(effects) > 0; effects = w.core.Effects() {
		w.take(effects)
	}
}

func (w *world) take(effects []Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case StartCall:
			spec := heavySpec
			if e.Service == serviceLight {
				spec = lightSpec
			}
			took := spec.CallTime + time.Duration(len(e.Pieces))*spec.ItemTime
			took = time.Duration(float64(took) * max(1, w.slow[e.Endpoint]))
			w.calls = append(w.calls, flying{call: e, at: w.now.Add(min(took, e.Timeout))})
		case Grant:
			w.grants[e.Ticket] = e
			w.answers[e.Ticket] = w.now.Add(firstEventAfter)
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

// run lets time pass.
func (w *world) run(d time.Duration) {
	end := w.now.Add(d)
	for w.now.Before(end) {
		w.now = w.now.Add(10 * time.Millisecond)
		w.land()
		w.answer()
		w.core.Tick(w.now)
		w.drain()
		if w.afterTick != nil {
			w.afterTick()
		}
	}
}

// answer lets the engines begin to answer.
func (w *world) answer() {
	for _, ticket := range slices.Sorted(maps.Keys(w.answers)) {
		if !w.answers[ticket].After(w.now) {
			delete(w.answers, ticket)
			w.core.FirstEvent(w.now, ticket)
			w.drain()
		}
	}
}

// land ends the calls that are due.
func (w *world) land() {
	var still []flying
	var due []flying
	for _, f := range w.calls {
		if f.at.After(w.now) {
			still = append(still, f)
		} else {
			due = append(due, f)
		}
	}
	w.calls = still
	for _, f := range due {
		w.end(f.call)
		w.drain()
	}
}

func (w *world) end(call StartCall) {
	fault, pieceFault := CallOK, FaultNone
	if w.fate != nil {
		fault, pieceFault = w.fate(call)
	}
	var outcomes []Outcome
	for i, p := range call.Pieces {
		if pieceFault != FaultNone && i == 0 {
			outcomes = append(outcomes, Outcome{Fault: pieceFault})
			continue
		}
		w.next++
		handle := fmt.Sprintf("%s/%d", call.Addr, w.next)
		w.made[handle] = madePiece{request: p.Request, stage: p.Stage, index: p.Index}
		outcomes = append(outcomes, Outcome{Handle: handle})
	}
	w.core.CallEnded(w.now, call.Call, fault, outcomes)
}
