package scheduler

import (
	"maps"
	"runtime"
	"time"

	"github.com/rs/zerolog"

	"github.com/mangostage/mangostage/dispatch"
)

// eventKind is a kind of event that the core handles.
type eventKind string

const (
	eventSubmit     eventKind = "submit"
	eventCancel     eventKind = "cancel"
	eventFirst      eventKind = "first_event"
	eventDone       eventKind = "done"
	eventCallEnded  eventKind = "call_ended"
	eventFreeEnded  eventKind = "free_ended"
	eventTick       eventKind = "tick"
	eventView       eventKind = "view"
	eventPlacements eventKind = "placements"
	eventOwnership  eventKind = "ownership"
)

// EventStats sums up the events of one kind since the start of the process.
type EventStats struct {
	Events int `json:"events"`
	// Took is the time in which the core handled them, Waited the time for which they
	// waited for the core.
	Took   time.Duration `json:"took"`
	Waited time.Duration `json:"waited"`
}

// Stats is the state of the queues and of the process that serves them.
type Stats struct {
	dispatch.Stats
	// Events sums up the events by kind.
	Events map[eventKind]EventStats `json:"events,omitempty"`
	// RunDelay is the moving average of the time for which a goroutine that is ready waits
	// for the processor.
	RunDelay time.Duration `json:"run_delay"`
}

// summaryInterval is the interval of the lines that sum up what the queue's owner does.
const summaryInterval = time.Second

// runDelayWeight is the weight of the newest observation of the run delay.
const runDelayWeight = 0.1

// load measures what the events cost.
type load struct {
	events   map[eventKind]EventStats
	runDelay time.Duration
	// loggedAt is when the last summary was logged, logged the events until then.
	loggedAt time.Time
	logged   map[eventKind]EventStats
}

func newLoad() load { return load{events: make(map[eventKind]EventStats)} }

// count counts an event that arrived at a time and that the core handled from began on.
func (l *load) count(kind eventKind, arrived, began time.Time) {
	e := l.events[kind]
	e.Events++
	e.Waited += max(0, began.Sub(arrived))
	e.Took += time.Since(began)
	l.events[kind] = e
}

// observeRunDelay adds an observation of the run delay.
func (l *load) observeRunDelay(d time.Duration) {
	l.runDelay += time.Duration(runDelayWeight * float64(d-l.runDelay))
}

// measureRunDelay lets all goroutines run that are ready, and returns how long they took.
func measureRunDelay() time.Duration {
	began := time.Now()
	runtime.Gosched()
	return time.Since(began)
}

// summaryDue reports whether a summary is due, and if so returns the events since the last.
func (l *load) summaryDue(now time.Time) (map[eventKind]EventStats, bool) {
	if now.Sub(l.loggedAt) < summaryInterval {
		return nil, false
	}
	since := make(map[eventKind]EventStats, len(l.events))
	for kind, e := range l.events {
		before := l.logged[kind]
		e.Events, e.Took, e.Waited = e.Events-before.Events, e.Took-before.Took, e.Waited-before.Waited
		if e.Events > 0 {
			since[kind] = e
		}
	}
	l.loggedAt, l.logged = now, maps.Clone(l.events)
	return since, true
}

// logSummary logs what the owner of the queue did since the last line, and the state of its
// queues.
func (s *Scheduler) logSummary(stats dispatch.Stats, events map[eventKind]EventStats, runDelay time.Duration) {
	kinds := zerolog.Dict()
	for kind, e := range events {
		kinds.Dict(string(kind), zerolog.Dict().Int("n", e.Events).Dur("took_ms", e.Took).Dur("waited_ms", e.Waited))
	}
	pools := zerolog.Dict()
	for _, p := range stats.Pools {
		pools.Dict(p.Service, zerolog.Dict().Int("waiting", p.Waiting).Int("busy", p.Busy).Int("workers", p.Workers).
			Dur("call_ms", p.AvgCallTime).Dur("error_ms", p.ForecastError).Float64("room", p.RoomUsed).Interface("accounts", p.Accounts))
	}
	s.log.Info().Str("event", logQueueSummary).Int("jobs", stats.Jobs).Int("calls", stats.Calls).
		Dur("lag_ms", stats.Lag).Dur("run_delay_ms", runDelay).Float64("admit_limit", stats.AdmitLimit).Dict("events", kinds).Dict("pools", pools).
		Interface("routes", stats.Routes).Msg("what the owner of the queue did")
}
