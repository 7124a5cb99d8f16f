package route

import (
	"sync"

	"github.com/mangostage/mangostage/kernel"
)

const (
	pickerSample     kernel.ModuleID = NamespacePicker + "sample"
	pickerRoundRobin kernel.ModuleID = NamespacePicker + "round_robin"
)

func init() {
	kernel.Register(kernel.Module{ID: pickerSample, New: func() any { return samplePicker{} }})
	kernel.Register(kernel.Module{ID: pickerRoundRobin, New: func() any {
		return &roundRobinPicker{next: make(map[string]int)}
	}})
}

// roundRobinPicker uses the endpoints in rotation, regardless of their load.
type roundRobinPicker struct {
	mu sync.Mutex
	// next is the index at which the next search starts, by pool name.
	next map[string]int
}

// Pick implements Picker.
func (p *roundRobinPicker) Pick(q *Query, chain *Chain) Decision {
	endpoints := q.Pool.Endpoints
	d := Decision{Considered: len(endpoints), Reason: ReasonNone}
	p.mu.Lock()
	defer p.mu.Unlock()
	start := p.next[q.Pool.Name]
	for i := range endpoints {
		at := (start + i) % len(endpoints)
		if !chain.Keep(q, endpoints[at]) {
			continue
		}
		p.next[q.Pool.Name] = at + 1
		d.Endpoint, d.Candidates, d.Reason = endpoints[at], 1, ReasonRoundRobin
		return d
	}
	return d
}
