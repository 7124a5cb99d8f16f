package origin

import (
	"slices"
	"testing"
	"time"
)

// kill kills a member, which is back later and is then told what it is to hold.
func (m *model) kill(k *modelMember) {
	if !k.alive {
		return
	}
	k.alive, k.changed, k.outbox = false, m.now, nil
	for _, s := range m.streams {
		if s.at == k && s.tries == 0 {
			m.after(modelStep, func() { m.takeUp(s) })
		}
	}
	m.after(restartDelay, func() {
		k.alive, k.changed, k.table = true, m.now, NewTable()
		if m.way == tellFew {
			m.greet(k)
		}
	})
}

// greet lets all members tell one that has started what it is to hold.
func (m *model) greet(k *modelMember) {
	for _, from := range m.keepers(k) {
		var b batch
		left := maxGreeted
		candidates := append(m.keepers(from), from)
		from.table.Latest(m.now, func(s Stream, r Record) bool {
			if slices.Contains(holders(s, candidates, copies), k) {
				b.add(began{stream: s, origin: r.Origin, until: r.Until})
				left--
			}
			return left > 0
		})
		m.deliver(from, k, &b)
	}
}

// faults schedules kills, cuts and changes of the versions.
func (m *model) faults() {
	all := [][]string{{"v1"}, {"v2"}, {"v1", "v2"}, {"v1", "v2", "v3"}, {"v2", "v3"}, {"v3"}}
	for at := 2 * time.Second; at < modelTime-2*time.Second; at += time.Duration(1+m.rng.IntN(2)) * time.Second {
		m.after(at, func() {
			switch m.rng.IntN(3) {
			case 0:
				for range min(2, len(m.members)-1) {
					m.kill(m.members[m.rng.IntN(len(m.members))])
				}
			case 1:
				k := m.members[m.rng.IntN(len(m.members))]
				k.cut = true
				m.after(time.Duration(m.rng.IntN(3000))*time.Millisecond, func() { k.cut = false })
			default:
				m.before, m.versions, m.changedAt = m.versions, all[m.rng.IntN(len(all))], m.now
			}
		})
	}
}

// run plays the whole time.
func (m *model) run() modelFigures {
	if !m.calm {
		m.faults()
	}
	end := m.now.Add(modelTime)
	for m.now.Before(end) {
		m.now = m.now.Add(modelStep)
		for _, at := range m.members {
			if at.alive && m.rng.Float64() < float64(m.rate)*modelStep.Seconds() {
				m.begin(at)
			}
		}
		due := m.events
		m.events = nil
		for _, e := range due {
			if e.at.After(m.now) {
				m.events = append(m.events, e)
				continue
			}
			e.do()
		}
	}
	return m.figures
}

// runSeeds sums the figures of several runs.
func runSeeds(n, seeds int, w way) modelFigures {
	var sum modelFigures
	for seed := range seeds {
		f := newModel(uint64(seed), n, w).run()
		sum.taken += f.taken
		sum.same += f.same
		sum.other += f.other
		sum.unknown += f.unknown
		sum.lost += f.lost
		sum.messages += f.messages
		sum.bytes += f.bytes
	}
	return sum
}

// log prints the figures of a way.
func (f modelFigures) log(t *testing.T, n, seeds int, w way) {
	members := float64(n*seeds) * modelTime.Seconds()
	t.Logf("%d members, %s: %d taken up, %d at their version, %d at another, %d unknown, %d lost with their gateway; %.1f messages and %.0f bytes a second sent by each",
		n, w, f.taken, f.same, f.other, f.unknown, f.lost, float64(f.messages)/members, float64(f.bytes)/members)
}
