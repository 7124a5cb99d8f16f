package integration

import (
	"sync"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"github.com/mangostage/mangostage/api"
	"github.com/mangostage/mangostage/bundle"
	"github.com/mangostage/mangostage/fake"
	"github.com/mangostage/mangostage/internal/harness"
)

const (
	framePipeline = "frame-order"
	checkStage    = "catalogue-check"
	billingStage  = "billing"
	cataloguePool = "catalogue"
	billingPool   = "billing"
	// frameTimeout leaves time for all three stages.
	frameTimeout = 3 * time.Second
	// slowCheckTime leaves time to cut the links to the next stage during the check.
	slowCheckTime = 200 * time.Millisecond
)

// frameFleet starts the pools of the frame-order pipeline. Its first stage is
// repeatable, the workshop's and billing are not.
func frameFleet(t *testing.T, catalogues int, checkTime time.Duration) *harness.Fleet {
	t.Helper()
	return harness.Start(t, harness.Config{
		Pools:      map[string]int{cataloguePool: catalogues, ordersPool: 2, billingPool: 2},
		ProxyPeers: true,
		NoRace:     true,
		Edit:       withKeyRetention(2*time.Minute, skew),
		Service: func(p *bundle.Pool, s *fake.ServiceSettings) {
			s.Time = orderTime
			if p.Name == cataloguePool {
				s.Time = checkTime
			}
		},
	})
}

// verifyStages compares the replies with the run counts of every stage.
func (b *orderChecker) verifyStages() {
	b.t.Helper()
	b.verify()
	runs := b.fleet.StageRuns()
	for _, o := range b.orders {
		checks, makes, bills := runs[checkStage][o.marker], runs[orderStage][o.marker], runs[billingStage][o.marker]
		if bills > 1 || bills > makes || (makes > 0 && checks == 0) {
			b.add(ranTwice, "%s (%s): checked %d times, made %d times, billed %d times: %s",
				o.marker, o.identifiedBy, checks, makes, bills, o.history())
		}
		if o.answered() && bills != 1 {
			b.add(falselyAnswered, "%s (%s): billed %d times: %s", o.marker, o.identifiedBy, bills, o.history())
		}
	}
}

// TestEntryKilledInMidPipeline guards against lost or repeated stages when an entry
// is killed with orders in different stages. Their callers lose the connection and
// submit again through the other entry. Each must get the answer to its own order, and
// the stages of workshop and billing must have run once for each.
func TestEntryKilledInMidPipeline(t *testing.T) {
	b := &orderChecker{t: t, fleet: frameFleet(t, 2, orderTime), pipeline: framePipeline}
	defer b.report(t)
	for _, stage := range []string{checkStage, orderStage, billingStage} {
		var orders []*order
		for range 2 * ordersPerKind {
			orders = append(orders, b.newOrder(held), b.newOrder(timedKey))
		}
		before := len(b.fleet.StageRuns()[stage])
		var first sync.WaitGroup
		for _, o := range orders {
			first.Go(func() { b.send(t.Context(), o, 0, frameTimeout) })
		}
		harness.Wait(t, recoveryTimeout, func() error {
			if len(b.fleet.StageRuns()[stage]) == before {
				return errorx.IllegalState.New("no order has reached stage %s", stage)
			}
			return nil
		})
		b.fleet.Entry(0).Kill()
		first.Wait()
		var again sync.WaitGroup
		for _, o := range orders {
			again.Go(func() { b.retryUntilAnswered(o, 1) })
		}
		again.Wait()
		for _, o := range orders {
			assert.Assert(t, o.answered(), "%s (%s): %s", o.marker, o.identifiedBy, o.history())
		}
		b.fleet.Entry(0).Restart()
		b.fleet.WaitReady(recoveryTimeout)
	}
	b.verifyStages()
}

// retryUntilAnswered submits an order through one entry until it is answered, at most
// maxSubmissions times.
func (b *orderChecker) retryUntilAnswered(o *order, entryIndex int) {
	for range maxSubmissions {
		if b.send(b.t.Context(), o, entryIndex, frameTimeout).hasOutcome(api.OutcomeAnswered) {
			return
		}
	}
}

// TestFinishedStageIsReused guards against running a finished stage again. After the
// check of an order against the catalogue its workshop cannot be reached; the caller
// gets "cut short" and submits again when the links are healed. The catalogue's agent
// still has the result of the check, which must not run twice. If that agent was
// restarted, it has lost the result, and the repeatable check runs again.
func TestFinishedStageIsReused(t *testing.T) {
	b := &orderChecker{t: t, fleet: frameFleet(t, 1, slowCheckTime), pipeline: framePipeline}
	defer b.report(t)
	toWorkshops := b.fleet.Between([]string{"entry-1", "entry-2"}, orderAgents(b.fleet))
	for _, restart := range []bool{false, true} {
		orders := []*order{b.newOrder(timedKey), b.newOrder(opaqueKey), b.newOrder(held)}
		var first sync.WaitGroup
		for _, o := range orders {
			first.Go(func() { b.send(t.Context(), o, 0, frameTimeout) })
		}
		harness.Wait(t, recoveryTimeout, func() error {
			for _, o := range orders {
				if b.fleet.StageRuns()[checkStage][o.marker] == 0 {
					return errorx.IllegalState.New("%s is not being checked", o.marker)
				}
			}
			return nil
		})
		toWorkshops.Cut()
		first.Wait()
		for _, o := range orders {
			assert.Equal(t, o.submissions[0].reply.Outcome(), api.OutcomeCutShort, "%s", o.history())
		}
		toWorkshops.Heal()
		catalogue := b.fleet.Agent(cataloguePool + "-1")
		if restart {
			catalogue.Kill()
			catalogue.Restart()
		}
		b.fleet.WaitReady(recoveryTimeout)
		b.awaitServing(1)
		runs := 1
		if restart {
			runs = 2
		}
		for _, o := range orders {
			if o.identifiedBy != opaqueKey {
				// The workshop's agents have not run long enough to accept opaque keys.
				s := b.send(t.Context(), o, 1, frameTimeout)
				assert.Equal(t, s.reply.Outcome(), api.OutcomeAnswered, "%s (%s): %s", o.marker, o.identifiedBy, s.reply.Body)
			}
			n := b.fleet.StageRuns()[checkStage][o.marker]
			if o.identifiedBy != opaqueKey && n != runs {
				t.Errorf("%s (%s) was checked %d times, not %d", o.marker, o.identifiedBy, n, runs)
			}
		}
	}
	b.verifyStages()
}
