package reqid

import (
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mangostage/mangostage/wire"
)

var (
	newKey = Key("0123456789abcdef")
	oldKey = Key("fedcba9876543210-longer")
	issued = time.UnixMilli(1_764_700_000_123)
)

func sample() Fields {
	return Fields{
		Entry: "entry-1", Issued: issued, Random: Random{1, 2, 3}, Account: "optic", Pipeline: "order",
		Bindings: map[string]wire.Binding{"order": {Agent: "workshop-1", Incarnation: "a1"}},
		Expiry:   issued.Add(time.Minute), Kind: wire.IdentityHeld,
	}
}

func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := sample()
		f.Entry = rapid.StringN(0, 20, 40).Draw(t, "entry")
		f.Account = rapid.StringN(0, 20, 40).Draw(t, "account")
		f.Issued = time.UnixMilli(rapid.Int64Range(0, 1<<45).Draw(t, "issued"))
		f.Kind = rapid.SampledFrom([]wire.IdentityKind{wire.IdentityMinted, wire.IdentityHeld}).Draw(t, "kind")
		f.Random = NewRandom()
		got, err := Parse([]Key{newKey}, Mint(newKey, f))
		assert.NilError(t, err)
		assert.DeepEqual(t, got, f)
	})
}

func TestKeyChange(t *testing.T) {
	_, err := Parse([]Key{newKey, oldKey}, Mint(oldKey, sample()))
	assert.NilError(t, err)
	_, err = Parse([]Key{newKey}, Mint(oldKey, sample()))
	assert.Assert(t, errorx.IsOfType(err, ErrBadMAC))
}

// A client edits a held ID to move its binding to another agent or to use it
// under another client account. A change of any character must be rejected.
func TestAlteredToken(t *testing.T) {
	token := Mint(newKey, sample())
	for i := range len(token) {
		for _, c := range []byte("A_-.z\n") {
			if token[i] == c {
				continue
			}
			altered := token[:i] + string(c) + token[i+1:]
			_, err := Parse([]Key{newKey}, altered)
			assert.Assert(t, err != nil, altered)
		}
		_, err := Parse([]Key{newKey}, token[:i]+"\n"+token[i:])
		assert.Assert(t, err != nil, "a line break at %d", i)
	}
}

func TestParseErrors(t *testing.T) {
	weak := Key("short")
	unsigned := "mr1." + strings.Repeat("A", 40) + "." + strings.Repeat("A", 22)
	for _, tc := range []struct {
		name, token string
		keys        []Key
		want        *errorx.Type
	}{
		{"empty", "", []Key{newKey}, ErrMalformed},
		{"prefix only", "mr1.", []Key{newKey}, ErrMalformed},
		{"other version", "mr2.AA.AAAAAAAAAAAAAAAAAAAAAA", []Key{newKey}, ErrMalformed},
		{"short MAC", "mr1.AA.AA", []Key{newKey}, ErrMalformed},
		{"unsigned", unsigned, []Key{newKey}, ErrBadMAC},
		{"no key", Mint(newKey, sample()), nil, ErrBadMAC},
		{"short key", Mint(weak, sample()), []Key{weak}, ErrBadMAC},
		{"too long", "mr1." + strings.Repeat("A", MaxLen), []Key{newKey}, ErrTooLong},
		{"empty payload", sign(newKey, nil), []Key{newKey}, ErrMalformed},
		{"unknown kind", sign(newKey, []byte{0xa1, 0x08, 0x07}), []Key{newKey}, ErrMalformed},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, err := Parse(tc.keys, tc.token)
			assert.Assert(t, errorx.IsOfType(err, tc.want), "%v", err)
		})
	}
}

func TestMintRefuses(t *testing.T) {
	long := sample()
	long.Account = strings.Repeat("a", MaxLen)
	assert.Equal(t, Mint(newKey, long), "")
	keyed := sample()
	keyed.Kind = wire.IdentityKey
	assert.Equal(t, Mint(newKey, keyed), "")
	_, err := NewKey([]byte("short"))
	assert.Assert(t, errorx.IsOfType(err, ErrShortKey))
}

func TestKeyTime(t *testing.T) {
	before := time.Now().Truncate(time.Millisecond)
	v7, err := uuid.NewV7()
	assert.NilError(t, err)
	got := KeyTime(v7.String())
	assert.Assert(t, !got.Before(before) && !got.After(time.Now().Add(time.Millisecond)), "%v", got)
	assert.Assert(t, KeyTime(uuid.NewString()).IsZero())
	assert.Assert(t, KeyTime("urn:uuid:"+v7.String()).IsZero())
	assert.Assert(t, KeyTime("order 17").IsZero())
}

func TestValidKey(t *testing.T) {
	for key, want := range map[string]bool{
		"": false, "order 17": true, "order\n": false, "bestellung-ü": false,
		strings.Repeat("k", 255): true, strings.Repeat("k", 256): false,
	} {
		assert.Equal(t, ValidKey(key), want, "%q", key)
	}
}

// FuzzParse uses data both as a token and as a payload with a correct MAC, so
// that the decoder behind the MAC check is reached too.
func FuzzParse(f *testing.F) {
	good, err := encode(sample())
	assert.NilError(f, err)
	f.Add(good)
	f.Add([]byte(Mint(newKey, sample())))
	f.Fuzz(func(t *testing.T, data []byte) {
		keys := []Key{newKey}
		if got, err := Parse(keys, string(data)); err == nil {
			assert.Equal(t, Mint(newKey, got), string(data))
		}
		token := sign(newKey, data)
		got, err := Parse(keys, token)
		if err != nil || len(token) > MaxLen {
			return
		}
		again, err := Parse(keys, Mint(newKey, got))
		assert.NilError(t, err)
		assert.DeepEqual(t, again, got)
	})
}
