package agent

import (
	"slices"
	"time"

	"github.com/mangostage/mangostage/bundle"
	"github.com/mangostage/mangostage/owner"
	"github.com/mangostage/mangostage/wire"
)

// settings are the parts of a bundle that concern this agent; they are
// immutable.
type settings struct {
	version uint64
	// start is when this process started.
	start time.Time
	// pool is the agent's pool; nil until a bundle contains it.
	pool *bundle.Pool
	// skew is the largest difference between two processes' clocks.
	skew time.Duration
	// retention is how long idempotency keys and their results are remembered.
	retention time.Duration
	// slotHistory lists the slot lists of this and earlier bundles, the oldest
	// first.
	slotHistory []ownership
	// maxDeadline is the longest deadline of a pipeline in any bundle so far.
	maxDeadline time.Duration
	// unrepeatable holds the names of the stages on this pool that are
	// unrepeatable in every pipeline.
	unrepeatable map[string]bool
	// models holds the model on the endpoint for each pipeline and stage.
	models map[stageKey]string
}

const (
	// slotHandover is how long a changed slot list is expected to take at most
	// to reach the previous owner, which accepts calls until then.
	slotHandover = 10 * time.Second
	// maxSlotLists bounds the remembered slot lists. Without an older list this
	// process assumes that it became the owner of a key later than it did,
	// which is safe.
	maxSlotLists = 8
)

// ownership is a slot list and the time from which this process is the only
// owner of the keys that the list assigns to its endpoint.
type ownership struct {
	slots []string
	since time.Time
}

// ownedSince returns the time from which this process alone has owned an
// identity. A change of the slot list that assigned the identity to this
// endpoint restarts the time; one that left the owner unchanged does not. For
// an identity of another owner it is the start of this process: what ran here
// since then is remembered.
func (s *settings) ownedSince(self, identity, stage string) time.Time {
	last := len(s.slotHistory) - 1
	since := s.start
	for i := last; i >= 0; i-- {
		if owner.Owner(s.slotHistory[i].slots, identity, stage) != self {
			break
		}
		since = s.slotHistory[i].since
	}
	return since
}

// nextSlotHistory returns the history with slots appended if they have changed.
func (s *settings) nextSlotHistory(now time.Time, slots []string) []ownership {
	last := s.slotHistory[len(s.slotHistory)-1]
	if slices.Equal(last.slots, slots) {
		return s.slotHistory
	}
	history := append(slices.Clone(s.slotHistory), ownership{slots: slots, since: now.Add(slotHandover)})
	if len(history) > maxSlotLists {
		history = history[len(history)-maxSlotLists:]
	}
	return history
}

// stageKey identifies a stage of a pipeline.
type stageKey struct {
	pipeline string
	stage    string
}

// defaultSettings returns the settings before the first bundle.
func defaultSettings(start time.Time) *settings {
	return &settings{
		start:       start,
		skew:        bundle.DefaultMaxClockSkew.D(),
		retention:   bundle.DefaultKeyRetention.D(),
		slotHistory: []ownership{{since: start}},
	}
}

// next derives the settings of a newer bundle.
func (s *settings) next(now time.Time, b *bundle.Bundle, pool string) *settings {
	n := &settings{
		version:      b.Version,
		start:        s.start,
		pool:         b.Pool(pool),
		skew:         b.Policy.MaxClockSkew.D(),
		retention:    b.Policy.KeyRetention.D(),
		maxDeadline:  s.maxDeadline,
		unrepeatable: make(map[string]bool),
		models:       make(map[stageKey]string),
	}
	n.slotHistory = s.nextSlotHistory(now, n.slots())
	if s.version == 0 {
		// Before its first bundle the process owned nothing and ran nothing, so
		// there is no handover to wait for.
		n.slotHistory = []ownership{{slots: n.slots(), since: s.slotHistory[0].since}}
	}
	repeatable := make(map[string]bool)
	for i := range b.Pipelines {
		p := &b.Pipelines[i]
		n.maxDeadline = max(n.maxDeadline, p.Deadline.D())
		for _, stage := range p.Stages {
			if stage.Pool != pool {
				continue
			}
			n.models[stageKey{p.Name, stage.Name}] = stage.Model
			n.unrepeatable[stage.Name] = stage.Unrepeatable
			repeatable[stage.Name] = repeatable[stage.Name] || !stage.Unrepeatable
		}
	}
	for name := range repeatable {
		n.unrepeatable[name] = !repeatable[name]
	}
	return n
}

// slots returns the slot list of the agent's pool, nil if no bundle contains the pool.
func (s *settings) slots() []string {
	if s.pool == nil {
		return nil
	}
	return s.pool.Slots
}

// typicalTime returns the expected time of a stage on the pool, used until run
// times have been measured: the longest of its stages.
func typicalTime(b *bundle.Bundle, pool string) time.Duration {
	longest := bundle.DefaultTypical.D()
	for i := range b.Pipelines {
		for _, stage := range b.Pipelines[i].Stages {
			if stage.Pool == pool {
				longest = max(longest, stage.Typical.D())
			}
		}
	}
	return longest
}

// remaining returns the time a call has left: the time until its absolute
// deadline plus the clock skew, or its relative budget if that is less.
func (s *settings) remaining(now time.Time, call *wire.StageCall) time.Duration {
	return min(call.Deadline.Add(s.skew).Sub(now), call.Budget)
}

// noteExpiry returns the time until which a call is remembered by its ID. It is
// one skew later than the time until which a copy may be accepted.
func (s *settings) noteExpiry(deadline time.Time) time.Time {
	return deadline.Add(2 * s.skew)
}
