package scheduler_test

import (
	"context"
	"io"
	"maps"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/internal/testwait"
	"github.com/mangostage/mangostage/peer"
	"github.com/mangostage/mangostage/platform/standin"
	"github.com/mangostage/mangostage/scheduler"
	"github.com/mangostage/mangostage/wire"
)

// busyCores is so little processor time that an owner delegates the first call.
const busyCores = 0.001

// delegatingOwner starts an owner whose calls go to member, and returns a client of it.
func delegatingOwner(t *testing.T, stage http.Handler, member *process) (*process, *scheduler.Client) {
	t.Helper()
	owner := newProcess(t, "owner")
	owner.scheduler.SetCores(busyCores)
	member.scheduler.SetCores(1)
	owner.scheduler.SetView(testView(stageServer(t, stage)))
	member.scheduler.Offer(member.dial(t, owner))
	testwait.For(t, waitTimeout, func() bool { return owner.scheduler.Stats().Delegates == 1 })
	return owner, scheduler.NewClient(owner.scheduler, newStubOwners(nil), zerolog.Nop())
}

// ownerOfForeignMember starts an owner whose calls go to a process that serves mux, and returns it and
// that process's connection to it.
func ownerOfForeignMember(t *testing.T, stage http.Handler, mux *peer.Mux) (*process, *peer.Conn) {
	t.Helper()
	node := peer.NewNode(peer.Config{Hello: func() wire.Hello {
		return wire.Hello{Process: wire.Process{Name: "foreign", Incarnation: "1"}}
	}}, mux)
	t.Cleanup(node.Close)
	owner := newProcess(t, "owner")
	owner.scheduler.SetCores(busyCores)
	owner.scheduler.SetView(testView(stageServer(t, stage)))
	conn, err := node.Dial(t.Context(), owner.addr)
	assert.NilError(t, err)
	assert.NilError(t, conn.Send(scheduler.MethodOffer, map[string]any{"cores": 1.0}))
	testwait.For(t, waitTimeout, func() bool { return owner.scheduler.Stats().Delegates == 1 })
	return owner, conn
}

// submit submits a job and expects an engine.
func submit(t *testing.T, client *scheduler.Client, ticket string) *scheduler.Lease {
	t.Helper()
	lease, err := client.Submit(t.Context(), testJob(ticket))
	assert.NilError(t, err)
	assert.Assert(t, lease.Grant != nil, "%+v", lease.Refuse)
	return lease
}

// Guards against a call for pieces or a release of results that a member makes and whose end the
// owner does not hear.
func TestMemberMakesTheOwnersCalls(t *testing.T) {
	stage := &standin.StageEndpoint{ID: "s-1", Addr: "s"}
	member := newProcess(t, "member")
	owner, client := delegatingOwner(t, stage, member)
	lease := submit(t, client, "1")
	assert.Equal(t, len(lease.Grant.Inputs), 1)
	assert.Assert(t, stage.Keeps(lease.Grant.Inputs[0]))
	lease.FirstEvent()
	lease.Done(true)
	testwait.For(t, waitTimeout, func() bool { return stage.ResultCount() == 0 })
	testwait.For(t, waitTimeout, func() bool { return !owner.scheduler.HasUnfinishedStages() && !member.scheduler.HasUnfinishedStages() })
	assert.Equal(t, len(stage.CompletedPieces()), 1)
	assert.Assert(t, owner.scheduler.Stats().Made.Delegated >= 2, "%+v", owner.scheduler.Stats().Made)
}

// Guards against a job that waits for its deadline because the member that made its call has ended.
func TestCallsOfALostMemberAreMadeAgain(t *testing.T) {
	inner := &standin.StageEndpoint{ID: "s-1", Addr: "s"}
	began := make(chan struct{})
	left := make(chan struct{})
	var once sync.Once
	stage := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		hang := false
		once.Do(func() { hang = true })
		if !hang {
			inner.ServeHTTP(w, r)
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		close(began)
		<-r.Context().Done()
		close(left)
	})
	member := newProcess(t, "member")
	_, client := delegatingOwner(t, stage, member)
	go func() {
		<-began
		member.node.DropAll()
	}()
	since := time.Now()
	submit(t, client, "1")
	assert.Assert(t, time.Since(since) < 4*time.Second, "%s", time.Since(since))
	select {
	case <-left:
	case <-time.After(waitTimeout):
		t.Fatal("the endpoint goes on with a call that nobody wants")
	}
}

