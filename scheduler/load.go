package scheduler

import (
	"maps"
	"runtime"
	"time"

	"github.com/rs/zerolog"

	"github.com/mangostage/mangostage/dispatch"
	"github.com/mangostage/mangostage/internal/cputime"
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
	// Processor is the processor time used since the start, Cores what the process gets.
	Processor time.Duration `json:"processor"`
	Cores     float64       `json:"cores,omitempty"`
	// Made counts the calls to endpoints by who made them, Delegates the members that make them.
	Made      CallsMade `json:"made"`
	Delegates int       `json:"delegates"`
}

// processorUse is the processor time that this process has used since its start.
type processorUse struct {
	// All is the whole, GC the part of garbage collection as of the latest one. Neither counts
	// time in which the host was busy with others, unlike the run delay.
	All, GC time.Duration
}

// readProcessorUse returns the processor time used so far.
func readProcessorUse() processorUse { return processorUse{All: cputime.Used(), GC: cputime.GC()} }

// summaryInterval is the interval of the lines that sum up what the queue's owner does.
const summaryInterval = time.Second

// runDelayWeight is the weight of the newest observation of the run delay.
const runDelayWeight = 0.1

// load measures what the events cost.
type load struct {
	events   map[eventKind]EventStats
	runDelay time.Duration
	// loggedAt is when the last summary was logged, logged the events and used the processor time
	// until then.
	loggedAt time.Time
	logged   map[eventKind]EventStats
	used     processorUse
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

// since returns the events and the processor time since the last summary, and begins the next one.
func (l *load) since(now time.Time, used processorUse) (map[eventKind]EventStats, processorUse) {
	since := make(map[eventKind]EventStats, len(l.events))
	for kind, e := range l.events {
		before := l.logged[kind]
		e.Events, e.Took, e.Waited = e.Events-before.Events, e.Took-before.Took, e.Waited-before.Waited
		if e.Events > 0 {
			since[kind] = e
		}
	}
	before := l.used
	l.loggedAt, l.logged, l.used = now, maps.Clone(l.events), used
	return since, processorUse{All: used.All - before.All, GC: used.GC - before.GC}
}

// summary is what the owner of the queue did since the last one, and the state of its queues.
type summary struct {
	stats    dispatch.Stats
	events   map[eventKind]EventStats
	used     processorUse
	runDelay time.Duration
	// took is the time since the last summary.
	took time.Duration
	// made counts the calls to endpoints since the start.
	made CallsMade
}

// summaryLocked returns the summary if it is due, else nil.
func (s *Scheduler) summaryLocked(now time.Time) *summary {
	if now.Sub(s.load.loggedAt) < summaryInterval {
		return nil
	}
	took := min(now.Sub(s.load.loggedAt), now.Sub(s.startedAt))
	events, used := s.load.since(now, readProcessorUse())
	_, made := s.delegations.stats()
	return &summary{stats: s.core.QueueStats(now), events: events, used: used, runDelay: s.load.runDelay, took: took, made: made}
}

// logSummary logs a summary.
func (s *Scheduler) logSummary(sum *summary) {
	events := zerolog.Dict()
	for kind, e := range sum.events {
		events.Dict(string(kind), zerolog.Dict().Int("n", e.Events).Dur("took_ms", e.Took).Dur("waited_ms", e.Waited))
	}
	pools := zerolog.Dict()
	for _, p := range sum.stats.Pools {
		pools.Dict(p.Service, zerolog.Dict().Int("waiting", p.Waiting).Int("busy", p.Busy).Int("workers", p.Workers).
			Dur("call_ms", p.AvgCallTime).Dur("error_ms", p.ForecastError).Float64("room", p.RoomUsed).Interface("accounts", p.Accounts))
	}
	s.log.Info().Str("event", logQueueSummary).Int("jobs", sum.stats.Jobs).Int("calls", sum.stats.Calls).
		Dur("lag_ms", sum.stats.Lag).Dur("run_delay_ms", sum.runDelay).
		Dur("took_ms", sum.took).Dur("processor_ms", sum.used.All).Dur("gc_ms", sum.used.GC).Float64("cores", s.cores).
		Interface("made", sum.made).
		Dict("events", events).Dict("pools", pools).Interface("routes", sum.stats.Routes).Msg("what the owner of the queue did")
}
