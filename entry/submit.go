package entry

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-chi/chi/v5"

	"github.com/mangostage/mangostage/admit"
	"github.com/mangostage/mangostage/api"
	"github.com/mangostage/mangostage/bundle"
	"github.com/mangostage/mangostage/internal/clientconn"
	"github.com/mangostage/mangostage/limit"
	"github.com/mangostage/mangostage/pipeline"
	"github.com/mangostage/mangostage/suspect"
)

// affinityPrefix is the number of leading input bytes that are hashed for
// prompt-prefix affinity.
const affinityPrefix = 256

// submission is one arrival of a request from its caller, filled in while it is parsed.
type submission struct {
	gen      *generation
	account  *bundle.Account
	pipeline *bundle.Pipeline
	received time.Time
	timeout  time.Duration
	body     []byte
	input    api.Request
	stream   bool
	admit    pipeline.Admit
}

// rejection is the reason and detail of a request that is rejected before it is
// passed to the core.
type rejection struct {
	reason api.Reason
	detail string
}

func (e *Entry) submit(w http.ResponseWriter, r *http.Request) {
	s := &submission{received: e.cfg.Now(), gen: e.current.Load()}
	if s.gen == nil {
		e.rejectSubmission(w, r, api.ReasonNoBundle, "this process has not yet seen a bundle")
		return
	}
	if rejected := e.parse(w, r, s); rejected != nil {
		e.rejectSubmission(w, r, rejected.reason, rejected.detail)
		return
	}
	ref := e.refs.Add(1)
	s.admit.Ref = ref
	refused, release := e.checkAdmission(s)
	waiting := e.waiters.add(ref, s.admit.RequestID, release)
	if refused != nil {
		e.handle(pipeline.Refuse{
			Admit:      s.admit,
			Reason:     refused.Reason,
			Detail:     refused.Detail,
			RetryAfter: refused.RetryAfter,
		})
	} else {
		e.handle(s.admit)
	}
	e.relayReply(w, r, s, waiting)
}

// refusedUnchecked holds the reasons for which a valid submission is refused
// before any process was asked whether an earlier submission of the request ran.
var refusedUnchecked = map[api.Reason]bool{
	api.ReasonNoBundle:  true,
	api.ReasonIDExpired: true,
}

// rejectSubmission answers a submission that is rejected without being passed
// to the core.
//
// The outcome is "unknown" instead of "refused" if an earlier submission of the
// same request may have run. Otherwise a caller that resubmits an order with the
// same key or held ID, to an entry that has just started or after the ID has
// expired, would read that the order did not run and would place a new one.
// This submission did not run, but this entry knows nothing of earlier ones.
func (e *Entry) rejectSubmission(w http.ResponseWriter, r *http.Request, reason api.Reason, detail string) {
	hasIdentity := r.Header.Get(api.HeaderRequestID) != "" || r.Header.Get(api.HeaderIdempotencyKey) != ""
	if !refusedUnchecked[reason] || !hasIdentity {
		e.reject(w, reason, detail)
		return
	}
	e.stats.rejected.Add(1)
	p := refusal(e.newRequestID("", ""), reason, detail)
	p.Outcome = api.OutcomeUnknown
	writeProblem(w, p)
}

// relayReply forwards streamed chunks and the final reply to the caller. It
// returns early, and tells the core, if the caller has gone.
func (e *Entry) relayReply(w http.ResponseWriter, r *http.Request, s *submission, waiting *waiter) {
	var events *eventWriter
	for {
		select {
		case <-waiting.ready:
		case <-r.Context().Done():
			e.handle(pipeline.CallerGone{RequestID: s.admit.RequestID, Ref: s.admit.Ref})
			return
		}
		chunks, final := waiting.collect()
		for _, c := range chunks {
			if events == nil {
				events = newEventWriter(w, s.admit.RequestID)
			}
			if err := events.send(eventToken, c); err != nil {
				e.handle(pipeline.CallerGone{RequestID: s.admit.RequestID, Ref: s.admit.Ref})
				return
			}
		}
		if final == nil {
			continue
		}
		if final.Problem != nil {
			e.logProblem(s.account.Name, s.pipeline.Name, final.Problem)
		}
		e.writeReply(w, s, events, *final)
		return
	}
}

// writeReply writes the final reply: as an event if events were already sent or
// if the caller asked for a stream and gets an answer, else as a plain HTTP
// reply. A problem before the first event thus keeps its HTTP status.
func (e *Entry) writeReply(w http.ResponseWriter, s *submission, events *eventWriter, final api.Final) {
	if events == nil && s.stream && final.Answer != nil {
		events = newEventWriter(w, s.admit.RequestID)
	}
	if events == nil {
		writeFinal(w, final)
		return
	}
	_ = events.final(final)
}

// parse authenticates and validates the request and fills in s.
func (e *Entry) parse(w http.ResponseWriter, r *http.Request, s *submission) *rejection {
	if s.account = s.gen.creds.account(r); s.account == nil {
		return &rejection{api.ReasonUnauthorized, "a client account's credential is required"}
	}
	name := chi.URLParam(r, paramPipeline)
	s.pipeline = s.gen.verified.Bundle.Pipeline(name)
	if s.pipeline == nil || !mayCall(s.account, name) {
		return &rejection{api.ReasonUnknownPipeline, "the account has no pipeline " + strconv.Quote(name)}
	}
	if rejected := e.readBody(w, r, s); rejected != nil {
		return rejected
	}
	if rejected := parseTimeout(r, s); rejected != nil {
		return rejected
	}
	s.stream = strings.Contains(r.Header.Get("Accept"), typeStream)
	s.admit = pipeline.Admit{
		Account:      s.account,
		Bundle:       s.gen.verified.Bundle,
		Pipeline:     s.pipeline,
		Deadline:     s.received.Add(s.timeout),
		Input:        s.input.Input,
		Stream:       s.stream,
		AffinityHash: affinityHash(s),
	}
	return e.identify(r, s)
}

