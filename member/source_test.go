package member

import (
	"crypto/ed25519"
	"testing"

	"github.com/cenkalti/backoff/v5"
	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/bundle"
	"github.com/mangostage/mangostage/confsvc"
	"github.com/mangostage/mangostage/wire"
)

// Guards against a watcher that reads an incompletely written version and then
// watches for a higher revision. The rest is written under the same revision, so
// the version would be in force only after the watch has timed out.
func TestHalfWrittenValueIsReadAgain(t *testing.T) {
	f := newFleet(t)
	holder := bundle.NewHolder([]ed25519.PublicKey{f.pub})
	src := &bundleSource{
		s:            New(Config{Self: wire.Process{Name: "entry-1", Role: wire.RoleEntry}, Holder: holder}),
		retryBackoff: backoff.NewExponentialBackOff(),
	}
	src.s.collectionDone.Store(true)
	read := func(revision uint64, data []byte) {
		src.handleResult(confsvc.Value{Name: confsvc.ValueBundle, Revision: revision, Data: data}, nil)
	}
	read(1, f.signed(1, "first"))
	assert.Equal(t, holder.Head().Version, uint64(1))
	whole := f.signed(2, "second")
	for range 2 {
		read(2, whole[:len(whole)/2])
		assert.Equal(t, src.revision, uint64(1), "the revision of a partial value must not be recorded")
	}
	read(2, whole)
	assert.Equal(t, src.revision, uint64(2))
	assert.Equal(t, holder.Head().Version, uint64(2))
}
