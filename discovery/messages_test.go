package discovery

import (
	"encoding/json"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/platform"
	"github.com/mangostage/mangostage/position"
)

// messageState returns the state of a reader that lists endpoints in an era and has then
// seen writes, the last of them the only one that a follower lacks.
func messageState(era uint64, endpoints, writes int) (s *State, follower position.Position) {
	s = NewState()
	items := []platform.Item{configAt(at(era, 1))}
	for n := range endpoints {
		items = append(items, messageItem(at(era, uint64(n+2)), n))
	}
	last := at(era, uint64(endpoints+1))
	s.ApplyList(epoch, items, last)
	for n := range writes {
		follower = s.At()
		last.Revision++
		s.applyAll(epoch, []platform.Item{messageItem(last, n%endpoints)}, last)
	}
	if era > position.FirstEra {
		now := epoch.Add(settlePeriod)
		s.ApplyStoreList(now, now, s.Since(position.Position{}), last)
	}
	return s, follower
}

func messageItem(p position.Position, n int) platform.Item {
	e := modelEndpoint{domain: "z0", state: "ready"}
	return platform.Item{Key: fmt.Sprintf("%s%06d", platform.PrefixEndpoints, n), Era: p.Era, Revision: p.Revision, Value: e.value()}
}

// replyBytes returns the size of the answer to a follower at a position, of its first page
// if it has several.
func replyBytes(b *testing.B, s *State, after position.Position) float64 {
	reply, err := changesAnswer(s.Changes(epoch, after), newPacker())
	assert.NilError(b, err)
	text, err := json.Marshal(reply)
	assert.NilError(b, err)
	return float64(len(text))
}

// BenchmarkMessages reports the bytes of an answer with one change and of one with all
// items, by the endpoints and by the writes before.
func BenchmarkMessages(b *testing.B) {
	for _, era := range []uint64{1, 2} {
		for _, endpoints := range []int{100, 2100} {
			for _, writes := range []int{100, 5000} {
				b.Run(fmt.Sprintf("era=%d/endpoints=%d/writes=%d", era, endpoints, writes), func(b *testing.B) {
					s, follower := messageState(era, endpoints, writes)
					for b.Loop() {
						b.ReportMetric(replyBytes(b, s, follower), "batch-B")
						b.ReportMetric(replyBytes(b, s, position.Position{}), "list-B")
					}
				})
			}
		}
	}
}
