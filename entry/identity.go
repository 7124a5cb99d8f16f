package entry

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/mangostage/mangostage/api"
	"github.com/mangostage/mangostage/bundle"
	"github.com/mangostage/mangostage/owner"
	"github.com/mangostage/mangostage/reqid"
	"github.com/mangostage/mangostage/route"
	"github.com/mangostage/mangostage/wire"
)

// newRequestID mints the request ID of one submission.
func (e *Entry) newRequestID(account, pipelineName string) string {
	now := e.cfg.Now()
	return reqid.Mint(e.cfg.FleetKeys[0], reqid.Fields{
		Entry:    e.cfg.Process.Name,
		Issued:   now,
		Random:   reqid.NewRandom(),
		Account:  account,
		Pipeline: pipelineName,
		Expiry:   now,
		Kind:     wire.IdentityMinted,
	})
}

// identify sets the identity by which a resubmission can be recognised: a held
// request ID (fetched in advance), the caller's idempotency key, or neither, in
// which case a new ID is minted.
func (e *Entry) identify(r *http.Request, s *submission) *rejection {
	held := r.Header.Get(api.HeaderRequestID)
	key := r.Header.Get(api.HeaderIdempotencyKey)
	switch {
	case held != "" && key != "":
		return &rejection{api.ReasonBadRequest, "send either a request ID or an idempotency key"}
	case held != "":
		return e.identifyHeld(held, s)
	case key != "":
		return e.identifyKey(key, s)
	}
	s.admit.RequestID = e.newRequestID(s.account.Name, s.pipeline.Name)
	s.admit.Identity = wire.Identity{
		Kind:     wire.IdentityMinted,
		Value:    s.admit.RequestID,
		KeyTime:  s.received,
		BodyHash: bodyHash(s),
	}
	return nil
}

func (e *Entry) identifyHeld(token string, s *submission) *rejection {
	fields, err := reqid.Parse(e.cfg.FleetKeys, token)
	if err != nil {
		return &rejection{api.ReasonBadRequest, "the request ID is not one of ours"}
	}
	if fields.Account != s.account.Name || fields.Pipeline != s.pipeline.Name {
		return &rejection{api.ReasonForeignRequestID, "the request ID was issued to another account or for another pipeline"}
	}
	if fields.Kind != wire.IdentityHeld {
		return &rejection{api.ReasonBadRequest, "this request ID names one sending; only an ID fetched beforehand can be sent with"}
	}
	if !s.received.Before(fields.Expiry) {
		return &rejection{api.ReasonIDExpired, "the request ID expired at " + fields.Expiry.UTC().Format(time.RFC3339)}
	}
	s.admit.RequestID = token
	s.admit.Bindings = fields.Bindings
	s.admit.PossibleResubmission = true
	s.admit.Identity = wire.Identity{
		Kind:     wire.IdentityHeld,
		Value:    token,
		KeyTime:  fields.Issued,
		BodyHash: bodyHash(s),
	}
	return nil
}

func (e *Entry) identifyKey(key string, s *submission) *rejection {
	if !reqid.ValidKey(key) {
		return &rejection{api.ReasonBadRequest, "the idempotency key is not 1 to 255 printable ASCII characters"}
	}
	s.admit.RequestID = e.newRequestID(s.account.Name, s.pipeline.Name)
	s.admit.PossibleResubmission = true
	s.admit.Identity = wire.Identity{
		Kind: wire.IdentityKey,
		// Names of accounts and pipelines contain no NUL, so keys of different
		// accounts or pipelines cannot collide.
		Value:    s.account.Name + "\x00" + s.pipeline.Name + "\x00" + key,
		KeyTime:  reqid.KeyTime(key),
		BodyHash: bodyHash(s),
	}
	s.admit.Bindings = ownerBindings(s.gen.verified.Bundle, s.pipeline, s.admit.Identity.Value)
	return nil
}

