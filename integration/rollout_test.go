package integration

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/bundle"
	"github.com/mangostage/mangostage/confsvc"
	"github.com/mangostage/mangostage/fake"
	"github.com/mangostage/mangostage/internal/harness"
	"github.com/mangostage/mangostage/wire"
)

// inForceLimit is the time within which a new version must be in force everywhere.
const inForceLimit = 5 * time.Second

// peerDelay is the delay in each direction to the peers of a new process, which makes
// them answer later than the configuration service.
const peerDelay = 150 * time.Millisecond

// describedBundle returns a bundle with the version and a description that identifies
// it.
func describedBundle(fleet *harness.Fleet, version uint64, text string) []byte {
	return fleet.YAML(func(b *bundle.Bundle) {
		b.Version = version
		b.Description = text
	})
}

// publish stores a signed bundle in the configuration service.
func publish(fleet *harness.Fleet, signed []byte) {
	fleet.Platform.Config.Publish(confsvc.ValueBundle, signed)
}

// bundleHeads returns the bundles that the named processes have in force, as reported
// by an entry, or an error if one of them is missing.
func bundleHeads(t *testing.T, fleet *harness.Fleet, entry int, names []string) (map[string]wire.BundleHead, error) {
	list, err := fleet.Status(t.Context(), entry)
	if err != nil {
		return nil, err
	}
	found := make(map[string]wire.BundleHead)
	for _, p := range list {
		if p.Status != nil && slices.Contains(names, p.Process) {
			found[p.Process] = p.Status.Bundle
		}
	}
	if len(found) != len(names) {
		return nil, errorx.IllegalState.New("%d of %d processes answer: %v", len(found), len(names), found)
	}
	return found, nil
}

// awaitVersion waits until the named processes have the version in force, and returns
// how long it took.
func awaitVersion(t *testing.T, fleet *harness.Fleet, entry int, version uint64, limit time.Duration, names []string) time.Duration {
	t.Helper()
	began := time.Now()
	harness.Wait(t, limit, func() error {
		found, err := bundleHeads(t, fleet, entry, names)
		if err != nil {
			return err
		}
		for name, head := range found {
			if head.Version != version {
				return errorx.IllegalState.New("%s has version %d, not %d", name, head.Version, version)
			}
		}
		return nil
	})
	return time.Since(began)
}

// namesOf returns the names of all processes of the fleet but some.
func namesOf(fleet *harness.Fleet, except ...string) []string {
	var names []string
	for _, p := range fleet.Processes() {
		if !slices.Contains(except, p.Name) {
			names = append(names, p.Name)
		}
	}
	return names
}

// bundleLine is a log line on the result of an offered bundle.
type bundleLine struct {
	Message string                `json:"message"`
	Result  bundle.AdoptionResult `json:"result"`
	Version uint64                `json:"version"`
	Source  string                `json:"source"`
}

// bundleLines returns the bundle lines in the log of a process.
func bundleLines(p *harness.Process) []bundleLine {
	var list []bundleLine
	for text := range bytes.Lines(p.Log()) {
		var line bundleLine
		if json.Unmarshal(text, &line) == nil && line.Message == "bundle" {
			list = append(list, line)
		}
	}
	return list
}

// countLogged returns how many processes have logged the result for a value that they
// read from the platform.
func countLogged(fleet *harness.Fleet, result bundle.AdoptionResult) int {
	n := 0
	for _, p := range fleet.Processes() {
		if slices.ContainsFunc(bundleLines(p), func(line bundleLine) bool {
			return line.Result == result && line.Source == "platform"
		}) {
			n++
		}
	}
	return n
}

// awaitLogged waits until at least n processes have logged the result.
func awaitLogged(t *testing.T, fleet *harness.Fleet, result bundle.AdoptionResult, n int) {
	t.Helper()
	harness.Wait(t, waitTimeout, func() error {
		if got := countLogged(fleet, result); got < n {
			return errorx.IllegalState.New("%d of %d processes log %s", got, n, result)
		}
		return nil
	})
}

// checkVersionsIncrease checks that no process put an older version in force. The
// restarts of a process on its VM count as one process.
func checkVersionsIncrease(t *testing.T, fleet *harness.Fleet) {
	t.Helper()
	for _, p := range fleet.Processes() {
		var inForce []uint64
		for _, line := range bundleLines(p) {
			if line.Result == bundle.ResultAdopted || line.Result == bundle.ResultConflictReplaced {
				inForce = append(inForce, line.Version)
			}
		}
		t.Logf("%s had in force: %v", p.Name, inForce)
		assert.Assert(t, len(inForce) > 0 && slices.IsSorted(inForce), "%s: %v", p.Name, inForce)
	}
}

