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

// EngineSettings shape an Engine.
type EngineSettings struct {
	Common `yaml:",inline"`
	// Batch is the number of generations that run together; zero means 16.
	Batch int `arg:"--batch" yaml:"batch" help:"generations that run together"`
	// TokenTime is the time of one step of a batch of one.
	TokenTime time.Duration `arg:"--token-time" yaml:"token_time" help:"time of one step of a batch of one"`
	// Slowdown is the share of TokenTime that each further member adds to a step.
	Slowdown float64 `arg:"--slowdown" yaml:"slowdown" help:"share of the token time that each further batch member adds"`
	// Prefill and PrefillPerByte are the time for a prompt, the latter for
	// what is not cached.
	Prefill        time.Duration `arg:"--prefill" yaml:"prefill" help:"fixed time for a prompt"`
	PrefillPerByte time.Duration `arg:"--prefill-per-byte" yaml:"prefill_per_byte" help:"time for a prompt byte that is not cached"`
	// CacheBlocks is the size of the prefix cache; zero turns it off.
	CacheBlocks int `arg:"--cache-blocks" yaml:"cache_blocks" help:"size of the prefix cache in blocks"`
	// EventLag is how late cache events are published; EventLoss is the
	// share that is never published.
	EventLag  time.Duration `arg:"--event-lag" yaml:"event_lag" help:"delay of cache events"`
	EventLoss float64       `arg:"--event-loss" yaml:"event_loss" help:"share of cache events that are lost"`
	// ResumeWindow is how long an unread generation is kept; zero means 2 s.
	ResumeWindow time.Duration `arg:"--resume-window" yaml:"resume_window" help:"time that a cut stream is kept"`
	// Models are loaded from the start.
	Models []string `arg:"--models" yaml:"models" help:"models loaded at the start"`
	// MaxModels bounds the loaded models, the oldest gives way; zero sets no limit.
	MaxModels int `arg:"--max-models" yaml:"max_models" help:"models held at once"`
	// RequireModel refuses calls for models that are not loaded.
	RequireModel bool `arg:"--require-model" yaml:"require_model" help:"refuse calls for models that are not loaded"`
	// LoadTime is the time to load a model.
	LoadTime time.Duration `arg:"--load-time" yaml:"load_time" help:"time to load a model"`
	// IgnoreFence accepts every order whatever its fencing number.
	IgnoreFence bool `arg:"--ignore-fence" yaml:"ignore_fence" help:"accept orders with an old fencing number"`
}

// Engine stands in for a model engine.
type Engine struct {
	node
	settings EngineSettings
	batcher  *batcher
	orders   *orderBook
	cache    *prefixCache
	stop     context.CancelFunc
	stopped  chan struct{}

	mu sync.Mutex
	// streams are the generations that can be read, by call.
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
	e.init(s.Common, func(r chi.Router) {
		r.Post(endpoint.PathGenerate, e.serveGenerate)
		r.Post(endpoint.PathCancel, e.serveCancel)
		r.Get(endpoint.PathHealth, e.serveHealth)
		r.Post(endpoint.PathOrders, func(w http.ResponseWriter, r *http.Request) { e.orders.serve(w, r) })
		r.Get(endpoint.PathCacheEvents, e.serveCacheEvents)
	})
	e.onReset = e.reset
	e.orders = newOrderBook(s, e.counts)
	e.cache = newPrefixCache(s.CacheBlocks, s.EventLag, func() bool { return e.faults.lucky(s.EventLoss) })
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

// Close cuts every connection and stops for good.
func (e *Engine) Close() {
	e.host.Close()
	if e.stop != nil {
		e.stop()
		<-e.stopped
	}
}

// reset loses what a crash loses.
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

// drop ends a generation and forgets it.
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
	if lifeOf(r).Err() != nil {
		// The engine crashed while this call was being queued, perhaps after
		// the queue was emptied: no crashed engine goes on with its work.
		s.end(sequenceDropped)
		abort()
	}
	s.attach()
	defer e.detach(s)
	fault, delay := e.faults.nextReply()
	stream := tokenStream{w: w, faults: e.faults, sequence: s, next: req.ResumeFrom, fault: fault, delay: delay}
	stream.run(r.Context())
}

// sequenceFor returns the generation to stream, or replies and returns nil.
func (e *Engine) sequenceFor(w http.ResponseWriter, req endpoint.GenerateRequest) *sequence {
	if req.ResumeFrom > 0 {
		return e.resume(w, req)
	}
	if !e.orders.holds(req.Model) {
		e.refuse(w, req.Call, "model is not loaded")
		return nil
	}
	if e.faults.refuses() {
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

// detach keeps an unread generation for the resume window.
func (e *Engine) detach(s *sequence) {
	abandoned := s.detach()
	time.AfterFunc(e.settings.ResumeWindow, func() {
		if abandoned() {
			e.forget(s)
		}
	})
}

// forget drops s, but not a later generation of the same call.
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
