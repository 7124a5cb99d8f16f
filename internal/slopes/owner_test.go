package slopes

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/catalog"
	"github.com/mangostage/mangostage/dispatch"
	"github.com/mangostage/mangostage/gateway"
	"github.com/mangostage/mangostage/internal/cputime"
	"github.com/mangostage/mangostage/peer"
	"github.com/mangostage/mangostage/platform"
	"github.com/mangostage/mangostage/platform/standin"
	"github.com/mangostage/mangostage/quota"
	"github.com/mangostage/mangostage/retryafter"
	"github.com/mangostage/mangostage/scheduler"
	"github.com/mangostage/mangostage/wire"
)

// ownerLoadVar is set in the process that plays the members and endpoints of an owner's fleet.
const ownerLoadVar = "MANGOSTAGE_OWNER_LOAD"

// ownerLoadTime is the time for which jobs are submitted to an owner.
const ownerLoadTime = 6 * time.Second

// ownerCores is the processor time of an owner and of the members in strongShare, in cores; weakCores
// that of the others.
const (
	ownerCores  = 0.8
	weakCores   = 0.144
	strongEvery = 7
)

// ownerLoad is the fleet of an owner, and its load.
type ownerLoad struct {
	// Members submit jobs; Endpoints are those of each stage service.
	Members   int `json:"members"`
	Endpoints int `json:"endpoints"`
	// PerSecond is the number of jobs in a second.
	PerSecond float64 `json:"per_second"`
}

// stageNames are the services of a chain of stages.
var stageNames = []string{"prepare", "lookup", "reserve"}

var stageSpecs = map[string]catalog.Batch{
	"prepare": {Slots: 1, Queue: 2, Items: 8, CallTime: 150 * time.Millisecond, ItemTime: 16 * time.Millisecond, Room: 42_000_000, ResultTTL: 4 * time.Second},
	"lookup":  {Slots: 1, Queue: 2, Items: 40, CallTime: 150 * time.Millisecond, ItemTime: 3200 * time.Microsecond, Room: 7_100_000, ResultTTL: 4 * time.Second},
	"reserve": {Slots: 1, Queue: 2, Items: 70, CallTime: 150 * time.Millisecond, ItemTime: 1800 * time.Microsecond, Room: 1_200_000, ResultTTL: 4 * time.Second},
}

// ownerDomains are the failure domains of an owner's fleet.
var ownerDomains = []string{"a", "b", "c", "d", "e"}

// loadResult is what became of the jobs.
type loadResult struct {
	Granted, Refused, Failed int64
	// Calls and Frees count the calls to endpoints.
	Calls, Frees int64
}

// BenchmarkOwner measures the processor time of the owner of the queue for each job that it
// admits, messages with members and calls to endpoints included, by the sizes of the fleet. Members
// and endpoints are played by a process of their own.
func BenchmarkOwner(b *testing.B) {
	for _, load := range []ownerLoad{
		{Members: 30, Endpoints: 20, PerSecond: 250},
		{Members: 100, Endpoints: 40, PerSecond: 500},
		{Members: 100, Endpoints: 40, PerSecond: 700},
		{Members: 300, Endpoints: 100, PerSecond: 700},
	} {
		b.Run(fmt.Sprintf("%d_members_%d_endpoints_%.0f_jobs", load.Members, len(stageNames)*load.Endpoints, load.PerSecond), func(b *testing.B) {
			for range b.N {
				measureOwner(b, load)
			}
		})
	}
}

// measureOwner plays a load against an owner in this process.
func measureOwner(b *testing.B, load ownerLoad) {
	b.Helper()
	config, err := json.Marshal(load)
	assert.NilError(b, err)
	members := exec.Command(os.Args[0], "-test.run=^TestOwnerLoadProcess$", "-test.v=false")
	members.Env = append(os.Environ(), ownerLoadVar+"="+string(config))
	members.Stderr = os.Stderr
	toMembers, err := members.StdinPipe()
	assert.NilError(b, err)
	fromMembers, err := members.StdoutPipe()
	assert.NilError(b, err)
	assert.NilError(b, members.Start())
	lines := json.NewDecoder(bufio.NewReader(fromMembers))
	var addrs map[string][]string
	assert.NilError(b, lines.Decode(&addrs))
	owner := startOwner(b, load, addrs)
	before := cputime.Used()
	_, err = fmt.Fprintln(toMembers, owner.addr)
	assert.NilError(b, err)
	var result loadResult
	assert.NilError(b, lines.Decode(&result))
	used := cputime.Used() - before
	_ = toMembers.Close()
	assert.NilError(b, members.Wait())
	jobs := float64(max(1, result.Granted))
	b.ReportMetric(float64(used.Microseconds())/jobs, "us/job")
	b.ReportMetric(used.Seconds()/ownerLoadTime.Seconds(), "cores")
	b.ReportMetric(float64(result.Calls)/ownerLoadTime.Seconds(), "calls/s")
	b.ReportMetric(float64(result.Frees)/ownerLoadTime.Seconds(), "frees/s")
	b.ReportMetric(float64(result.Refused+result.Failed)/float64(max(1, result.Granted+result.Refused+result.Failed)), "refused")
}

