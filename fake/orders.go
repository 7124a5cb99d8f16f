package fake

import (
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/mangostage/mangostage/endpoint"
)

// orderHandler executes orders and holds the loaded models and the role.
type orderHandler struct {
	settings EngineSettings
	counts   *counter

	mu sync.Mutex
	// highest is the highest fencing number seen. It survives crashes.
	highest uint64
	models  []string
	role    string
	// epoch is incremented by each crash; loads of earlier epochs are dropped.
	epoch int
}

func newOrderHandler(s EngineSettings, counts *counter) *orderHandler {
	return &orderHandler{settings: s, counts: counts, models: slices.Clone(s.Models)}
}

// serve handles requests to endpoint.PathOrders.
func (b *orderHandler) serve(w http.ResponseWriter, r *http.Request) {
	var order endpoint.Order
	if err := readJSON(r, &order); err != nil {
		writeJSON(w, http.StatusBadRequest, endpoint.FailureReply{Error: err.Error()})
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if order.Fence < b.highest && !b.settings.IgnoreFence {
		b.counts.update(func(c *Counts) { c.StaleRefused++ })
		writeJSON(w, http.StatusConflict, endpoint.StaleFenceReply{Error: "stale fence", Highest: b.highest})
		return
	}
	if order.Fence < b.highest {
		b.counts.update(func(c *Counts) { c.StaleAccepted++ })
	}
	b.highest = max(b.highest, order.Fence)
	b.execute(w, order)
}

// execute carries out an order and replies. The lock is held.
func (b *orderHandler) execute(w http.ResponseWriter, order endpoint.Order) {
	switch order.Kind {
	case endpoint.OrderLoad:
		b.counts.update(func(c *Counts) { c.OrdersToLoad++ })
		epoch := b.epoch
		time.AfterFunc(b.settings.LoadTime, func() { b.finishLoad(order.Model, epoch) })
	case endpoint.OrderUnload:
		b.models = slices.DeleteFunc(b.models, func(m string) bool { return m == order.Model })
	case endpoint.OrderRole:
		b.role = order.Role
	default:
		writeJSON(w, http.StatusBadRequest, endpoint.FailureReply{Error: "unknown kind of order"})
		return
	}
	writeJSON(w, http.StatusOK, order)
}

// finishLoad adds a model whose loading started in the given epoch, unless the
// engine has crashed since. Above MaxModels it unloads the model loaded first.
func (b *orderHandler) finishLoad(model string, epoch int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if epoch != b.epoch || slices.Contains(b.models, model) {
		return
	}
	b.models = append(b.models, model)
	if limit := b.settings.MaxModels; limit > 0 && len(b.models) > limit {
		b.models = b.models[1:]
	}
}

// canRun reports whether calls for the model can run.
func (b *orderHandler) canRun(model string) bool {
	if model == "" || !b.settings.RequireModel {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Contains(b.models, model)
}

func (b *orderHandler) list() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.models)
}

// reset restores the initial models and role, as a crash does.
func (b *orderHandler) reset() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.epoch++
	b.models = slices.Clone(b.settings.Models)
	b.role = ""
}
