package bundle

import (
	"crypto/ed25519"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
)

// sample is a small valid bundle.
const sample = `version: 3
accounts:
  - name: shops
    credential_sha256: [aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa]
    limit: {requests_per_second: 5, burst: 10, in_flight: 10}
    pipelines: [notes]
operators:
  - name: ops
    credential_sha256: [bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb]
pools:
  - name: engines
    protocol: engine
    endpoints: 2
    models: [m1]
  - name: orders
    endpoints: 2
    slots: [orders-1, orders-2]
pipelines:
  - name: notes
    deadline: 1s
    stages:
      - {name: generate, pool: engines, model: m1, typical: 150ms}
      - {name: order, pool: orders, unrepeatable: true}
`

// sampleWith returns the sample with the first occurrence of old replaced by new.
func sampleWith(t testing.TB, old, new string) string {
	t.Helper()
	assert.Assert(t, cmp.Contains(sample, old))
	return strings.Replace(sample, old, new, 1)
}

// testKey derives a key from a number, so that failures can be reproduced.
func testKey(n byte) (ed25519.PublicKey, ed25519.PrivateKey) {
	seed := make([]byte, ed25519.SeedSize)
	seed[0] = n
	priv := ed25519.NewKeyFromSeed(seed)
	return priv.Public().(ed25519.PublicKey), priv
}

// signedSample signs the sample with the given version, and with content as its
// description so that contents of one version differ.
func signedSample(t testing.TB, priv ed25519.PrivateKey, version uint64, content string) []byte {
	t.Helper()
	yaml := sampleWith(t, "version: 3", fmt.Sprintf("version: %d\ndescription: %s", version, content))
	signed, err := Sign(priv, []byte(yaml))
	assert.NilError(t, err)
	return signed
}
