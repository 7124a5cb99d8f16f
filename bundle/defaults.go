package bundle

import "time"

// Default values of fields that a bundle omits.
const (
	DefaultPolicy       = PolicyAdaptive
	DefaultRetryBudget  = 0.1
	DefaultMaxAttempts  = 3
	DefaultHedgeAfter   = 0.0
	DefaultCrashLimit   = 3
	DefaultAffinity     = 0.5
	DefaultDrainAfter   = Duration(3 * time.Second)
	DefaultKeyRetention = Duration(10 * time.Minute)
	DefaultMaxClockSkew = Duration(500 * time.Millisecond)

	DefaultModelLoadsPerMinute = 60.0

	DefaultProtocol    = ProtocolService
	DefaultConcurrency = 16
	DefaultQueue       = 64

	DefaultDeadline = Duration(4 * time.Second)
	DefaultMaxBody  = 256 << 10
	DefaultTypical  = Duration(15 * time.Millisecond)

	DefaultWeight            = 1
	DefaultRequestsPerSecond = 100
	DefaultBurst             = 200
	DefaultInFlight          = 200
)

// defaulter is implemented by the parts of a bundle that have default values.
// Defaults are set before the YAML is decoded, so that an explicit zero is kept.
type defaulter interface {
	setDefaults()
}

func (b *Bundle) setDefaults() {
	b.Policy.setDefaults()
}

func (p *Policy) setDefaults() {
	*p = Policy{
		Name:         DefaultPolicy,
		RetryBudget:  DefaultRetryBudget,
		MaxAttempts:  DefaultMaxAttempts,
		HedgeAfter:   DefaultHedgeAfter,
		CrashLimit:   DefaultCrashLimit,
		Affinity:     DefaultAffinity,
		DrainAfter:   DefaultDrainAfter,
		KeyRetention: DefaultKeyRetention,
		MaxClockSkew: DefaultMaxClockSkew,

		ModelLoadsPerMinute: DefaultModelLoadsPerMinute,
	}
}

func (p *Pool) setDefaults() {
	p.Protocol = DefaultProtocol
	p.Concurrency = DefaultConcurrency
	p.Queue = DefaultQueue
}

func (p *Pipeline) setDefaults() {
	p.Deadline = DefaultDeadline
	p.MaxBody = DefaultMaxBody
}

func (s *Stage) setDefaults() {
	s.Typical = DefaultTypical
}

func (a *Account) setDefaults() {
	a.Weight = DefaultWeight
	a.Limit.setDefaults()
}

func (l *Limit) setDefaults() {
	l.RequestsPerSecond = DefaultRequestsPerSecond
	l.Burst = DefaultBurst
	l.InFlight = DefaultInFlight
}
