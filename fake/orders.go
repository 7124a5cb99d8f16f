package fake

import (
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/mangostage/mangostage/endpoint"
)

// orderBook takes orders and holds the models and the role they lead to.
type orderBook struct {
	settings EngineSettings
	counts   *counter

	mu sync.Mutex
	// highest is the highest fencing number seen. It outlives crashes.
	highest uint64
	models  []string
	role    string
	// epoch grows with each crash, which ends all loading.
	epoch int
}

func newOrderBook(s EngineSettings, counts *counter) *orderBook {
	return &orderBook{settings: s, counts: counts, models: slices.Clone(s.Models)}
}

// serve implements endpoint.PathOrders.
func (b *orderBook) serve(w http.ResponseWriter, r *http.Request) {
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
	b.obey(w, order)
}

func (b *orderBook) obey(w http.ResponseWriter, order endpoint.Order) {
	switch order.Kind {
	case endpoint.OrderLoad:
		b.counts.update(func(c *Counts) { c.OrdersToLoad++ })
		epoch := b.epoch
		time.AfterFunc(b.settings.LoadTime, func() { b.loaded(order.Model, epoch) })
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

func (b *orderBook) loaded(model string, epoch int) {
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

// holds tells whether calls for the model can run.
func (b *orderBook) holds(model string) bool {
	if model == "" || !b.settings.RequireModel {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Contains(b.models, model)
}

func (b *orderBook) list() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.models)
}

// reset forgets what orders have changed, as a crash does.
func (b *orderBook) reset() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.epoch++
	b.models = slices.Clone(b.settings.Models)
	b.role = ""
}
