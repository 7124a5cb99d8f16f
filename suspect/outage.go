package suspect

import (
	"slices"
	"sync"
	"time"
)

const (
	// outageWindow is the maximum time between crashes of endpoints that count as one
	// outage.
	outageWindow = 250 * time.Millisecond
	// maxRecentCrashes is the maximum number of crashes remembered within outageWindow.
	maxRecentCrashes = 64
)

// recentCrash is a crash of an endpoint under one content.
type recentCrash struct {
	endpoint string
	// contentKeys holds the keys of all content that was on the endpoint.
	contentKeys []string
	at          time.Time
}

// outageDetector remembers the latest crashes, to distinguish an endpoint that was
// lost together with others from one that a single content crashed.
//
// The failure that it guards against: all endpoints of a pool lose power within
// milliseconds. A request is lost with one of them and is retried alone on the next,
// which is lost too. This is the second crash of its content, and one without
// companions, so that the content would be refused for minutes, although other
// endpoints were lost under other content at the same time.
type outageDetector struct {
	mu     sync.Mutex
	recent []recentCrash
}

// companions records a crash under the content of a key. It returns the keys of the
// content on other endpoints that crashed within outageWindow, except endpoints that
// ran the same content too.
func (o *outageDetector) companions(key string, crash Crash, now time.Time) []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	var found []string
	o.recent = slices.DeleteFunc(o.recent, func(r recentCrash) bool { return now.Sub(r.at) > outageWindow })
	for _, r := range o.recent {
		if r.endpoint != crash.Endpoint && !slices.Contains(r.contentKeys, key) {
			found = append(found, r.contentKeys...)
		}
	}
	if len(crash.CompanionKeys) == crash.Companions && len(o.recent) < maxRecentCrashes {
		on := append([]string{key}, crash.CompanionKeys...)
		o.recent = append(o.recent, recentCrash{endpoint: crash.Endpoint, contentKeys: on, at: now})
	}
	slices.Sort(found)
	return slices.Compact(found)
}
