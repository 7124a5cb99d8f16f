package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// sealHeader marks answers of engines; each run has a seal of its own.
const sealHeader = "Mangostage-Server-Seal"

// arrival is a request at an engine.
type arrival struct {
	conn net.Conn
	req  *http.Request
	body []byte
	id   string
	// run is the number of the run over all engines.
	run  int64
	seal string
}

// engine is a stand-in of a server: one request at a time on a connection.
type engine struct {
	d       *deployment
	service string
	zone    string
	addr    string
	// serve answers a request; it returns false if the connection is to be closed.
	serve    func(*engine, *arrival) (keep bool)
	mu       sync.Mutex
	id       string
	listener net.Listener
	conns    map[net.Conn]struct{}
}

// runs and starts count the runs and the starts of all engines.
var runs, starts atomic.Int64

// startEngine starts an engine of a service and registers it.
func startEngine(d *deployment, service string, host int, serve func(*engine, *arrival) bool) *engine {
	e := &engine{d: d, service: service, zone: fmt.Sprintf("zone-%d", host%3+1), serve: serve, conns: map[net.Conn]struct{}{}}
	e.addr = freeAddr(d.ip(host))
	e.start()
	return e
}

// start starts a process of the engine with a new ID.
func (e *engine) start() {
	listener, err := net.Listen("tcp", e.addr)
	check(err)
	id := fmt.Sprintf("i-%s-%d", e.service, starts.Add(1))
	e.mu.Lock()
	e.listener, e.id = listener, id
	e.mu.Unlock()
	e.d.store.put("servers/"+id, map[string]any{
		"service": e.service, "address": e.addr, "zone": e.zone, "version": "v1", "slots": 64,
		"state": "ready", "cold_left_ms": 0, "call_seq": 0,
	})
	e.d.note("engine %s of %s starts at %s", id, e.service, e.addr)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			e.mu.Lock()
			e.conns[conn] = struct{}{}
			e.mu.Unlock()
			go e.handle(conn, id)
		}
	}()
}

// leaseTime is after how long the store removes the entry of an engine that is silent: three
// heartbeat intervals.
const leaseTime = 3600 * time.Millisecond

// crash ends the process: its connections are reset, new ones are refused, and it says nothing to
// the store, which removes its entry when the lease has run out.
func (e *engine) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = e.listener.Close()
	for conn := range e.conns {
		reset(conn)
	}
	clear(e.conns)
	id := e.id
	e.d.note("engine %s crashes", id)
	time.AfterFunc(leaseTime, func() { e.d.store.remove("servers/" + id) })
}

// reset resets a connection.
func reset(conn net.Conn) {
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}

// handle serves a connection to the process with the ID.
func (e *engine) handle(conn net.Conn, id string) {
	defer func() {
		e.mu.Lock()
		delete(e.conns, conn)
		e.mu.Unlock()
		_ = conn.Close()
	}()
	reader := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		a := &arrival{conn: conn, req: req, body: body, id: req.Header.Get("Mangostage-Attempt-Id")}
		if expected := req.Header.Get("Mangostage-Expect-Instance"); expected != "" && expected != id {
			answer(conn, 421, map[string]string{"Mangostage-Attempt-Id": a.id, "Mangostage-Instance-Id": id}, nil)
			continue
		}
		a.run = runs.Add(1)
		a.seal = fmt.Sprintf("%s.%d", id, a.run)
		if !e.serve(e, a) {
			return
		}
	}
}

// head is the head of a success.
func (a *arrival) head(extra string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nMangostage-Attempt-Id: %s\r\n%s: %s\r\n%s\r\n", a.id, sealHeader, a.seal, extra)
}

// answer writes a whole answer with a length.
func answer(conn net.Conn, status int, headers map[string]string, body []byte) {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	for name, value := range headers {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n", len(body))
	b.Write(body)
	_, _ = conn.Write(b.Bytes())
}

// sendEvents sends a stream of events in chunks: text returns the event of a number, the first of
// which is from, and pause is the time after each.
func (a *arrival) sendEvents(from, to int, pause time.Duration, text func(n int) string) error {
	_, err := io.WriteString(a.conn, a.head("Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"))
	for n := from; n <= to && err == nil; n++ {
		event := text(n)
		_, err = fmt.Fprintf(a.conn, "%x\r\n%s\r\n", len(event), event)
		time.Sleep(pause)
	}
	if err == nil {
		_, err = io.WriteString(a.conn, "0\r\n\r\n")
	}
	return err
}
