// Package reqid issues and verifies request IDs: signed tokens that contain who
// issued them, when, for which client account and pipeline, and which runs of
// agents may execute the unrepeatable stages.
//
// Any process that has the fleet's key can verify an ID, so request IDs need no
// shared state, and a client can neither change a binding nor forge an ID.
package reqid

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"strings"
	"time"

	"github.com/joomcode/errorx"

	"github.com/mangostage/mangostage/wire"
)

const (
	// MaxLen is the length of the longest token in bytes.
	MaxLen = 1 << 10
	// MinKeyLen is the length of the shortest key in bytes.
	MinKeyLen = 16

	prefix    = "mr1."
	separator = "."
	macLen    = 16
	randomLen = 10
)

var (
	errs = errorx.NewNamespace("reqid")
	// ErrMalformed means that the text is not a token of this format.
	ErrMalformed = errs.NewType("malformed")
	// ErrBadMAC means that no key of the fleet signed the token.
	ErrBadMAC = errs.NewType("bad_mac")
	// ErrTooLong means that the text is longer than MaxLen.
	ErrTooLong = errs.NewType("too_long")
	// ErrShortKey means that a key is shorter than MinKeyLen.
	ErrShortKey = errs.NewType("short_key")
)

// encoding rejects non-zero trailing bits, so that each token has only one
// encoding.
var encoding = base64.RawURLEncoding.Strict()

// Key is a secret shared by all processes of the fleet.
type Key []byte

// NewKey returns secret as a key, or ErrShortKey.
func NewKey(secret []byte) (Key, error) {
	if len(secret) < MinKeyLen {
		return nil, ErrShortKey.New("a key must have at least %d bytes, this one has %d", MinKeyLen, len(secret))
	}
	return Key(secret), nil
}

// Random distinguishes IDs issued in the same millisecond.
type Random [randomLen]byte

// NewRandom returns bytes from the system's random source.
func NewRandom() Random {
	var r Random
	// rand.Read never fails and never returns less than asked.
	_, _ = rand.Read(r[:])
	return r
}

// Fields are the contents of a token. Times have millisecond precision.
type Fields struct {
	// Entry is the name of the issuing entry.
	Entry    string
	Issued   time.Time
	Random   Random
	Account  string
	Pipeline string
	// Bindings maps each unrepeatable stage to the only run of an agent that
	// may execute it.
	Bindings map[string]wire.Binding
	// Expiry is when a held ID is no longer accepted.
	Expiry time.Time
	// Kind is wire.IdentityMinted or wire.IdentityHeld.
	Kind wire.IdentityKind
}

// Mint returns a token with the contents of f, signed with key. It returns the
// empty string if the token would be longer than MaxLen or if f.Kind is not
// valid in a token.
func Mint(key Key, f Fields) string {
	payload, err := encode(f)
	if err != nil {
		return ""
	}
	token := sign(key, payload)
	if len(token) > MaxLen {
		return ""
	}
	return token
}

// Parse verifies token against keys and returns its contents. The first key is
// the current one; the others are still accepted during a key rotation. The
// error is of type ErrTooLong, ErrMalformed or ErrBadMAC.
func Parse(keys []Key, token string) (Fields, error) {
	if len(token) > MaxLen {
		return Fields{}, ErrTooLong.New("the request ID is longer than %d bytes", MaxLen)
	}
	signed, mac, err := split(token)
	if err != nil {
		return Fields{}, err
	}
	if !verify(keys, signed, mac) {
		return Fields{}, ErrBadMAC.New("the request ID is not signed with a key of this fleet")
	}
	payload, err := encoding.DecodeString(signed[len(prefix):])
	if err != nil {
		return Fields{}, ErrMalformed.New("the payload is not valid base64url")
	}
	return decode(payload)
}

func sign(key Key, payload []byte) string {
	signed := prefix + encoding.EncodeToString(payload)
	return signed + separator + encoding.EncodeToString(sum(key, signed))
}

// split separates a token into the signed text and the MAC.
func split(token string) (signed string, mac []byte, err error) {
	at := strings.LastIndex(token, separator)
	if !strings.HasPrefix(token, prefix) || at < len(prefix) {
		return "", nil, ErrMalformed.New("the request ID does not have the form %spayload.mac", prefix)
	}
	text := token[at+len(separator):]
	mac, err = encoding.DecodeString(text)
	// The decoder skips line breaks. The length check rejects them, so that each
	// ID has only one spelling.
	if err != nil || len(mac) != macLen || len(text) != encoding.EncodedLen(macLen) {
		return "", nil, ErrMalformed.New("the MAC is not base64url of %d bytes", macLen)
	}
	return token[:at], mac, nil
}

// verify reports whether any key signed the text. It tries all keys and
// compares in constant time, so that timing reveals nothing about the correct
// MAC.
func verify(keys []Key, signed string, mac []byte) bool {
	valid := false
	for _, key := range keys {
		if len(key) >= MinKeyLen && hmac.Equal(sum(key, signed), mac) {
			valid = true
		}
	}
	return valid
}

// sum returns the MAC of the encoded text. It covers the prefix, so that a
// token of one format version is not accepted as another's.
func sum(key Key, signed string) []byte {
	h := hmac.New(sha256.New, key)
	h.Write([]byte(signed))
	return h.Sum(nil)[:macLen]
}
