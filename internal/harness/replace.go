package harness

import (
	"slices"

	"github.com/mangostage/mangostage/confsvc"
	"github.com/mangostage/mangostage/wire"
)

// Replace starts an agent on a new VM beside an endpoint, as after the platform
// gave up the old VM, and lists the new VM in place of the old. The old agent,
// which is returned, goes on until its test ends. Not with ProxyPeers.
func (f *Fleet) Replace(endpoint string) *Process {
	f.t.Helper()
	if f.views != nil {
		f.t.Fatal("an agent cannot be replaced under ProxyPeers")
	}
	old, e := f.Agent(endpoint), f.Endpoint(endpoint)
	f.vms = slices.DeleteFunc(f.vms, func(vm confsvc.VM) bool { return vm.Name == old.VM })
	vm := confsvc.VM{
		Name: old.VM + "-new", Role: wire.RoleAgent, Domain: e.Domain,
		State: confsvc.VMLive, Endpoint: e.Name, Pool: e.Pool,
	}
	args := append(f.common(&vm, vm.Name),
		"--endpoint="+e.Name,
		"--pool="+e.Pool,
		"--endpoint-url="+e.URL(),
		"--protocol="+string(f.Bundle.Pool(e.Pool).Protocol),
	)
	p := f.plan(vm, e.Name, binaryAgent, args)
	f.agents[endpoint] = p
	f.must(p.start())
	f.Platform.VMs.Set(f.vms)
	f.t.Cleanup(func() {
		old.terminate()
		old.reap()
	})
	return old
}
