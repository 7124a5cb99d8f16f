package part

import (
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/mangostage/mangostage/catalog"
)

// maxParts bounds the parts of one prompt that are looked at.
const maxParts = 32

// ID identifies a part of prompts. Parts that are written in different ways, in another case or
// with leading zeros, have the same ID.
type ID uint64

// String returns the ID in hexadecimal, as clients write it.
func (id ID) String() string { return strconv.FormatUint(uint64(id), 16) }

// IDOf returns the ID of a part as a client wrote it.
func IDOf(text string) ID {
	if n, err := strconv.ParseUint(text, 16, 64); err == nil {
		return ID(n)
	}
	// An ID that does not fit is replaced by its hash.
	return ID(xxhash.Sum64String(strings.TrimLeft(strings.ToLower(text), "0")))
}

// Shared returns the parts of a prompt that other requests may have, each once. The last part
// is the request's own.
func Shared(prompt []catalog.PrefixPart) []ID {
	if len(prompt) < 2 {
		return nil
	}
	shared := prompt[:min(len(prompt)-1, maxParts)]
	ids := make([]ID, 0, len(shared))
	for _, p := range shared {
		if id := IDOf(p.ID); !slices.Contains(ids, id) {
			ids = append(ids, id)
		}
	}
	return ids
}

// Texts returns the IDs as logs show them.
func Texts(ids []ID) []string {
	texts := make([]string, len(ids))
	for i, id := range ids {
		texts[i] = id.String()
	}
	return texts
}
