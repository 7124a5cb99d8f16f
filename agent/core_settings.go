package agent

import (
	"slices"
	"time"

	"github.com/mangostage/mangostage/bundle"
	"github.com/mangostage/mangostage/owner"
	"github.com/mangostage/mangostage/wire"
)

// settings is what a bundle says to this agent; it is immutable.
type settings struct {
	version uint64
	// start is when this process began.
	start time.Time
	// pool is nil until a bundle names the agent's pool.
	pool      *bundle.Pool
	skew      time.Duration
	retention time.Duration
	// owners lists the slots in force over time, the oldest first.
	owners []ownership
	// longest is the longest deadline of a pipeline in any bundle so far.
	longest time.Duration
	// unrepeatable holds the names of stages on this pool that every pipeline
	// calls unrepeatable.
	unrepeatable map[string]bool
	// models holds the engine's model for each pipeline and stage.
	models map[stageName]string
}

const (
	// slotHandover is the longest time that the bundle's change of a slot list
	// is expected to need to reach the earlier owner, which takes calls till then.
	slotHandover = 10 * time.Second
	// maxOwners bounds the slot lists remembered. Forgetting an older one makes
	// this process believe that it owns a key for a shorter time than it does.
	maxOwners = 8
)

// ownership is one slot list and the time from which this process can vouch
// for the keys that it gives to its endpoint.
type ownership struct {
	slots []string
	since time.Time
}

// ownedSince is the time from which this process alone has owned an identity.
// Each change of the slot list that gave it the identity restarts the time;
// one that left it where it was does not. For an identity of another owner it
// is the process's start: what ran here since then is remembered.
func (s *settings) ownedSince(self, identity, stage string) time.Time {
	last := len(s.owners) - 1
	since := s.start
	for i := last; i >= 0; i-- {
		if owner.Owner(s.owners[i].slots, identity, stage) != self {
			break
		}
		since = s.owners[i].since
	}
	return since
}

func (s *settings) nextOwners(now time.Time, slots []string) []ownership {
	last := s.owners[len(s.owners)-1]
	if slices.Equal(last.slots, slots) {
		return s.owners
	}
	owners := append(slices.Clone(s.owners), ownership{slots: slots, since: now.Add(slotHandover)})
	if len(owners) > maxOwners {
		owners = owners[len(owners)-maxOwners:]
	}
	return owners
}

type stageName struct {
	pipeline string
	stage    string
}

func defaultSettings(start time.Time) *settings {
	return &settings{
		start:     start,
		skew:      bundle.DefaultMaxClockSkew.D(),
		retention: bundle.DefaultKeyRetention.D(),
		owners:    []ownership{{since: start}},
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
		longest:      s.longest,
		unrepeatable: make(map[string]bool),
		models:       make(map[stageName]string),
	}
	n.owners = s.nextOwners(now, n.slots())
	if s.version == 0 {
		// Before its first bundle the process owned nothing and ran nothing.
		n.owners = []ownership{{slots: n.slots(), since: s.owners[0].since}}
	}
	repeatable := make(map[string]bool)
	for i := range b.Pipelines {
		p := &b.Pipelines[i]
		n.longest = max(n.longest, p.Deadline.D())
		for _, stage := range p.Stages {
			if stage.Pool != pool {
				continue
			}
			n.models[stageName{p.Name, stage.Name}] = stage.Model
			n.unrepeatable[stage.Name] = stage.Unrepeatable
			repeatable[stage.Name] = repeatable[stage.Name] || !stage.Unrepeatable
		}
	}
	for name := range repeatable {
		n.unrepeatable[name] = !repeatable[name]
	}
	return n
}

func (s *settings) slots() []string {
	if s.version == 0 {
		return nil
	}
	return s.pool.Slots
}

// typical is the expected time of a stage of the pool until one was measured.
func typical(b *bundle.Bundle, pool string) time.Duration {
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

// remaining is the time a call has left: the sooner of its absolute deadline,
// allowing for the clocks' difference, and its budget from now on.
func (s *settings) remaining(now time.Time, call *wire.StageCall) time.Duration {
	return min(call.Deadline.Add(s.skew).Sub(now), call.Budget)
}

// noteUntil is how long a call is remembered by its ID: while a copy of it may
// be accepted, and a while longer.
func (s *settings) noteUntil(deadline time.Time) time.Time {
	return deadline.Add(2 * s.skew)
}
