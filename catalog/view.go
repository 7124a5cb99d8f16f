package catalog

import (
	"iter"
	"maps"
	"sort"
)

// View is what a process knows of the deployment at one moment.
type View struct {
	// Index is nil until a configuration is known.
	Index *Index
	// Revision grows with every change of the view in this process.
	Revision  uint64
	byService map[string][]*Endpoint
	byKey     map[string]*Endpoint
	byID      map[string]*Endpoint
}

// NewView returns a view of the endpoints, which must not change any more.
func NewView(index *Index, endpoints []*Endpoint, revision uint64) *View {
	v := &View{
		Index:     index,
		Revision:  revision,
		byService: make(map[string][]*Endpoint),
		byKey:     make(map[string]*Endpoint, len(endpoints)),
		byID:      make(map[string]*Endpoint, len(endpoints)),
	}
	sorted := append([]*Endpoint(nil), endpoints...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].ID < sorted[j].ID })
	for _, e := range sorted {
		v.byService[e.Service] = append(v.byService[e.Service], e)
		v.byKey[e.Key()] = e
		v.byID[e.ID] = e
	}
	return v
}

// Ready tells whether requests can be served by this view.
func (v *View) Ready() bool { return v.Index != nil && len(v.byID) > 0 }

// Endpoints lists the endpoints of a service by ID, also those that leave.
func (v *View) Endpoints(service string) []*Endpoint { return v.byService[service] }

// Endpoint returns the endpoint with that Key, or nil if it is gone: an endpoint
// that has started again under its ID is another one.
func (v *View) Endpoint(key string) *Endpoint { return v.byKey[key] }

// Present returns the process that serves under an ID, or nil if none is listed.
func (v *View) Present(id string) *Endpoint { return v.byID[id] }

// Replaced tells whether another process has taken the place of one: all that it
// held is lost. A process that is only gone from the list may still run.
func (v *View) Replaced(id string, incarnation Incarnation) bool {
	e := v.Present(id)
	return e != nil && e.Incarnation != incarnation
}

// All yields the endpoints in no order.
func (v *View) All() iter.Seq[*Endpoint] { return maps.Values(v.byKey) }

// Len is the number of endpoints.
func (v *View) Len() int { return len(v.byID) }
