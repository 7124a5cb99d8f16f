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

// vmList is the platform's list of a fleet.
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

// BenchmarkList decodes the platform's list and chooses the watchers from it, by
// the number of endpoints.
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

// The bundle of the full size is the one that the figures are of; it must be a
// bundle that operators could publish.
func TestFullBundleFits(t *testing.T) {
	keys, signed := signedBundle(t, accountsFull)
	assert.Assert(t, len(signed) <= bundle.MaxBytes, "%d bytes", len(signed))
	v, err := bundle.Verify(keys, signed)
	assert.NilError(t, err)
	assert.Equal(t, len(v.Bundle.Accounts), accountsFull)
	assert.Equal(t, len(v.Bundle.Pipelines), pipelinesFull)
}

// Two watchers stand for each failure domain, however large the fleet.
func TestWatchersOfFullFleet(t *testing.T) {
	vms := vmList(endpointsFull, entriesFull)
	watchers := 0
	for i := range domainsFull {
		watchers += len(member.Watchers(vms, domainName(i)))
	}
	assert.Equal(t, watchers, 2*domainsFull)
}
