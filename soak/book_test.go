package soak

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/mangostage/mangostage/platform/standin"
)

const (
	// leaveBound is how long a leaving endpoint may still get requests.
	leaveBound = 2 * time.Second
	// slackAfter is how long a fault counts beside its own time: what it held
	// up arrives later, and processes have to look again.
	slackAfter = 4 * time.Second
)

// book keeps what clients and endpoints have seen.
type book struct {
	mu     sync.Mutex
	runs   map[string]int
	ends   map[string]outcome
	broken []string
	// faults are the times of faults other than planned work.
	faults []span
	// strays are requests to a gateway that was stopping, and have no answer:
	// none may have run.
	strays []string
	// served counts answers by kind.
	served map[string]int
	// restarts counts endpoints that started again under their IDs.
	restarts int
}

type span struct{ from, to time.Time }

// outcome is what a client got for one request.
type outcome struct {
	route  string
	status int
}

func newBook() *book {
	return &book{runs: make(map[string]int), ends: make(map[string]outcome), served: make(map[string]int)}
}

// breaks notes a broken promise.
func (b *book) breaks(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.broken = append(b.broken, fmt.Sprintf(format, args...))
}

// restarted notes that an endpoint is back under its ID.
func (b *book) restarted() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.restarts++
}

// fault notes that no bound on time holds until the end of d and a slack.
func (b *book) fault(d time.Duration) {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.faults = append(b.faults, span{from: now, to: now.Add(d + slackAfter)})
}

// calm tells whether no fault touches the span.
func (b *book) calm(from, to time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, f := range b.faults {
		if f.from.Before(to) && f.to.After(from) {
			return false
		}
	}
	return true
}

// ran notes a run at an endpoint.
func (b *book) ran(run standin.Run, endpoint string, leftAt time.Time) {
	b.mu.Lock()
	b.runs[run.ID]++
	b.mu.Unlock()
	if run.Header.Get("Mangostage-Tenant") != "acme" {
		b.breaks("%s ran for account %q", run.ID, run.Header.Get("Mangostage-Tenant"))
	}
	if run.Header.Get("Authorization") != "" {
		b.breaks("%s showed the client's key to %s", run.ID, endpoint)
	}
	if strings.HasPrefix(run.Target, "/staged/") {
		b.inputs(run)
	}
	now := time.Now()
	if !leftAt.IsZero() && now.Sub(leftAt) > leaveBound && b.calm(leftAt, now) {
		b.breaks("%s reached %s %v after it began to leave", run.ID, endpoint, now.Sub(leftAt))
	}
}

// late checks that nothing reaches an endpoint of an evacuated failure domain.
func (b *book) late(what, endpoint string, emptied time.Time) {
	now := time.Now()
	if !emptied.IsZero() && now.Sub(emptied) > leaveBound && b.calm(emptied, now) {
		b.breaks("%s reached %s %v after its failure domain was evacuated", what, endpoint, now.Sub(emptied))
	}
}

// inputs checks that a request got the results of its own last stage, all and
// each once.
func (b *book) inputs(run standin.Run) {
	handles := strings.Split(run.Header.Get("Mangostage-Inputs"), ",")
	seen := make(map[string]bool)
	for _, h := range handles {
		_, name, _ := strings.Cut(h, "/")
		if !strings.HasPrefix(name, run.ID+".1.") || seen[name] {
			b.breaks("%s got input %s of %v", run.ID, h, handles)
		}
		seen[name] = true
	}
	if len(seen) != 2 {
		b.breaks("%s got %d inputs", run.ID, len(seen))
	}
}

// piece checks that a piece has the inputs of its own request.
func (b *book) piece(p standin.Piece) {
	if p.Phase == 0 {
		if p.Key != "key-"+p.ID {
			b.breaks("piece of %s has key %q", p.ID, p.Key)
		}
		return
	}
	if len(p.Inputs) != 3 {
		b.breaks("piece of %s has %d inputs", p.ID, len(p.Inputs))
	}
	for _, h := range p.Inputs {
		if !strings.Contains(h, "/"+p.ID+".0.") {
			b.breaks("piece of %s has input %s", p.ID, h)
		}
	}
}

// ended notes a client's outcome.
func (b *book) ended(id, route string, status int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ends[id] = outcome{route: route, status: status}
	b.served[fmt.Sprintf("%s %d", route, status)]++
}

// unanswered notes a request that a stopping gateway may only have left unread.
func (b *book) unanswered(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.strays = append(b.strays, id)
}

// settle checks what holds only in the end.
func (b *book) settle() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, o := range b.ends {
		repeatable := o.route == "idem" || o.route == "resume" || strings.HasPrefix(o.route, "v")
		runs := b.runs[id]
		if !repeatable && runs > 1 {
			b.broken = append(b.broken, fmt.Sprintf("%s on %s ran %d times", id, o.route, runs))
		}
		refused := o.status == http.StatusServiceUnavailable || o.status == http.StatusTooManyRequests
		if !repeatable && refused && runs > 0 {
			b.broken = append(b.broken, fmt.Sprintf("%s on %s was refused with %d and ran", id, o.route, o.status))
		}
	}
	for _, id := range b.strays {
		if b.runs[id] > 0 {
			b.broken = append(b.broken, fmt.Sprintf("%s was taken by a stopping gateway, ran, and has no whole answer", id))
		}
	}
	return b.broken
}
