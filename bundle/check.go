package bundle

import (
	"cmp"
	"encoding/hex"
	"regexp"
	"slices"
	"time"

	"github.com/mangostage/mangostage/finding"
	"github.com/mangostage/mangostage/wire"
)

// MaxBodyBytes is the largest max_body of a pipeline: a stage call carries the
// request and the previous stage's result in one message between processes,
// and JSON may lengthen both.
const MaxBodyBytes = wire.MaxMessage / 4

// namePattern is the form of the names of pools, endpoints, pipelines, stages
// and accounts. Names appear in URLs, log lines and host names.
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// credentialBytes is the length in bytes of a SHA-256 hash.
const credentialBytes = 32

// Check decodes a bundle and validates its content. The error is a finding.List
// of all mistakes in file order, each with the place of the offending node.
func Check(file string, data []byte) (*Bundle, error) {
	b, pos, findings := decode(file, data)
	if pos == nil || b == nil {
		return nil, findings.Err()
	}
	c := checker{bundle: b, findings: findings}
	c.checkSize(pos, len(data))
	if !pos.invalid {
		c.check(pos)
	}
	sortFindings(c.findings)
	if err := c.findings.Err(); err != nil {
		return nil, err
	}
	return b, nil
}

// checker validates a decoded bundle.
type checker struct {
	bundle   *Bundle
	findings finding.List
}

func (c *checker) check(pos *position) {
	b := c.bundle
	c.require(b.Version > 0, pos.field("version"), "version must be at least 1")
	c.require(len(b.Accounts) > 0, pos.field("accounts"), "there must be at least one account")
	c.require(len(b.Pools) > 0, pos.field("pools"), "there must be at least one pool")
	c.require(len(b.Pipelines) > 0, pos.field("pipelines"), "there must be at least one pipeline")
	c.checkPolicy(pos.field("policy"))
	c.checkPools(pos.field("pools"))
	c.checkPipelines(pos.field("pipelines"))
	seenHashes := newNameSet("credential")
	c.checkAccounts(pos.field("accounts"), seenHashes)
	c.checkOperators(pos.field("operators"), seenHashes)
}

// require adds a finding unless ok. Values that could not be decoded already
// have a finding and get no second one.
func (c *checker) require(ok bool, pos *position, format string, args ...any) {
	if !ok && !pos.invalid {
		c.findings.Add(pos.place, format, args...)
	}
}

// checkSize checks the length of the signed value, which is longer than the YAML.
func (c *checker) checkSize(pos *position, payload int) {
	signed := signedSize(payload)
	c.require(signed <= MaxBytes, pos,
		"bundle has %d bytes once signed; the configuration service holds at most %d", signed, MaxBytes)
}

func (c *checker) checkPolicy(pos *position) {
	p := c.bundle.Policy
	c.require(p.Name == PolicyAdaptive || p.Name == PolicyNaive, pos.field("name"),
		"unknown policy %q; known: %s, %s", p.Name, PolicyAdaptive, PolicyNaive)
	c.require(p.RetryBudget >= 0 && p.RetryBudget <= 1, pos.field("retry_budget"), "retry_budget must be between 0 and 1")
	c.require(p.MaxAttempts >= 1, pos.field("max_attempts"), "max_attempts must be at least 1")
	c.require(p.HedgeAfter >= 0 && p.HedgeAfter < 1, pos.field("hedge_after"), "hedge_after must be at least 0 and under 1")
	c.require(p.CrashLimit >= 1, pos.field("crash_limit"), "crash_limit must be at least 1")
	c.require(p.Affinity >= 0 && p.Affinity <= 1, pos.field("affinity"), "affinity must be between 0 and 1")
	c.require(p.DrainAfter > 0, pos.field("drain_after"), "drain_after must be longer than 0s")
	c.require(p.KeyRetention > 0, pos.field("key_retention"), "key_retention must be longer than 0s")
	c.require(p.ModelLoadsPerMinute > 0, pos.field("model_loads_per_minute"), "model_loads_per_minute must be more than 0")
	c.require(p.MaxClockSkew >= 0, pos.field("max_clock_skew"), "max_clock_skew must not be negative")
}

