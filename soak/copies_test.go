package soak

import (
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	"github.com/mangostage/mangostage/platform/standin"
)

const (
	// copyShare is the part of its answers that a copying endpoint sends a second time.
	copyShare = 0.3
	// copyTime is how long an endpoint copies, copyPause the longest time between two that begin.
	copyTime  = time.Second
	copyPause = 700 * time.Millisecond
)

// serveCopying serves an endpoint that sends some of its answers a second time while it is
// copying, and returns its address.
func (r *rig) serveCopying(e *endpoint, h http.Handler) string {
	s := httptest.NewUnstartedServer(h)
	s.Listener = &standin.CopyListener{Listener: s.Listener, Copies: func() bool {
		return e.copying.Load() && rand.Float64() < copyShare && r.copies.Add(1) > 0
	}}
	s.Start()
	r.t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	return strings.TrimPrefix(s.URL, "http://")
}

// copyAnswers has one endpoint after the other copy until end. It draws from random numbers of its
// own, so that the faults of a seed stay as they are.
func (r *rig) copyAnswers(end time.Time) {
	rng := rand.New(rand.NewPCG(^r.seed, r.seed))
	for time.Now().Before(end) {
		e := r.endpoints[rng.IntN(len(r.endpoints))]
		e.copying.Store(true)
		time.AfterFunc(copyTime, func() { e.copying.Store(false) })
		wait(time.Duration(rng.Int64N(int64(copyPause))))
	}
}
