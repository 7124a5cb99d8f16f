// Command 2 shows that a gateway that is stopped as planned accepts a stream seconds after
// SIGTERM, sends it on and then breaks it off, because it takes the latest streams of the
// route for the longest that there are.
package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"mangostage.review/rig"
)

const (
	clients = 400
	engines = 12
	// eventTime is the time between two events, each of three tokens.
	eventTime, firstEvent = 25 * time.Millisecond, 60 * time.Millisecond
	// maxTokens is the maximum of output tokens that each request states. Most answers end long
	// before it; but for chats, one in longEach is ten times as long as they are.
	maxTokens               = 750
	shortEvents, longEvents = 17, 170
	longEach                = 60
	chatEvents              = 231
	// thinkTime is the longest time between two requests of a client.
	thinkTime = 4 * time.Second
	// grace is grace_s of the settings.
	grace = 8 * time.Second
	// sentEarly is the time after SIGTERM up to which the rule excuses a request at which the
	// engine is still at work in the last sixth of the grace.
	sentEarly = 3 * time.Second
	// pause is the time between the return of a gateway and the next stop.
	pause   = 4 * time.Second
	runTime = 95 * time.Second
)

// shortRoutes are the routes whose answers are short for the most part.
var shortRoutes = []string{"fitting-dossier", "frame-advice", "lens-order", "repair-note"}

// gateway is a gateway as the platform sees it.
type gateway struct {
	*rig.Node
	misses  atomic.Int32
	stopped atomic.Pointer[time.Time]
}

func (g *gateway) inRotation() bool { return g.misses.Load() < 2 }

func main() {
	r := rig.New()
	routes := []rig.Object{
		rig.Route("chair-chat", "/chair-chat/", "streaming", "anprobe-llm", rig.Object{"sticky": true, "itl_target_ms": 200, "timeout_ms": 15000, "slo_ms": 1400, "priority": 2}),
	}
	for _, name := range shortRoutes {
		routes = append(routes, rig.Route(name, "/"+name+"/", "streaming", "anprobe-llm", rig.Object{"sticky": true, "itl_target_ms": 200, "timeout_ms": 6000, "slo_ms": 1000}))
	}
	r.PutConfig(3, routes, []rig.Object{rig.ModelService("anprobe-llm")})
	c := &clinic{rig: r, passedOn: make(map[string]bool)}
	for i := range engines {
		r.AddEngine(fmt.Sprintf("i-llm%d", i), "anprobe-llm", 64, c.generate)
	}
	for _, n := range r.AddNodes(2) {
		c.gateways = append(c.gateways, &gateway{Node: n})
	}
	r.StartNodes()
	end := time.Now().Add(runTime)
	for _, g := range c.gateways {
		go probe(g)
	}
	if r.Trouble {
		go c.roll(end.Add(-grace - 2*time.Second))
	}
	var all sync.WaitGroup
	for i := range clients {
		all.Go(func() { c.work(i, end) })
	}
	all.Wait()
	r.Logf("whole answers: %d", c.whole.Load())
	if c.whole.Load() == 0 {
		r.CannotRun("nothing was served")
	}
	r.End(r.Violations() > 0)
}

// probe asks for readiness once a second, as the platform does.
func probe(g *gateway) {
	for {
		if g.IsReady() {
			g.misses.Store(0)
		} else {
			g.misses.Add(1)
		}
		time.Sleep(time.Second)
	}
}

// clinic holds what the clients and engines of the case know.
type clinic struct {
	rig      *rig.Rig
	gateways []*gateway
	whole    atomic.Int64

	mu       sync.Mutex
	passedOn map[string]bool
}