// readBody reads the request body, up to the lower of the entry's and the
// pipeline's limit, and decodes it.
func (e *Entry) readBody(w http.ResponseWriter, r *http.Request, s *submission) *rejection {
	allowed := e.cfg.MaxBody
	if pipelineMax := int64(s.pipeline.MaxBody); pipelineMax > 0 && pipelineMax < allowed {
		allowed = pipelineMax
	}
	tooLong := &rejection{api.ReasonBodyTooLarge, "the body exceeds " + strconv.FormatInt(allowed, 10) + " bytes"}
	if r.ContentLength > allowed {
		w.Header().Set("Connection", "close")
		return tooLong
	}
	clientconn.SetAccount(r.Context(), s.account.Name)
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, allowed))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return tooLong
	}
	if errors.Is(err, clientconn.ErrNoRoom) {
		w.Header().Set("Connection", "close")
		return &rejection{api.ReasonOverloaded, "no memory is left for the body"}
	}
	if err != nil {
		return &rejection{api.ReasonBadRequest, "the body could not be read"}
	}
	if err := json.Unmarshal(body, &s.input); err != nil {
		return &rejection{api.ReasonBadRequest, "the body is not the expected JSON: " + err.Error()}
	}
	if len(s.input.Input) == 0 {
		return &rejection{api.ReasonBadRequest, `the body has no "input"`}
	}
	s.body = body
	return nil
}

// parseTimeout sets the timeout to the pipeline's, or to the caller's if that is shorter.
func parseTimeout(r *http.Request, s *submission) *rejection {
	s.timeout = s.pipeline.Deadline.D()
	text := r.Header.Get(api.HeaderTimeout)
	if text == "" {
		return nil
	}
	ms, err := strconv.ParseUint(text, 10, 31)
	if err != nil || ms == 0 {
		return &rejection{api.ReasonBadRequest, api.HeaderTimeout + " is not a positive number of milliseconds"}
	}
	s.timeout = min(s.timeout, time.Duration(ms)*time.Millisecond)
	return nil
}

// affinityHash returns the hash of the input's first affinityPrefix bytes.
func affinityHash(s *submission) uint64 {
	prefix := s.input.Input
	if len(prefix) > affinityPrefix {
		prefix = prefix[:affinityPrefix]
	}
	return xxhash.Sum64(prefix)
}

// checkAdmission checks drain, quarantine, limits and feasibility, the cheapest
// first. It returns nil, or the problem to refuse the request with. The returned
// function releases the request's share of its account's limit.
func (e *Entry) checkAdmission(s *submission) (*api.Problem, func()) {
	id := s.admit.RequestID
	none := func() {}
	if e.refusing.Load() {
		return withRetry(refusal(id, api.ReasonDraining, ""), time.Second), none
	}
	// A request that waited in the socket buffer while this process was paused
	// looks new, but its caller has been waiting all that time. It is refused.
	if e.members.Stalled() || !e.viewApplied.Load() || !e.members.Ready() {
		return withRetry(refusal(id, api.ReasonPaused, "this process has lost sight of the fleet"), time.Second), none
	}
	now := e.cfg.Now()
	snapshot := e.fleet.snapshot(now)
	if after := s.gen.quarantineLeft(s, now); after > 0 {
		return withRetry(refusal(id, api.ReasonSuspectRequest, ""), after), none
	}
	demand := limit.DemandOf(now, s.pipeline, snapshot)
	verdict := s.gen.limiter.Admit(now, s.account, 1+len(e.members.Entries()), demand)
	if !verdict.OK {
		return withRetry(refusal(id, verdict.Reason, ""), verdict.RetryAfter), none
	}
	release := func() { s.gen.limiter.Done(s.account, demand.Pool, e.cfg.Now()) }
	if s.gen.verified.Bundle.Policy.Name == bundle.PolicyNaive {
		return nil, release
	}
	feasible := admit.Check(now, s.pipeline, s.admit.Deadline.Sub(now), e.estimates,
		loadAhead{snapshot: snapshot, share: verdict.AheadShare})
	if !feasible.OK {
		return withRetry(refusal(id, feasible.Reason, "expected to need "+feasible.Need.String()), feasible.RetryAfter), release
	}
	return nil, release
}

// quarantineLeft returns how much longer the content is refused because it
// crashed endpoints at one of the pipeline's stages; zero if it is not refused.
func (g *generation) quarantineLeft(s *submission, now time.Time) time.Duration {
	var longest time.Duration
	for i := range s.pipeline.Stages {
		key := suspect.Key(s.admit.Identity.BodyHash, s.pipeline.Stages[i].Name)
		longest = max(longest, g.suspects.RefusedFor(key, now))
	}
	return longest
}

func withRetry(p *api.Problem, after time.Duration) *api.Problem {
	p.RetryAfter = after
	return p
}
