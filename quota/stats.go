package quota

import (
	"cmp"
	"maps"
	"slices"
)

// Stats is the state of one quota, for metrics.
type Stats struct {
	// Endpoint is the endpoint's Key.
	Endpoint string  `json:"endpoint"`
	Rate     float64 `json:"rate"`
	// Recovering is true if the endpoint names no quota any more and its rate rises.
	Recovering bool `json:"recovering,omitempty"`
}

// Stats lists the quotas, sorted by endpoint.
func (t *Table) Stats() []Stats {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make([]Stats, 0, len(t.entries))
	for _, endpoint := range slices.SortedFunc(maps.Keys(t.entries), cmp.Compare) {
		e := t.entries[endpoint]
		all = append(all, Stats{Endpoint: endpoint, Rate: e.rate, Recovering: !e.liftedAt.IsZero()})
	}
	return all
}