// roll stops and starts the gateways in turn.
func (c *clinic) roll(until time.Time) {
	for i := 0; ; i++ {
		time.Sleep(pause)
		if time.Now().After(until) {
			return
		}
		g := c.gateways[i%len(c.gateways)]
		now := time.Now()
		g.stopped.Store(&now)
		c.rig.Logf("%s gets SIGTERM", g.Name)
		g.Signal(syscall.SIGTERM)
		select {
		case <-g.Exited():
		case <-time.After(grace):
			c.rig.Logf("%s gets SIGKILL", g.Name)
			g.Signal(syscall.SIGKILL)
			<-g.Exited()
		}
		time.Sleep(500 * time.Millisecond)
		g.Start()
		for !g.inRotation() {
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// generate answers a request at a model engine; its body says how many events it takes.
func (c *clinic) generate(conn *rig.Conn, q *http.Request, body []byte) bool {
	c.mu.Lock()
	c.passedOn[q.Header.Get("Mangostage-Attempt-Id")] = true
	c.mu.Unlock()
	events, err := strconv.Atoi(string(body))
	if err != nil {
		return conn.Answer(http.StatusInternalServerError, rig.Sealed(q), nil)
	}
	time.Sleep(firstEvent)
	return conn.WriteEvents(q, 1, events, eventTime)
}

// session is a client with at most one connection.
type session struct {
	net.Conn
	in      *bufio.Reader
	gateway *gateway
}

// work has a client chat and ask for something shorter in turn, over connections that it keeps.
func (c *clinic) work(number int, end time.Time) {
	s := &session{}
	defer s.drop()
	time.Sleep(rand.N(10 * time.Second))
	for time.Now().Before(end) {
		c.ask(s, number, "/chair-chat/", chatEvents)
		time.Sleep(rand.N(thinkTime))
		events := shortEvents
		if rand.IntN(longEach) == 0 {
			events = longEvents
		}
		c.ask(s, number, "/"+shortRoutes[rand.IntN(len(shortRoutes))]+"/", events)
		time.Sleep(rand.N(thinkTime))
	}
}

func (s *session) drop() {
	if s.Conn != nil {
		_ = s.Close()
		s.Conn = nil
	}
}

// connect opens a connection to the client's gateway, or to another one in rotation.
func (c *clinic) connect(s *session, number int) bool {
	for i := range c.gateways {
		g := c.gateways[(number+i)%len(c.gateways)]
		if !g.inRotation() {
			continue
		}
		conn, err := net.DialTimeout("tcp", g.Frontend, time.Second)
		if err == nil {
			s.Conn, s.in, s.gateway = conn, bufio.NewReader(conn), g
			return true
		}
	}
	return false
}

// ask sends one request and reads its answer.
func (c *clinic) ask(s *session, number int, prefix string, events int) {
	kept := s.Conn != nil
	if !kept && !c.connect(s, number) {
		time.Sleep(200 * time.Millisecond)
		return
	}
	id := rig.NewID()
	body := strconv.Itoa(events)
	_ = s.SetDeadline(time.Now().Add(16 * time.Second))
	_, err := fmt.Fprintf(s, "POST %s%s HTTP/1.1\r\nHost: %s\r\nMangostage-Attempt-Id: %s\r\nMangostage-Model: m\r\nMangostage-Token-Usage: 800,%d\r\nMangostage-Prefix-Hash: 5c1e07a2:500,%s:300\r\nMangostage-Deadline-Ms: 15000\r\nAuthorization: Token %s\r\nContent-Length: %d\r\n\r\n%s",
		prefix, id, rig.Host, id, maxTokens, id[:8], rig.Key, len(body), body)
	sent := time.Now()
	if err != nil {
		s.drop()
		return
	}
	resp, err := http.ReadResponse(s.in, nil)
	if err != nil {
		c.judge(s, id, prefix, events, kept, sent, 0, 0, err)
		s.drop()
		return
	}
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		c.judge(s, id, prefix, events, kept, sent, resp.StatusCode, strings.Count(string(answer), "\n\n"), err)
		s.drop()
		return
	}
	if resp.StatusCode == http.StatusOK {
		c.whole.Add(1)
	}
	if at := s.gateway.stopped.Load(); at != nil && sent.Sub(*at) > sentEarly && sent.Sub(*at) < grace {
		c.rig.Logf("client: %s%s, sent %.2f s after SIGTERM of %s (connection kept: %v), %d events wanted: status %d after %.2f s",
			prefix, id, sent.Sub(*at).Seconds(), s.gateway.Name, kept, events, resp.StatusCode, time.Since(sent).Seconds())
	}
	if resp.Close {
		s.drop()
	}
	if resp.StatusCode != http.StatusOK {
		time.Sleep(200 * time.Millisecond)
	}
}

// judge decides about a request whose connection ended without a complete answer.
func (c *clinic) judge(s *session, id, prefix string, events int, kept bool, sent time.Time, status, got int, err error) {
	c.mu.Lock()
	passedOn := c.passedOn[id]
	c.mu.Unlock()
	at := s.gateway.stopped.Load()
	if at == nil || sent.Before(at.Add(-time.Second)) && time.Since(*at) > grace+time.Second {
		c.rig.Logf("client: %s%s ended with %v, without planned work", prefix, id, err)
		return
	}
	since := sent.Sub(*at)
	c.rig.Logf("client: %s%s, sent %.2f s after SIGTERM of %s (connection kept: %v), passed on: %v, status %d, %d of %d events, ended after %.2f s with %v",
		prefix, id, since.Seconds(), s.gateway.Name, kept, passedOn, status, got, events, time.Since(sent).Seconds(), err)
	if passedOn && since > sentEarly && since < grace {
		c.rig.Violation("LOST: %s%s, sent %.2f s after SIGTERM, was passed on, and its connection ended without a complete answer", prefix, id, since.Seconds())
	}
}