func (c *checker) checkPools(pos *position) {
	pools := newNameSet("pool")
	slots := newNameSet("slot")
	for i := range c.bundle.Pools {
		pool := &c.bundle.Pools[i]
		at := pos.item(i)
		c.requireValidName(pools, pool.Name, at.field("name"))
		c.require(pool.Protocol == ProtocolEngine || pool.Protocol == ProtocolService, at.field("protocol"),
			"unknown protocol %q; known: %s, %s", pool.Protocol, ProtocolEngine, ProtocolService)
		c.require(pool.Endpoints >= 1, at.field("endpoints"), "endpoints must be at least 1")
		c.require(pool.Concurrency >= 1, at.field("concurrency"), "concurrency must be at least 1")
		c.require(pool.Queue >= 0, at.field("queue"), "queue must not be negative")
		c.require(len(pool.Slots) <= pool.Endpoints || at.field("endpoints").invalid, at.field("slots"),
			"pool %q has %d slots but only %d endpoints", pool.Name, len(pool.Slots), pool.Endpoints)
		for j, slot := range pool.Slots {
			c.requireValidName(slots, slot, at.field("slots").item(j))
		}
		c.checkModels(pool, at.field("models"))
	}
}

func (c *checker) checkModels(pool *Pool, pos *position) {
	c.require(pool.Protocol == ProtocolEngine || len(pool.Models) == 0, pos,
		"pool %q holds models but its protocol is not %s", pool.Name, ProtocolEngine)
	models := newNameSet("model")
	for i, model := range pool.Models {
		at := pos.item(i)
		c.require(model != "", at, "model name is empty")
		c.requireUnique(models, model, at)
	}
}

func (c *checker) checkPipelines(pos *position) {
	pipelines := newNameSet("pipeline")
	for i := range c.bundle.Pipelines {
		p := &c.bundle.Pipelines[i]
		at := pos.item(i)
		c.requireValidName(pipelines, p.Name, at.field("name"))
		c.require(p.MaxBody >= 1 && p.MaxBody <= MaxBodyBytes, at.field("max_body"),
			"max_body must be between 1 and %d bytes", MaxBodyBytes)
		c.require(len(p.Stages) >= 1 && len(p.Stages) <= MaxStages, at.field("stages"),
			"pipeline %q has %d stages; 1 to %d are allowed", p.Name, len(p.Stages), MaxStages)
		c.checkStages(p, at.field("stages"))
		c.checkDeadline(p, at)
	}
}

// checkDeadline compares a pipeline's deadline with the typical time of its
// stages and with how long a finished call is remembered.
func (c *checker) checkDeadline(p *Pipeline, at *position) {
	pos := at.field("deadline")
	if p.Deadline <= 0 {
		c.require(false, pos, "deadline must be longer than 0s")
		return
	}
	var sum time.Duration
	for _, s := range p.Stages {
		sum += max(0, s.Typical.D())
	}
	c.require(p.Deadline.D() >= sum, pos,
		"deadline %s cannot be met: the stages of %q typically take %s", p.Deadline.D(), p.Name, sum)
	// A call that is forgotten before its request ends could run a second time.
	retention := c.bundle.Policy.KeyRetention
	c.require(retention <= 0 || p.Deadline <= retention, pos,
		"deadline %s is longer than the policy's key_retention %s", p.Deadline.D(), retention.D())
}

func (c *checker) checkStages(p *Pipeline, pos *position) {
	stages := newNameSet("stage")
	for i := range p.Stages {
		s := &p.Stages[i]
		at := pos.item(i)
		c.requireValidName(stages, s.Name, at.field("name"))
		c.require(s.Typical > 0, at.field("typical"), "typical must be longer than 0s")
		c.require(s.MaxTokens >= 0, at.field("max_tokens"), "max_tokens must not be negative")
		c.checkStagePool(s, at)
	}
}

