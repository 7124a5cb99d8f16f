package bundle

import (
	"bytes"
	"crypto/ed25519"
	"encoding/json"
	"strings"
	"testing"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"
)

func TestSignAndVerifySample(t *testing.T) {
	pub, priv := testKey(1)
	next, _ := testKey(2)
	signed, err := Sign(priv, []byte(sample))
	assert.NilError(t, err)
	// Both the old and the new key are accepted during a key rotation.
	v, err := Verify([]ed25519.PublicKey{next, pub}, signed)
	assert.NilError(t, err)
	assert.Equal(t, v.Head.Version, uint64(3))
	assert.Equal(t, len(v.Head.Hash), 64)
	assert.DeepEqual(t, v.Signed, signed)
	assert.Equal(t, v.Bundle.Pool("orders").Endpoints, 2)

	_, err = Verify([]ed25519.PublicKey{next}, signed)
	assert.Assert(t, errorx.IsOfType(err, ErrUnknownKey), "%v", err)
}

// An operator's upload is interrupted, and processes read the value while it is
// half written. Whatever the length, Verify must report that the value is
// truncated, and must neither panic nor accept it.
func TestVerifyHalfWritten(t *testing.T) {
	pub, priv := testKey(1)
	signed, err := Sign(priv, []byte(sample))
	assert.NilError(t, err)
	for n := range signed {
		_, err := Verify([]ed25519.PublicKey{pub}, signed[:n])
		assert.Assert(t, errorx.IsOfType(err, ErrTruncated), "%d bytes: %v", n, err)
	}
}

func TestVerifyRefuses(t *testing.T) {
	pub, priv := testKey(1)
	signed, err := Sign(priv, []byte(sample))
	assert.NilError(t, err)
	reopen := func(change func(*envelope)) []byte {
		e, err := parseEnvelope(signed)
		assert.NilError(t, err)
		change(e)
		data, err := json.Marshal(e)
		assert.NilError(t, err)
		return data
	}
	unchecked, err := Sign(priv, []byte("version: 0\n"))
	assert.NilError(t, err)
	for name, c := range map[string]struct {
		signed []byte
		want   *errorx.Type
	}{
		"other content":       {reopen(func(e *envelope) { e.Payload[9] = '4' }), ErrSignature},
		"short signature":     {reopen(func(e *envelope) { e.Signature = e.Signature[:63] }), ErrSignature},
		"other domain":        {reopen(func(e *envelope) { e.Signature = ed25519.Sign(priv, e.Payload) }), ErrSignature},
		"other format":        {reopen(func(e *envelope) { e.Format = 2 }), ErrFormat},
		"other key":           {reopen(func(e *envelope) { e.KeyID = "" }), ErrUnknownKey},
		"trailing bytes":      {append(bytes.Clone(signed), '{'), ErrMalformed},
		"unknown field":       {[]byte(`{"format":1,"extra":2}`), ErrMalformed},
		"no JSON":             {[]byte(sample), ErrMalformed},
		"fails its check":     {unchecked, ErrContent},
		"one byte over limit": {append(bytes.Clone(signed), bytes.Repeat([]byte(" "), MaxBytes+1-len(signed))...), ErrOversized},
	} {
		_, err := Verify([]ed25519.PublicKey{pub}, c.signed)
		assert.Assert(t, errorx.IsOfType(err, c.want), "%s: %v", name, err)
	}
	_, err = Sign(priv, []byte(strings.Repeat("#", MaxBytes)))
	assert.Assert(t, errorx.IsOfType(err, ErrOversized), "%v", err)
	_, err = Sign(nil, []byte(sample))
	assert.Assert(t, errorx.IsOfType(err, ErrKey), "%v", err)
}

func TestKeysAsPEM(t *testing.T) {
	pub, priv, err := GenerateKey()
	assert.NilError(t, err)
	privatePEM, err := MarshalPrivateKey(priv)
	assert.NilError(t, err)
	publicPEM, err := MarshalPublicKey(pub)
	assert.NilError(t, err)
	_, err = LoadPrivateKey(privatePEM)
	assert.NilError(t, err)
	keys, err := LoadPublicKeys(append(publicPEM, publicPEM...))
	assert.NilError(t, err)
	assert.Equal(t, len(keys), 2)
	for _, bad := range [][]byte{nil, []byte("x"), privatePEM} {
		_, err = LoadPublicKeys(bad)
		assert.Assert(t, errorx.IsOfType(err, ErrKey), "%v", err)
	}
	_, err = LoadPrivateKey(publicPEM)
	assert.Assert(t, errorx.IsOfType(err, ErrKey), "%v", err)
}
