package soak

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/mangostage/mangostage/internal/harness"
	"github.com/mangostage/mangostage/platform"
)

// gateway is one gateway process and the proxies on its connections.
type gateway struct {
	*harness.Process
	name, frontend, ready string
	toStore               *harness.Link
	// toPeer is the proxy between the other gateways and this one.
	toPeer *harness.Link

	mu sync.Mutex
	// version is the highest configuration seen in force in this incarnation.
	version int
	// inRotation means that the load balancer sends clients here.
	inRotation bool
	// incarnation counts the starts of the process.
	incarnation int
	// stoppedAt is when a planned stop under way began; zero without one.
	stoppedAt time.Time
	// busy means that a fault or planned work has acquired the gateway.
	busy bool
}

const (
	// maxSeedPeers is the largest number of peer addresses given to a process at its start.
	maxSeedPeers = 3
	// fewCores is little processor time, in cores.
	fewCores = 0.001
)

func (r *rig) addGateway(i int, listen string, peers []string, storeAddr string) {
	g := &gateway{name: fmt.Sprintf("g%d", i), frontend: harness.FreePort(r.t), ready: harness.FreePort(r.t), incarnation: 1}
	var toStore string
	g.toStore, toStore = harness.NewLink(r.t, "store-"+g.name, storeAddr)
	g.Process = harness.StartGateway(r.t, platform.Settings{
		Name: g.name, Seeds: peers[:min(maxSeedPeers, len(peers))],
		Frontend: g.frontend, Ready: g.ready, Peer: listen, Store: toStore, Cores: r.cores(), MemoryBytes: gatewayMemory,
		Bounds: platform.Bounds{
			Drain: 2 * time.Second, Grace: 8 * time.Second, ConfigApply: 2 * time.Second,
			RetryRatio: 0.5, RetryWindow: 10 * time.Second, RetrySlack: 200,
		},
	}, "--advertise", peers[i])
	r.gateways = append(r.gateways, g)
}

// cores returns the processor time of the gateways, in cores. With every second seed it is so little
// that the queue's owner has other members make its calls.
func (r *rig) cores() float64 {
	if r.seed%2 == 0 {
		return fewCores
	}
	return 1
}

// callsForOwners counts the calls that gateways have made for others.
func (r *rig) callsForOwners() int {
	n := 0
	for _, g := range r.gateways {
		for line := range bytes.Lines(g.Log()) {
			if bytes.Contains(line, []byte(`"event":"stage_call"`)) && !bytes.Contains(line, []byte(`"owner":""`)) {
				n++
			}
		}
	}
	return n
}

// awaitReady waits until all gateways are ready.
func (r *rig) awaitReady() {
	r.t.Helper()
	for _, g := range r.gateways {
		harness.Wait(r.t, waitTimeout, func() error {
			if !g.probe() {
				return fmt.Errorf("%s is not ready", g.name)
			}
			return nil
		})
	}
}

var probeClient = &http.Client{
	Timeout:   500 * time.Millisecond,
	Transport: &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: 300 * time.Millisecond}).DialContext},
}

// probe checks readiness as the load balancer does and returns the result. A
// request that fails leaves inRotation as it was.
func (g *gateway) probe() bool {
	resp, err := probeClient.Get("http://" + g.ready + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	g.mu.Lock()
	g.inRotation = resp.StatusCode == http.StatusOK
	g.mu.Unlock()
	return resp.StatusCode == http.StatusOK
}

// probeGateways probes all gateways until ctx ends, as a load balancer does, and
// takes those that are not ready out of rotation.
func (r *rig) probeGateways(ctx context.Context) {
	ticker := time.NewTicker(300 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			for _, g := range r.gateways {
				if !g.probe() {
					g.mu.Lock()
					g.inRotation = false
					g.mu.Unlock()
				}
			}
		}
	}
}

// acquire reserves a gateway for one fault; it returns false if another has it.
func (g *gateway) acquire() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.busy {
		return false
	}
	g.busy = true
	return true
}

// release ends the reservation by acquire. restarted means that the process was
// started again, as a new incarnation.
func (g *gateway) release(restarted bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.busy = false
	if restarted {
		g.incarnation++
		g.version = 0
	}
}

// hasStarted reports whether the gateway accepts connections of clients.
func (g *gateway) hasStarted() bool {
	conn, err := net.DialTimeout("tcp", g.frontend, time.Second)
	if err != nil {
		return false
	}
	return conn.Close() == nil
}