// owner is an owner of the queue.
type owner struct{ addr string }

// newScheduler returns the scheduler of a process.
func newScheduler(name string) *scheduler.Scheduler {
	quotas := quota.NewClient(quota.NewTable(func() quota.Allowance { return quota.Allowance{Share: 1} }), alone{}, zerolog.Nop())
	stages := platform.NewStageClient(&http.Client{Transport: gateway.NewTransport()})
	log := zerolog.New(io.Discard).Level(zerolog.InfoLevel).With().Timestamp().Str("process", name).Logger()
	return scheduler.New(name, stages, quotas.Table(), retryafter.NewTable(), nil, quotas, log)
}

func startOwner(b *testing.B, load ownerLoad, addrs map[string][]string) owner {
	mux := peer.NewMux()
	s := newScheduler("owner")
	s.ShareAmongAccounts()
	s.SetCores(ownerCores)
	scheduler.Serve(mux, s)
	view := ownerView(load, addrs)
	s.SetView(view)
	node := peer.NewNode(peer.Config{Hello: func() wire.Hello {
		return wire.Hello{Process: wire.Process{Name: "owner", Incarnation: "1"}}
	}}, mux)
	addr, err := node.Listen("127.0.0.1:0")
	assert.NilError(b, err)
	ctx, stop := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { s.Run(ctx) })
	b.Cleanup(func() {
		stop()
		running.Wait()
		node.Close()
	})
	return owner{addr: addr.String()}
}

// alone is a fleet without other members.
type alone struct{}

func (alone) Broadcast(string, any) {}
func (alone) OwnerConn() *peer.Conn { return nil }
func (alone) Owns() bool            { return true }

// ownerView returns the view of an owner's fleet.
func ownerView(load ownerLoad, addrs map[string][]string) *catalog.View {
	c := &catalog.Config{Version: 1, Accounts: make([]catalog.Account, 40), Services: []catalog.Service{
		{Name: "model", Model: &catalog.Model{Slots: 32, CacheTokens: 351_294}},
	}}
	var endpoints []*catalog.Endpoint
	for i := range load.Endpoints * 4 {
		id := "m" + strconv.Itoa(i)
		endpoints = append(endpoints, &catalog.Endpoint{ID: id, Service: "model", Addr: id, Domain: ownerDomains[i%len(ownerDomains)], Slots: 32})
	}
	for _, name := range stageNames {
		spec := stageSpecs[name]
		c.Services = append(c.Services, catalog.Service{Name: name, Batch: &spec})
		for i, addr := range addrs[name] {
			endpoints = append(endpoints, &catalog.Endpoint{ID: fmt.Sprint(name, "-", i), Service: name, Addr: addr, Domain: ownerDomains[i%len(ownerDomains)]})
		}
	}
	return catalog.NewView(catalog.NewIndex(c), endpoints, 1)
}

// TestOwnerLoadProcess plays the members and endpoints of an owner's fleet, if it is started for
// that.
func TestOwnerLoadProcess(t *testing.T) {
	config := os.Getenv(ownerLoadVar)
	if config == "" {
		return
	}
	p := &loadProcess{}
	assert.NilError(t, json.Unmarshal([]byte(config), &p.load))
	out := json.NewEncoder(os.Stdout)
	assert.NilError(t, out.Encode(p.startEndpoints(t)))
	in := bufio.NewReader(os.Stdin)
	addr, err := in.ReadString('\n')
	assert.NilError(t, err)
	p.play(t, addr[:len(addr)-1])
	assert.NilError(t, out.Encode(p.result()))
	// The owner is not to lose its connections while it is measured.
	_, _ = in.ReadString('\n')
	os.Exit(0)
}

// loadProcess plays members and endpoints.
type loadProcess struct {
	load                     ownerLoad
	granted, refused, failed atomic.Int64
	calls, frees             atomic.Int64
	tickets                  atomic.Int64
}

func (p *loadProcess) result() loadResult {
	return loadResult{
		Granted: p.granted.Load(), Refused: p.refused.Load(), Failed: p.failed.Load(), Calls: p.calls.Load(), Frees: p.frees.Load(),
	}
}

// startEndpoints starts the endpoints of the stages and returns their addresses.
func (p *loadProcess) startEndpoints(t *testing.T) map[string][]string {
	addrs := make(map[string][]string)
	for _, name := range stageNames {
		for i := range p.load.Endpoints {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			addr := listener.Addr().String()
			endpoint := &standin.StageEndpoint{ID: fmt.Sprint(name, "-", i), Addr: addr, Worker: timedWorker{p: p, spec: stageSpecs[name]}}
			server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/stage-free" {
					p.frees.Add(1)
				}
				endpoint.ServeHTTP(w, r)
			})}
			go func() { _ = server.Serve(listener) }()
			addrs[name] = append(addrs[name], addr)
		}
	}
	return addrs
}

// timedWorker takes the nominal time for calls.
type timedWorker struct {
	p    *loadProcess
	spec catalog.Batch
}

