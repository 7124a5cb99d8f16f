package fake

import (
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/mangostage/mangostage/confsvc"
)

// VMControl makes the list of VMs fail; unset fields stay.
type VMControl struct {
	// Down cuts every connection without a reply.
	Down *bool `json:"down,omitempty"`
	// Stale keeps serving what was listed when it was set.
	Stale *bool `json:"stale,omitempty"`
	// LagMS is how late changes show.
	LagMS *int `json:"lag_ms,omitempty"`
}

// VMList stands in for the platform's list of VMs. Changes show late; the
// first list shows at once.
type VMList struct {
	rate rateCounter

	mu   sync.Mutex
	lag  time.Duration
	down bool
	// stale, if set, is served in place of the history.
	stale *[]confsvc.VM
	// history is in order of time; the first shows already.
	history []vmsAt
}

type vmsAt struct {
	at  time.Time
	vms []confsvc.VM
}

func newVMList(lag time.Duration) *VMList { return &VMList{lag: lag} }

// Set replaces the list.
func (l *VMList) Set(vms []confsvc.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.set(slices.Clone(vms))
}

func (l *VMList) set(vms []confsvc.VM) {
	l.history = append(l.history, vmsAt{at: time.Now(), vms: vms})
}

// SetState changes the state of one VM and reports whether it is listed.
func (l *VMList) SetState(name string, state confsvc.VMState) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.history) == 0 {
		return false
	}
	vms := slices.Clone(l.history[len(l.history)-1].vms)
	i := slices.IndexFunc(vms, func(vm confsvc.VM) bool { return vm.Name == name })
	if i < 0 {
		return false
	}
	vms[i].State = state
	l.set(vms)
	return true
}

// Apply changes how the list fails.
func (l *VMList) Apply(c VMControl) {
	l.mu.Lock()
	defer l.mu.Unlock()
	set(&l.down, c.Down)
	if c.LagMS != nil {
		l.lag = time.Duration(*c.LagMS) * time.Millisecond
	}
	if c.Stale == nil {
		return
	}
	if !*c.Stale {
		l.stale = nil
		return
	}
	if l.stale == nil {
		vms := l.visible()
		l.stale = &vms
	}
}

// Counts returns what the list has seen.
func (l *VMList) Counts() CallCounts {
	total, most := l.rate.figures()
	return CallCounts{Total: total, MaxPerSecond: most}
}

// visible returns the list as it was a lag ago. The lock is held.
func (l *VMList) visible() []confsvc.VM {
	if l.stale != nil {
		return *l.stale
	}
	limit := time.Now().Add(-l.lag)
	for len(l.history) > 1 && !l.history[1].at.After(limit) {
		l.history = l.history[1:]
	}
	if len(l.history) == 0 {
		return []confsvc.VM{}
	}
	return l.history[0].vms
}

func (l *VMList) routes(r chi.Router) {
	r.Get("/v1/vms", l.serveList)
	r.Put("/control/vms", serveApply(l.Set))
	r.Post("/control/vms", serveApply(l.Apply))
}

func (l *VMList) serveList(w http.ResponseWriter, _ *http.Request) {
	l.rate.add(time.Now())
	l.mu.Lock()
	down, vms := l.down, l.visible()
	l.mu.Unlock()
	if down {
		abort()
	}
	writeJSON(w, http.StatusOK, vms)
}
