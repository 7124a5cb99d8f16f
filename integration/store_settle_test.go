package integration

import (
	"bytes"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/platform"
)

// settleLimit is the time after a return of the store in which the gateways have read again
// what it lists.
const settleLimit = 7 * time.Second

// settled is a condition for within: the gateway has logged that what the store lists counts,
// and whether it was wrong before.
func (r *restoreRig) settled(corrected string) func(gateway int) bool {
	return func(i int) bool {
		return r.members[i].LogHas(`"event":"store_settled"`, `"corrected":`+corrected)
	}
}

// Guards against a new evacuation that is taken for one of the copy, since one of the same
// revision was seen before, and gets no attention until the operator writes once more.
func TestMisjudgedEvacuationCounts(t *testing.T) {
	t.Parallel()
	r := newRestoreRig(t)
	r.store.Save()
	r.store.Put(platform.PrefixEvacuations+"z1", nil)
	waitUntil(time.Now(), applyLimit)
	r.store.Remove(platform.PrefixEvacuations + "z1")
	waitUntil(time.Now(), applyLimit)
	for _, link := range r.links {
		link.Cut()
	}
	r.store.Restore()
	r.store.Put(platform.PrefixEvacuations+"z1", nil)
	for _, link := range r.links {
		link.Heal()
	}
	r.within(time.Now(), settleLimit, "the judgement is corrected", r.settled("true"))
	assert.Equal(t, r.gets("p-1", 500*time.Millisecond), 0, "an evacuated domain gets requests")
	for i, m := range r.members {
		assert.Assert(t, m.LogHas(`"event":"domain_evacuated"`, `"domain":"z1"`, `"era":2`), "gateway %d", i+1)
	}
}

// Guards against a return that costs more than the lists of two readers, once at the return
// and once when the writers have had their time, and a comparison by each other member.
func TestSettlementCostsOneList(t *testing.T) {
	t.Parallel()
	r := newRestoreRig(t)
	r.store.Save()
	waitUntil(time.Now(), time.Second)
	lists := r.countLists()
	r.store.Restore()
	r.within(time.Now(), settleLimit, "what the store lists counts", r.settled("false"))
	assert.Assert(t, lists.Load() <= 4, "%d lists by two readers", lists.Load())
	compared := 0
	for _, m := range r.members {
		if m.LogHas(`"event":"store_settled"`, `"way":"compared"`) {
			compared++
		}
		assert.Assert(t, !bytes.Contains(m.Log(), []byte(`"way":"items"`)))
	}
	assert.Assert(t, compared >= 1, "no gateway compares")
}
