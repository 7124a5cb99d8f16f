package origin

import (
	"reflect"
	"sync"
	"time"

	"github.com/mangostage/mangostage/catalog"
)

// MaxLifetime is the longest time for which a stream, or what it can have had as its origin,
// is remembered.
const MaxLifetime = 5 * time.Minute

// History tells which origins the streams of each route can have had. It does no I/O and is
// safe for concurrent use.
type History struct {
	mu sync.Mutex
	// since is from when on the origins are known: when the first view came, or that of a
	// member that told of its past at inheritedAt; zero before.
	since, inheritedAt time.Time
	// revision is that of the latest view.
	revision uint64
	// config and versions are those of the latest view: the version of its configuration,
	// and the versions of the endpoints of each service.
	config   uint64
	versions map[string]map[string]bool
	// last holds, for each route whose streams may be resumed, when each origin was last
	// possible.
	last map[string]map[Origin]time.Time
	// current are the origins that are possible now.
	current map[string]map[Origin]bool
}

// NewHistory returns a history without a view.
func NewHistory() *History {
	return &History{last: make(map[string]map[Origin]time.Time), current: make(map[string]map[Origin]bool)}
}

// SetView records a new view; one that is older than the latest is ignored.
func (h *History) SetView(now time.Time, view *catalog.View) {
	if !view.Ready() {
		return
	}
	versions := make(map[string]map[string]bool)
	for e := range view.All() {
		if versions[e.Service] == nil {
			versions[e.Service] = make(map[string]bool)
		}
		versions[e.Service][e.Version] = true
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if view.Revision < h.revision {
		return
	}
	h.revision = view.Revision
	config := view.Index.Config.Version
	if h.config == config && reflect.DeepEqual(h.versions, versions) {
		return
	}
	h.config, h.versions = config, versions
	if h.since.IsZero() {
		h.since = now
	}
	h.endCurrentLocked(now)
	for i := range view.Index.Config.Routes {
		route := &view.Index.Config.Routes[i]
		if !route.ResumableStream() {
			continue
		}
		h.current[route.Name] = possibleOrigins(route, versions)
	}
	h.forgetLocked(now)
}

// possibleOrigins returns the origins that a new stream of a route can have.
func possibleOrigins(route *catalog.Route, versions map[string]map[string]bool) map[Origin]bool {
	possible := make(map[Origin]bool)
	for _, share := range route.Split {
		for version := range versions[share.Service] {
			possible[Origin{Service: share.Service, Version: version}] = true
		}
	}
	return possible
}

// endCurrentLocked moves the origins that were possible until now to those of the past.
func (h *History) endCurrentLocked(now time.Time) {
	for route, origins := range h.current {
		if h.last[route] == nil {
			h.last[route] = make(map[Origin]time.Time, len(origins))
		}
		for o := range origins {
			h.last[route][o] = now
		}
	}
	clear(h.current)
}

// forgetLocked forgets what was last possible long ago.
func (h *History) forgetLocked(now time.Time) {
	for route, origins := range h.last {
		for o, at := range origins {
			if now.Sub(at) > MaxLifetime {
				delete(origins, o)
			}
		}
		if len(origins) == 0 {
			delete(h.last, route)
		}
	}
}

// Sole returns the only origin that a stream of a route can have had which began at most
// lifetime before now, and the verdict Sole; Unknown if there were several or none, and
// unseen if this is not known for all of that time. seen is since when this process has
// seen all changes.
func (h *History) Sole(now, seen time.Time, route string, lifetime time.Duration) (sole Origin, v Verdict) {
	h.mu.Lock()
	defer h.mu.Unlock()
	from := now.Add(-lifetime)
	if start, ok := h.startLocked(seen); !ok || start.After(from) {
		return Origin{}, unseen
	}
	found := make(map[Origin]bool)
	for o := range h.current[route] {
		found[o] = true
	}
	for o, at := range h.last[route] {
		if at.After(from) {
			found[o] = true
		}
	}
	if len(found) != 1 {
		return Origin{}, Unknown
	}
	for o := range found {
		sole = o
	}
	return sole, Sole
}

// startLocked returns from when on all origins are known, without a gap until now; ok is
// false if that is not so.
func (h *History) startLocked(seen time.Time) (start time.Time, ok bool) {
	if h.since.IsZero() {
		return time.Time{}, false
	}
	if seen.After(h.inheritedAt) && seen.After(h.since) {
		return seen, true
	}
	return h.since, true
}

// maxPast bounds the origins that a member tells of its past.
const maxPast = 2048

// past is what a member tells of the origins that streams can have had.
type past struct {
	// Covered is how long ago that begins; 0 if the member knows nothing.
	Covered time.Duration `json:"covered_ns,omitempty"`
	Origins []pastOrigin  `json:"origins,omitempty"`
}

// pastOrigin is an origin that streams of a route can have had.
type pastOrigin struct {
	Route string `json:"route"`
	Origin
	// Ago is how long ago it was last possible.
	Ago time.Duration `json:"ago_ns,omitempty"`
}

// tell returns what a member that starts has to know.
func (h *History) tell(now, seen time.Time) past {
	h.mu.Lock()
	defer h.mu.Unlock()
	start, ok := h.startLocked(seen)
	if !ok {
		return past{}
	}
	p := past{Covered: now.Sub(start)}
	for route, origins := range h.current {
		for o := range origins {
			p.Origins = append(p.Origins, pastOrigin{Route: route, Origin: o})
		}
	}
	for route, origins := range h.last {
		for o, at := range origins {
			p.Origins = append(p.Origins, pastOrigin{Route: route, Origin: o, Ago: now.Sub(at)})
		}
	}
	if len(p.Origins) > maxPast {
		return past{}
	}
	return p
}

// inherit takes over the past that another member has just told, if it reaches further back.
func (h *History) inherit(now time.Time, p past) {
	h.mu.Lock()
	defer h.mu.Unlock()
	start := now.Add(-p.Covered)
	if p.Covered <= 0 || h.since.IsZero() || !start.Before(h.since) {
		return
	}
	h.since, h.inheritedAt = start, now
	for _, o := range p.Origins {
		if h.last[o.Route] == nil {
			h.last[o.Route] = make(map[Origin]time.Time)
		}
		if at := now.Add(-o.Ago); at.After(h.last[o.Route][o.Origin]) {
			h.last[o.Route][o.Origin] = at
		}
	}
}

// started reports whether a view has come.
func (h *History) started() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.since.IsZero()
}
