package discovery

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/catalog"
	"github.com/mangostage/mangostage/platform"
)

// TestReaderAnswersWhileItDecodes guards against a reader of the store that does
// not answer its followers while it decodes a large configuration, so that all of
// them take it for lost and turn to the store.
func TestReaderAnswersWhileItDecodes(t *testing.T) {
	const routes, sample = 20_000, time.Millisecond
	f := NewFollower(nil, nil, time.Second, zerolog.Nop(), func(*catalog.View) {})
	item := platform.Item{Key: platform.KeyConfig, Revision: 7, Value: manyRoutes(routes)}
	began := time.Now()
	applied := make(chan struct{})
	go func() {
		defer close(applied)
		f.updateBy([]platform.Item{item}, func(now time.Time, s *State) { applyAll(now, s, []platform.Item{item}, 7) })
	}()
	var locked time.Duration
	for done := false; !done; {
		select {
		case <-applied:
			done = true
		case <-time.After(sample):
			asked := time.Now()
			f.At()
			locked += time.Since(asked)
		}
	}
	took := time.Since(began)
	assert.Equal(t, f.View().Index.Config.Version, uint64(1))
	assert.Assert(t, locked < took/2, "did not answer for %v of %v", locked, took)
}

// manyRoutes returns a configuration of that many routes.
func manyRoutes(n int) []byte {
	var text strings.Builder
	text.WriteString(`{"version":1,"services":[{"name":"s"}],"routes":[`)
	for i := range n {
		if i > 0 {
			text.WriteByte(',')
		}
		fmt.Fprintf(&text, `{"name":"route-%d","host":"h.example","prefix":"/%d/","service":"s",`+
			`"route_kind":"idempotent","timeout_ms":2000,"slo_ms":300,"max_attempts":2}`, i, i)
	}
	text.WriteString(`]}`)
	return []byte(text.String())
}
