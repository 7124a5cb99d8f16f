// Command rig2 runs the script cases of the review in review/6 and on: gateways as processes, with
// stand-ins of the store, of engines and of clients in this process.
package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	noRun  = 2
)

// maxTime is how long a case may take.
const maxTime = 110 * time.Second

// cases are the cases by name. Each returns its exit code.
var cases = map[string]func(*deployment) int{}

// deployment is what a case runs on.
type deployment struct {
	root, dir string
	// net is the second and third byte of the loopback addresses.
	net     string
	trouble bool
	store   *store
	nodes   []*node
	record  *os.File
	began   time.Time
	mu      sync.Mutex
}

// ip returns a loopback address of the deployment.
func (d *deployment) ip(host int) string { return fmt.Sprintf("127.%s.%d", d.net, host) }

// note writes a line to the record.
func (d *deployment) note(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, _ = fmt.Fprintf(d.record, "%8.3f  %s\n", time.Since(d.began).Seconds(), fmt.Sprintf(format, args...))
}

// verdict writes the last line of the record and returns the exit code.
func (d *deployment) verdict(ok bool, format string, args ...any) int {
	text := fmt.Sprintf(format, args...)
	if ok {
		d.note("HELD: %s", text)
		return held
	}
	d.note("BROKEN: %s", text)
	return broken
}

// startNodes starts the gateways and waits until they are ready.
func (d *deployment) startNodes(count, graceS int) bool {
	d.nodes = newNodes(d, count, graceS)
	for _, n := range d.nodes {
		n.start(d.root)
	}
	for _, n := range d.nodes {
		if !n.awaitReady() {
			d.note("gateway %s did not become ready", n.name)
			return false
		}
	}
	// Members find each other and agree on the owner of the queue.
	time.Sleep(1500 * time.Millisecond)
	return true
}

func check(err error) {
	if err != nil {
		panic(err)
	}
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig2 CASE ROOT RECORD")
		os.Exit(noRun)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3]))
}

func run(name, root, recordFile string) (code int) {
	dir, err := os.MkdirTemp("", "review-2-")
	check(err)
	record, err := os.Create(recordFile)
	check(err)
	root, err = filepath.Abs(root)
	check(err)
	d := &deployment{
		root: root, dir: dir, record: record, began: time.Now(), trouble: os.Getenv("TROUBLE") != "0",
		net: fmt.Sprintf("%d.%d", 16+rand.IntN(200), rand.IntN(250)),
	}
	d.store = startStore(d.ip(2))
	defer func() {
		for _, n := range d.nodes {
			n.kill()
		}
		_ = d.store.server.Close()
		if os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(dir)
		}
		_ = record.Close()
	}()
	d.note("case %s, trouble %v", name, d.trouble)
	ended := make(chan int, 1)
	go func() { ended <- d.attempt(cases[name]) }()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	select {
	case code = <-ended:
	case <-stopped:
		code = noRun
	case <-time.After(maxTime):
		d.note("the case takes too long")
		code = noRun
	}
	return code
}

// attempt runs a case; it returns noRun if the case panics.
func (d *deployment) attempt(run func(*deployment) int) (code int) {
	defer func() {
		if failure := recover(); failure != nil {
			d.note("could not run: %v", failure)
			code = noRun
		}
	}()
	return run(d)
}
