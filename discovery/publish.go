package discovery

import (
	"context"
	"time"

	"github.com/mangostage/mangostage/catalog"
	"github.com/mangostage/mangostage/internal/sleep"
	"github.com/mangostage/mangostage/platform"
)

// FaultCounts holds the numbers of items of the store that could not be used.
type FaultCounts struct {
	Endpoints      uint64 `json:"endpoints"`
	Configurations uint64 `json:"configurations"`
}

// Faults returns how many items could not be used so far, each counted once per key and
// revision.
func (f *Follower) Faults() FaultCounts {
	return FaultCounts{Endpoints: f.badEndpoints.Load(), Configurations: f.badConfigs.Load()}
}

// update applies a change to the state, publishes the view if it has changed, and logs
// faults and evacuations. It signals the decoder if a configuration is to be decoded.
func (f *Follower) update(change func(time.Time, *State)) {
	now := time.Now()
	othersSteady := f.relay != nil && f.relay.OthersStoreSteady()
	f.mu.Lock()
	before := f.state.At()
	if othersSteady {
		f.state.ClearTrouble()
	}
	change(now, f.state)
	news := f.state.takeNews()
	if f.state.At() != before {
		close(f.changed)
		f.changed = make(chan struct{})
	}
	view := f.state.View(now)
	version := f.state.ConfigVersion()
	at := f.state.At()
	if view != nil {
		f.view.Store(view)
	}
	_, undecoded := f.state.UndecodedConfig()
	f.mu.Unlock()
	if undecoded {
		f.signalDecoder()
	}
	f.logNews(news)
	if view == nil {
		return
	}
	f.log.Info().Str("event", logViewChanged).Uint64("config", version).Uint64("era", at.Era).Uint64("at", at.Revision).
		Int("endpoints", view.Len()).Int("cold", countCold(view, now)).Msg("view changed")
	f.onChange(view)
}

// news is what has changed in a State and is logged.
type news struct {
	faults      []Fault
	evacuations []EvacuationChange
	endpoints   []EndpointChange
	// eraChange counts if eraChanged is set, settlement is nil if there was none.
	eraChange  EraChange
	eraChanged bool
	settlement *Settlement
}

// takeNews returns what has changed since the last call.
func (s *State) takeNews() news {
	n := news{faults: s.TakeFaults(), evacuations: s.TakeEvacuationChanges(), endpoints: s.TakeEndpointChanges(), settlement: s.TakeSettlement()}
	n.eraChange, n.eraChanged = s.TakeEraChange()
	return n
}

// logNews logs what has changed.
func (f *Follower) logNews(n news) {
	f.logFaults(n.faults)
	f.logEvacuationChanges(n.evacuations)
	f.logEndpointChanges(n.endpoints)
	if n.eraChanged {
		f.logEraChange(n.eraChange)
	}
	if n.settlement != nil {
		f.logSettlement(*n.settlement)
	}
}

// countCold returns the number of endpoints in a view that are cold: started recently, and
// able to serve few requests yet.
func countCold(view *catalog.View, now time.Time) int {
	n := 0
	for e := range view.All() {
		if e.Cold(now) {
			n++
		}
	}
	return n
}

// logFaults logs and counts the items that could not be used.
func (f *Follower) logFaults(faults []Fault) {
	for _, fault := range faults {
		count := &f.badEndpoints
		if fault.Key == platform.KeyConfig {
			count = &f.badConfigs
		}
		count.Add(1)
		f.log.Error().Str("event", logStoreItemMalformed).Str("key", fault.Key).Uint64("revision", fault.Revision).
			Err(fault.Err).Msg("an item of the store cannot be used")
	}
}

// logEvacuationChanges logs the evacuations that began or ended.
func (f *Follower) logEvacuationChanges(changes []EvacuationChange) {
	for _, c := range changes {
		event, message := logDomainEvacuated, "the failure domain gets no work"
		if !c.Evacuated {
			event, message = logDomainTakenBack, "the failure domain gets work again"
		}
		c.log(f.log.Info().Str("event", event).Str("domain", c.Domain)).Msg(message)
	}
}

// logEndpointChanges logs the endpoints that got into the view or left it.
func (f *Follower) logEndpointChanges(changes []EndpointChange) {
	for _, c := range changes {
		event, message := logEndpointListed, "the endpoint gets work"
		if !c.Listed {
			event, message = logEndpointUnlisted, "the endpoint gets no more work"
		}
		c.log(f.log.Info().Str("event", event).Str("endpoint", c.ID)).Msg(message)
	}
}

// Evacuated returns the evacuated failure domains, which get no work, each with the store
// revision of its evacuation.
func (f *Follower) Evacuated() map[string]uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.evacuations.domains()
}

// expire periodically updates the view for grace periods that have ended, and detects
// pauses of the process, until ctx ends.
func (f *Follower) expire(ctx context.Context) {
	sleep.Every(ctx, expireInterval, func(time.Time) {
		f.pauses.Tick()
		f.update(func(time.Time, *State) {})
	})
}
