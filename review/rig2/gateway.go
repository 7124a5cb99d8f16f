package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// nodeFileText is a settings file as the platform writes it for a small deployment.
const nodeFileText = `node_name = "%s"
role = "gateway"
machine_class = "edge"
serves = ["edge","control"]
ip = "%s"
zone = "%s"
region = "r1"
port_range = [7740,7755]
seeds = [%s]
is_bootstrap = true
is_counted = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","stages"]
[zones]
zone-1 = "r1"
zone-2 = "r1"
zone-3 = "r1"
[listen]
frontend = "%s"
ready = "%s"
control_plane = "%s"
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
grace_s = %d
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
address = "%s"
form = "read"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
`

// node is an edge machine with its gateway process.
type node struct {
	name, ip, zone           string
	frontend, ready, control string
	store                    string
	seeds                    []string
	graceS                   int
	dir                      string
	cmd                      *exec.Cmd
	exited                   chan struct{}
}

// newNodes returns edge machines on loopback addresses of their own.
func newNodes(d *deployment, count, graceS int) []*node {
	var nodes []*node
	var seeds []string
	for i := range count {
		n := &node{name: fmt.Sprintf("edge-%d", i+1), ip: d.ip(10 + i), zone: fmt.Sprintf("zone-%d", i%3+1), store: d.store.addr, graceS: graceS, dir: d.dir}
		n.frontend, n.ready, n.control = freeAddr(n.ip), freeAddr(n.ip), freeAddr(n.ip)
		nodes = append(nodes, n)
		if len(seeds) < 3 {
			seeds = append(seeds, n.control)
		}
	}
	for _, n := range nodes {
		n.seeds = seeds
	}
	return nodes
}

// freeAddr returns an address with a free port.
func freeAddr(ip string) string {
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	check(err)
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

func (n *node) file() string { return filepath.Join(n.dir, n.name+".toml") }

// writeSettings writes the settings file in one step, so that no reader sees a part of it.
func (n *node) writeSettings() {
	quoted := make([]string, len(n.seeds))
	for i, s := range n.seeds {
		quoted[i] = fmt.Sprintf("%q", s)
	}
	text := fmt.Sprintf(nodeFileText, n.name, n.ip, n.zone, strings.Join(quoted, ","), n.frontend, n.ready, n.control, n.graceS, n.store)
	check(os.WriteFile(n.file()+".new", []byte(text), 0o600))
	check(os.Rename(n.file()+".new", n.file()))
}

// start starts the gateway as the deploy file does.
func (n *node) start(root string) {
	n.writeSettings()
	log, err := os.OpenFile(filepath.Join(n.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	check(err)
	n.cmd = exec.Command(filepath.Join(root, "target/mangostage-gateway"))
	n.cmd.Dir = root
	n.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C.UTF-8", "MANGOSTAGE_NODE_FILE=" + n.file()}
	n.cmd.Stdout, n.cmd.Stderr = log, log
	check(n.cmd.Start())
	n.exited = make(chan struct{})
	go func() {
		_ = n.cmd.Wait()
		_ = log.Close()
		close(n.exited)
	}()
}

func (n *node) signal(s syscall.Signal) { _ = n.cmd.Process.Signal(s) }

// running reports whether the process has not ended.
func (n *node) running() bool {
	select {
	case <-n.exited:
		return false
	default:
		return true
	}
}

// kill ends the process.
func (n *node) kill() {
	if n.cmd != nil && n.running() {
		n.signal(syscall.SIGKILL)
		<-n.exited
	}
}

// probe makes one readiness check.
func (n *node) probe() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + n.ready + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until the process is ready.
func (n *node) awaitReady() bool {
	for until := time.Now().Add(15 * time.Second); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		if n.probe() {
			return true
		}
	}
	return false
}
