package discovery

import (
	"bytes"
	"compress/gzip"
	"errors"
	"io"
	"strconv"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/mangostage/mangostage/platform"
	"github.com/mangostage/mangostage/position"
)

const (
	// maxInlineValue is the size in bytes up to which a value is sent with its item.
	// Larger ones are read in parts. Entries of endpoints have some hundred bytes.
	maxInlineValue = 16 << 10
	// partBytes is the size of a part. Over 10 Mbit/s a part takes 20 ms, so that it does
	// not delay the heartbeats on the same connection.
	partBytes = 16 << 10
	// maxPackedValues is the number of packed values that a process keeps. One is in use,
	// the configuration; others are large items of foreign writers.
	maxPackedValues = 4
)

// largeValue identifies a value that is read in parts.
type largeValue struct {
	Key      string `json:"key"`
	Era      uint64 `json:"era,omitempty"`
	Revision uint64 `json:"revision"`
	// Size is the length of the packed value in bytes, Digest the hash of its bytes.
	Size   int    `json:"size"`
	Digest string `json:"digest"`
}

// position returns the position of the item.
func (v largeValue) position() position.Position {
	return position.Position{Era: v.Era, Revision: v.Revision}
}

// before returns the position before that of the item.
func (v largeValue) before() position.Position {
	return position.Position{Era: v.Era, Revision: v.Revision - 1}
}

// packed is an item's value, compressed.
type packed struct {
	largeValue
	data []byte
}

// pack compresses an item's value. A configuration shrinks to about a tenth, so that a
// member behind a weak link has it in time.
func pack(item platform.Item) (packed, error) {
	var data bytes.Buffer
	w, err := gzip.NewWriterLevel(&data, gzip.BestSpeed)
	if err != nil {
		return packed{}, err
	}
	if _, err := w.Write(item.Value); err != nil {
		return packed{}, err
	}
	if err := w.Close(); err != nil {
		return packed{}, err
	}
	return packed{
		largeValue: largeValue{Key: item.Key, Era: item.Era, Revision: item.Revision, Size: data.Len(), Digest: digest(data.Bytes())},
		data:       data.Bytes(),
	}, nil
}

// digest returns the hash of a packed value in hexadecimal.
func digest(data []byte) string { return strconv.FormatUint(xxhash.Sum64(data), 16) }

// unpack decompresses a value. One that is longer than an answer of the store can be is an
// error.
func unpack(data []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, ErrDamaged.Wrap(err, "value")
	}
	value, err := io.ReadAll(io.LimitReader(r, platform.MaxReplyBytes+1))
	switch {
	case err != nil:
		return nil, ErrDamaged.Wrap(err, "value")
	case len(value) > platform.MaxReplyBytes:
		return nil, ErrDamaged.New("the value is longer than %d bytes", platform.MaxReplyBytes)
	}
	return value, nil
}

// part returns at most partBytes of the packed value from offset on, and nil at its end.
func (p packed) part(offset int) []byte {
	if offset < 0 || offset >= len(p.data) {
		return nil
	}
	return p.data[offset:min(offset+partBytes, len(p.data))]
}

// packer caches the packed values that peers ask for, so that a value that goes to a
// hundred members is compressed once.
type packer struct {
	mu sync.Mutex
	// values holds the packed values by key.
	values map[string]packed
}

func newPacker() *packer { return &packer{values: make(map[string]packed)} }

// pack returns the item's value packed, from the cache if it has that position. If the
// cache is full, arbitrary values are dropped from it.
func (p *packer) pack(item platform.Item) (packed, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if cached, ok := p.values[item.Key]; ok && cached.position() == item.Position() {
		return cached, nil
	}
	value, err := pack(item)
	if err != nil {
		return packed{}, err
	}
	for key := range p.values {
		if len(p.values) < maxPackedValues {
			break
		}
		delete(p.values, key)
	}
	p.values[item.Key] = value
	return value, nil
}

// assembly collects the parts of a packed value. It is kept across failed calls and lost
// peers, so that a part that has arrived is not requested again.
type assembly struct {
	want largeValue
	data []byte
}

// isFor reports whether the assembly collects the parts of the value v; it is false for nil.
func (a *assembly) isFor(v largeValue) bool { return a != nil && a.want == v }

// add appends the part at an offset and reports whether it was the next one.
func (a *assembly) add(offset int, part []byte) bool {
	if offset != len(a.data) || len(part) == 0 || len(a.data)+len(part) > a.want.Size {
		return false
	}
	a.data = append(a.data, part...)
	return true
}

// complete reports whether all parts have arrived.
func (a *assembly) complete() bool { return len(a.data) == a.want.Size }

// value verifies the digest of a complete assembly and returns the unpacked value.
func (a *assembly) value() ([]byte, error) {
	if !a.complete() {
		return nil, errors.New("parts of the value are missing")
	}
	if got := digest(a.data); got != a.want.Digest {
		return nil, ErrDamaged.New("digest %s, want %s", got, a.want.Digest)
	}
	return unpack(a.data)
}
