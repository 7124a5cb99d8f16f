package harness

import (
	"bytes"
	"context"
	"encoding/json"
	"testing"
	"time"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	"github.com/rs/zerolog"
)

// Direction is the direction of data on a link, relative to the side that
// dialled.
type Direction string

// The directions.
const (
	// Upstream means data sent by the side that dialled.
	Upstream Direction = "upstream"
	// Downstream means data sent to the side that dialled.
	Downstream Direction = "downstream"
)

// Link is the network link between two processes, or between a process and a
// stand-in. All its connections pass through fault-injecting proxies in the test
// process.
type Link struct {
	t       testing.TB
	proxies []*proxy
}

// proxy is a toxiproxy proxy whose port stays reserved while it is stopped.
type proxy struct {
	*toxiproxy.Proxy
	// address is the reserved address. It is kept here because toxiproxy rewrites
	// its own copy at each start.
	address string
	release func()
}

func newProxy(server *toxiproxy.ApiServer, name, upstream string) (*proxy, error) {
	address, release, err := reservePort()
	if err != nil {
		return nil, err
	}
	p := toxiproxy.NewProxy(server, name, address, upstream)
	if err := p.Start(); err != nil {
		release()
		return nil, err
	}
	return &proxy{Proxy: p, address: address, release: release}, nil
}

func newProxyServer() *toxiproxy.ApiServer {
	return toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop())
}

func (p *proxy) close() {
	p.Toxics.ResetToxics(context.Background())
	p.Stop()
	p.release()
}

// toxic is the JSON description of a fault for toxiproxy.
type toxic struct {
	Name       string          `json:"name"`
	Type       string          `json:"type"`
	Stream     Direction       `json:"stream"`
	Attributes toxicAttributes `json:"attributes"`
}

type toxicAttributes struct {
	// Latency and Jitter are in milliseconds.
	Latency int64 `json:"latency,omitempty"`
	Jitter  int64 `json:"jitter,omitempty"`
	Bytes   int64 `json:"bytes,omitempty"`
	// Timeout is the time in milliseconds after which connections are closed; zero
	// means never.
	Timeout int64 `json:"timeout,omitempty"`
}

// addToxic adds a fault to all proxies of the link, replacing an earlier fault of
// the same kind and direction.
func (l *Link) addToxic(kind string, directions []Direction, attributes toxicAttributes) {
	l.t.Helper()
	for _, d := range directions {
		message := toxic{Name: kind + "-" + string(d), Type: kind, Stream: d, Attributes: attributes}
		body, err := json.Marshal(message)
		if err != nil {
			l.t.Fatal(err)
		}
		for _, p := range l.proxies {
			if p.Toxics.GetToxic(message.Name) != nil {
				_ = p.Toxics.RemoveToxic(context.Background(), message.Name)
			}
			if _, err := p.Toxics.AddToxicJson(bytes.NewReader(body)); err != nil {
				l.t.Fatalf("fault %s on %s: %v", kind, p.Name, err)
			}
		}
	}
}

func bothDirections() []Direction { return []Direction{Upstream, Downstream} }

// Cut closes all connections and refuses new ones until Heal.
func (l *Link) Cut() {
	for _, p := range l.proxies {
		p.Stop()
	}
}

// Drop discards all data without closing connections, as in a network partition,
// until Heal, which closes the connections that lost data. Without directions it
// applies to both.
func (l *Link) Drop(directions ...Direction) {
	l.t.Helper()
	if len(directions) == 0 {
		directions = bothDirections()
	}
	l.addToxic("timeout", directions, toxicAttributes{})
}

// Delay delays all data by d, in both directions if none is given. Heal delivers
// the data that is still delayed.
func (l *Link) Delay(d time.Duration, directions ...Direction) {
	l.t.Helper()
	if len(directions) == 0 {
		directions = bothDirections()
	}
	l.addToxic("latency", directions, toxicAttributes{Latency: d.Milliseconds()})
}

// LimitData closes each connection after n more bytes in the given direction.
func (l *Link) LimitData(n int64, direction Direction) {
	l.t.Helper()
	l.addToxic("limit_data", []Direction{direction}, toxicAttributes{Bytes: n})
}

// Reset resets connections (TCP RST) as soon as they carry data.
func (l *Link) Reset() {
	l.t.Helper()
	l.addToxic("reset_peer", bothDirections(), toxicAttributes{})
}

// Heal removes all faults of the link and restarts proxies that Cut stopped.
func (l *Link) Heal() {
	l.t.Helper()
	for _, p := range l.proxies {
		p.Toxics.ResetToxics(context.Background())
		p.Lock()
		enabled := p.Enabled
		p.Unlock()
		if enabled {
			continue
		}
		if err := p.Start(); err != nil {
			l.t.Fatalf("heal %s: %v", p.Name, err)
		}
	}
}