// TestBundleIsInForceWithinSeconds guards against slow rollouts. All processes must
// have a published version in force within five seconds, and also the next one when
// five of eight processes can no longer reach the platform and must get it from their
// peers.
func TestBundleIsInForceWithinSeconds(t *testing.T) {
	fleet := harness.Start(t, harness.Config{Pools: map[string]int{poolCatalogue: 6}, ProxyPlatform: true})
	all := namesOf(fleet)
	fleet.Publish(describedBundle(fleet, 2, "all reach the platform"))
	t.Logf("version 2 in force on %d processes after %v", len(all), awaitVersion(t, fleet, 0, 2, inForceLimit, all))

	// One failure domain of three can still reach the platform.
	for _, name := range []string{"entry-2", "catalogue-2", "catalogue-3", "catalogue-5", "catalogue-6"} {
		fleet.PlatformLink(name).Cut()
	}
	fleet.Publish(describedBundle(fleet, 3, "few reach the platform"))
	t.Logf("version 3 in force on %d processes after %v", len(all), awaitVersion(t, fleet, 0, 3, inForceLimit, all))
	checkVersionsIncrease(t, fleet)
}

// TestBundleNeverGoesBack guards against processes that return to an older bundle. An
// agent is cut off and an entry is frozen while a new version comes into force on the
// others. Then the configuration service returns to the old version, and a restarted
// process reads it there. Neither that process, nor those that rejoin, nor the others
// may put the old version in force again.
func TestBundleNeverGoesBack(t *testing.T) {
	fleet := harness.Start(t, harness.Config{
		Pools: map[string]int{poolCatalogue: 3}, ProxyPeers: true, ProxyPlatform: true,
	})
	old := fleet.Sign(describedBundle(fleet, 2, "old"))
	publish(fleet, old)
	awaitVersion(t, fleet, 0, 2, inForceLimit, namesOf(fleet))

	agentLinks := fleet.Links("catalogue-3")
	agentLinks.Cut()
	fleet.PlatformLink("catalogue-3").Cut()
	fleet.Entry(1).Stop()
	publish(fleet, fleet.Sign(describedBundle(fleet, 3, "new")))
	rest := namesOf(fleet, "catalogue-3", "entry-2")
	awaitVersion(t, fleet, 0, 3, inForceLimit, rest)

	publish(fleet, old)
	// The configuration service answers sooner than the peers.
	toPeers := fleet.Link("entry-1", "catalogue-1")
	fresh := fleet.Agent("catalogue-1")
	fresh.Kill()
	toPeers.Delay(peerDelay)
	fresh.Restart()
	awaitVersion(t, fleet, 0, 3, waitTimeout, rest)
	toPeers.Heal()
	fleet.Entry(1).Cont()
	fleet.PlatformLink("catalogue-3").Heal()
	agentLinks.Heal()
	awaitVersion(t, fleet, 0, 3, waitTimeout, namesOf(fleet))
	awaitLogged(t, fleet, bundle.ResultOlder, 1)
	awaitVersion(t, fleet, 1, 3, waitTimeout, namesOf(fleet))
	checkVersionsIncrease(t, fleet)
}

// TestTwoContentsOfOneVersionConverge guards against a fleet that stays divided. Two
// operators publish one version with different contents, and each half of a
// partitioned fleet sees another one. When the partition heals, all processes must
// choose the same content, those that replace theirs must log the conflict as an
// error, and a higher version must end the conflict.
func TestTwoContentsOfOneVersionConverge(t *testing.T) {
	fleet := harness.Start(t, harness.Config{
		Pools: map[string]int{poolCatalogue: 2}, ProxyPeers: true, ProxyPlatform: true,
	})
	halves := [][]string{{"entry-1", "catalogue-1"}, {"entry-2", "catalogue-2"}}
	between := fleet.Between(halves[0], halves[1])
	between.Cut()
	for i, half := range halves {
		for _, name := range halves[1-i] {
			fleet.PlatformLink(name).Cut()
		}
		for _, name := range half {
			fleet.PlatformLink(name).Heal()
		}
		fleet.Publish(describedBundle(fleet, 2, fmt.Sprint("operator ", i+1)))
		awaitVersion(t, fleet, i, 2, waitTimeout, half)
	}
	between.Heal()
	for _, name := range halves[0] {
		fleet.PlatformLink(name).Heal()
	}
	fleet.WaitReady(waitTimeout)
	harness.Wait(t, inForceLimit, func() error { return checkOneContent(t, fleet) })
	harness.Wait(t, waitTimeout, func() error { return checkConflictLogged(fleet, len(halves[0])) })

	fleet.Publish(describedBundle(fleet, 3, "settled"))
	awaitVersion(t, fleet, 0, 3, inForceLimit, namesOf(fleet))
	assert.NilError(t, checkOneContent(t, fleet))
	checkVersionsIncrease(t, fleet)
}

