package fake

import (
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/mangostage/mangostage/endpoint"
)

// Paths of the control interface.
const (
	PathControl = "/control"
	PathCounts  = "/control/counts"
)

const (
	maxBody         = 8 << 20
	defaultDowntime = 200 * time.Millisecond
)

// EndpointSettings are the settings that all stand-ins for endpoints share.
type EndpointSettings struct {
	// Seed is the seed of jitter and random faults.
	Seed uint64 `arg:"--seed" yaml:"seed" help:"seed of jitter and random faults"`
	// RestartAfter is the downtime after a crash; zero means 200 ms.
	RestartAfter time.Duration `arg:"--restart-after" yaml:"restart_after" help:"time from a crash to the return"`
	// MaxQueue limits the queued calls: further calls are refused. Zero sets
	// no limit.
	MaxQueue int `arg:"--max-queue" yaml:"max_queue" help:"refuse calls when so many wait"`
	// HealthLag is the age of the load figures in health replies.
	HealthLag time.Duration `arg:"--health-lag" yaml:"health_lag" help:"age of reported load"`
	// OnCrash, if set, is called in place of a simulated crash and restart, for
	// example to end the process. A crash by Control.DownForMS does not call it.
	OnCrash func() `arg:"-" yaml:"-"`
}

// node is the common part of Engine and Service: control requests, faults,
// counts and load.
type node struct {
	host
	common EndpointSettings
	counts *counter
	faults *faults
	load   *loadHistory
	// onReset, if set, drops the state that a crash loses.
	onReset func()
}

func (n *node) init(common EndpointSettings, routes func(chi.Router)) {
	n.common = common
	n.counts = newCounter()
	n.faults = newFaults(common.Seed)
	n.load = newLoadHistory(common.HealthLag)
	r := chi.NewRouter()
	r.Post(PathControl, n.serveControl)
	r.Get(PathCounts, n.serveCounts)
	r.Group(func(work chi.Router) {
		work.Use(n.waitWhileStalled)
		routes(work)
	})
	n.handler = r
}

// waitWhileStalled is a middleware that blocks requests while the stand-in is
// stalled.
func (n *node) waitWhileStalled(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !n.faults.wait(r.Context().Done()) {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// Counts returns a copy of the stand-in's counts.
func (n *node) Counts() Counts { return n.counts.snapshot() }

// Apply changes the injected faults and crashes the stand-in if c asks for it.
func (n *node) Apply(c Control) {
	n.faults.apply(c)
	n.crashIfRequested(c)
}

func (n *node) crashIfRequested(c Control) {
	if c.DownForMS > 0 {
		n.crashFor(time.Duration(c.DownForMS) * time.Millisecond)
		return
	}
	if c.Crash {
		n.Crash()
	}
}

// Crash drops all connections and work; the stand-in restarts by itself after
// RestartAfter. If OnCrash is set, it only calls that.
func (n *node) Crash() {
	if n.common.OnCrash != nil {
		n.common.OnCrash()
		return
	}
	downFor := n.common.RestartAfter
	if downFor == 0 {
		downFor = defaultDowntime
	}
	n.crashFor(downFor)
}

func (n *node) crashFor(d time.Duration) {
	n.crash(d, func() {
		n.counts.update(func(c *Counts) { c.Crashes++ })
		if n.onReset != nil {
			n.onReset()
		}
	})
}

// serveControl applies all faults before it replies, except for a crash, which
// follows the reply because it would otherwise cut it off.
func (n *node) serveControl(w http.ResponseWriter, r *http.Request) {
	var c Control
	if err := readJSON(r, &c); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	n.faults.apply(c)
	w.WriteHeader(http.StatusNoContent)
	_ = http.NewResponseController(w).Flush()
	n.crashIfRequested(c)
}

func (n *node) serveCounts(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, n.Counts())
}

func readJSON(r *http.Request, into any) error {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil {
		return err
	}
	return json.Unmarshal(body, into)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// refuse replies that a call was refused and did not run.
func (n *node) refuse(w http.ResponseWriter, call, reason string) {
	n.counts.update(func(c *Counts) { c.Refused++ })
	writeJSON(w, http.StatusServiceUnavailable, endpoint.FailureReply{Call: call, Refused: true, Error: reason})
}

// abort closes the connection without completing the reply.
func abort() { panic(http.ErrAbortHandler) }
