// Package bundle defines the bundle, the operator's versioned configuration of
// pipelines, pools, client accounts and policy: its schema, validation and
// signature, and the rule by which a process adopts a newer version.
package bundle

import (
	"time"
)

// Limits on a bundle.
const (
	// MaxBytes is the size in bytes of the largest value that the configuration
	// service holds.
	MaxBytes = 1 << 20
	// MaxStages is the largest number of stages in a pipeline.
	MaxStages = 6
)

// Bundle is one version of the operator's configuration. It is immutable once
// decoded, so that pointers to it can be shared.
type Bundle struct {
	// Version orders bundles; a process adopts only a higher one.
	Version     uint64     `yaml:"version" json:"version"`
	Description string     `yaml:"description" json:"description,omitempty"`
	Policy      Policy     `yaml:"policy" json:"policy"`
	Accounts    []Account  `yaml:"accounts" json:"accounts"`
	Operators   []Operator `yaml:"operators" json:"operators"`
	Pools       []Pool     `yaml:"pools" json:"pools"`
	Pipelines   []Pipeline `yaml:"pipelines" json:"pipelines"`
}

// PolicyName selects the set of decision plug-ins that processes use.
type PolicyName string

// The policies.
const (
	PolicyAdaptive PolicyName = "adaptive"
	// PolicyNaive is the baseline: round robin, a fixed timeout, three retries.
	PolicyNaive PolicyName = "naive"
)

// Policy holds the parameters of routing, retries and limits.
type Policy struct {
	Name PolicyName `yaml:"name" json:"name"`
	// RetryBudget is the maximum ratio of retries to successes, per pool.
	RetryBudget float64 `yaml:"retry_budget" json:"retry_budget"`
	// MaxAttempts bounds the attempts of one stage of one request.
	MaxAttempts int `yaml:"max_attempts" json:"max_attempts"`
	// HedgeAfter is the service-time quantile after which a second attempt
	// starts; zero turns hedging off.
	HedgeAfter float64 `yaml:"hedge_after" json:"hedge_after"`
	// CrashLimit is the number of endpoint crashes after which a request's
	// content is refused.
	CrashLimit int `yaml:"crash_limit" json:"crash_limit"`
	// Affinity is the weight of prefix-cache affinity against load, 0 to 1.
	Affinity float64 `yaml:"affinity" json:"affinity"`
	// DrainAfter is how long an endpoint may take to stop accepting once it
	// is listed as leaving.
	DrainAfter Duration `yaml:"drain_after" json:"drain_after"`
	// KeyRetention is how long a finished unrepeatable call is remembered.
	KeyRetention Duration `yaml:"key_retention" json:"key_retention"`
	// ModelLoadsPerMinute is the maximum number of models that all engines together
	// load from the weight store in a minute.
	ModelLoadsPerMinute float64 `yaml:"model_loads_per_minute" json:"model_loads_per_minute"`
	// MaxClockSkew bounds the difference between the clocks of two VMs.
	MaxClockSkew Duration `yaml:"max_clock_skew" json:"max_clock_skew"`
}

// Account is a client account.
type Account struct {
	Name string `yaml:"name" json:"name"`
	// CredentialSHA256 lists the hex SHA-256 hashes of accepted bearer
	// credentials; several allow rotation without interruption.
	CredentialSHA256 []string `yaml:"credential_sha256" json:"credential_sha256"`
	// Weight is the account's share among accounts of equal priority.
	Weight int `yaml:"weight" json:"weight"`
	// Priority orders accounts under load; higher first.
	Priority int   `yaml:"priority" json:"priority"`
	Limit    Limit `yaml:"limit" json:"limit"`
	// Pipelines are the pipelines that the account may call; empty means all.
	Pipelines []string `yaml:"pipelines" json:"pipelines,omitempty"`
}

// Limit bounds the requests of an account over the whole fleet.
type Limit struct {
	RequestsPerSecond float64 `yaml:"requests_per_second" json:"requests_per_second"`
	Burst             int     `yaml:"burst" json:"burst"`
	InFlight          int     `yaml:"in_flight" json:"in_flight"`
}

