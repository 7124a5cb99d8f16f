package rig

import (
	"bufio"
	"net"
	"sync"
	"time"
)

// beatsToLapse is the number of heartbeat intervals of silence after which the store drops an
// entry.
const beatsToLapse = 3

// Process is an engine that can crash: its listener and all its connections end.
type Process struct {
	*Engine
	listener net.Listener
	beat     time.Duration

	mu       sync.Mutex
	conns    map[net.Conn]bool
	crashed  bool
	unlisted bool
}

// StartProcess starts an engine on a new address; it serves from Serve on.
func (r *Rig) StartProcess(id, service string, slots int, beat time.Duration) *Process {
	return r.StartProcessAt(r.IP()+":0", id, service, slots, beat)
}

// StartProcessAt starts an engine on an address.
func (r *Rig) StartProcessAt(addr, id, service string, slots int, beat time.Duration) *Process {
	l, err := net.Listen("tcp", addr)
	check(err)
	return &Process{
		Engine:   &Engine{ID: id, Service: service, Addr: l.Addr().String(), Slots: slots, rig: r},
		listener: l, beat: beat, conns: make(map[net.Conn]bool),
	}
}

// Serve serves connections and registers the engine.
func (p *Process) Serve(h Handler) {
	p.Register("ready")
	go func() {
		for number := 1; ; number++ {
			nc, err := p.listener.Accept()
			if err != nil {
				return
			}
			p.mu.Lock()
			p.conns[nc] = true
			p.mu.Unlock()
			go func() {
				c := &Conn{Conn: nc, In: bufio.NewReader(nc), Number: number}
				for p.serveOne(c, h) {
				}
				p.mu.Lock()
				delete(p.conns, nc)
				p.mu.Unlock()
				_ = nc.Close()
			}()
		}
	}()
}

// Crash ends the process without a word: its connections are reset, its address refuses new
// ones, and its entry lapses.
func (p *Process) Crash() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.crashed {
		return
	}
	p.crashed = true
	_ = p.listener.Close()
	for nc := range p.conns {
		if tcp, ok := nc.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = nc.Close()
	}
	time.AfterFunc(beatsToLapse*p.beat, p.Unlist)
}

// Unlist removes the entry of the engine.
func (p *Process) Unlist() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.unlisted {
		p.unlisted = true
		p.rig.Store.Delete("servers/" + p.ID)
	}
}
