package discovery

import (
	"context"
	"time"

	"github.com/mangostage/mangostage/catalog"
	"github.com/mangostage/mangostage/platform"
)

// FaultCounts is how many items of the store could not be used.
type FaultCounts struct {
	Endpoints      uint64 `json:"endpoints"`
	Configurations uint64 `json:"configurations"`
}

// Faults counts each item once for its key and revision.
func (f *Follower) Faults() FaultCounts {
	return FaultCounts{Endpoints: f.badEndpoints.Load(), Configurations: f.badConfigs.Load()}
}

// update changes the state and publishes the view if it is another.
func (f *Follower) update(change func(time.Time, *State)) {
	now := time.Now()
	served := f.relay != nil && f.relay.OthersStoreSteady()
	f.mu.Lock()
	before := f.state.At()
	if served {
		f.state.ClearTrouble()
	}
	change(now, f.state)
	faults := f.state.TakeFaults()
	turns := f.state.TakeEvacuationChanges()
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
	_, awaited := f.state.Awaited()
	f.mu.Unlock()
	if awaited {
		f.signalDecoder()
	}
	f.logFaults(faults)
	f.logEvacuationChanges(turns)
	if view == nil {
		return
	}
	f.log.Info().Str("event", logViewChanged).Uint64("config", version).Uint64("at", at).
		Int("endpoints", view.Len()).Int("cold", countCold(view, now)).Msg("view changed")
	f.onChange(view)
}

// countCold counts the endpoints of a view that bear few requests.
func countCold(view *catalog.View, now time.Time) int {
	n := 0
	for e := range view.All() {
		if e.Cold(now) {
			n++
		}
	}
	return n
}

// logFaults logs and counts items that could not be used.
func (f *Follower) logFaults(faults []Fault) {
	for _, fault := range faults {
		count := &f.badEndpoints
		if fault.Key == platform.KeyConfig {
			count = &f.badConfigs
		}
		count.Add(1)
		f.log.Error().Str("event", logStoreItemMalformed).Str("key", fault.Key).Uint64("revision", fault.Revision).
			Err(fault.Err).Msg("an item of the store is not used")
	}
}

// logEvacuationChanges logs evacuations that began or ended.
func (f *Follower) logEvacuationChanges(turns []EvacuationChange) {
	for _, turn := range turns {
		event, message := logDomainEvacuated, "the failure domain gets no work"
		if !turn.Evacuated {
			event, message = logDomainTakenBack, "the failure domain gets work again"
		}
		f.log.Info().Str("event", event).Str("domain", turn.Domain).Uint64("revision", turn.Revision).Msg(message)
	}
}

// Evacuated lists the failure domains that get no work, with the store's
// revision of that word.
func (f *Follower) Evacuated() map[string]uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.evacuations.domains()
}

// expire ends the grace of lapsed endpoints, and notices pauses.
func (f *Follower) expire(ctx context.Context) {
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			f.pauses.Tick()
			f.update(func(time.Time, *State) {})
		}
	}
}
