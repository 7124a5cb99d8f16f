package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mangostage/mangostage/platform/standin"
)

const (
	// versionedEndpoints is the number of endpoints of each service that runs several
	// software versions and breaks streams off, versionClients that of the clients that take
	// these up.
	versionedEndpoints = 4
	versionClients     = 6
	// softwareVersions is the number of versions that endpoints have in turn.
	softwareVersions = 3
	// versionEvents is the number of events of such a stream, maxTakeUps how often its
	// client takes it up.
	versionEvents = 8
	maxTakeUps    = 4
)

// streamTally counts what became of streams that were broken off.
type streamTally struct {
	mu sync.Mutex
	// whole are the streams that came to their end, takenUp the requests that took one up,
	// wentOn those of them that brought events.
	whole, takenUp, wentOn int
	refused                map[string]int
}

// softwareVersion returns the version of an endpoint's process.
func (e *endpoint) softwareVersion() string {
	return "v" + strconv.Itoa(1+(e.slot+e.incarnation/2)%softwareVersions)
}

// versionedEvent returns one event of a stream.
func versionedEvent(version string, i int) string {
	return fmt.Sprintf("id: %d\ndata: %s piece %d\n\n", i, version, i)
}

// answerVersioned streams from the event after Last-Event-Id. Most streams have neither a
// length nor chunks; some are broken off inside an event, with or without a reset.
func answerVersioned(w http.ResponseWriter, run standin.Run, version string) {
	standin.Seal(w)
	w.Header().Set("Content-Type", "text/event-stream")
	from, _ := strconv.Atoi(run.Header.Get("Last-Event-Id"))
	draw := rand.New(rand.NewPCG(xxhash.Sum64String(run.ID), uint64(from)))
	last := versionEvents
	breaks := draw.IntN(2) == 0
	if breaks {
		last = from + draw.IntN(versionEvents-from+1)
	}
	reset, framed := draw.IntN(4) == 0, draw.IntN(4) == 0
	if framed && !breaks {
		writeVersioned(w, version, from, last, func() error { return http.NewResponseController(w).Flush() })
		return
	}
	u, err := standin.BeginUnframed(w, "HTTP/1.1", http.StatusOK)
	if err != nil {
		return
	}
	writeVersioned(u, version, from, last, func() error { return nil })
	if breaks {
		event := versionedEvent(version, last+1)
		_, _ = io.WriteString(u, event[:1+draw.IntN(len(event)-1)])
	}
	if reset {
		u.Reset()
		return
	}
	u.End()
}

// writeVersioned writes the events after from up to last.
func writeVersioned(w io.Writer, version string, from, last int, flush func() error) {
	for i := from + 1; i <= last; i++ {
		if _, err := io.WriteString(w, versionedEvent(version, i)); err != nil || flush() != nil {
			return
		}
		wait(eventInterval)
	}
}

// takenStream is a stream as its client has it.
type takenStream struct {
	route string
	// first is the attempt that brought the first event; empty before.
	first   string
	version string
	last    int
}

// runStreamClient begins streams and takes up those that break, each time at a random
// gateway, until ctx ends.
func (r *rig) runStreamClient(ctx context.Context, n int, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, uint64(1000+n)))
	transport := &http.Transport{DisableCompression: true}
	defer transport.CloseIdleConnections()
	route := []string{"versions", "feeds"}[n%2]
	for i := 0; ctx.Err() == nil; i++ {
		s := &takenStream{route: route}
		for try := 0; try <= maxTakeUps && ctx.Err() == nil; try++ {
			g := r.pickGateway(rng)
			if g == nil {
				wait(20 * time.Millisecond)
				break
			}
			if r.continueStream(transport, g, s, fmt.Sprintf("s%d-%d-%d-%d", seed, n, i, try)) {
				break
			}
		}
		wait(10 * time.Millisecond)
	}
}

// continueStream begins a stream or takes it up at a gateway, and checks what comes. It
// reports whether the client is done with the stream.
func (r *rig) continueStream(transport http.RoundTripper, g *gateway, s *takenStream, id string) (done bool) {
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), clientTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+g.frontend+"/"+s.route+"/x", strings.NewReader(id))
	if err != nil {
		return true
	}
	setClientHeaders(req, id)
	g.mu.Lock()
	incarnation := g.incarnation
	g.mu.Unlock()
	r.recorder.recordSender(id, g.name, incarnation)
	takesUp := s.first != ""
	if takesUp {
		req.Header.Set("Last-Event-Id", strconv.Itoa(s.last))
		req.Header.Set("Resumes", s.first)
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		r.streams.count(takesUp, 0, false, "no answer")
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if resp.StatusCode != http.StatusOK {
		r.streams.count(takesUp, 0, false, strconv.Itoa(resp.StatusCode))
		return !takesUp
	}
	events := r.checkVersioned(s, id, g.name, string(body))
	whole := err == nil
	// A link that a fault closes between two events cannot be told from the end of the stream.
	if whole && s.last != versionEvents && r.recorder.faultFree(began, time.Now()) {
		r.recorder.addViolation("%s on %s at %s: a stream that ended after event %d looks whole", id, s.route, g.name, s.last)
	}
	r.streams.count(takesUp, events, whole, "")
	return whole
}

// checkVersioned checks that the events of an answer go on where the client has the stream,
// and are of its version. It returns their number.
func (r *rig) checkVersioned(s *takenStream, id, gateway, body string) int {
	events := 0
	for _, event := range strings.SplitAfter(body, "\n\n") {
		if !strings.HasSuffix(event, "\n\n") {
			if event != "" {
				r.recorder.addViolation("%s on %s at %s: a part of an event, %q", id, s.route, gateway, event)
			}
			continue
		}
		if s.first == "" {
			_, data, _ := strings.Cut(event, "data: ")
			s.version, _, _ = strings.Cut(data, " ")
			s.first = id
		}
		s.last++
		events++
		if want := versionedEvent(s.version, s.last); event != want {
			r.recorder.addViolation("%s on %s at %s: got %q, want %q; the stream began as %s", id, s.route, gateway, event, want, s.first)
		}
	}
	return events
}

// count counts an answer, or the reason why there was none.
func (t *streamTally) count(takesUp bool, events int, whole bool, refused string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.refused == nil {
		t.refused = make(map[string]int)
	}
	if whole {
		t.whole++
	}
	if !takesUp {
		return
	}
	t.takenUp++
	if refused != "" {
		t.refused[refused]++
		return
	}
	if events > 0 || whole {
		t.wentOn++
	}
}

// String returns the counts.
func (t *streamTally) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return fmt.Sprintf("%d whole, %d taken up, %d went on, refused %v", t.whole, t.takenUp, t.wentOn, t.refused)
}