// checkOneContent returns nil if all processes have the same bundle in force.
func checkOneContent(t *testing.T, fleet *harness.Fleet) error {
	found, err := bundleHeads(t, fleet, 0, namesOf(fleet))
	if err != nil {
		return err
	}
	seen := make(map[wire.BundleHead]int)
	for _, head := range found {
		seen[head]++
	}
	if len(seen) != 1 {
		return errorx.IllegalState.New("in force: %v", seen)
	}
	return nil
}

// checkConflictLogged returns nil if at least n processes have logged the conflict as
// an error. The processes of the half whose content is replaced have seen both.
func checkConflictLogged(fleet *harness.Fleet, n int) error {
	logged := 0
	for _, p := range fleet.Processes() {
		if p.LogHas(`"level":"error"`, "CONFLICT") {
			logged++
		}
	}
	if logged < n {
		return errorx.IllegalState.New("%d of %d processes have logged the conflict", logged, n)
	}
	return nil
}

// TestBadValuesChangeNothing guards against invalid values of the configuration
// service: a bundle signed with an unknown key, and later a new value that readers see
// half written. Neither may change the bundle in force, also not of a process that
// starts meanwhile. The complete value must be in force soon after it can be read.
func TestBadValuesChangeNothing(t *testing.T) {
	fleet := harness.Start(t, harness.Config{Pools: map[string]int{poolCatalogue: 2}})
	all := namesOf(fleet)
	fleet.Publish(describedBundle(fleet, 2, "good"))
	awaitVersion(t, fleet, 0, 2, inForceLimit, all)

	_, stranger, err := bundle.GenerateKey()
	assert.NilError(t, err)
	forged, err := bundle.Sign(stranger, describedBundle(fleet, 9, "forged"))
	assert.NilError(t, err)
	publish(fleet, forged)
	awaitLogged(t, fleet, bundle.ResultBadSignature, 1)

	half, whole := true, false
	fleet.Platform.Config.Apply(fake.ConfigControl{HalfWritten: &half})
	fleet.Publish(describedBundle(fleet, 3, "whole"))
	// In so small a fleet all processes watch the configuration service.
	awaitLogged(t, fleet, bundle.ResultMalformed, len(all))
	fleet.Agent("catalogue-1").Kill()
	fleet.Agent("catalogue-1").Restart()
	awaitVersion(t, fleet, 0, 2, waitTimeout, all)

	fleet.Platform.Config.Apply(fake.ConfigControl{HalfWritten: &whole})
	t.Logf("in force %v after the complete value could be read", awaitVersion(t, fleet, 0, 3, inForceLimit, all))
	checkVersionsIncrease(t, fleet)
}

const (
	// platformWindow is how long a fleet's reads of the platform are counted.
	platformWindow = 8 * time.Second
	// platformGrowth is the factor by which the reads of a fleet four times as large
	// may grow at most.
	platformGrowth = 3.0
)

// TestPlatformReadsGrowSlowly guards against fleets that exceed the platform's limits,
// which grow more slowly than the fleet. It counts the reads of 10 and of 40 processes
// at the fake platform: during a simultaneous start, in steady state, and while a new
// version spreads.
func TestPlatformReadsGrowSlowly(t *testing.T) {
	var rates []float64
	for _, size := range []struct{ entries, agents int }{{2, 8}, {5, 35}} {
		t.Run(fmt.Sprint(size.entries+size.agents), func(t *testing.T) {
			rates = append(rates, platformRate(t, size.entries, size.agents))
		})
	}
	assert.Equal(t, len(rates), 2)
	assert.Assert(t, rates[1] < platformGrowth*rates[0], "%v", rates)
}

// platformRate returns the reads of the platform per second in steady state.
func platformRate(t *testing.T, entries, agents int) float64 {
	fleet := harness.Start(t, harness.Config{
		Pools: map[string]int{poolCatalogue: agents}, Entries: entries, NoRace: true, LogLevel: "warn",
	})
	calls := func() int {
		c := fleet.Platform.Counts()
		return c.Total + c.VMs.Total
	}
	starting, began := calls(), time.Now()
	waitUntil(began, platformWindow)
	rate := float64(calls()-starting) / time.Since(began).Seconds()
	fleet.Publish(describedBundle(fleet, 2, "new"))
	took := awaitVersion(t, fleet, 0, 2, waitTimeout, namesOf(fleet))
	counts := fleet.Platform.Counts()
	t.Logf("%d processes: %d reads until ready, then %.2f a second; version 2 everywhere after %v; "+
		"most in one second: %d of the configuration service, %d of the list",
		entries+agents, starting, rate, took, counts.MaxPerSecond, counts.VMs.MaxPerSecond)
	assert.Assert(t, counts.MaxPerSecond+counts.VMs.MaxPerSecond <= fake.DefaultConfigLimit)
	assert.Equal(t, counts.Refused, 0)
	return rate
}