// Run implements standin.Worker.
func (w timedWorker) Run(ctx context.Context, pieces []standin.Piece) ([]string, bool) {
	w.p.calls.Add(1)
	timer := time.NewTimer(w.spec.CallTimeFor(len(pieces)))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	return make([]string, len(pieces)), true
}

// Keeps implements standin.Worker.
func (timedWorker) Keeps(standin.Piece) bool { return true }

// Free implements standin.Worker.
func (timedWorker) Free(standin.Piece) {}

// play connects the members to the owner and submits jobs.
func (p *loadProcess) play(t *testing.T, addr string) {
	clients := make([]*scheduler.Client, p.load.Members)
	for i := range clients {
		mux := peer.NewMux()
		name := fmt.Sprint("member-", i)
		member := newScheduler(name)
		member.SetCores(weakCores)
		if i%strongEvery == 0 {
			member.SetCores(ownerCores)
		}
		scheduler.Serve(mux, member)
		node := peer.NewNode(peer.Config{Hello: func() wire.Hello {
			return wire.Hello{Process: wire.Process{Name: name, Incarnation: "1", Domain: ownerDomains[i%len(ownerDomains)]}}
		}}, mux)
		conn, err := node.Dial(t.Context(), addr)
		assert.NilError(t, err)
		member.Offer(conn)
		clients[i] = scheduler.NewClient(member, remoteOwner{conn: conn}, zerolog.Nop())
	}
	rng := rand.New(rand.NewPCG(1, 2))
	var jobs sync.WaitGroup
	end := time.Now().Add(ownerLoadTime)
	for next := time.Now(); next.Before(end); {
		next = next.Add(time.Duration(rng.ExpFloat64() / p.load.PerSecond * float64(time.Second)))
		<-time.After(time.Until(next))
		j := p.newJob(rng)
		client := clients[rng.IntN(len(clients))]
		jobs.Go(func() { p.run(client, j) })
	}
	jobs.Wait()
}

// run submits a job and tells the owner how it goes on.
func (p *loadProcess) run(client *scheduler.Client, j dispatch.Job) {
	lease, err := client.Submit(context.Background(), j)
	switch {
	case err != nil:
		p.failed.Add(1)
		return
	case lease.Refuse != nil:
		p.refused.Add(1)
		return
	}
	p.granted.Add(1)
	<-time.After(100 * time.Millisecond)
	lease.FirstEvent()
	<-time.After(300 * time.Millisecond)
	lease.Done(true)
}

// remoteOwner tells members that the process at the other end of a connection owns the queue.
type remoteOwner struct {
	alone
	conn *peer.Conn
}

func (o remoteOwner) OwnerConn() *peer.Conn         { return o.conn }
func (remoteOwner) Owns() bool                      { return false }
func (remoteOwner) Lost(*peer.Conn) <-chan struct{} { return nil }
func (remoteOwner) OwnerKnown() <-chan struct{}     { return decided }

// decided is a channel that is closed.
var decided = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// newJob returns a job of one of three routes: a chain of three stages, one stage with large
// results, and both.
func (p *loadProcess) newJob(rng *rand.Rand) dispatch.Job {
	id := fmt.Sprintf("%016x", rng.Uint64())
	j := dispatch.Job{
		Ticket: id + "#" + strconv.FormatInt(p.tickets.Add(1), 10), Request: id, Service: "model", Account: fmt.Sprint("account-", rng.IntN(40)),
		Domain: ownerDomains[rng.IntN(len(ownerDomains))], PieceKey: "key-of-the-pieces", TokensIn: 2000, TokensOut: 40,
		Prefix: []catalog.PrefixPart{
			{ID: fmt.Sprintf("%08x", rng.IntN(32)), Tokens: 300}, {ID: fmt.Sprintf("%08x", 1000+rng.IntN(2000)), Tokens: 300}, {ID: id[:8], Tokens: 1400},
		},
		Objective: 1600 * time.Millisecond, RouteObjective: 1600 * time.Millisecond, Deadline: 6 * time.Second, EventGap: 400 * time.Millisecond,
	}
	chain := func(first int) []dispatch.StageWork {
		return []dispatch.StageWork{
			{Service: "prepare", Pieces: 1, ResultBytes: 8_000},
			{Service: "lookup", DependsOn: []int{first}, Pieces: 8, ResultBytes: 60_000},
			{Service: "reserve", DependsOn: []int{first + 1}, Pieces: 8 + rng.IntN(17), ResultBytes: 6_000},
		}
	}
	large := dispatch.StageWork{Service: "prepare", Pieces: 1 + rng.IntN(4), ResultBytes: 3_000_000}
	switch draw := rng.Float64(); {
	case draw < 0.41:
		j.Route, j.Stages = "chain", chain(0)
	case draw < 0.75:
		j.Route, j.Priority, j.Stages = "single", 1, []dispatch.StageWork{large}
	default:
		large.Pieces = rng.IntN(2)
		j.Route, j.Priority, j.Deadline = "chat", 2, 15*time.Second
		j.Stages = append([]dispatch.StageWork{large}, chain(1)...)
	}
	return j
}
