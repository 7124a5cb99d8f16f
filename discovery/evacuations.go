package discovery

import (
	"strings"

	"github.com/mangostage/mangostage/platform"
)

// maxEvacuations bounds the failure domains whose evacuation state is kept. Deployments
// have tens of domains, but a foreign writer may name any number.
const maxEvacuations = 1000

// evacuationList holds the newest evacuation item of each failure domain, by key. An ended
// evacuation is kept with its revision, so that an older item from a peer or a stale read
// does not evacuate the domain again.
type evacuationList map[string]platform.Item

// apply applies an item and reports whether its domain's evacuation began or ended. The
// error is that of an item that names no domain, or one domain too many.
func (l evacuationList) apply(item platform.Item) (changed bool, err error) {
	before, known := l[item.Key]
	if known && item.Revision <= before.Revision {
		return false, nil
	}
	if domainOf(item) == "" {
		return false, platform.ErrMalformed.New("the key names no failure domain")
	}
	if !known && len(l) >= maxEvacuations {
		return false, platform.ErrMalformed.New("more than %d failure domains are named", maxEvacuations)
	}
	// The key alone says what is evacuated. An unreadable value does not invalidate the
	// evacuation: sending no work is the safe side.
	item.Value, item.Fault = nil, ""
	l[item.Key] = item
	return !known && !item.Gone || known && before.Gone != item.Gone, nil
}

// missing returns the removals of the evacuations that are not in a list that is complete
// as of revision at.
func (l evacuationList) missing(listed map[string]bool, at uint64) []platform.Item {
	var gone []platform.Item
	for key, item := range l {
		if !listed[key] && !item.Gone && item.Revision <= at {
			gone = append(gone, platform.Item{Key: key, Revision: at, Gone: true})
		}
	}
	return gone
}

// domains returns the evacuated failure domains, each with the revision of its item.
func (l evacuationList) domains() map[string]uint64 {
	domains := make(map[string]uint64)
	for _, item := range l {
		if !item.Gone {
			domains[domainOf(item)] = item.Revision
		}
	}
	return domains
}

// domainOf returns the failure domain that an evacuation item names.
func domainOf(item platform.Item) string {
	return strings.TrimPrefix(item.Key, platform.PrefixEvacuations)
}
