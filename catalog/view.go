package catalog

import (
	"iter"
	"maps"
	"sort"
)

// View is an immutable snapshot of what a process knows of the deployment.
type View struct {
	// Index is nil until a configuration is known.
	Index *Index
	// Revision increases with every change of the view in this process.
	Revision  uint64
	byService map[string][]*Endpoint
	byKey     map[string]*Endpoint
	byID      map[string]*Endpoint
}

// NewView returns a view of the endpoints, which must not be modified afterwards.
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

// Ready reports whether requests can be served with this view: there is a
// configuration and at least one endpoint.
func (v *View) Ready() bool { return v.Index != nil && len(v.byID) > 0 }

// Endpoints returns the endpoints of a service sorted by ID, including leaving ones.
func (v *View) Endpoints(service string) []*Endpoint { return v.byService[service] }

// Endpoint returns the endpoint with that Key, or nil if it is not listed. An
// endpoint that restarted under the same ID has another Key.
func (v *View) Endpoint(key string) *Endpoint { return v.byKey[key] }

// EndpointByID returns the listed endpoint process with that ID, or nil.
func (v *View) EndpointByID(id string) *Endpoint { return v.byID[id] }

// Replaced reports whether another process is listed under the ID, so that
// everything the given process held is lost. It is false for a process that is
// merely no longer listed, since that may still be running.
func (v *View) Replaced(id string, incarnation Incarnation) bool {
	e := v.EndpointByID(id)
	return e != nil && e.Incarnation != incarnation
}

// All yields the endpoints in no particular order.
func (v *View) All() iter.Seq[*Endpoint] { return maps.Values(v.byKey) }

// Len returns the number of endpoints.
func (v *View) Len() int { return len(v.byID) }
