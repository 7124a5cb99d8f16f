package soak

import (
	"fmt"
	"net/http"
	"time"

	"github.com/mangostage/mangostage/platform"
	"github.com/mangostage/mangostage/platform/standin"
)

// foreign are the entries of other writers that a run may meet.
var foreign = standin.ForeignEntries()

// trap lists an address in an entry that names no endpoint: its state is
// unknown. Whatever is sent there is a broken promise.
func (r *rig) trap() {
	addr := r.serve(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		r.book.breaks("%s was sent to an entry that names no endpoint", req.RequestURI)
		w.WriteHeader(http.StatusInternalServerError)
	}))
	for _, service := range []string{"plain", "model", "stage"} {
		r.store.Put(platform.PrefixEndpoints+"i-trap-"+service, fmt.Appendf(nil,
			`{"service":%q,"address":%q,"zone":"z0","slots":8,"state":"warming"}`, service, addr))
	}
}

// spoil lets another writer overwrite the entry of an endpoint that lives; after
// d its heartbeat writes it again. An endpoint that leaves is left alone.
func (r *rig) spoil(e *endpoint, f standin.Foreign, d time.Duration) {
	id := e.write(func() { r.store.PutRaw(platform.PrefixEndpoints+e.id, f.Raw) })
	if id == "" {
		return
	}
	r.book.fault(d)
	wait(d)
	e.write(func() {
		if e.id == id {
			r.listLocked(e, "ready")
		}
	})
}

// write changes the entry unless the endpoint is leaving, and returns its ID.
func (e *endpoint) write(change func()) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.leftAt.IsZero() {
		return ""
	}
	change()
	return e.id
}
