package load

import (
	"slices"
	"strings"
	"time"
)

// Shares of a deployment's capacity at which the scenarios run.
const (
	calmShare     = 0.5
	burstFactor   = 3
	overloadShare = 2
	// floodShare is what a flooding account adds.
	floodShare = 1.5
)

// span is a part of a run, in shares of its duration.
type span struct {
	From, To float64
}

// whole is all of a run.
var whole = span{From: 0, To: 1}

func (s span) contains(at float64) bool { return at >= s.From && at < s.To }

func (s span) scale(d time.Duration) (from, to time.Duration) {
	return time.Duration(s.From * float64(d)), time.Duration(s.To * float64(d))
}

// Ramp changes the rate of arrivals over a part of a run.
type Ramp struct {
	span
	// Start and End are factors on the scenario's share; between them the rate
	// is linear.
	Start, End float64
}

// FaultKind is what goes wrong.
type FaultKind string

// The kinds of fault.
const (
	// FaultSlow makes one endpoint slower by slowFactor.
	FaultSlow FaultKind = "slow"
	// FaultStall freezes one endpoint without cutting its connections.
	FaultStall FaultKind = "stall"
	// FaultDown takes one endpoint away.
	FaultDown FaultKind = "down"
	// FaultDomain takes all endpoints of one failure domain away.
	FaultDomain FaultKind = "domain"
	// FaultPlatform makes the configuration service and the VM list unreachable.
	FaultPlatform FaultKind = "platform"
	// FaultCrashOn makes the endpoints of the bottleneck crash on crash requests.
	FaultCrashOn FaultKind = "crash_on"
)

// Fault is one thing that goes wrong for a part of a run. It strikes the first
// endpoint of the pool that limits the deployment, or the last failure domain.
type Fault struct {
	span
	Kind FaultKind
}

// Scenario is a shape of load and what goes wrong meanwhile.
type Scenario struct {
	Name string
	Help string
	// Share is the rate of arrivals as a share of the deployment's capacity.
	Share float64
	Ramps []Ramp
	// Flood is the further load of the largest account, as a share of the
	// capacity; zero for none.
	Flood  float64
	Faults []Fault
	// Crashes: a caller sends a request again and again that crashes endpoints.
	Crashes bool
}

// scenarioSeparator joins the names of scenarios that happen together.
const scenarioSeparator = "+"

// Scenarios lists the built-in scenarios.
func Scenarios() []Scenario {
	fault := func(kind FaultKind, s span) []Fault { return []Fault{{Kind: kind, span: s}} }
	most, part := span{0.1, 1}, span{0.25, 0.65}
	return []Scenario{
		{Name: "calm", Help: "half of the capacity", Share: calmShare},
		{Name: "burst", Help: "three times calm for a quarter of the run", Share: calmShare,
			Ramps: []Ramp{{span: span{0.35, 0.6}, Start: burstFactor, End: burstFactor}}},
		{Name: "storm", Help: "from calm to three times calm and back", Share: calmShare,
			Ramps: []Ramp{
				{span: span{0.1, 0.5}, Start: 1, End: burstFactor},
				{span: span{0.5, 0.8}, Start: burstFactor, End: burstFactor},
				{span: span{0.8, 0.9}, Start: burstFactor, End: 1},
			}},
		{Name: "overload-2x", Help: "twice the capacity", Share: overloadShare},
		{Name: "straggler", Help: "one endpoint ten times slower", Share: calmShare, Faults: fault(FaultSlow, most)},
		{Name: "dead-endpoint", Help: "one endpoint away", Share: calmShare, Faults: fault(FaultDown, most)},
		{Name: "stalled-endpoint", Help: "one endpoint frozen", Share: calmShare, Faults: fault(FaultStall, most)},
		{Name: "domain-cut", Help: "one failure domain's endpoints away for two fifths of the run", Share: calmShare,
			Faults: fault(FaultDomain, part)},
		{Name: "platform-down", Help: "configuration service and VM list away", Share: calmShare,
			Faults: fault(FaultPlatform, whole)},
		{Name: "account-flood", Help: "the largest account sends 1.5 times the capacity on top", Share: calmShare, Flood: floodShare},
		{Name: "crash-request", Help: "a request that crashes endpoints, sent again and again", Share: calmShare,
			Faults: fault(FaultCrashOn, whole), Crashes: true},
	}
}

// FindScenario returns a built-in scenario, or several joined by "+".
func FindScenario(name string) (Scenario, error) {
	var found []Scenario
	all := Scenarios()
	for part := range strings.SplitSeq(name, scenarioSeparator) {
		i := slices.IndexFunc(all, func(s Scenario) bool { return s.Name == part })
		if i < 0 {
			return Scenario{}, ErrUnknownScenario.New("no scenario %q; known: %s", part, strings.Join(scenarioNames(all), ", "))
		}
		found = append(found, all[i])
	}
	return together(found), nil
}

func scenarioNames(all []Scenario) []string {
	names := make([]string, len(all))
	for i, s := range all {
		names[i] = s.Name
	}
	return names
}

// together joins scenarios: the highest share and flood, all ramps and faults.
func together(parts []Scenario) Scenario {
	joined := parts[0]
	for _, s := range parts[1:] {
		joined.Name += scenarioSeparator + s.Name
		joined.Help += "; " + s.Help
		joined.Share = max(joined.Share, s.Share)
		joined.Ramps = slices.Concat(joined.Ramps, s.Ramps)
		joined.Flood = max(joined.Flood, s.Flood)
		joined.Faults = slices.Concat(joined.Faults, s.Faults)
		joined.Crashes = joined.Crashes || s.Crashes
	}
	return joined
}

// NeedsStandIns tells whether the scenario makes stand-ins fail.
func (s *Scenario) NeedsStandIns() bool { return len(s.Faults) > 0 }

// factor is the rate of arrivals at a share of the run, as a factor on Share.
// Where ramps overlap, the highest holds.
func (s *Scenario) factor(at float64) float64 {
	highest := 0.0
	for _, r := range s.Ramps {
		if r.contains(at) {
			done := (at - r.From) / (r.To - r.From)
			highest = max(highest, r.Start+(r.End-r.Start)*done)
		}
	}
	if highest == 0 {
		return 1
	}
	return highest
}

// peak is the highest factor.
func (s *Scenario) peak() float64 {
	highest := 1.0
	for _, r := range s.Ramps {
		highest = max(highest, r.Start, r.End)
	}
	return highest
}
