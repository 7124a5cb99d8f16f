package discovery

import (
	"strings"

	"github.com/mangostage/mangostage/platform"
)

// maxEvacuations bounds the failure domains of which is kept whether they are
// evacuated. Deployments have tens; a foreign writer may name any number.
const maxEvacuations = 1000

// evacuationList keeps the operator's last word on each failure domain, by key.
// What was taken back stays known by its revision, so that a peer's or a stale
// read's older word does not empty the domain again.
type evacuationList map[string]platform.Item

// apply takes an item and tells whether the word on its domain has changed.
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
	// The key says it all. A value that cannot be read does not make the
	// operator's word void: not to send is the safe side.
	item.Value, item.Fault = nil, ""
	l[item.Key] = item
	return !known && !item.Gone || known && before.Gone != item.Gone, nil
}

// missing returns the removal of each evacuation that a complete list as of a
// revision lacks.
func (l evacuationList) missing(listed map[string]bool, at uint64) []platform.Item {
	var gone []platform.Item
	for key, item := range l {
		if !listed[key] && !item.Gone && item.Revision <= at {
			gone = append(gone, platform.Item{Key: key, Revision: at, Gone: true})
		}
	}
	return gone
}

// domains lists the domains that are evacuated, with the revision of that word.
func (l evacuationList) domains() map[string]uint64 {
	domains := make(map[string]uint64)
	for _, item := range l {
		if !item.Gone {
			domains[domainOf(item)] = item.Revision
		}
	}
	return domains
}

func domainOf(item platform.Item) string {
	return strings.TrimPrefix(item.Key, platform.PrefixEvacuations)
}