// Guards against an owner that waits for a member which is frozen, cut off one way, or has forgotten
// its calls.
func TestCallsOfASilentMemberAreMadeAgain(t *testing.T) {
	silent := peer.NewMux()
	peer.HandleNotification(silent, scheduler.MethodAssign, func(*peer.Conn, map[string]any) {})
	stage := &standin.StageEndpoint{ID: "s-1", Addr: "s"}
	owner, _ := ownerOfForeignMember(t, stage, silent)
	client := scheduler.NewClient(owner.scheduler, newStubOwners(nil), zerolog.Nop())
	lease := submit(t, client, "1")
	lease.Done(true)
	testwait.For(t, waitTimeout, func() bool { return stage.ResultCount() == 0 })
}

// Guards against calls that are sent to a member of an older build, which makes none.
func TestOlderMemberGetsNoCalls(t *testing.T) {
	stage := &standin.StageEndpoint{ID: "s-1", Addr: "s"}
	older, owner := newProcess(t, "older"), newProcess(t, "owner")
	owner.scheduler.SetCores(busyCores)
	owner.scheduler.SetView(testView(stageServer(t, stage)))
	older.dial(t, owner)
	client := scheduler.NewClient(owner.scheduler, newStubOwners(nil), zerolog.Nop())
	submit(t, client, "1")
	assert.Equal(t, owner.scheduler.Stats().Made.Delegated, 0)
}

// Guards against calls for a member that stops as planned, and against its end before those under
// way are done.
func TestStoppingMemberFinishesItsCalls(t *testing.T) {
	inner := &standin.StageEndpoint{ID: "s-1", Addr: "s"}
	began, release := make(chan struct{}, 8), make(chan struct{})
	member := newProcess(t, "member")
	owner, client := delegatingOwner(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "stage-run") {
			began <- struct{}{}
			<-release
		}
		inner.ServeHTTP(w, r)
	}), member)
	granted := make(chan *scheduler.Lease, 1)
	go func() {
		lease, _ := client.Submit(context.Background(), testJob("1"))
		granted <- lease
	}()
	<-began
	member.scheduler.Withdraw()
	testwait.For(t, waitTimeout, func() bool { return owner.scheduler.Stats().Delegates == 0 })
	assert.Assert(t, member.scheduler.HasUnfinishedStages())
	close(release)
	lease := <-granted
	assert.Assert(t, lease != nil && lease.Grant != nil)
	testwait.For(t, waitTimeout, func() bool { return !member.scheduler.HasUnfinishedStages() })
	delegated := owner.scheduler.Stats().Made.Delegated
	submit(t, client, "2")
	assert.Equal(t, owner.scheduler.Stats().Made.Delegated, delegated)
}

// Guards against a report of another build that does not fit its call, and ends the owner or leaves
// the pieces without a call.
func TestReportThatDoesNotFitItsCallIsALoss(t *testing.T) {
	for name, unfit := range map[string]map[string]any{
		"too few results": {"h": []string{}},
		"too many":        {"h": []string{"a", "b", "c"}},
		"unknown fault":   {"f": "frozen", "h": []string{"a"}},
		"abandoned":       {"f": "abandoned"},
	} {
		t.Run(name, func(t *testing.T) {
			other := peer.NewMux()
			peer.HandleCompact(other, scheduler.MethodAssign, func(from *peer.Conn, a map[string][]map[string]any) {
				for _, c := range a["calls"] {
					report := map[string]any{"c": c["c"]}
					maps.Copy(report, unfit)
					assert.Check(t, from.Send(scheduler.MethodReport, map[string]any{"calls": []any{report}}) == nil)
				}
			})
			owner, conn := ownerOfForeignMember(t, &standin.StageEndpoint{ID: "s-1", Addr: "s"}, other)
			client := scheduler.NewClient(owner.scheduler, newStubOwners(nil), zerolog.Nop())
			j := testJob("1")
			granted := make(chan *scheduler.Lease, 1)
			go func() {
				lease, err := client.Submit(context.Background(), j)
				assert.Check(t, err == nil, "%v", err)
				granted <- lease
			}()
			testwait.For(t, waitTimeout, func() bool { return owner.scheduler.Stats().Made.Delegated >= 2 })
			conn.Close()
			lease := <-granted
			assert.Assert(t, lease != nil && lease.Grant != nil)
		})
	}
}
