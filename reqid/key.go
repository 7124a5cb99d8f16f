package reqid

import (
	"time"

	"github.com/google/uuid"
)

const (
	// maxKeyLen is the longest idempotency key in bytes.
	maxKeyLen = 255
	// uuidLen is the length of the hyphenated form, the only form that is
	// parsed as a UUID.
	uuidLen     = 36
	uuidVersion = 7
)

// ValidKey reports whether key may be used as an idempotency key: 1 to 255
// printable ASCII characters.
func ValidKey(key string) bool {
	if len(key) == 0 || len(key) > maxKeyLen {
		return false
	}
	for i := range len(key) {
		if key[i] < ' ' || key[i] > '~' {
			return false
		}
	}
	return true
}

// KeyTime returns the time contained in a hyphenated UUID version 7, with
// millisecond precision, and the zero time for any other key.
func KeyTime(key string) time.Time {
	if len(key) != uuidLen {
		return time.Time{}
	}
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != uuidVersion || id.Variant() != uuid.RFC4122 {
		return time.Time{}
	}
	// The first 48 bits count milliseconds since the Unix epoch, RFC 9562.
	var ms int64
	for _, b := range id[:6] {
		ms = ms<<8 | int64(b)
	}
	return time.UnixMilli(ms)
}
