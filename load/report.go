package load

import (
	"time"

	"github.com/mangostage/mangostage/api"
	"github.com/mangostage/mangostage/bundle"
)

// Report sums a run up. Shares lie between 0 and 1.
type Report struct {
	Deployment string            `json:"deployment"`
	Scenario   string            `json:"scenario"`
	Policy     bundle.PolicyName `json:"policy"`
	Seed       uint64            `json:"seed"`
	Warmup     time.Duration     `json:"warmup_ns"`
	Duration   time.Duration     `json:"duration_ns"`
	Capacity   Capacity          `json:"capacity"`
	// Offered and Goodput are requests and answers in time, a second.
	Offered float64 `json:"offered_per_second"`
	Goodput float64 `json:"goodput_per_second"`
	// PoolOffered and PoolGoodput count only calls to the pool that limits the
	// deployment, as shares of what it can finish.
	PoolOffered float64 `json:"pool_offered"`
	PoolGoodput float64 `json:"pool_goodput"`

	Total Group `json:"total"`
	// Bystanders are all but those of the account that floods; absent if none does.
	Bystanders *Group  `json:"bystanders,omitempty"`
	Pipelines  []Group `json:"pipelines"`
	Accounts   []Group `json:"accounts"`
	// CrashRequests are not part of any other group.
	CrashRequests *Group `json:"crash_requests,omitempty"`
	// Crashes counts crashes of endpoints, whatever the cause.
	Crashes int `json:"crashes"`

	Reasons []ReasonCount `json:"reasons"`
	// RefusedWithRetryAfter counts refusals that say when to come back.
	RefusedWithRetryAfter int       `json:"refused_with_retry_after"`
	FirstToken            Quantiles `json:"first_token"`
	TokenGap              Quantiles `json:"token_gap"`

	Cost      []StageCost `json:"cost"`
	CostTotal StageCost   `json:"cost_total"`

	Integrity Integrity `json:"integrity"`
	Driver    Driver    `json:"driver"`
	Timeline  []Second  `json:"timeline"`
}

// Group is what became of some of the requests.
type Group struct {
	Name string `json:"name"`
	Sent int    `json:"sent"`
	// InTime requests were answered completely within their deadline, and
	// Attainment is their share.
	InTime     int     `json:"in_time"`
	Attainment float64 `json:"attainment"`
	Late       int     `json:"late"`
	Refused    int     `json:"refused"`
	CutShort   int     `json:"cut_short"`
	Unknown    int     `json:"unknown"`
	// Failed requests got no whole reply.
	Failed int `json:"failed"`
	Wrong  int `json:"wrong"`
	// Latency is that of answers, late ones included, from the time due.
	Latency Quantiles `json:"latency"`
}

// Quantiles of a time; all zero if nothing was measured.
type Quantiles struct {
	Count int           `json:"count"`
	P50   time.Duration `json:"p50_ns"`
	P95   time.Duration `json:"p95_ns"`
	P99   time.Duration `json:"p99_ns"`
}

// ReasonCount is how often an outcome other than an answer had a reason.
type ReasonCount struct {
	Outcome api.Outcome `json:"outcome"`
	Reason  api.Reason  `json:"reason"`
	Detail  string      `json:"detail,omitempty"`
	Count   int         `json:"count"`
}

// StageCost is the time on endpoints of one stage, the warm-up included.
type StageCost struct {
	Pipeline string        `json:"pipeline,omitempty"`
	Stage    string        `json:"stage,omitempty"`
	Useful   time.Duration `json:"useful_ns"`
	Wasted   time.Duration `json:"wasted_ns"`
}

// WastedShare is the share of work that no complete answer came of.
func (c StageCost) WastedShare() float64 {
	return share(float64(c.Wasted), float64(c.Useful+c.Wasted))
}

// Integrity counts broken promises, over all requests of a run. All must be zero.
type Integrity struct {
	// Wrong answers are incomplete or another request's.
	Wrong int `json:"wrong"`
	// Doubled is the number of unrepeatable stages that ran more than once.
	Doubled int `json:"doubled"`
	// RefusedButRan requests were refused as not run although a stage ran.
	RefusedButRan int `json:"refused_but_ran"`
	// Checked tells whether the stand-ins' own counts were compared.
	Checked bool `json:"checked"`
	// Examples describes some of them.
	Examples []string `json:"examples,omitempty"`
}

// Driver tells whether the load tool and its machine kept up.
type Driver struct {
	// Lag is how late requests were sent.
	Lag Quantiles `json:"lag"`
	// Cores is the mean number of processor cores that this process kept busy;
	// in self-contained mode it is everything that runs.
	Cores float64 `json:"cores"`
	// LoadAverage is the machine's over one minute, at the start and the end.
	LoadAverageStart float64 `json:"load_average_start"`
	LoadAverageEnd   float64 `json:"load_average_end"`
	// Errors describes some of the requests that got no whole reply.
	Errors []string `json:"errors,omitempty"`
}

// Second is one second of the run, by the time requests were due.
type Second struct {
	Sent    int `json:"sent"`
	InTime  int `json:"in_time"`
	Refused int `json:"refused"`
	// Latency is that of answers, late ones included, from the time due.
	Latency Quantiles `json:"latency"`
}

func share(part, all float64) float64 {
	if all == 0 {
		return 0
	}
	return part / all
}
