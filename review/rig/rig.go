// Package rig has what the scripts of the review share: gateways as separate processes, a
// store, engines that write their answers byte by byte, and a record of what was seen.
package rig

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	Held      = 0
	Broken    = 1
	CannotRun = 2
)

// Names that all cases use.
const (
	Host   = "shop.example"
	Key    = "9dnn2ctnfzs989anu6ws"
	Tenant = "bozi300"
	Seal   = "3e1b.07.5a2.600.0.c9f2a4d1"
	Zone   = "halle-winterthur"
)

// Rig is a deployment of a case.
type Rig struct {
	// Trouble is false if the disruption is left out.
	Trouble bool
	Store   *Store
	start   time.Time
	dir     string
	mu      sync.Mutex
	record  *bufio.Writer
	file    *os.File
	nodes   []*Node
	storeAt string
	// prefix is the beginning of the addresses of this run, "127.x.y.".
	prefix string
	nextIP int
	broken []string
}

// New returns the rig of the case whose folder the first argument names.
func New() *Rig {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: CASE FOLDER")
		os.Exit(CannotRun)
	}
	file, err := os.Create(filepath.Join(os.Args[1], "record.txt"))
	check(err)
	dir, err := os.MkdirTemp("", "mangostage-review-")
	check(err)
	r := &Rig{
		Trouble: os.Getenv("TROUBLE") != "0", Store: NewStore(), start: time.Now(), dir: dir, file: file,
		record: bufio.NewWriter(file), nextIP: 10,
		prefix: fmt.Sprintf("127.%d.%d.", 1+rand.IntN(250), 1+rand.IntN(250)),
	}
	r.Logf("trouble: %v", r.Trouble)
	l, err := net.Listen("tcp", r.IP()+":0")
	check(err)
	r.storeAt = l.Addr().String()
	go func() { _ = http.Serve(l, r.Store) }()
	// A case that hangs ends all the same.
	time.AfterFunc(115*time.Second, func() {
		r.Logf("the case did not end in time")
		r.end(CannotRun)
	})
	return r
}

func check(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(CannotRun)
	}
}

// IP returns a loopback address that nothing else of the run uses.
func (r *Rig) IP() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.nextIP++
	return fmt.Sprintf("%s%d", r.prefix, r.nextIP)
}

// Logf writes a line to the record.
func (r *Rig) Logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// Violation records that the rule was broken.
func (r *Rig) Violation(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.Logf("RULE BROKEN: %s", text)
	r.mu.Lock()
	r.broken = append(r.broken, text)
	r.mu.Unlock()
}

// Violations returns how often the rule was broken.
func (r *Rig) Violations() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.broken)
}

// End ends the case with the verdict: broken, or held.
func (r *Rig) End(broken bool) {
	if broken {
		r.Logf("verdict: the rule was broken")
		r.end(Broken)
	}
	r.Logf("verdict: the rule held")
	r.end(Held)
}

// CannotRun ends the case without a verdict.
func (r *Rig) CannotRun(format string, args ...any) {
	r.Logf("cannot run: "+format, args...)
	r.end(CannotRun)
}

func (r *Rig) end(code int) {
	for _, n := range r.nodes {
		n.Signal(syscall.SIGKILL)
		if n.cmd != nil {
			_ = n.cmd.Process.Signal(syscall.SIGCONT)
		}
	}
	r.mu.Lock()
	_ = r.record.Flush()
	_ = r.file.Close()
	fmt.Printf("exit %d, broken %d times\n", code, len(r.broken))
	_ = os.RemoveAll(r.dir)
	os.Exit(code)
}

// Node is a gateway process.
type Node struct {
	Name, Frontend, Ready, Control string
	rig                            *Rig
	file                           string
	cmd                            *exec.Cmd
	exited                         chan struct{}
}

// AddNodes adds gateways, which know each other by their seeds.
func (r *Rig) AddNodes(n int) []*Node {
	var added []*Node
	for i := range n {
		ip := r.IP()
		added = append(added, &Node{
			Name: fmt.Sprintf("edge-%s-%d", Zone, i+1), Frontend: ip + ":8625", Ready: ip + ":8621", Control: ip + ":8628",
			rig: r, file: filepath.Join(r.dir, fmt.Sprintf("boot-%d.toml", i+1)),
		})
	}
	var seeds []string
	for _, n := range added[:min(3, len(added))] {
		seeds = append(seeds, fmt.Sprintf("%q", n.Control))
	}
	for _, n := range added {
		check(os.WriteFile(n.file, []byte(n.settings(strings.Join(seeds, ","))), 0o600))
	}
	r.nodes = append(r.nodes, added...)
	return added
}

// settings returns the settings file, like that of the small site.
func (n *Node) settings(seeds string) string {
	ip, _, _ := net.SplitHostPort(n.Frontend)
	return fmt.Sprintf(`node_name = %q
role = "gateway"
machine_class = "edge"
serves = ["edge","control"]
ip = %q
zone = %q
region = "ostschweiz"
port_range = [7740,7755]
seeds = [%s]
is_bootstrap = true
is_counted = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","stages"]
[zones]
%s = "ostschweiz"
[listen]
frontend = %q
ready = %q
control_plane = %q
[limits]
cpu_quota = 0.304
cores = 1
memory_mb = 284
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machine_count = 2
zones = 0
region_count = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
contact_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
downgrade_ms = 250
stretch_max_ms = 5000
revoke_strict = false
revoke_ms = 5000
retry_ratio = 0.2
retry_window_s = 10
retry_slack = 58
recover_s = 12
max_delay_ms = 120
reuse_window_s = 10
[platform]
address = %q
form = "read"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
`, n.Name, ip, Zone, seeds, Zone, n.Frontend, n.Ready, n.Control, n.rig.storeAt)
}

