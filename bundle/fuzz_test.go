package bundle

import (
	"crypto/ed25519"
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/finding"
)

// FuzzDecode fuzzes Decode, Check and Verify. Any input must give a bundle or
// findings with a place, and what passes Check can be signed and verified.
func FuzzDecode(f *testing.F) {
	pub, priv := testKey(1)
	keys := []ed25519.PublicKey{pub}
	f.Add([]byte(sample))
	f.Add([]byte("version: 1\npools: [{name: a, slots: [x]}, 3]\npolicy: {affinity: .inf}\n"))
	f.Add([]byte("a: &b [*b]\n? !!x {}\n--- |\n text\n..."))
	signed, err := Sign(priv, []byte(sample))
	assert.NilError(f, err)
	f.Add(signed)
	f.Fuzz(func(t *testing.T, data []byte) {
		b, err := Check("f", data)
		if err != nil {
			var findings finding.List
			assert.Assert(t, errors.As(err, &findings))
			for _, found := range findings {
				assert.Assert(t, found.Place.Line >= 1 && found.Place.Column >= 1, "%v", found)
			}
		} else {
			signed, err := Sign(priv, data)
			assert.NilError(t, err)
			v, err := Verify(keys, signed)
			assert.NilError(t, err)
			assert.DeepEqual(t, v.Bundle, b)
		}
		if _, err := Verify(keys, data); err == nil {
			e, err := parseEnvelope(data)
			assert.NilError(t, err)
			assert.NilError(t, e.verify(keys))
		}
	})
}
