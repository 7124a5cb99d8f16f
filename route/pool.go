package route

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	// subsetMin is the smallest subset: large enough to leave a choice when a
	// failure domain is lost and stragglers are ejected.
	subsetMin = 24
	// subsetRedundancy is the number of entries whose subsets should include
	// each endpoint.
	subsetRedundancy = 4
)

// SubsetSize returns how many of a pool's endpoints each live entry should
// prefer. Each endpoint is then in about subsetRedundancy subsets, so that the
// pool is loaded evenly even if the entries are not.
func SubsetSize(endpoints, entries int) int {
	size := max(subsetMin, (subsetRedundancy*endpoints+entries-1)/max(1, entries))
	return min(size, endpoints)
}

// order is the order in which one entry prefers the members of a pool.
type order struct {
	// ranks lists the members, the most preferred first.
	ranks []rank
	// domains lists the failure domains of the members.
	domains []string
	// index maps an endpoint's name to its index in Pool.Endpoints.
	index map[string]int
}

// rank is one endpoint's position in an order.
type rank struct {
	// hash is the hash of the endpoint's name.
	hash uint64
	// index is the endpoint's index in Pool.Endpoints; domain is an index into
	// order.domains.
	index  int32
	domain int32
}

// NewPool returns a pool with the preference order of one entry, so that a
// decision need not examine the whole pool. The endpoints are sorted by name.
func NewPool(name, entry string, endpoints []*Endpoint) *Pool {
	sorted := sortedByName(endpoints)
	return &Pool{Name: name, Endpoints: sorted, order: newOrder(entry, sorted)}
}

// Refresh returns the pool with newer versions of its endpoints. While their
// names and failure domains stay the same, the order is shared instead of
// computed again, which for a large pool takes most of the time.
func (p *Pool) Refresh(entry string, endpoints []*Endpoint) *Pool {
	next := *p
	next.Endpoints = sortedByName(endpoints)
	if p.order == nil || !slices.EqualFunc(p.Endpoints, next.Endpoints, sameMember) {
		next.order = newOrder(entry, next.Endpoints)
	}
	return &next
}

func sameMember(a, b *Endpoint) bool { return a.Name == b.Name && a.Domain == b.Domain }

func sortedByName(endpoints []*Endpoint) []*Endpoint {
	sorted := slices.Clone(endpoints)
	slices.SortFunc(sorted, func(a, b *Endpoint) int { return strings.Compare(a.Name, b.Name) })
	return sorted
}

// Replace returns the pool with another version of one member, sharing the
// order. An endpoint that is not a member is not added.
func (p *Pool) Replace(e *Endpoint) *Pool {
	i, ok := p.position(e.Name)
	if !ok {
		return p
	}
	next := *p
	next.Endpoints = slices.Clone(p.Endpoints)
	next.Endpoints[i] = e
	return &next
}

// Endpoint returns the endpoint with the given name, or nil.
func (p *Pool) Endpoint(name string) *Endpoint {
	i, ok := p.position(name)
	if !ok {
		return nil
	}
	return p.Endpoints[i]
}

// position returns the index of the named endpoint in p.Endpoints.
func (p *Pool) position(name string) (int, bool) {
	if p.order != nil {
		i, ok := p.order.index[name]
		return i, ok
	}
	i := slices.IndexFunc(p.Endpoints, func(e *Endpoint) bool { return e.Name == name })
	return i, i >= 0
}

// subset returns how many members the entry prefers.
func (p *Pool) subset() int {
	size := p.Subset
	if size <= 0 {
		size = subsetMin
	}
	return min(size, len(p.Endpoints))
}

// at returns the i-th member in the entry's order.
func (p *Pool) at(i int) *Endpoint {
	if p.order == nil {
		return p.Endpoints[i]
	}
	return p.Endpoints[p.order.ranks[i].index]
}

// hash returns the hash of the name of the i-th member in the entry's order.
func (p *Pool) hash(i int) uint64 {
	if p.order == nil {
		return xxhash.Sum64String(p.Endpoints[i].Name)
	}
	return p.order.ranks[i].hash
}

// inDomain tells whether the i-th member in the entry's order is in the failure
// domain. With an order it does not access the member itself.
func (p *Pool) inDomain(i int, domain string) bool {
	if p.order == nil {
		return p.Endpoints[i].Domain == domain
	}
	return p.order.domains[p.order.ranks[i].domain] == domain
}

// Subset returns the k endpoints that the entry prefers. The result depends
// only on the arguments, changes little when an endpoint is added or removed,
// is spread evenly over failure domains, and differs between entries. A larger
// k only adds endpoints, so that a saturated subset can be widened.
func Subset(entry string, endpoints []*Endpoint, k int) []*Endpoint {
	ranks := newOrder(entry, endpoints).ranks
	subset := make([]*Endpoint, min(k, len(ranks)))
	for i := range subset {
		subset[i] = endpoints[ranks[i].index]
	}
	return subset
}

// newOrder ranks endpoints by rendezvous hash within each failure domain, then
// takes one endpoint of each domain in rotation. The order of the domains
// differs between entries too; otherwise the first domain would carry more load
// when subsets are small.
func newOrder(entry string, endpoints []*Endpoint) *order {
	seed := xxhash.Sum64String(entry)
	o := &order{index: make(map[string]int, len(endpoints))}
	var groups [][]rank
	for i, e := range endpoints {
		o.index[e.Name] = i
		d := slices.Index(o.domains, e.Domain)
		if d < 0 {
			d = len(o.domains)
			o.domains = append(o.domains, e.Domain)
			groups = append(groups, nil)
		}
		groups[d] = append(groups[d], rank{hash: xxhash.Sum64String(e.Name), index: int32(i), domain: int32(d)})
	}
	for _, group := range groups {
		slices.SortFunc(group, func(a, b rank) int { return byWeight(seed, a.hash, b.hash) })
	}
	slices.SortFunc(groups, func(a, b []rank) int {
		return byWeight(seed, xxhash.Sum64String(o.domains[a[0].domain]), xxhash.Sum64String(o.domains[b[0].domain]))
	})
	o.ranks = interleave(groups, len(endpoints))
	return o
}

// byWeight compares two hashes by their rendezvous weight for a seed; the
// heavier sorts first.
func byWeight(seed, a, b uint64) int {
	x, y := mix(seed, a), mix(seed, b)
	switch {
	case x > y:
		return -1
	case x < y:
		return 1
	default:
		return 0
	}
}

// interleave merges the groups by taking one rank of each in rotation.
func interleave(groups [][]rank, total int) []rank {
	ranks := make([]rank, 0, total)
	for i := 0; len(ranks) < total; i++ {
		for _, group := range groups {
			if i < len(group) {
				ranks = append(ranks, group[i])
			}
		}
	}
	return ranks
}

// mix combines two hashes into one that is uniformly distributed in both, using
// the finaliser of MurmurHash3.
func mix(a, b uint64) uint64 {
	h := a ^ (b * 0x9e3779b97f4a7c15)
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	h ^= h >> 33
	return h
}
