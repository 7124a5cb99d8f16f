package examples_test

import (
	"crypto/sha256"
	"encoding/hex"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/bundle"
	"github.com/mangostage/mangostage/examples"
)

// poolEndpoints is the number of endpoints of each pool by deployment; the last
// three pools of each are the same in both.
var poolEndpoints = map[string]map[string]int{
	examples.Brunnhofer: {
		"fitting-engines": 12, "catalogue": 3, "workshop-orders": 3, "billing": 5, "appointments": 5,
		"encoders": 3, "retrievers": 3, "rerankers": 3,
	},
	examples.Stroomwacht: {
		"language-engines": 12, "report-intake": 3, "outage-map": 4, "text-notifications": 5, "ticket-sync": 5,
		"encoders": 3, "retrievers": 3, "rerankers": 3,
	},
}

func TestExamplesPassTheCheck(t *testing.T) {
	for _, name := range examples.Names() {
		data, err := examples.Bundle(name)
		assert.NilError(t, err)
		b, err := bundle.Check(name+".yaml", data)
		assert.NilError(t, err)
		pools := make(map[string]int)
		for _, p := range b.Pools {
			pools[p.Name] = p.Endpoints
		}
		assert.DeepEqual(t, pools, poolEndpoints[name])
		assert.Equal(t, len(b.Pipelines), 7)
		assert.Equal(t, len(b.Accounts), 5)
		for _, a := range b.Accounts {
			sum := sha256.Sum256([]byte(examples.CredentialPrefix + a.Name))
			assert.DeepEqual(t, a.CredentialSHA256, []string{hex.EncodeToString(sum[:])})
		}
		domains, err := examples.Domains(name)
		assert.NilError(t, err)
		assert.Equal(t, len(domains), 3)
	}
}

func TestUnknownDeployment(t *testing.T) {
	_, err := examples.Bundle("../bundle/schema")
	assert.ErrorContains(t, err, "no example deployment")
	_, err = examples.Domains("elsewhere")
	assert.ErrorContains(t, err, "no example deployment")
}
