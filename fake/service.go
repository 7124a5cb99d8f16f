package fake

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/mangostage/mangostage/endpoint"
	"github.com/mangostage/mangostage/internal/sleep"
)

// ServiceSettings configure a Service.
type ServiceSettings struct {
	EndpointSettings `yaml:",inline"`
	// Time is the mean service time.
	Time time.Duration `arg:"--time" yaml:"time" help:"mean service time"`
	// Jitter is the relative spread of the service time, 0 to 1: times are
	// drawn uniformly from Time*(1-Jitter) to Time*(1+Jitter).
	Jitter float64 `arg:"--jitter" yaml:"jitter" help:"spread of the service time, 0 to 1"`
	// Concurrency is the number of calls that run at once; zero sets no limit.
	Concurrency int `arg:"--concurrency" yaml:"concurrency" help:"calls that run at once"`
}

// Service stands in for a plain service, encoder, retriever or reranker. A call
// that has started to run completes even if its caller disconnects, unless it
// is cancelled.
type Service struct {
	node
	settings ServiceSettings
	slots    chan struct{}

	mu      sync.Mutex
	cancels map[string]context.CancelFunc
}

// NewService returns a stopped Service.
func NewService(s ServiceSettings) *Service {
	f := &Service{settings: s, cancels: make(map[string]context.CancelFunc)}
	if s.Concurrency > 0 {
		f.slots = make(chan struct{}, s.Concurrency)
	}
	f.init(s.EndpointSettings, func(r chi.Router) {
		r.Post(endpoint.PathRun, f.serveRun)
		r.Post(endpoint.PathCancel, f.serveCancel)
		r.Get(endpoint.PathHealth, f.serveHealth)
	})
	return f
}

// Start listens on addr, such as "127.0.0.1:0".
func (f *Service) Start(addr string) error { return f.start(addr) }

func (f *Service) serveHealth(w http.ResponseWriter, _ *http.Request) {
	inFlight, queued := f.load.reported()
	writeJSON(w, http.StatusOK, endpoint.HealthReply{Up: true, InFlight: inFlight, Queued: queued})
}

func (f *Service) serveCancel(w http.ResponseWriter, r *http.Request) {
	var req endpoint.CancelRequest
	if err := readJSON(r, &req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	f.mu.Lock()
	cancel := f.cancels[req.Call]
	delete(f.cancels, req.Call)
	f.mu.Unlock()
	if cancel != nil {
		f.counts.update(func(c *Counts) { c.Cancelled++ })
		cancel()
	}
	w.WriteHeader(http.StatusOK)
}

func (f *Service) serveRun(w http.ResponseWriter, r *http.Request) {
	var req endpoint.RunRequest
	if err := readJSON(r, &req); err != nil {
		writeJSON(w, http.StatusBadRequest, endpoint.FailureReply{Error: err.Error()})
		return
	}
	f.counts.update(func(c *Counts) { c.Arrivals++ })
	if f.faults.shouldRefuse() || f.full() {
		f.refuse(w, req.Call, "overloaded")
		return
	}
	ctx, cancel := context.WithCancel(serverContext(r))
	defer cancel()
	defer f.track(req.Call, cancel)()
	if !f.acquire(ctx, r.Context()) {
		abort()
	}
	defer f.release()
	f.run(ctx, w, req)
}

func (f *Service) full() bool {
	return f.common.MaxQueue > 0 && f.load.waiting() >= f.common.MaxQueue
}

// track registers a call for cancellation until the returned function is called.
func (f *Service) track(call string, cancel context.CancelFunc) func() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancels[call] = cancel
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.cancels, call)
	}
}

// acquire waits for a free slot; it returns false if either context ends first.
func (f *Service) acquire(ctx, callerCtx context.Context) bool {
	if f.slots == nil {
		f.load.add(1, 0)
		return true
	}
	f.load.add(0, 1)
	select {
	case f.slots <- struct{}{}:
		f.load.add(1, -1)
		return true
	case <-ctx.Done():
	case <-callerCtx.Done():
	}
	f.load.add(0, -1)
	return false
}

func (f *Service) release() {
	f.load.add(-1, 0)
	if f.slots != nil {
		<-f.slots
	}
}

func (f *Service) run(ctx context.Context, w http.ResponseWriter, req endpoint.RunRequest) {
	marker := markerOf(req.Input)
	f.counts.start(req.Stage, marker)
	if f.faults.shouldCrash(req.Input) {
		f.Crash()
		abort()
	}
	duration := f.faults.scale(f.faults.jittered(f.settings.Time, f.settings.Jitter))
	if !sleep.For(ctx, duration) || !f.faults.wait(ctx.Done()) {
		abort()
	}
	if f.faults.shouldFail() {
		writeJSON(w, http.StatusInternalServerError, endpoint.FailureReply{Call: req.Call, Error: "the run failed"})
		return
	}
	f.counts.finish(marker)
	output := ExpectedServiceOutput(req.Stage, req.Input, req.Previous)
	f.reply(ctx, w, endpoint.RunReply{Call: req.Call, Output: output, Cost: int64(duration)})
}

// reply sends the finished reply with the fault that is set for it.
func (f *Service) reply(ctx context.Context, w http.ResponseWriter, reply endpoint.RunReply) {
	fault, delay := f.faults.nextReply()
	if fault == ReplyForeign {
		reply = endpoint.RunReply{Call: "foreign/" + reply.Call, Output: ExpectedServiceOutput("foreign", nil, nil), Cost: reply.Cost}
	}
	body, err := json.Marshal(reply)
	if err != nil {
		panic("fake: encode reply: " + err.Error())
	}
	switch fault {
	case ReplyDelay:
		sleep.For(ctx, delay)
	case ReplyTruncate:
		truncate(w, body)
	case ReplyDuplicate:
		duplicate(w, body)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}

// truncate sends half of body and closes the connection.
func truncate(w http.ResponseWriter, body []byte) {
	w.Header().Set("Content-Length", fmt.Sprint(len(body)))
	_, _ = w.Write(body[:len(body)/2])
	_ = http.NewResponseController(w).Flush()
	abort()
}

// duplicate sends the whole HTTP reply twice on the connection.
func duplicate(w http.ResponseWriter, body []byte) {
	conn, buf, err := http.NewResponseController(w).Hijack()
	if err != nil {
		abort()
	}
	defer func() { _ = conn.Close() }()
	for range 2 {
		_, _ = fmt.Fprintf(buf, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	}
	_ = buf.Flush()
}
