// Package reqid makes and reads request IDs: signed tokens that carry who
// issued them, when, for which client account and pipeline, and which agent
// runs alone may execute the unrepeatable stages.
//
// Any process that holds the fleet's key can read an ID, so no state is shared
// for it, and a caller can neither alter a binding nor invent one.
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
	// MaxLen is the longest token in bytes.
	MaxLen = 1 << 10
	// MinKeyLen is the shortest key in bytes.
	MinKeyLen = 16

	prefix    = "mr1."
	separator = "."
	macLen    = 16
	randomLen = 10
)

var (
	errs = errorx.NewNamespace("reqid")
	// ErrMalformed means that the text is no token of this format.
	ErrMalformed = errs.NewType("malformed")
	// ErrBadMAC means that no key of the fleet signed the token.
	ErrBadMAC = errs.NewType("bad_mac")
	// ErrTooLong means that the text is over MaxLen.
	ErrTooLong = errs.NewType("too_long")
	// ErrShortKey means that a key is under MinKeyLen.
	ErrShortKey = errs.NewType("short_key")
)

// encoding refuses trailing bits, so that each token has one spelling.
var encoding = base64.RawURLEncoding.Strict()

// Key is a secret that all processes of the fleet share.
type Key []byte

// NewKey returns secret as a key, or ErrShortKey.
func NewKey(secret []byte) (Key, error) {
	if len(secret) < MinKeyLen {
		return nil, ErrShortKey.New("a key needs %d bytes, this one has %d", MinKeyLen, len(secret))
	}
	return Key(secret), nil
}

// Random makes IDs of the same millisecond differ.
type Random [randomLen]byte

// NewRandom draws from the system's source.
func NewRandom() Random {
	var r Random
	// rand.Read never fails and never returns less than asked.
	_, _ = rand.Read(r[:])
	return r
}

// Fields is what a token says. Times are kept to the millisecond.
type Fields struct {
	// Entry is the name of the issuing entry.
	Entry    string
	Issued   time.Time
	Random   Random
	Account  string
	Pipeline string
	// Bindings names, by stage, the agent run that alone may execute it.
	Bindings map[string]wire.Binding
	// Expiry is when a held ID is no longer accepted.
	Expiry time.Time
	// Kind is wire.IdentityMinted or wire.IdentityHeld.
	Kind wire.IdentityKind
}

// Mint signs f with key. It returns the empty string when the token would be
// over MaxLen or f is of no kind that a token can carry.
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

// Parse verifies token against each of keys, of which the first is the one in
// use and the rest are still accepted during a change. Its error is of type
// ErrTooLong, ErrMalformed or ErrBadMAC.
func Parse(keys []Key, token string) (Fields, error) {
	if len(token) > MaxLen {
		return Fields{}, ErrTooLong.New("a request ID has at most %d bytes", MaxLen)
	}
	signed, mac, err := split(token)
	if err != nil {
		return Fields{}, err
	}
	if !verify(keys, signed, mac) {
		return Fields{}, ErrBadMAC.New("the request ID was not issued here")
	}
	payload, err := encoding.DecodeString(signed[len(prefix):])
	if err != nil {
		return Fields{}, ErrMalformed.New("the payload is no base64url")
	}
	return decode(payload)
}

func sign(key Key, payload []byte) string {
	signed := prefix + encoding.EncodeToString(payload)
	return signed + separator + encoding.EncodeToString(sum(key, signed))
}

func split(token string) (signed string, mac []byte, err error) {
	at := strings.LastIndex(token, separator)
	if !strings.HasPrefix(token, prefix) || at < len(prefix) {
		return "", nil, ErrMalformed.New("not of the form %spayload.mac", prefix)
	}
	text := token[at+len(separator):]
	mac, err = encoding.DecodeString(text)
	// The decoder skips line breaks; the length shows that there were none, so
	// that one ID can't be spelt in several ways.
	if err != nil || len(mac) != macLen || len(text) != encoding.EncodedLen(macLen) {
		return "", nil, ErrMalformed.New("the MAC is no base64url of %d bytes", macLen)
	}
	return token[:at], mac, nil
}

// verify tries every key and compares in constant time, so that timing tells
// nothing about the right MAC.
func verify(keys []Key, signed string, mac []byte) bool {
	valid := false
	for _, key := range keys {
		if len(key) >= MinKeyLen && hmac.Equal(sum(key, signed), mac) {
			valid = true
		}
	}
	return valid
}

// sum covers the encoded text with its prefix, so that a token of one format
// version is never read as another's.
func sum(key Key, signed string) []byte {
	h := hmac.New(sha256.New, key)
	h.Write([]byte(signed))
	return h.Sum(nil)[:macLen]
}
