package suspect

import (
	"slices"
	"sync"
	"time"
)

const (
	// outageSpan is the time within which endpoints that go together go.
	outageSpan = 250 * time.Millisecond
	// recentMax is the most crashes remembered for it.
	recentMax = 64
)

// recentCrash is one crash under one content.
type recentCrash struct {
	endpoint string
	// on holds the keys of all content that was on the endpoint.
	on []string
	at time.Time
}

// outage remembers the latest crashes, to tell an endpoint that went with others
// from one that content crashed alone.
//
// The failure that it guards against: all endpoints of a pool lose power within
// milliseconds. A request is lost with one, and is tried alone on the next, which
// goes too. Its content has had a second crash, alone, and would be refused for
// minutes, although other endpoints went under other content at the same time.
type outage struct {
	mu     sync.Mutex
	recent []recentCrash
}

// companions takes a crash under the content of a key and returns the content
// that was on other endpoints that have just gone, those apart on which that
// content may have been as well.
func (o *outage) companions(key string, crash Crash, now time.Time) []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	var found []string
	o.recent = slices.DeleteFunc(o.recent, func(r recentCrash) bool { return now.Sub(r.at) > outageSpan })
	for _, r := range o.recent {
		if r.endpoint != crash.Endpoint && !slices.Contains(r.on, key) {
			found = append(found, r.on...)
		}
	}
	if len(crash.With) == crash.Companions && len(o.recent) < recentMax {
		on := append([]string{key}, crash.With...)
		o.recent = append(o.recent, recentCrash{endpoint: crash.Endpoint, on: on, at: now})
	}
	slices.Sort(found)
	return slices.Compact(found)
}