// Start starts the process with the command of the deploy file.
func (n *Node) Start() {
	n.cmd = exec.Command("target/mangostage-gateway")
	n.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "MANGOSTAGE_NODE_FILE=" + n.file}
	out := &lineWriter{rig: n.rig, name: n.Name}
	if os.Getenv("LOGS") == "" {
		n.cmd.Stderr = out
	} else {
		n.cmd.Stdout, n.cmd.Stderr = out, out
	}
	check(n.cmd.Start())
	n.rig.Logf("%s starts, process %d", n.Name, n.cmd.Process.Pid)
	n.exited = make(chan struct{})
	cmd, exited := n.cmd, n.exited
	go func() {
		err := cmd.Wait()
		n.rig.Logf("%s has ended: %v", n.Name, err)
		close(exited)
	}()
}

// Signal sends a signal to the process, if it runs.
func (n *Node) Signal(s syscall.Signal) {
	if n.cmd == nil {
		return
	}
	select {
	case <-n.exited:
	default:
		_ = n.cmd.Process.Signal(s)
	}
}

// Exited returns a channel that is closed when the process has ended.
func (n *Node) Exited() <-chan struct{} { return n.exited }

// IsReady asks the node whether it is ready.
func (n *Node) IsReady() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + n.Ready + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// StartNodes starts all nodes and waits until they are ready.
func (r *Rig) StartNodes() {
	if _, err := os.Stat("target/mangostage-gateway"); err != nil {
		r.CannotRun("%v", err)
	}
	for _, n := range r.nodes {
		n.Start()
	}
	until := time.Now().Add(20 * time.Second)
	for _, n := range r.nodes {
		for !n.IsReady() {
			if time.Now().After(until) {
				r.CannotRun("%s is not ready", n.Name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(2 * time.Second)
	r.Logf("all gateways are ready")
}

// lineWriter writes what a process prints to the record.
type lineWriter struct {
	rig  *Rig
	name string
	rest []byte
}

// Write implements io.Writer.
func (w *lineWriter) Write(p []byte) (int, error) {
	w.rest = append(w.rest, p...)
	for {
		i := bytes.IndexByte(w.rest, '\n')
		if i < 0 {
			return len(p), nil
		}
		w.rig.Logf("%s: %s", w.name, w.rest[:i])
		w.rest = w.rest[i+1:]
	}
}

// Conn is a connection that a caller opened to an engine.
type Conn struct {
	net.Conn
	In *bufio.Reader
	// Number counts the connections of the engine.
	Number int
	// Note is for the handler.
	Note any
}

// Handler answers one request, whose body has been read, by writing to the connection. It
// returns false if the connection is to be closed.
type Handler func(c *Conn, r *http.Request, body []byte) bool

// Engine is a stand-in of an engine; its handler writes the bytes of each answer.
type Engine struct {
	ID, Service, Addr string
	Slots             int
	rig               *Rig
	seq               int
}

// AddEngine starts an engine and registers it in the store.
func (r *Rig) AddEngine(id, service string, slots int, h Handler) *Engine {
	l, err := net.Listen("tcp", r.IP()+":0")
	check(err)
	e := &Engine{ID: id, Service: service, Addr: l.Addr().String(), Slots: slots, rig: r}
	go e.serve(l, h)
	e.Register("ready")
	return e
}

// Register writes the engine's entry.
func (e *Engine) Register(state string) {
	e.seq++
	e.rig.Store.Put("servers/"+e.ID, map[string]any{
		"service": e.Service, "address": e.Addr, "zone": Zone, "version": "v1", "slots": e.Slots, "state": state,
		"cold_left_ms": 0, "call_seq": e.seq,
	})
}

func (e *Engine) serve(l net.Listener, h Handler) {
	for number := 1; ; number++ {
		nc, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = nc.Close() }()
			c := &Conn{Conn: nc, In: bufio.NewReader(nc), Number: number}
			for e.serveOne(c, h) {
			}
		}()
	}
}

func (e *Engine) serveOne(c *Conn, h Handler) bool {
	r, err := http.ReadRequest(c.In)
	if err != nil {
		return false
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return false
	}
	if want := r.Header.Get("Mangostage-Expect-Instance"); want != "" && want != e.ID {
		return c.Answer(421, http.Header{"Mangostage-Instance-Id": {e.ID}}, nil)
	}
	return h(c, r, body)
}

// Bytes returns an answer as it goes over the wire, with its length.
func Bytes(status int, h http.Header, body []byte) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	_ = h.Write(&b)
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n", len(body))
	b.Write(body)
	return b.Bytes()
}

// Answer writes an answer with its length.
func (c *Conn) Answer(status int, h http.Header, body []byte) bool {
	_, err := c.Write(Bytes(status, h, body))
	return err == nil
}

// Sealed returns the headers of an engine's answer to a request.
func Sealed(r *http.Request) http.Header {
	return http.Header{
		"Mangostage-Attempt-Id":  {r.Header.Get("Mangostage-Attempt-Id")},
		"Mangostage-Server-Seal": {Seal},
	}
}
