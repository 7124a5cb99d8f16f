package discovery

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/catalog"
	"github.com/mangostage/mangostage/platform"
	"github.com/mangostage/mangostage/position"
)

// TestReaderAnswersWhileItDecodes guards against a reader of the store that does not answer
// its followers while it decodes a large configuration, so that all of them consider it lost
// and turn to the store.
func TestReaderAnswersWhileItDecodes(t *testing.T) {
	const routes, sample = 20_000, time.Millisecond
	f := NewFollower(nil, nil, time.Second, zerolog.Nop(), func(*catalog.View) {})
	item := platform.Item{Key: platform.KeyConfig, Revision: 7, Value: manyRoutes(routes)}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go f.decode(ctx)
	began := time.Now()
	f.update(func(now time.Time, s *State) { s.applyAll(now, []platform.Item{item}, position.Position{Revision: 7}) })
	assert.Equal(t, f.At(), position.Position{Revision: 7})
	changes := f.Since(position.Position{Revision: 6})
	assert.Equal(t, len(changes.Items), 1, "peers can read it before it is decoded")
	var locked time.Duration
	for f.View().Index == nil {
		time.Sleep(sample)
		asked := time.Now()
		f.At()
		locked += time.Since(asked)
	}
	took := time.Since(began)
	assert.Equal(t, f.View().Index.Config.Version, uint64(1))
	assert.Assert(t, locked < took/2, "did not answer for %v of %v", locked, took)
}

// manyRoutes returns a configuration with n routes.
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

// TestEndpointOfAServiceThatIsBeingDecoded guards against an endpoint that is reported as
// malformed, or not used, because the configuration that names its service arrived with it
// and is not decoded yet.
func TestEndpointOfAServiceThatIsBeingDecoded(t *testing.T) {
	now := time.Now()
	s := NewState()
	s.deferDecoding = true
	config := func(version int, service string) platform.Item {
		value := fmt.Appendf(nil, `{"version":%d,"routes":[],"services":[{"name":%q}]}`, version, service)
		return platform.Item{Key: platform.KeyConfig, Revision: uint64(version), Value: value}
	}
	adopt := func() {
		item, ok := s.UndecodedConfig()
		assert.Assert(t, ok)
		s.adoptConfig(now, item, prepareConfig(item))
	}
	endpoint := func(id, service string, revision uint64) platform.Item {
		value := fmt.Appendf(nil, `{"service":%q,"address":"10.0.0.1:80","zone":"z","slots":8,"state":"ready"}`, service)
		return platform.Item{Key: platform.PrefixEndpoints + id, Revision: revision, Value: value}
	}
	s.Apply(now, config(1, "s"))
	adopt()
	s.Apply(now, config(2, "new"))
	s.Apply(now, endpoint("a", "new", 3))
	s.Apply(now, endpoint("b", "unnamed", 4))
	assert.Equal(t, len(s.TakeFaults()), 0)
	adopt()
	view := s.View(now)
	assert.Equal(t, view.Len(), 1)
	faults := s.TakeFaults()
	assert.Equal(t, len(faults), 1)
	assert.Equal(t, faults[0].Key, platform.PrefixEndpoints+"b")
}
