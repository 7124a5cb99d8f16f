package member

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/mangostage/mangostage/confsvc"
)

// watchersPerDomain is how many processes of each failure domain watch the
// configuration service. With two, the domain still has a watcher when one of
// them dies, until the list of VMs shows the loss.
const watchersPerDomain = 2

// Watchers returns the VMs of a failure domain that watch the configuration
// service, selected by rendezvous hashing of the VMs listed as live. Processes with
// the same list get the same result without communication, and a VM that joins or
// leaves changes at most one of the watchers.
func Watchers(vms []confsvc.VM, domain string) []string {
	type ranked struct {
		name  string
		score uint64
	}
	var candidates []ranked
	for i := range vms {
		if vms[i].Domain != domain || vms[i].State != confsvc.VMLive {
			continue
		}
		candidates = append(candidates, ranked{vms[i].Name, xxhash.Sum64String(domain + "/" + vms[i].Name)})
	}
	slices.SortFunc(candidates, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.name, b.name))
	})
	var names []string
	for _, c := range candidates[:min(len(candidates), watchersPerDomain)] {
		names = append(names, c.name)
	}
	return names
}
