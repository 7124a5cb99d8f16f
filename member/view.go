package member

import (
	"cmp"
	"slices"
	"time"

	"github.com/mangostage/mangostage/confsvc"
	"github.com/mangostage/mangostage/wire"
)

// State is the state of a VM as seen by this process.
type State string

// The states of a VM.
const (
	// StateLive means that the VM takes work.
	StateLive State = "live"
	// StateLeaving means that the VM takes no new work, according to the list of
	// VMs, a peer that read the list, or the VM's own process.
	StateLeaving State = "leaving"
	// StateUnreachable means that the VM is not connected and either the last dial
	// failed or the VM is not listed.
	StateUnreachable State = "unreachable"
)

// Member is one VM in a View.
type Member struct {
	// VM is the VM's entry in the last list that contained it. If the VM was not
	// listed when its process connected, the role, failure domain, endpoint and pool
	// are those of the process's hello.
	VM    confsvc.VM
	State State
	// Reason explains State.
	Reason string
	// Listed means that the last list contains the VM; a VM may be known by its
	// connection only.
	Listed bool
	// Connected means that there is a link to the VM's process.
	Connected bool
	// Process is the process on the VM that is connected or was connected last.
	Process wire.Process
	// Report is the latest report of the VM's agent, received at ReportedAt; both
	// are zero until the first.
	Report     wire.AgentReport
	ReportedAt time.Time
}

// View is the state of the fleet as known to this process at one time. It is
// immutable.
type View struct {
	// At is when the view was built.
	At time.Time
	// ListedAt is when the list of VMs was last read; zero before the first read
	// and after a pause of the process until the next read.
	ListedAt time.Time
	// Members is sorted by VM name.
	Members []Member

	byVM       map[string]int
	byEndpoint map[string]int
}

// VM returns the member with the VM name, and whether there is one.
func (v *View) VM(name string) (Member, bool) {
	i, ok := v.byVM[name]
	if !ok {
		return Member{}, false
	}
	return v.Members[i], true
}

// Endpoint returns the member that owns the endpoint, and whether there is one.
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

// newView builds a view, sorting members in place. If several VMs claim an
// endpoint, a listed VM takes precedence, then a connected one, then the first by
// name. The claims of the others are returned.
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

// claimRank returns the precedence of a member's claim to an endpoint; higher wins.
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
