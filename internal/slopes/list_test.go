package slopes

import (
	"encoding/json"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/bundle"
	"github.com/mangostage/mangostage/confsvc"
	"github.com/mangostage/mangostage/member"
	"github.com/mangostage/mangostage/wire"
)

// vmList returns the platform's list of VMs of a fleet.
func vmList(endpoints, entries int) []confsvc.VM {
	vms := make([]confsvc.VM, 0, endpoints+entries)
	for i := range endpoints {
		vms = append(vms, confsvc.VM{
			Name: "vm-" + endpointName(i), Role: wire.RoleAgent, Address: fmt.Sprintf("10.20.%d.%d:7700", i/250, i%250),
			Domain: domainName(i), State: confsvc.VMLive, Endpoint: endpointName(i), Pool: poolName(i % poolsFull),
		})
	}
	for i := range entries {
		vms = append(vms, confsvc.VM{
			Name: fmt.Sprintf("entry-%03d", i), Role: wire.RoleEntry, Address: fmt.Sprintf("10.10.%d.%d:7700", i/250, i%250),
			Domain: domainName(i), State: confsvc.VMLive,
		})
	}
	return vms
}

// BenchmarkList measures the decoding of the platform's list of VMs and the
// selection of the watchers of one failure domain, by the number of endpoints.
func BenchmarkList(b *testing.B) {
	for _, size := range []int{210, 700, endpointsFull} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			data, err := json.Marshal(vmList(size, size*entriesFull/endpointsFull))
			assert.NilError(b, err)
			b.ReportAllocs()
			for b.Loop() {
				var vms []confsvc.VM
				assert.NilError(b, json.Unmarshal(data, &vms))
				member.Watchers(vms, domainName(1))
			}
			b.ReportMetric(float64(len(data)), "list-B")
		})
	}
}

// TestFullBundleFits checks that the full-size bundle, which the measured figures
// refer to, is one that operators can publish: within bundle.MaxBytes and without
// findings.
func TestFullBundleFits(t *testing.T) {
	keys, signed := signedBundle(t, accountsFull)
	assert.Assert(t, len(signed) <= bundle.MaxBytes, "%d bytes", len(signed))
	v, err := bundle.Verify(keys, signed)
	assert.NilError(t, err)
	assert.Equal(t, len(v.Bundle.Accounts), accountsFull)
	assert.Equal(t, len(v.Bundle.Pipelines), pipelinesFull)
}

// TestWatchersOfFullFleet checks that each failure domain has two watchers,
// independent of the size of the fleet.
func TestWatchersOfFullFleet(t *testing.T) {
	vms := vmList(endpointsFull, entriesFull)
	watchers := 0
	for i := range domainsFull {
		watchers += len(member.Watchers(vms, domainName(i)))
	}
	assert.Equal(t, watchers, 2*domainsFull)
}