// checkStagePool checks a stage against the pool that runs it.
func (c *checker) checkStagePool(s *Stage, at *position) {
	pool := c.bundle.Pool(s.Pool)
	if pool == nil {
		c.require(false, at.field("pool"), "unknown pool %q", s.Pool)
		return
	}
	c.require(!s.Unrepeatable || len(pool.Slots) > 0, at.field("unrepeatable"),
		"stage %q is unrepeatable but pool %q has no slots", s.Name, s.Pool)
	if s.Model == "" {
		c.require(len(pool.Models) == 0, at.field("model"),
			"stage %q names no model but pool %q holds models", s.Name, s.Pool)
		return
	}
	for _, model := range pool.Models {
		if model == s.Model {
			return
		}
	}
	c.require(false, at.field("model"), "unknown model %q in pool %q", s.Model, s.Pool)
}

func (c *checker) checkAccounts(pos *position, seenHashes *nameSet) {
	accounts := newNameSet("account")
	for i := range c.bundle.Accounts {
		a := &c.bundle.Accounts[i]
		at := pos.item(i)
		c.requireValidName(accounts, a.Name, at.field("name"))
		c.checkCredentials(a.CredentialSHA256, at.field("credential_sha256"), seenHashes)
		c.require(a.Weight >= 1, at.field("weight"), "weight must be at least 1")
		c.require(a.Priority >= 0, at.field("priority"), "priority must not be negative")
		c.checkLimit(a.Limit, at.field("limit"))
		allowed := newNameSet("pipeline")
		for j, name := range a.Pipelines {
			item := at.field("pipelines").item(j)
			c.require(c.bundle.Pipeline(name) != nil, item, "unknown pipeline %q", name)
			c.requireUnique(allowed, name, item)
		}
	}
}

func (c *checker) checkLimit(l Limit, pos *position) {
	c.require(l.RequestsPerSecond > 0, pos.field("requests_per_second"), "requests_per_second must be more than 0")
	c.require(l.Burst >= 1, pos.field("burst"), "burst must be at least 1")
	c.require(l.InFlight >= 1, pos.field("in_flight"), "in_flight must be at least 1")
}

func (c *checker) checkOperators(pos *position, seenHashes *nameSet) {
	operators := newNameSet("operator")
	for i := range c.bundle.Operators {
		o := &c.bundle.Operators[i]
		at := pos.item(i)
		c.requireValidName(operators, o.Name, at.field("name"))
		c.checkCredentials(o.CredentialSHA256, at.field("credential_sha256"), seenHashes)
	}
}

// checkCredentials checks the form of credential hashes and that each is used
// once. One hash in two places would leave open to whom a request belongs and
// whose answers its sender may see.
func (c *checker) checkCredentials(hashes []string, pos *position, seenHashes *nameSet) {
	c.require(len(hashes) > 0, pos, "there must be at least one credential hash")
	for i, h := range hashes {
		at := pos.item(i)
		raw, err := hex.DecodeString(h)
		if err != nil || len(raw) != credentialBytes || hex.EncodeToString(raw) != h {
			c.require(false, at, "credential_sha256 must be %d lower-case hex digits", 2*credentialBytes)
			continue
		}
		c.requireUnique(seenHashes, h, at)
	}
}

// requireValidName requires that a name matches namePattern and is used once.
func (c *checker) requireValidName(seen *nameSet, name string, pos *position) {
	if !namePattern.MatchString(name) {
		c.require(false, pos, "%s name %q must be 1 to 63 lower-case letters, digits and inner hyphens", seen.kind, name)
		return
	}
	c.requireUnique(seen, name, pos)
}

// requireUnique requires that a value is used once.
func (c *checker) requireUnique(seen *nameSet, name string, pos *position) {
	if pos.invalid {
		return
	}
	first, ok := seen.firstUse[name]
	if !ok {
		seen.firstUse[name] = pos.place
		return
	}
	c.require(false, pos, "duplicate %s %q, first at %s", seen.kind, name, first)
}

// nameSet holds the values of one kind, each with the place of its first use.
type nameSet struct {
	kind     string
	firstUse map[string]finding.Place
}

func newNameSet(kind string) *nameSet {
	return &nameSet{kind: kind, firstUse: make(map[string]finding.Place)}
}

// sortFindings sorts findings by line and column.
func sortFindings(l finding.List) {
	slices.SortStableFunc(l, func(a, b finding.Finding) int {
		return cmp.Or(
			cmp.Compare(a.Place.Line, b.Place.Line),
			cmp.Compare(a.Place.Column, b.Place.Column),
		)
	})
}
