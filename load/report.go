package load

import (
	"time"

	"github.com/mangostage/mangostage/api"
	"github.com/mangostage/mangostage/bundle"
)

// Report is the result of a run. Its fractions lie between 0 and 1, except for
// PoolOffered.
type Report struct {
	Deployment string            `json:"deployment"`
	Scenario   string            `json:"scenario"`
	Policy     bundle.PolicyName `json:"policy"`
	Seed       uint64            `json:"seed"`
	Warmup     time.Duration     `json:"warmup_ns"`
	Duration   time.Duration     `json:"duration_ns"`
	Capacity   Capacity          `json:"capacity"`
	// Offered is the rate of requests and Goodput the rate of answers in time,
	// both a second.
	Offered float64 `json:"offered_per_second"`
	Goodput float64 `json:"goodput_per_second"`
	// PoolOffered and PoolGoodput count only the calls to the pool that limits
	// the capacity, as fractions of the calls that it can finish. PoolOffered
	// exceeds 1 under overload.
	PoolOffered float64 `json:"pool_offered"`
	PoolGoodput float64 `json:"pool_goodput"`

	Total Group `json:"total"`
	// Bystanders are the requests of all accounts but the flooding one; absent if
	// the scenario has no flood.
	Bystanders *Group  `json:"bystanders,omitempty"`
	Pipelines  []Group `json:"pipelines"`
	Accounts   []Group `json:"accounts"`
	// CrashRequests are not part of any other group.
	CrashRequests *Group `json:"crash_requests,omitempty"`
	// Crashes is the number of crashes of stand-ins, whatever the cause.
	Crashes int `json:"crashes"`

	Reasons []ReasonCount `json:"reasons"`
	// RefusedWithRetryAfter counts refusals that name a time after which to retry.
	RefusedWithRetryAfter int       `json:"refused_with_retry_after"`
	FirstToken            Quantiles `json:"first_token"`
	TokenGap              Quantiles `json:"token_gap"`

	Cost      []StageCost `json:"cost"`
	CostTotal StageCost   `json:"cost_total"`

	Integrity Integrity `json:"integrity"`
	Driver    Driver    `json:"driver"`
	Timeline  []Second  `json:"timeline"`
}

// Group counts the outcomes of a group of requests, such as those of one pipeline
// or one account.
type Group struct {
	Name string `json:"name"`
	Sent int    `json:"sent"`
	// InTime counts requests that got a complete and correct answer within their
	// deadline and objective; Attainment is their fraction of Sent.
	InTime     int     `json:"in_time"`
	Attainment float64 `json:"attainment"`
	Late       int     `json:"late"`
	Refused    int     `json:"refused"`
	CutShort   int     `json:"cut_short"`
	Unknown    int     `json:"unknown"`
	// Failed counts requests that got no complete reply.
	Failed int `json:"failed"`
	// Wrong counts answers that are incomplete or belong to another request.
	Wrong int `json:"wrong"`
	// Latency is the latency of all answers, late ones included, from the due
	// time.
	Latency Quantiles `json:"latency"`
}

// Quantiles has the quantiles of a duration; all are zero if nothing was measured.
type Quantiles struct {
	Count int           `json:"count"`
	P50   time.Duration `json:"p50_ns"`
	P95   time.Duration `json:"p95_ns"`
	P99   time.Duration `json:"p99_ns"`
}

// ReasonCount is the number of requests that ended with an outcome other than an
// answer, for one reason and detail.
type ReasonCount struct {
	Outcome api.Outcome `json:"outcome"`
	Reason  api.Reason  `json:"reason"`
	Detail  string      `json:"detail,omitempty"`
	Count   int         `json:"count"`
}

// StageCost is the endpoint time of one stage, the warm-up included.
type StageCost struct {
	Pipeline string        `json:"pipeline,omitempty"`
	Stage    string        `json:"stage,omitempty"`
	Useful   time.Duration `json:"useful_ns"`
	Wasted   time.Duration `json:"wasted_ns"`
}

// WastedShare returns the fraction of the work that led to no complete answer.
func (c StageCost) WastedShare() float64 {
	return fraction(float64(c.Wasted), float64(c.Useful+c.Wasted))
}

// Integrity counts violated guarantees over all requests of a run, the warm-up
// included. All counts must be zero.
type Integrity struct {
	// Wrong is the number of answers that are incomplete or belong to another
	// request.
	Wrong int `json:"wrong"`
	// RepeatedStages is the number of unrepeatable stages that ran more than once.
	RepeatedStages int `json:"doubled"`
	// RefusedButRan is the number of requests that were refused, which states
	// that nothing ran, although a stage ran.
	RefusedButRan int `json:"refused_but_ran"`
	// Checked is true if the counts of the stand-ins were compared. Otherwise
	// RepeatedStages and RefusedButRan are unknown.
	Checked bool `json:"checked"`
	// Examples describes some of the violations.
	Examples []string `json:"examples,omitempty"`
}

// Driver shows whether the load generator and its machine kept up with the
// schedule.
type Driver struct {
	// Lag is the delay between the due time and the sending of requests.
	Lag Quantiles `json:"lag"`
	// Cores is the mean number of processor cores that this process kept busy. In
	// a self-contained run it includes the whole deployment.
	Cores float64 `json:"cores"`
	// LoadAverageStart and LoadAverageEnd are the machine's load average over one
	// minute at the start and the end of the run.
	LoadAverageStart float64 `json:"load_average_start"`
	LoadAverageEnd   float64 `json:"load_average_end"`
	// Errors has the errors of some of the requests that got no complete reply.
	Errors []string `json:"errors,omitempty"`
}

// Second counts the requests that were due in one second of the run.
type Second struct {
	Sent    int `json:"sent"`
	InTime  int `json:"in_time"`
	Refused int `json:"refused"`
	// Latency is the latency of all answers, late ones included, from the due
	// time.
	Latency Quantiles `json:"latency"`
}

// fraction returns part divided by all; zero if all is zero.
func fraction(part, all float64) float64 {
	if all == 0 {
		return 0
	}
	return part / all
}
