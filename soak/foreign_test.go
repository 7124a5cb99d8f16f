package soak

import (
	"fmt"
	"net/http"
	"time"

	"github.com/mangostage/mangostage/platform"
	"github.com/mangostage/mangostage/platform/standin"
)

// foreignEntries are registry entries that other writers may leave in the store.
var foreignEntries = standin.ForeignEntries()

// listUnusableEntry lists an address in an entry of unknown state, which names no
// endpoint. Each request that is sent there is a violation.
func (r *rig) listUnusableEntry() {
	addr := r.serve(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		r.recorder.addViolation("%s was sent to an entry that names no endpoint", req.RequestURI)
		w.WriteHeader(http.StatusInternalServerError)
	}))
	for _, service := range []string{"plain", "model", "stage"} {
		r.store.Put(platform.PrefixEndpoints+"i-trap-"+service, fmt.Appendf(nil,
			`{"service":%q,"address":%q,"zone":"z0","slots":8,"state":"warming"}`, service, addr))
	}
}

// overwriteEntry lets another writer overwrite the entry of a running endpoint;
// after d the endpoint's heartbeat restores it. A draining endpoint is left alone.
func (r *rig) overwriteEntry(e *endpoint, f standin.ForeignEntry, d time.Duration) {
	id := e.updateEntry(func() { r.store.PutRaw(platform.PrefixEndpoints+e.id, f.Raw) })
	if id == "" {
		return
	}
	r.recorder.recordFault(d)
	wait(d)
	e.updateEntry(func() {
		if e.id == id {
			r.listLocked(e, "ready")
		}
	})
}

// updateEntry calls change unless the endpoint is draining, and returns the
// endpoint's ID, or "" if it is draining.
func (e *endpoint) updateEntry(change func()) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.drainedAt.IsZero() {
		return ""
	}
	change()
	return e.id
}
