package fake

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/mangostage/mangostage/endpoint"
)

const (
	defaultBatch        = 16
	defaultResumeWindow = 2 * time.Second
)

// EngineSettings configure an Engine.
type EngineSettings struct {
	EndpointSettings `yaml:",inline"`
	// Batch is the number of generations in a full batch; zero means 16.
	Batch int `arg:"--batch" yaml:"batch" help:"generations that run together"`
	// TokenTime is the duration of a step with a batch of one.
	TokenTime time.Duration `arg:"--token-time" yaml:"token_time" help:"time of one step of a batch of one"`
	// Slowdown is the share of TokenTime that each further generation in the
	// batch adds to a step.
	Slowdown float64 `arg:"--slowdown" yaml:"slowdown" help:"share of the token time that each further batch member adds"`
	// Prefill is the fixed time to process a prompt; PrefillPerByte is added
	// for each prompt byte that is not cached.
	Prefill        time.Duration `arg:"--prefill" yaml:"prefill" help:"fixed time for a prompt"`
	PrefillPerByte time.Duration `arg:"--prefill-per-byte" yaml:"prefill_per_byte" help:"time for a prompt byte that is not cached"`
	// CacheBlocks is the size of the prefix cache in blocks; zero disables it.
	CacheBlocks int `arg:"--cache-blocks" yaml:"cache_blocks" help:"size of the prefix cache in blocks"`
	// EventLag is the delay of cache events; EventLoss is the share of events
	// that are never published.
	EventLag  time.Duration `arg:"--event-lag" yaml:"event_lag" help:"delay of cache events"`
	EventLoss float64       `arg:"--event-loss" yaml:"event_loss" help:"share of cache events that are lost"`
	// ResumeWindow is how long a generation without a reader is kept; zero
	// means 2 s.
	ResumeWindow time.Duration `arg:"--resume-window" yaml:"resume_window" help:"time that a cut stream is kept"`
	// Models are the models loaded at the start.
	Models []string `arg:"--models" yaml:"models" help:"models loaded at the start"`
	// MaxModels limits the loaded models: the one loaded first is unloaded for
	// a new one. Zero sets no limit.
	MaxModels int `arg:"--max-models" yaml:"max_models" help:"models held at once"`
	// RequireModel makes the engine refuse calls for models that are not loaded.
	RequireModel bool `arg:"--require-model" yaml:"require_model" help:"refuse calls for models that are not loaded"`
	// LoadTime is the time to load a model.
	LoadTime time.Duration `arg:"--load-time" yaml:"load_time" help:"time to load a model"`
	// IgnoreFence makes the engine accept orders with a stale fencing number.
	IgnoreFence bool `arg:"--ignore-fence" yaml:"ignore_fence" help:"accept orders with an old fencing number"`
}

// Engine stands in for a model engine.
type Engine struct {
	node
	settings EngineSettings
	batcher  *batcher
	orders   *orderHandler
	cache    *prefixCache
	stop     context.CancelFunc
	stopped  chan struct{}

	mu sync.Mutex
	// streams holds the generations that can be streamed or resumed, by call ID.
	streams map[string]*sequence
}

// NewEngine returns a stopped Engine.
func NewEngine(s EngineSettings) *Engine {
	if s.Batch == 0 {
		s.Batch = defaultBatch
	}
	if s.ResumeWindow == 0 {
		s.ResumeWindow = defaultResumeWindow
	}
	e := &Engine{settings: s, streams: make(map[string]*sequence)}
	e.init(s.EndpointSettings, func(r chi.Router) {
		r.Post(endpoint.PathGenerate, e.serveGenerate)
		r.Post(endpoint.PathCancel, e.serveCancel)
		r.Get(endpoint.PathHealth, e.serveHealth)
		r.Post(endpoint.PathOrders, func(w http.ResponseWriter, r *http.Request) { e.orders.serve(w, r) })
		r.Get(endpoint.PathCacheEvents, e.serveCacheEvents)
	})
	e.onReset = e.reset
	e.orders = newOrderHandler(s, e.counts)
	e.cache = newPrefixCache(s.CacheBlocks, s.EventLag, func() bool { return e.faults.draw(s.EventLoss) })
	e.batcher = &batcher{
		settings: s,
		counts:   e.counts,
		faults:   e.faults,
		cache:    e.cache,
		load:     e.load,
		crash:    e.Crash,
		wake:     make(chan struct{}, 1),
	}
	return e
}