// Operator is an operator, who may use the administration API.
type Operator struct {
	Name             string   `yaml:"name" json:"name"`
	CredentialSHA256 []string `yaml:"credential_sha256" json:"credential_sha256"`
}

// Protocol names the plug-in that calls an endpoint.
type Protocol string

// The endpoint protocols.
const (
	// ProtocolEngine is a model engine that streams tokens.
	ProtocolEngine Protocol = "engine"
	// ProtocolService is a plain HTTP service, encoder, retriever or reranker.
	ProtocolService Protocol = "service"
)

// Pool is a set of interchangeable endpoints. The platform lists which endpoints
// are alive; the bundle only describes their purpose.
type Pool struct {
	Name     string   `yaml:"name" json:"name"`
	Protocol Protocol `yaml:"protocol" json:"protocol"`
	// Endpoints is the expected number of endpoints, for checks and capacity.
	Endpoints int `yaml:"endpoints" json:"endpoints"`
	// Concurrency is how many calls one endpoint runs at once.
	Concurrency int `yaml:"concurrency" json:"concurrency"`
	// Queue is how many calls may wait at one agent.
	Queue int `yaml:"queue" json:"queue"`
	// Models are the models that the pool's engines hold.
	Models []string `yaml:"models" json:"models,omitempty"`
	// Slots names the endpoints that own idempotency keys of unrepeatable
	// stages in this pool; required when such a stage uses the pool.
	Slots []string `yaml:"slots" json:"slots,omitempty"`
	// Fencing is true if the engines refuse orders with an outdated fencing number.
	Fencing bool `yaml:"fencing" json:"fencing,omitempty"`
}

// Pipeline is a sequence of stages under one deadline.
type Pipeline struct {
	Name string `yaml:"name" json:"name"`
	// Deadline is the time from acceptance to the last byte of the answer.
	Deadline Duration `yaml:"deadline" json:"deadline"`
	// MaxBody is the largest request body in bytes.
	MaxBody int     `yaml:"max_body" json:"max_body"`
	Stages  []Stage `yaml:"stages" json:"stages"`
}

// Stage is one step of a pipeline, run on an endpoint of a pool.
type Stage struct {
	Name string `yaml:"name" json:"name"`
	Pool string `yaml:"pool" json:"pool"`
	// Model is the model that an engine stage needs.
	Model string `yaml:"model" json:"model,omitempty"`
	// Typical is the expected service time, used until times are measured.
	Typical Duration `yaml:"typical" json:"typical"`
	// Unrepeatable is true if the stage must run at most once per request identity.
	Unrepeatable bool `yaml:"unrepeatable" json:"unrepeatable,omitempty"`
	MaxTokens    int  `yaml:"max_tokens" json:"max_tokens,omitempty"`
}

// Duration is a time.Duration written like "4s" in YAML and JSON.
type Duration time.Duration

// D returns d as a time.Duration.
func (d Duration) D() time.Duration { return time.Duration(d) }

// MarshalText formats d like "4s".
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText parses a duration like "4s".
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*d = Duration(v)
	return nil
}

// Pipeline returns the pipeline of that name, or nil.
func (b *Bundle) Pipeline(name string) *Pipeline {
	for i := range b.Pipelines {
		if b.Pipelines[i].Name == name {
			return &b.Pipelines[i]
		}
	}
	return nil
}

// Pool returns the pool of that name, or nil.
func (b *Bundle) Pool(name string) *Pool {
	for i := range b.Pools {
		if b.Pools[i].Name == name {
			return &b.Pools[i]
		}
	}
	return nil
}

// Account returns the client account of that name, or nil.
func (b *Bundle) Account(name string) *Account {
	for i := range b.Accounts {
		if b.Accounts[i].Name == name {
			return &b.Accounts[i]
		}
	}
	return nil
}
