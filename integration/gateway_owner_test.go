package integration

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/internal/harness"
	"github.com/mangostage/mangostage/internal/testwait"
	"github.com/mangostage/mangostage/platform"
	"github.com/mangostage/mangostage/platform/standin"
)

// ownerConfig has one route whose requests first need a stage of several seconds.
const ownerConfig = `{"version":1,"routes":[
{"name":"chat","host":"shop.example","prefix":"/chat/","route_kind":"streaming","timeout_ms":15000,"slo_ms":10000,"service":"llm","max_attempts":2,
 "stages":[{"service":"encode","byte_count":8000}]}],
"services":[{"name":"llm","engine":{"slots":16,"kv_capacity":100000}},
{"name":"encode","segments":{"slots":2,"queue":2,"batch":8,"call_ms":3000,"item_ms":2,"headroom_mb":1,"handle_ttl_s":20}}],
"tenants":[{"name":"acme","api_keys":["k1"]}]}`

// startMember starts a gateway process that joins the fleet of the seeds.
func startMember(t *testing.T, name, peerAddr, frontend, store string, seeds ...string) *harness.Process {
	t.Helper()
	return startGateway(t, platform.Settings{
		Name: name, Frontend: frontend, Ready: harness.FreePort(t), Peer: peerAddr, Store: store, Seeds: seeds,
	})
}

// TestStoppingOwnerEndsTheStagesOfOthers guards against a queue owner that exits while
// it runs a stage for a request of another gateway. The owner is stopped and has no
// requests of its own. If it does not wait, the stage is cut and started again by the
// next owner, the client waits nearly twice as long, and results of jobs that continue
// elsewhere stay at their endpoint because no process is left to release them.
func TestStoppingOwnerEndsTheStagesOfOthers(t *testing.T) {
	const stageTime = 4 * time.Second
	stage := &standin.StageEndpoint{ID: "s-1", Addr: "s-1"}
	began := make(chan struct{}, 8)
	store := standin.NewStore()
	store.Put(platform.KeyConfig, []byte(ownerConfig))
	list := func(id, service string, h http.Handler) {
		store.Put(platform.PrefixEndpoints+id, fmt.Appendf(nil,
			`{"service":%q,"address":%q,"zone":"z0","slots":16,"state":"ready"}`, service, harness.ServeHTTP(t, h)))
	}
	list("m-1", "llm", &standin.Endpoint{ID: "m-1", Answer: func(w http.ResponseWriter, _ standin.Run) {
		standin.Seal(w)
		standin.WriteEvents(w, 1, 3)
	}})
	list("s-1", "encode", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "stage-run") {
			began <- struct{}{}
			<-time.After(stageTime)
		}
		stage.ServeHTTP(w, r)
	}))
	storeAddr := harness.ServeHTTP(t, store)
	ownerPeer, frontend := harness.FreePort(t), harness.FreePort(t)
	owner := startMember(t, "g1", ownerPeer, harness.FreePort(t), storeAddr, ownerPeer)
	testwait.For(t, recoveryTimeout, func() bool { return owner.LogHas(`"owner":"g1"`, `"self":true`) })
	other := startMember(t, "g2", harness.FreePort(t), frontend, storeAddr, ownerPeer)
	testwait.For(t, recoveryTimeout, func() bool { return other.LogHas(`"owner":"g1"`, `"self":false`) })

	var asking sync.WaitGroup
	asking.Go(func() {
		req, err := http.NewRequest(http.MethodPost, "http://"+frontend+"/chat/", strings.NewReader("x"))
		assert.Check(t, err == nil)
		req.Host = "shop.example"
		req.Header.Set("Mangostage-Attempt-Id", "chat-1")
		req.Header.Set("Mangostage-Deadline-Ms", "15000")
		req.Header.Set("Mangostage-Segments", "1")
		req.Header.Set("Authorization", "Token k1")
		resp, err := http.DefaultClient.Do(req)
		if !assert.Check(t, err == nil, "%v", err) {
			return
		}
		body, err := io.ReadAll(resp.Body)
		assert.Check(t, err == nil && resp.Body.Close() == nil)
		assert.Check(t, strings.Count(string(body), "data:") == 3, "status %d", resp.StatusCode)
	})
	<-began
	owner.Term()
	asking.Wait()
	assert.Equal(t, owner.WaitExit(recoveryTimeout), 0)
	assert.Equal(t, len(began), 0, "the stage was started again")
	testwait.For(t, recoveryTimeout, func() bool { return stage.ResultCount() == 0 })
}
