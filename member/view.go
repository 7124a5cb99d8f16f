package member

import (
	"cmp"
	"slices"
	"time"

	"github.com/mangostage/mangostage/confsvc"
	"github.com/mangostage/mangostage/wire"
)

// State is what this process believes of a VM.
type State string

// The states of a VM.
const (
	// StateLive VMs take work.
	StateLive State = "live"
	// StateLeaving VMs take no new work: the list, a peer's reading of the
	// list, or the VM's own process says so.
	StateLeaving State = "leaving"
	// StateUnreachable VMs are listed, but connecting to them failed.
	StateUnreachable State = "unreachable"
)

// Member is one VM in a View.
type Member struct {
	VM     confsvc.VM
	State  State
	Reason string
	// Listed is false for a VM known only by its connection.
	Listed    bool
	Connected bool
	// Process is the one connected now or last.
	Process wire.Process
	// Report is the latest from the VM's agent; zero until the first.
	Report     wire.AgentReport
	ReportedAt time.Time
}

// View is everything this process believes of the fleet at one time. It is
// immutable.
type View struct {
	At time.Time
	// ListedAt is when the list was last read; zero before the first time and
	// after a pause of the process.
	ListedAt time.Time
	// Members is sorted by VM name.
	Members []Member

	byVM       map[string]int
	byEndpoint map[string]int
}

// VM returns the member of that VM name.
func (v *View) VM(name string) (Member, bool) {
	i, ok := v.byVM[name]
	if !ok {
		return Member{}, false
	}
	return v.Members[i], true
}

// Endpoint returns the member that carries the endpoint.
func (v *View) Endpoint(name string) (Member, bool) {
	i, ok := v.byEndpoint[name]
	if !ok {
		return Member{}, false
	}
	return v.Members[i], true
}

// Pool returns the members that own an endpoint of the pool, sorted by VM name.
func (v *View) Pool(pool string) []Member {
	var members []Member
	for i := range v.Members {
		m := &v.Members[i]
		if m.VM.Pool != pool || m.VM.Endpoint == "" {
			continue
		}
		if v.byEndpoint[m.VM.Endpoint] == i {
			members = append(members, *m)
		}
	}
	return members
}

// newView indexes members. When two VMs claim an endpoint, the listed one
// owns it, then the connected one, then the first by name. The claims that
// lost are returned.
func newView(at, listedAt time.Time, members []Member) (*View, []Claim) {
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.VM.Name, b.VM.Name) })
	v := &View{
		At:         at,
		ListedAt:   listedAt,
		Members:    members,
		byVM:       make(map[string]int, len(members)),
		byEndpoint: make(map[string]int, len(members)),
	}
	var ignored []Claim
	for i := range members {
		v.byVM[members[i].VM.Name] = i
		endpoint := members[i].VM.Endpoint
		if endpoint == "" {
			continue
		}
		owner, claimed := v.byEndpoint[endpoint]
		if !claimed {
			v.byEndpoint[endpoint] = i
			continue
		}
		loser := i
		if claimRank(&members[i]) > claimRank(&members[owner]) {
			v.byEndpoint[endpoint] = i
			loser = owner
		}
		ignored = append(ignored, Claim{Endpoint: endpoint, VM: members[loser].VM.Name})
	}
	return v, ignored
}

// Claim is an endpoint claimed by a VM that does not own it.
type Claim struct {
	Endpoint string
	VM       string
}

func claimRank(m *Member) int {
	rank := 0
	if m.Listed {
		rank += 2
	}
	if m.Connected {
		rank++
	}
	return rank
}
