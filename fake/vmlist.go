package fake

import (
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/mangostage/mangostage/confsvc"
)

// VMControl injects faults into the list of VMs; unset fields leave their
// setting unchanged.
type VMControl struct {
	// Down closes every connection without a reply.
	Down *bool `json:"down,omitempty"`
	// Stale keeps serving the list that was visible when it was set.
	Stale *bool `json:"stale,omitempty"`
	// LagMS is the delay after which changes show, in milliseconds.
	LagMS *int `json:"lag_ms,omitempty"`
}

// VMList stands in for the platform's list of VMs. Changes show after a lag,
// but the first list shows at once.
type VMList struct {
	rate rateCounter

	mu   sync.Mutex
	lag  time.Duration
	down bool
	// stale, if set, is served in place of the history.
	stale *[]confsvc.VM
	// history is ordered by time; its first entry is already visible.
	history []vmListVersion
}

// vmListVersion is a list of VMs and the time at which it was set.
type vmListVersion struct {
	at  time.Time
	vms []confsvc.VM
}

func newVMList(lag time.Duration) *VMList { return &VMList{lag: lag} }

// Set replaces the list.
func (l *VMList) Set(vms []confsvc.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addVersion(slices.Clone(vms))
}

// addVersion appends a new list to the history. The lock is held.
func (l *VMList) addVersion(vms []confsvc.VM) {
	l.history = append(l.history, vmListVersion{at: time.Now(), vms: vms})
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
	l.addVersion(vms)
	return true
}

// Apply changes the injected faults.
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

// Counts returns the counts of calls to the list.
func (l *VMList) Counts() CallCounts {
	total, maxPerSecond := l.rate.totals()
	return CallCounts{Total: total, MaxPerSecond: maxPerSecond}
}

// visible returns the list that clients see: the stale one if set, else the
// list delayed by lag. The lock is held.
func (l *VMList) visible() []confsvc.VM {
	if l.stale != nil {
		return *l.stale
	}
	cutoff := time.Now().Add(-l.lag)
	for len(l.history) > 1 && !l.history[1].at.After(cutoff) {
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
