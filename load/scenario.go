package load

import (
	"slices"
	"strings"
	"time"
)

// Rates of the scenarios. Shares are fractions of the deployment's capacity.
const (
	calmShare = 0.5
	// burstFactor is the peak rate of bursts, as a multiple of calmShare.
	burstFactor   = 3
	overloadShare = 2
	// floodShare is the rate that a flooding account adds.
	floodShare = 1.5
)

// span is a part of a run, from From (inclusive) to To (exclusive), as fractions
// of the run's duration.
type span struct {
	From, To float64
}

// wholeRun covers the whole duration of a run.
var wholeRun = span{From: 0, To: 1}

func (s span) contains(at float64) bool { return at >= s.From && at < s.To }

func (s span) scale(d time.Duration) (from, to time.Duration) {
	return time.Duration(s.From * float64(d)), time.Duration(s.To * float64(d))
}

// Ramp changes the rate of arrivals over a part of a run.
type Ramp struct {
	span
	// Start and End are the factors on Scenario.Share at the start and the end of
	// the span; the factor changes linearly between them.
	Start, End float64
}

// FaultKind is a kind of injected fault.
type FaultKind string

// The kinds of fault.
const (
	// FaultSlow makes one endpoint slower by slowFactor.
	FaultSlow FaultKind = "slow"
	// FaultStall freezes one endpoint without cutting its connections.
	FaultStall FaultKind = "stall"
	// FaultDown crashes one endpoint, which stays down during the fault.
	FaultDown FaultKind = "down"
	// FaultDomain crashes all endpoints of one failure domain, which stay down
	// during the fault.
	FaultDomain FaultKind = "domain"
	// FaultPlatform makes the configuration service and the VM list unreachable.
	FaultPlatform FaultKind = "platform"
	// FaultCrashOn makes the endpoints of the limiting pool crash when they run a
	// crash request.
	FaultCrashOn FaultKind = "crash_on"
)

// Fault is a fault that is injected for a part of a run. Faults of one endpoint
// affect the first endpoint of the pool that limits the deployment's capacity;
// faults of a failure domain affect the one whose name sorts last.
type Fault struct {
	span
	Kind FaultKind
}

// Scenario describes the rate of arrivals and the faults of a run.
type Scenario struct {
	Name string
	Help string
	// Share is the base rate of arrivals as a fraction of the deployment's
	// capacity.
	Share float64
	Ramps []Ramp
	// Flood is the additional rate of the largest client account, as a fraction
	// of the capacity; zero for none.
	Flood  float64
	Faults []Fault
	// Crashes is true if a caller repeatedly sends a request that crashes
	// endpoints.
	Crashes bool
}

// scenarioSeparator separates the names of combined scenarios.
const scenarioSeparator = "+"

// Scenarios lists the built-in scenarios.
func Scenarios() []Scenario {
	fault := func(kind FaultKind, s span) []Fault { return []Fault{{Kind: kind, span: s}} }
	mostOfRun, middleOfRun := span{0.1, 1}, span{0.25, 0.65}
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
		{Name: "straggler", Help: "one endpoint ten times slower", Share: calmShare, Faults: fault(FaultSlow, mostOfRun)},
		{Name: "dead-endpoint", Help: "one endpoint away", Share: calmShare, Faults: fault(FaultDown, mostOfRun)},
		{Name: "stalled-endpoint", Help: "one endpoint frozen", Share: calmShare, Faults: fault(FaultStall, mostOfRun)},
		{Name: "domain-cut", Help: "one failure domain's endpoints away for two fifths of the run", Share: calmShare,
			Faults: fault(FaultDomain, middleOfRun)},
		{Name: "platform-down", Help: "configuration service and VM list away", Share: calmShare,
			Faults: fault(FaultPlatform, wholeRun)},
		{Name: "account-flood", Help: "the largest account sends 1.5 times the capacity on top", Share: calmShare, Flood: floodShare},
		{Name: "crash-request", Help: "a request that crashes endpoints, sent again and again", Share: calmShare,
			Faults: fault(FaultCrashOn, wholeRun), Crashes: true},
	}
}

// FindScenario returns the built-in scenario of that name, or the combination of
// several names joined by "+". It returns ErrUnknownScenario for other names.
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
	return combineScenarios(found), nil
}

func scenarioNames(all []Scenario) []string {
	names := make([]string, len(all))
	for i, s := range all {
		names[i] = s.Name
	}
	return names
}

// combineScenarios merges scenarios into one with the highest share and flood
// and with all ramps and faults.
func combineScenarios(parts []Scenario) Scenario {
	combined := parts[0]
	for _, s := range parts[1:] {
		combined.Name += scenarioSeparator + s.Name
		combined.Help += "; " + s.Help
		combined.Share = max(combined.Share, s.Share)
		combined.Ramps = slices.Concat(combined.Ramps, s.Ramps)
		combined.Flood = max(combined.Flood, s.Flood)
		combined.Faults = slices.Concat(combined.Faults, s.Faults)
		combined.Crashes = combined.Crashes || s.Crashes
	}
	return combined
}

// NeedsStandIns reports whether the scenario injects faults, which only
// stand-ins support.
func (s *Scenario) NeedsStandIns() bool { return len(s.Faults) > 0 }

// rateFactor returns the factor on Share that applies at a fraction of the run:
// the highest one of the ramps that contain it, or 1 outside of all ramps.
func (s *Scenario) rateFactor(at float64) float64 {
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

// peakRateFactor returns an upper bound of rateFactor over the whole run.
func (s *Scenario) peakRateFactor() float64 {
	highest := 1.0
	for _, r := range s.Ramps {
		highest = max(highest, r.Start, r.End)
	}
	return highest
}
