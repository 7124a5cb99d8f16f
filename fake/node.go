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

// Common are the settings that all stand-ins for endpoints share.
type Common struct {
	// Seed feeds jitter and random faults.
	Seed uint64 `arg:"--seed" yaml:"seed" help:"seed of jitter and random faults"`
	// RestartAfter is the time that a crash lasts; zero means 200 ms.
	RestartAfter time.Duration `arg:"--restart-after" yaml:"restart_after" help:"time from a crash to the return"`
	// MaxQueue refuses calls when so many wait; zero sets no limit.
	MaxQueue int `arg:"--max-queue" yaml:"max_queue" help:"refuse calls when so many wait"`
	// HealthLag is how old the load figures in health replies are.
	HealthLag time.Duration `arg:"--health-lag" yaml:"health_lag" help:"age of reported load"`
	// OnCrash runs in place of a crash and restart, to end a process.
	OnCrash func() `arg:"-" yaml:"-"`
}

// node is what an Engine and a Service have in common.
type node struct {
	host
	common Common
	counts *counter
	faults *faults
	load   *loadHistory
	// onReset, if set, loses what a crash loses.
	onReset func()
}

func (n *node) init(common Common, routes func(chi.Router)) {
	n.common = common
	n.counts = newCounter()
	n.faults = newFaults(common.Seed)
	n.load = newLoadHistory(common.HealthLag)
	r := chi.NewRouter()
	r.Post(PathControl, n.serveControl)
	r.Get(PathCounts, n.serveCounts)
	r.Group(func(work chi.Router) {
		work.Use(n.stallable)
		routes(work)
	})
	n.handler = r
}

// stallable holds requests back while the stand-in is stalled.
func (n *node) stallable(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !n.faults.wait(r.Context().Done()) {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// Counts returns what the stand-in has seen.
func (n *node) Counts() Counts { return n.counts.snapshot() }

// Apply changes the stand-in's behaviour.
func (n *node) Apply(c Control) {
	n.faults.apply(c)
	n.obeyCrash(c)
}

func (n *node) obeyCrash(c Control) {
	if c.DownForMS > 0 {
		n.crashFor(time.Duration(c.DownForMS) * time.Millisecond)
		return
	}
	if c.Crash {
		n.Crash()
	}
}

// Crash drops all connections and work; the stand-in returns by itself.
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

// serveControl applies everything before it replies, but for a crash, which
// would cut the reply.
func (n *node) serveControl(w http.ResponseWriter, r *http.Request) {
	var c Control
	if err := readJSON(r, &c); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	n.faults.apply(c)
	w.WriteHeader(http.StatusNoContent)
	_ = http.NewResponseController(w).Flush()
	n.obeyCrash(c)
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

// refuse says that a call did not run.
func (n *node) refuse(w http.ResponseWriter, call, why string) {
	n.counts.update(func(c *Counts) { c.Refused++ })
	writeJSON(w, http.StatusServiceUnavailable, endpoint.FailureReply{Call: call, Refused: true, Error: why})
}

// abort cuts the connection without a reply.
func abort() { panic(http.ErrAbortHandler) }