// ownerBindings returns, for each unrepeatable stage, a binding to the pool slot
// that owns the identity.
func ownerBindings(b *bundle.Bundle, p *bundle.Pipeline, identity string) map[string]wire.Binding {
	bindings := make(map[string]wire.Binding)
	for _, stage := range p.Stages {
		if stage.Unrepeatable {
			bindings[stage.Name] = wire.Binding{Agent: owner.Owner(b.Pool(stage.Pool).Slots, identity, stage.Name)}
		}
	}
	return bindings
}

// bodyHash returns the hex SHA-256 of the pipeline's name and the input.
func bodyHash(s *submission) string {
	digest := sha256.New()
	_, _ = digest.Write([]byte(s.pipeline.Name))
	_, _ = digest.Write([]byte{0})
	_, _ = digest.Write(s.input.Input)
	return hex.EncodeToString(digest.Sum(nil))
}

// idRequest is the body of a call that fetches a request ID.
type idRequest struct {
	Pipeline string `json:"pipeline"`
}

// idReply is the answer to idRequest.
type idReply struct {
	RequestID string    `json:"request_id"`
	Pipeline  string    `json:"pipeline"`
	ExpiresAt time.Time `json:"expires_at"`
}

// mintID issues a held request ID, which the caller submits with later, possibly
// several times and through several entries. It binds each unrepeatable stage to
// one run of one agent, so that all submissions reach the same run or none.
func (e *Entry) mintID(w http.ResponseWriter, r *http.Request) {
	g, account := e.authenticate(w, r)
	if account == nil {
		return
	}
	var body idRequest
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxSmallBody))
	if err != nil || json.Unmarshal(data, &body) != nil {
		e.reject(w, api.ReasonBadRequest, `the body is not {"pipeline": "…"}`)
		return
	}
	p := g.verified.Bundle.Pipeline(body.Pipeline)
	if p == nil || !mayCall(account, body.Pipeline) {
		e.reject(w, api.ReasonUnknownPipeline, "the account has no such pipeline")
		return
	}
	bindings, ok := e.bind(g, p)
	if !ok {
		writeProblem(w, withRetry(refusal(e.newRequestID(account.Name, p.Name), api.ReasonNoEndpoint, ""), time.Second))
		return
	}
	now := e.cfg.Now()
	expiry := now.Add(g.verified.Bundle.Policy.KeyRetention.D())
	id := reqid.Mint(e.cfg.FleetKeys[0], reqid.Fields{
		Entry:    e.cfg.Process.Name,
		Issued:   now,
		Random:   reqid.NewRandom(),
		Account:  account.Name,
		Pipeline: p.Name,
		Bindings: bindings,
		Expiry:   expiry,
		Kind:     wire.IdentityHeld,
	})
	w.Header().Set(api.HeaderRequestID, id)
	writeJSON(w, http.StatusCreated, idReply{RequestID: id, Pipeline: p.Name, ExpiresAt: expiry})
}

// bind chooses a live agent run for each unrepeatable stage. It returns false if
// a stage has no usable endpoint.
func (e *Entry) bind(g *generation, p *bundle.Pipeline) (map[string]wire.Binding, bool) {
	now := e.cfg.Now()
	snapshot := e.fleet.snapshot(now)
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	bindings := make(map[string]wire.Binding)
	for _, stage := range p.Stages {
		if !stage.Unrepeatable {
			continue
		}
		d := g.router.Pick(snapshot, &route.Request{Stage: stage.Name, Pool: stage.Pool, Model: stage.Model}, now, rng)
		if d.Endpoint == nil {
			return nil, false
		}
		incarnation, ok := e.fleet.incarnation(d.Endpoint.Name)
		if !ok {
			return nil, false
		}
		bindings[stage.Name] = wire.Binding{Agent: d.Endpoint.Name, Incarnation: incarnation}
	}
	return bindings, true
}