// Start listens on addr, such as "127.0.0.1:0".
func (e *Engine) Start(addr string) error {
	if err := e.start(addr); err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	e.stop, e.stopped = stop, make(chan struct{})
	go func() {
		defer close(e.stopped)
		e.batcher.run(ctx)
	}()
	return nil
}

// Close closes every connection and stops the engine for good.
func (e *Engine) Close() {
	e.host.Close()
	if e.stop != nil {
		e.stop()
		<-e.stopped
	}
}

// reset drops the state that a crash loses.
func (e *Engine) reset() {
	e.batcher.reset()
	e.cache.clear()
	e.orders.reset()
	e.mu.Lock()
	defer e.mu.Unlock()
	clear(e.streams)
}

func (e *Engine) serveHealth(w http.ResponseWriter, _ *http.Request) {
	inFlight, queued := e.load.reported()
	reply := endpoint.HealthReply{Up: true, InFlight: inFlight, Queued: queued, Models: e.orders.list()}
	writeJSON(w, http.StatusOK, reply)
}

func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after: "+err.Error(), http.StatusBadRequest)
		return
	}
	writeJSON(w, http.StatusOK, endpoint.CacheEventsReply{Events: e.cache.after(after)})
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	var req endpoint.CancelRequest
	if err := readJSON(r, &req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.drop(req.Call)
	w.WriteHeader(http.StatusOK)
}

// drop cancels and removes the generation of a call.
func (e *Engine) drop(call string) {
	e.mu.Lock()
	s := e.streams[call]
	delete(e.streams, call)
	e.mu.Unlock()
	if s != nil && s.end(sequenceDropped) {
		e.counts.update(func(c *Counts) { c.Cancelled++ })
	}
}

func (e *Engine) serveGenerate(w http.ResponseWriter, r *http.Request) {
	var req endpoint.GenerateRequest
	if err := readJSON(r, &req); err != nil {
		writeJSON(w, http.StatusBadRequest, endpoint.FailureReply{Error: err.Error()})
		return
	}
	e.counts.update(func(c *Counts) { c.Arrivals++ })
	s := e.sequenceFor(w, req)
	if s == nil {
		return
	}
	if serverContext(r).Err() != nil {
		// The engine crashed while this call was being queued, perhaps after
		// the crash emptied the queue; the generation must not run on.
		s.end(sequenceDropped)
		abort()
	}
	s.attach()
	defer e.detach(s)
	fault, delay := e.faults.nextReply()
	stream := tokenStream{w: w, faults: e.faults, sequence: s, next: req.ResumeFrom, fault: fault, delay: delay}
	stream.run(r.Context())
}

// sequenceFor returns the generation to stream; if there is none, it replies
// with the reason and returns nil.
func (e *Engine) sequenceFor(w http.ResponseWriter, req endpoint.GenerateRequest) *sequence {
	if req.ResumeFrom > 0 {
		return e.resume(w, req)
	}
	if !e.orders.canRun(req.Model) {
		e.refuse(w, req.Call, "model is not loaded")
		return nil
	}
	if e.faults.shouldRefuse() {
		e.refuse(w, req.Call, "overloaded")
		return nil
	}
	s := e.batcher.add(req)
	if s == nil {
		e.refuse(w, req.Call, "queue is full")
		return nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.streams[req.Call] = s
	return s
}

// resume returns the generation of an earlier call. If the engine no longer has
// it, or has generated fewer tokens than the caller has read, resume replies with
// an error and returns nil.
func (e *Engine) resume(w http.ResponseWriter, req endpoint.GenerateRequest) *sequence {
	e.mu.Lock()
	s := e.streams[req.Call]
	e.mu.Unlock()
	if s == nil || req.ResumeFrom > s.view().generated {
		writeJSON(w, http.StatusGone, endpoint.FailureReply{Call: req.Call, Error: "nothing to resume"})
		return nil
	}
	e.counts.update(func(c *Counts) { c.Resumed++ })
	return s
}

// detach removes a reader of s; if no reader follows within the resume window,
// the generation is dropped.
func (e *Engine) detach(s *sequence) {
	abandoned := s.detach()
	time.AfterFunc(e.settings.ResumeWindow, func() {
		if abandoned() {
			e.forget(s)
		}
	})
}

// forget drops s, but leaves a later generation of the same call.
func (e *Engine) forget(s *sequence) {
	e.mu.Lock()
	current := e.streams[s.request.Call] == s
	if current {
		delete(e.streams, s.request.Call)
	}
	e.mu.Unlock()
	if s.end(sequenceDropped) {
		e.counts.update(func(c *Counts) { c.Cancelled++ })
	}
}
