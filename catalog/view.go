package catalog

import "sort"

// View is what a process knows of the deployment at one moment.
type View struct {
	// Index is nil until a configuration is known.
	Index *Index
	// Revision grows with every change of the view in this process.
	Revision  uint64
	byService map[string][]*Endpoint
	byID      map[string]*Endpoint
}

// NewView returns a view of the endpoints, which must not change any more.
func NewView(index *Index, endpoints []*Endpoint, revision uint64) *View {
	v := &View{
		Index:     index,
		Revision:  revision,
		byService: make(map[string][]*Endpoint),
		byID:      make(map[string]*Endpoint, len(endpoints)),
	}
	sorted := append([]*Endpoint(nil), endpoints...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].ID < sorted[j].ID })
	for _, e := range sorted {
		v.byService[e.Service] = append(v.byService[e.Service], e)
		v.byID[e.ID] = e
	}
	return v
}

// Ready tells whether requests can be served by this view.
func (v *View) Ready() bool { return v.Index != nil && len(v.byID) > 0 }

// Endpoints lists the endpoints of a service by ID, also those that leave.
func (v *View) Endpoints(service string) []*Endpoint { return v.byService[service] }

// Endpoint returns the endpoint with that ID, or nil if it is gone.
func (v *View) Endpoint(id string) *Endpoint { return v.byID[id] }

// Len is the number of endpoints.
func (v *View) Len() int { return len(v.byID) }
