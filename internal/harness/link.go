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

// Direction is that of data on a link, seen from the side that dialled.
type Direction string

// The directions.
const (
	// Upstream is from the side that dialled.
	Upstream Direction = "upstream"
	// Downstream is towards the side that dialled.
	Downstream Direction = "downstream"
)

// Link is the way between two processes, or between a process and a stand-in.
// All connections on it pass through proxies in the test's process.
type Link struct {
	t       testing.TB
	proxies []*proxy
}

// proxy is one listener of toxiproxy's and the port it keeps while stopped.
type proxy struct {
	*toxiproxy.Proxy
	// address is the one reserved; the library writes its own copy at each start.
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

// toxic is toxiproxy's description of a fault.
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
	// Timeout is in milliseconds; zero means never.
	Timeout int64 `json:"timeout,omitempty"`
}

func (l *Link) add(kind string, directions []Direction, attributes toxicAttributes) {
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

func bothWays() []Direction { return []Direction{Upstream, Downstream} }

// Cut ends all connections and refuses new ones until Heal.
func (l *Link) Cut() {
	for _, p := range l.proxies {
		p.Stop()
	}
}

// Drop loses all data without ending connections, as a partition does, until
// Heal, which ends the connections that lost some.
func (l *Link) Drop(directions ...Direction) {
	l.t.Helper()
	if len(directions) == 0 {
		directions = bothWays()
	}
	l.add("timeout", directions, toxicAttributes{})
}

// Delay holds all data back for d, both ways unless told otherwise. What is
// held when the link heals is delivered then.
func (l *Link) Delay(d time.Duration, directions ...Direction) {
	l.t.Helper()
	if len(directions) == 0 {
		directions = bothWays()
	}
	l.add("latency", directions, toxicAttributes{Latency: d.Milliseconds()})
}

// LimitData ends each connection after so many further bytes in one direction.
func (l *Link) LimitData(n int64, direction Direction) {
	l.t.Helper()
	l.add("limit_data", []Direction{direction}, toxicAttributes{Bytes: n})
}

// Reset ends connections with a reset as soon as they carry data.
func (l *Link) Reset() {
	l.t.Helper()
	l.add("reset_peer", bothWays(), toxicAttributes{})
}

// Heal ends all faults of the link.
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
