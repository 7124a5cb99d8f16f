package harness

import (
	"slices"

	"github.com/mangostage/mangostage/confsvc"
	"github.com/mangostage/mangostage/wire"
)

// ReplaceAgent starts a new agent for an endpoint on a new VM, as after the platform
// replaced the VM, and lists the new VM instead of the old one. It returns the old
// agent, which keeps running until the end of the test. ReplaceAgent cannot be used
// with Config.ProxyPeers.
func (f *Fleet) ReplaceAgent(endpoint string) *Process {
	f.t.Helper()
	if f.views != nil {
		f.t.Fatal("an agent cannot be replaced if ProxyPeers is set")
	}
	old, e := f.Agent(endpoint), f.Endpoint(endpoint)
	f.vms = slices.DeleteFunc(f.vms, func(vm confsvc.VM) bool { return vm.Name == old.VM })
	vm := confsvc.VM{
		Name: old.VM + "-new", Role: wire.RoleAgent, Domain: e.Domain,
		State: confsvc.VMLive, Endpoint: e.Name, Pool: e.Pool,
	}
	args := append(f.commonFlags(&vm, vm.Name),
		"--endpoint="+e.Name,
		"--pool="+e.Pool,
		"--endpoint-url="+e.URL(),
		"--protocol="+string(f.Bundle.Pool(e.Pool).Protocol),
	)
	p := f.addProcess(vm, e.Name, binaryAgent, args)
	f.agents[endpoint] = p
	f.must(p.start())
	f.Platform.VMs.Set(f.vms)
	f.t.Cleanup(func() {
		old.terminate()
		old.reap()
	})
	return old
}
